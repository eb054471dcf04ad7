package feeds

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

// Entries that reconnect after all of control was killed, or are cut off, do not
// make the others take larger parts of the fleet's bounds.
func TestReconnectingEntriesAreNotCountedTooFew(t *testing.T) {
	began := time.Now()
	f := &Feeds{}
	f.prepare()
	connect := func(name string) *member {
		m := &member{hello: plane.Hello{Role: plane.RoleEntry, Name: name}, news: make(chan struct{}, 1)}
		require.True(t, f.join(m))
		return m
	}
	first := connect("e1")
	require.Zero(t, f.countEntries(), "one of nobody knows how many")
	connect("e2")
	f.seen.began = began.Add(-countAfter)
	require.Equal(t, 2, f.countEntries())
	f.leave(first)
	require.Equal(t, 2, f.countEntries(), "it may still use its part")
	require.Equal(t, []string{"e2"}, f.Entries())
	f.seen.heard["e1"] = began.Add(-liveMemory - time.Second)
	require.Equal(t, 1, f.countEntries())
	peer := f.meet("peer")
	require.Zero(t, f.countEntries(), "entries of a replica that was never heard are not known")
	peer.heard, peer.last.Entries = time.Now(), []string{"e3", "e4"}
	require.Equal(t, 3, f.countEntries())
	peer.heard = time.Now().Add(-peerSilence)
	f.seen.heard["e3"] = began.Add(-liveMemory - time.Second)
	require.Equal(t, 3, f.countEntries(), "those of a silent one may still be there")
	connect("e5")
	require.Equal(t, 4, f.countEntries())
}

// Agents that reconnect after all of control was killed do not take larger
// parts of the load budget.
func TestReconnectingEnginesAreNotCountedTooFew(t *testing.T) {
	f := &Feeds{Roster: &roster.Roster{}, Host: host.Host{Meter: meter.New()}}
	f.prepare()
	for agent := range 3 {
		require.True(t, f.Roster.Report(1, roster.Record{Agent: fmt.Sprint("a", agent), Incarnation: 1, ReportSeq: 1, Model: "m"}))
		f.countEngines()
		require.Zero(t, f.engines.Load(), "one of nobody knows how many")
	}
	f.loading.began = time.Now().Add(-countAfter)
	f.countEngines()
	require.EqualValues(t, 3, f.engines.Load())
	require.True(t, f.Roster.MarkDeparted(1, "a0", 1))
	f.countEngines()
	require.EqualValues(t, 3, f.engines.Load(), "it may still load")
}
