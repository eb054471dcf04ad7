package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/dedup"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const incarnation = 7

func attempt(n int, idempotent bool) *call.Attempt {
	return &call.Attempt{ID: id(n), AgentIncarnation: incarnation, Idempotent: idempotent}
}

func id(n int) []byte { return fmt.Appendf(nil, "%016d", n) }

func probe(attempts *dedup.Attempts, n int) call.State {
	return attempts.Probe(&call.Probe{ID: id(n), AgentIncarnation: incarnation}).State
}

func TestAttemptBeginsOnce(t *testing.T) {
	attempts := &dedup.Attempts{Incarnation: incarnation}
	require.Equal(t, call.ReasonNone, attempts.Begin(attempt(1, false)))
	require.Equal(t, call.ReasonDuplicate, attempts.Begin(attempt(1, false)))
	attempts.Done(id(1), &call.Outcome{Status: 201, Body: []byte("filed")})
	require.Equal(t, call.ReasonDuplicate, attempts.Begin(attempt(1, false)))

	misaddressed := attempt(2, false)
	misaddressed.AgentIncarnation++
	require.Equal(t, call.ReasonOtherIncarnation, attempts.Begin(misaddressed))
}

func TestProbeReportsTheState(t *testing.T) {
	attempts := &dedup.Attempts{Incarnation: incarnation}
	require.Equal(t, call.StateNotRun, probe(attempts, 1))
	require.Equal(t, call.ReasonTombstone, attempts.Begin(attempt(1, false)), "a probed attempt that arrives late")

	attempts.Begin(attempt(2, false))
	require.Equal(t, call.StateRunning, probe(attempts, 2))
	attempts.Done(id(2), &call.Outcome{Status: 201, Body: []byte("filed")})
	reply := attempts.Probe(&call.Probe{ID: id(2), AgentIncarnation: incarnation})
	require.Equal(t, call.StateDone, reply.State)
	require.Equal(t, "filed", string(reply.Outcome.Body))

	attempts.Begin(attempt(3, false))
	attempts.MarkNotRun(id(3))
	require.Equal(t, call.StateNotRun, probe(attempts, 3))
	require.Equal(t, call.StateUnknown, attempts.Probe(&call.Probe{ID: id(2), AgentIncarnation: 8}).State)
}

func TestEarlyRemovalMakesUnseenAttemptsUnknown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		attempts := &dedup.Attempts{Incarnation: incarnation, MaxAttempts: 2, Retention: time.Hour}
		for n := range 3 {
			require.Equal(t, call.ReasonNone, attempts.Begin(attempt(n, false)))
			attempts.Done(id(n), nil)
		}
		require.Equal(t, call.StateUnknown, probe(attempts, 0), "it ran, but was removed early")
		time.Sleep(time.Hour)
		require.Equal(t, call.StateNotRun, probe(attempts, 9))
	})
}

func TestRunningAttemptsAreNeverRemoved(t *testing.T) {
	attempts := &dedup.Attempts{Incarnation: incarnation, MaxAttempts: 2}
	attempts.Begin(attempt(1, false))
	attempts.Begin(attempt(2, true))
	require.Equal(t, call.ReasonFull, attempts.Begin(attempt(3, false)))
	attempts.Done(id(2), nil)
	require.Equal(t, call.ReasonNone, attempts.Begin(attempt(3, false)))
	require.Equal(t, call.StateRunning, probe(attempts, 1))
}

func TestLargeBodiesAreDropped(t *testing.T) {
	attempts := &dedup.Attempts{Incarnation: incarnation, MaxBodyBytes: 10}
	attempts.Begin(attempt(1, false))
	attempts.Done(id(1), &call.Outcome{Status: 200, Body: make([]byte, 11)})
	outcome := attempts.Probe(&call.Probe{ID: id(1), AgentIncarnation: incarnation}).Outcome
	require.True(t, outcome.Truncated)
	require.Empty(t, outcome.Body)
	require.Len(t, outcome.BodyDigest, 32)
}
