package feeds

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

const testReplica = 7

// reportLoads reports a load for each of the agents to the roster.
func reportLoads(known *roster.Roster, agents int, beat uint64, ready bool) {
	for index := range agents {
		known.Report(testReplica, roster.Record{
			Agent: fmt.Sprintf("agent%03d", index), Incarnation: 1, Fence: 1, ReportSeq: beat, Ready: ready, Running: int32(beat),
		})
	}
}

func TestLoadRateIsBoundedAndEveryLoadArrives(t *testing.T) {
	known, entry, queue := &roster.Roster{}, &roster.Roster{}, &loadQueue{}
	reportLoads(known, 600, 1, true)
	entry.Merge(known.DeltaSince(nil))
	vector, now, sent := entry.Vector(), time.Unix(0, 0), 0
	exchange := func() {
		delta := known.DeltaForFollower(vector)
		delta.Records = queue.separate(delta.Records, vector)
		delta.Loads = queue.take(known, now)
		sent += len(delta.Loads)
		entry.Merge(delta)
		vector = joinVectors(vector, delta.Vector)
		now = now.Add(100 * time.Millisecond)
	}
	for beat := uint64(2); beat < 102; beat++ {
		reportLoads(known, 600, beat, true)
		exchange()
	}
	require.LessOrEqual(t, float64(sent), loadBurst+10*loadRate)
	for queue.hasPending() {
		exchange()
	}
	for _, record := range entry.All() {
		require.Equal(t, int32(101), record.Running, record.Agent)
	}
}

func TestNonLoadChangesAreNotQueued(t *testing.T) {
	known, queue := &roster.Roster{}, &loadQueue{}
	reportLoads(known, 2, 1, true)
	vector := known.Vector()
	reportLoads(known, 1, 2, true)
	require.Empty(t, queue.separate(known.DeltaForFollower(vector).Records, vector))
	reportLoads(known, 1, 3, false)
	reportLoads(known, 1, 4, false)
	records := queue.separate(known.DeltaForFollower(vector).Records, vector)
	require.Len(t, records, 1)
	require.False(t, records[0].Ready)
}
