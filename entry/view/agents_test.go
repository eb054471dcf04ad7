package view_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/view"
)

// Queries that were under way together when an agent fell silent counted as one failure each,
// so that the agent was avoided for up to a second after its silence instead of 400 ms.
func TestQueriesUnderWayTogetherAreOneFailureOfTheAgent(t *testing.T) {
	es := &view.Endpoints{DataCentre: "d"}
	es.Update(endpoints(2))
	const timeout = 250 * time.Millisecond
	for i := range 10 {
		sent := start.Add(time.Duration(i) * 20 * time.Millisecond)
		require.True(t, es.AllowAgentQuery("e0", timeout, sent))
	}
	require.True(t, es.AllowAgentQuery("e0", timeout, start.Add(timeout)))
	for i := range 10 {
		sent := start.Add(time.Duration(i) * 20 * time.Millisecond)
		es.RecordAgentQuery("e0", false, sent, sent.Add(timeout))
		// This one was sent as the first one failed.
		es.RecordAgentQuery("e0", false, start.Add(timeout), sent.Add(timeout))
	}
	require.False(t, es.AllowAgentQuery("e0", timeout, start.Add(600*time.Millisecond)))
	require.True(t, es.AllowAgentQuery("e0", timeout, start.Add(700*time.Millisecond)))
	require.False(t, es.AllowAgentQuery("e0", timeout, start.Add(710*time.Millisecond)), "one query at a time")
}

// An agent is awaited for two seconds from its first failure, and again when it fails once more
// after a time without queries. Its reply ends the wait.
func TestSilentAgentIsAwaitedForTwoSeconds(t *testing.T) {
	es := &view.Endpoints{DataCentre: "d"}
	es.Update(endpoints(2))
	fail := func(at time.Time) { es.RecordAgentQuery("e0", false, at, at.Add(time.Millisecond)) }
	for _, first := range []time.Time{start, start.Add(20 * time.Second)} {
		fail(first)
		_, _, ok := es.AwaitAgent([]string{"e0"}, first)
		require.True(t, ok)
		fail(first.Add(500 * time.Millisecond))
		_, _, ok = es.AwaitAgent([]string{"e0"}, first)
		require.True(t, ok)
		fail(first.Add(1500 * time.Millisecond))
		_, _, ok = es.AwaitAgent([]string{"e0"}, first)
		require.False(t, ok)
	}
	at := start.Add(time.Minute)
	fail(at)
	wait, returned, ok := es.AwaitAgent([]string{"none", "e0"}, at)
	require.True(t, ok)
	require.Positive(t, wait)
	es.RecordAgentQuery("e0", true, at, at)
	select {
	case <-returned:
	default:
		require.Fail(t, "the wait goes on")
	}
	_, _, ok = es.AwaitAgent([]string{"none"}, at)
	require.False(t, ok, "engines that have left")
}

// A second request queried an agent as the query of the first one failed, and the failure of the
// second one lengthened the pause.
func TestOnlyOneQueryFollowsThePauseOfAnAgent(t *testing.T) {
	es := &view.Endpoints{DataCentre: "d"}
	es.Update(endpoints(2))
	const timeout = 250 * time.Millisecond
	es.RecordAgentQuery("e0", false, start, start)
	es.RecordAgentQuery("e0", false, start, start)
	probe := start.Add(400 * time.Millisecond)
	require.True(t, es.AllowAgentQuery("e0", timeout, probe))
	require.False(t, es.AllowAgentQuery("e0", timeout, probe.Add(timeout)))
	es.RecordAgentQuery("e0", false, probe, probe.Add(timeout))
	require.False(t, es.AllowAgentQuery("e0", timeout, probe.Add(timeout)))
	require.True(t, es.AllowAgentQuery("e0", timeout, probe.Add(timeout+800*time.Millisecond)))

	// The request of a query may end without its result.
	require.True(t, es.AllowAgentQuery("e0", timeout, probe.Add(timeout+1400*time.Millisecond)))
}
