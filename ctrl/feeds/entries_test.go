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

// If all of control is killed or entries are disconnected, the remaining entries must
// not take larger shares of the fleet-wide limits while the others may still run.
func TestReconnectingEntriesAreNotUndercounted(t *testing.T) {
	began := time.Now()
	f := &Feeds{}
	f.prepare()
	connect := func(name string) *client {
		c := &client{hello: plane.Hello{Role: plane.RoleEntry, Name: name}, changed: make(chan struct{}, 1)}
		require.True(t, f.join(c))
		return c
	}
	first := connect("e1")
	require.Zero(t, f.countEntries(), "the number of entries is not known yet")
	connect("e2")
	f.liveEntries.startedAt = began.Add(-countDelay)
	require.Equal(t, 2, f.countEntries())
	requireRank(t, f, "e2", 2, 2)
	f.leave(first)
	require.Equal(t, 2, f.countEntries(), "a disconnected entry may still use its share")
	require.Equal(t, []string{"e2"}, f.Entries())
	f.liveEntries.lastHeard["e1"] = began.Add(-liveRetention - time.Second)
	require.Equal(t, 1, f.countEntries())
	requireRank(t, f, "e2", 1, 1)
	peer := f.ensurePeer("peer")
	require.Zero(t, f.countEntries(), "the entries of a peer that has sent no update are unknown")
	requireRank(t, f, "e2", 0, 0)
	peer.lastHeard, peer.lastUpdate.Entries = time.Now(), []string{"e3", "e4"}
	require.Equal(t, 3, f.countEntries())
	peer.lastHeard = time.Now().Add(-peerTimeout)
	f.liveEntries.lastHeard["e3"] = began.Add(-liveRetention - time.Second)
	require.Equal(t, 3, f.countEntries(), "the entries of an unresponsive peer may still be running")
	connect("e5")
	require.Equal(t, 4, f.countEntries())
	requireRank(t, f, "e5", 4, 4)
	requireRank(t, f, "e9", 0, 0)
}

// requireRank checks an entry's position: one that is too low in too short a list would give
// the entry a larger share of a limit than its own.
func requireRank(t *testing.T, f *Feeds, name string, rank, listed int32) {
	t.Helper()
	gotRank, gotListed := f.rankEntry(name)
	require.Equal(t, []int32{rank, listed}, []int32{gotRank, gotListed})
}

// Agents that reconnect after all of control was killed must not take larger shares of
// the load budget.
func TestReconnectingEnginesAreNotUndercounted(t *testing.T) {
	f := &Feeds{Roster: &roster.Roster{}, Host: host.Host{Meter: meter.New()}}
	f.prepare()
	for agent := range 3 {
		require.True(t, f.Roster.Report(1, roster.Record{Agent: fmt.Sprint("a", agent), Incarnation: 1, ReportSeq: 1, Model: "m"}))
		f.countEngines()
		require.Zero(t, f.engineCount.Load(), "the number of engines is not known yet")
	}
	f.liveEngines.startedAt = time.Now().Add(-countDelay)
	f.countEngines()
	require.EqualValues(t, 3, f.engineCount.Load())
	require.True(t, f.Roster.MarkDeparted(1, "a0", 1))
	f.countEngines()
	require.EqualValues(t, 3, f.engineCount.Load(), "a departed engine may still be loading")
}
