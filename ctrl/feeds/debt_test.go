package feeds

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

const here = 7

// loaded lets every agent report a load; the roster notes the changes.
func loaded(known *roster.Roster, agents int, beat uint64, ready bool) {
	for index := range agents {
		known.Report(here, roster.Record{
			Agent: fmt.Sprintf("agent%03d", index), Incarnation: 1, Fence: 1, ReportSeq: beat, Ready: ready, Running: int32(beat),
		})
	}
}

func TestLoadsAreBoundedAndAllArrive(t *testing.T) {
	known, entry, owed := &roster.Roster{}, &roster.Roster{}, &debt{}
	loaded(known, 600, 1, true)
	entry.Merge(known.DeltaSince(nil))
	vector, now, sent := entry.Vector(), time.Unix(0, 0), 0
	exchange := func() {
		delta := known.DeltaForFollower(vector)
		delta.Records = owed.divide(delta.Records, vector)
		delta.Loads = owed.pay(known, now)
		sent += len(delta.Loads)
		entry.Merge(delta)
		vector = joinVectors(vector, delta.Vector)
		now = now.Add(100 * time.Millisecond)
	}
	for beat := uint64(2); beat < 102; beat++ {
		loaded(known, 600, beat, true)
		exchange()
	}
	require.LessOrEqual(t, float64(sent), loadBurst+10*loadRate)
	for owed.open() {
		exchange()
	}
	for _, record := range entry.All() {
		require.Equal(t, int32(101), record.Running, record.Agent)
	}
}

func TestAChangeOfShapeIsNotHeldBack(t *testing.T) {
	known, owed := &roster.Roster{}, &debt{}
	loaded(known, 2, 1, true)
	vector := known.Vector()
	loaded(known, 1, 2, true)
	require.Empty(t, owed.divide(known.DeltaForFollower(vector).Records, vector))
	loaded(known, 1, 3, false)
	loaded(known, 1, 4, false)
	records := owed.divide(known.DeltaForFollower(vector).Records, vector)
	require.Len(t, records, 1)
	require.False(t, records[0].Ready)
}
