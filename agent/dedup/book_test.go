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

func attempt(n int, repeat bool) *call.Attempt {
	return &call.Attempt{ID: id(n), AgentIncarnation: incarnation, Idempotent: repeat}
}

func id(n int) []byte { return fmt.Appendf(nil, "%016d", n) }

func probe(b *dedup.Attempts, n int) call.State {
	return b.Probe(&call.Probe{ID: id(n), AgentIncarnation: incarnation}).State
}

func TestAttemptBeginsOnce(t *testing.T) {
	book := &dedup.Attempts{Incarnation: incarnation}
	require.Equal(t, call.ReasonNone, book.Begin(attempt(1, false)))
	require.Equal(t, call.ReasonDuplicate, book.Begin(attempt(1, false)))
	book.Done(id(1), &call.Outcome{Status: 201, Body: []byte("filed")})
	require.Equal(t, call.ReasonDuplicate, book.Begin(attempt(1, false)))

	stranger := attempt(2, false)
	stranger.AgentIncarnation++
	require.Equal(t, call.ReasonOtherIncarnation, book.Begin(stranger))
}

func TestProbeReportsTheState(t *testing.T) {
	book := &dedup.Attempts{Incarnation: incarnation}
	require.Equal(t, call.StateNotRun, probe(book, 1))
	require.Equal(t, call.ReasonTombstone, book.Begin(attempt(1, false)), "a probed attempt that arrives late")

	book.Begin(attempt(2, false))
	require.Equal(t, call.StateRunning, probe(book, 2))
	book.Done(id(2), &call.Outcome{Status: 201, Body: []byte("filed")})
	verdict := book.Probe(&call.Probe{ID: id(2), AgentIncarnation: incarnation})
	require.Equal(t, call.StateDone, verdict.State)
	require.Equal(t, "filed", string(verdict.Outcome.Body))

	book.Begin(attempt(3, false))
	book.MarkNotRun(id(3))
	require.Equal(t, call.StateNotRun, probe(book, 3))
	require.Equal(t, call.StateUnknown, book.Probe(&call.Probe{ID: id(2), AgentIncarnation: 8}).State)
}

func TestEarlyRemovalMakesUnseenAttemptsUnknown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		book := &dedup.Attempts{Incarnation: incarnation, MaxAttempts: 2, Retention: time.Hour}
		for n := range 3 {
			require.Equal(t, call.ReasonNone, book.Begin(attempt(n, false)))
			book.Done(id(n), nil)
		}
		require.Equal(t, call.StateUnknown, probe(book, 0), "it ran, but is forgotten")
		time.Sleep(time.Hour)
		require.Equal(t, call.StateNotRun, probe(book, 9))
	})
}

func TestRunningAttemptsAreNeverRemoved(t *testing.T) {
	book := &dedup.Attempts{Incarnation: incarnation, MaxAttempts: 2}
	book.Begin(attempt(1, false))
	book.Begin(attempt(2, true))
	require.Equal(t, call.ReasonFull, book.Begin(attempt(3, false)))
	book.Done(id(2), nil)
	require.Equal(t, call.ReasonNone, book.Begin(attempt(3, false)))
	require.Equal(t, call.StateRunning, probe(book, 1))
}

func TestLargeBodiesAreDropped(t *testing.T) {
	book := &dedup.Attempts{Incarnation: incarnation, MaxBodyBytes: 10}
	book.Begin(attempt(1, false))
	book.Done(id(1), &call.Outcome{Status: 200, Body: make([]byte, 11)})
	outcome := book.Probe(&call.Probe{ID: id(1), AgentIncarnation: incarnation}).Outcome
	require.True(t, outcome.Truncated)
	require.Empty(t, outcome.Body)
	require.Len(t, outcome.BodyDigest, 32)
}
