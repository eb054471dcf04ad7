package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

func TestFilingRunsOnceWhenSentAgain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, plainService)
		defer s.end()
		entry := s.dial()
		filing := s.filing("case 1")
		r := entry.run(filing)
		require.Equal(t, int32(201), r.head.Status)
		again := entry.run(filing)
		require.Equal(t, call.ReasonDuplicate, again.reason())
		require.True(t, again.refused.MayHaveRun)
		verdict := entry.probe(filing)
		require.Equal(t, call.StateDone, verdict.State)
		require.Equal(t, r.text, string(verdict.Outcome.Body))
		require.Equal(t, map[string]int{"case 1": 1}, s.service.Filings())
	})
}

func TestFilingIsFinishedWithoutItsEntry(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) {
			plainService(s)
			s.service.Delay, s.service.Places = 2*time.Second, 1
		})
		defer s.end()
		entry := s.dial()
		running, queued := s.filing("case 1"), s.filing("case 2")
		stream := entry.open(running)
		time.Sleep(500 * time.Millisecond)
		_ = entry.open(queued)
		time.Sleep(500 * time.Millisecond)
		require.NoError(t, stream.Send(&call.Frame{ID: running.ID, Type: call.FrameCancel}))
		time.Sleep(100 * time.Millisecond)
		_ = entry.session.Close()
		other := s.dial()
		require.Equal(t, call.StateRunning, other.probe(running).State)
		time.Sleep(4 * time.Second)
		for _, filing := range []*call.Attempt{running, queued} {
			verdict := other.probe(filing)
			require.Equal(t, call.StateDone, verdict.State)
			require.Equal(t, int32(201), verdict.Outcome.Status)
		}
		require.Equal(t, map[string]int{"case 1": 1, "case 2": 1}, s.service.Filings())
	})
}

func TestProbedFilingNeverRunsLater(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, plainService)
		defer s.end()
		entry := s.dial()
		filing := s.filing("case 1")
		require.Equal(t, call.StateNotRun, entry.probe(filing).State)
		r := entry.run(filing)
		require.Equal(t, call.ReasonTombstone, r.reason())
		require.False(t, r.refused.MayHaveRun)
		require.Empty(t, s.service.Calls())
	})
}

func TestAttemptForAnotherIncarnationIsRefused(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, plainService)
		defer s.end()
		entry := s.dial()
		filing := s.filing("case 1")
		filing.AgentIncarnation--
		require.Equal(t, call.ReasonOtherIncarnation, entry.run(filing).reason())
		require.Equal(t, call.StateUnknown, entry.probe(filing).State)
		require.Empty(t, s.service.Calls())
	})
}

func TestUnreachedServiceIsNotRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) {
			plainService(s)
			s.service.Address = "service:80"
			s.service.Listen = s.network.Listen
		})
		defer s.end()
		entry := s.dial()
		s.network.Isolate("vm", "service")
		r := entry.run(s.filing("case 1"))
		require.Equal(t, call.ReasonEngineLost, r.reason())
		require.False(t, r.refused.MayHaveRun)
		require.Empty(t, s.service.Calls())
	})
}

func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) { s.engine.Places = 1 })
		defer s.end()
		entry := s.dial()
		long := s.attempt("alpha", "long", 500)
		running := entry.background(long)
		time.Sleep(time.Second)
		queued := entry.background(s.attempt("alpha", "queued", 10))
		s.engine.Leave(true)
		time.Sleep(1500 * time.Millisecond)
		for _, r := range []*result{<-queued, entry.run(s.attempt("alpha", "late", 10))} {
			require.Equal(t, call.ReasonDraining, r.reason())
			require.False(t, r.refused.MayHaveRun)
		}
		require.True(t, s.control.known().Draining)
		whole(t, long, <-running)
		s.engine.Leave(false)
		time.Sleep(1500 * time.Millisecond)
		again := s.attempt("alpha", "again", 10)
		whole(t, again, entry.run(again))
	})
}

func TestStopCutsOffNoRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) {
			s.engine.Places = 2
			s.ownStop = true
		})
		defer s.end()
		entry := s.dial()
		var running, queued []<-chan *result
		var runs []*call.Attempt
		for n := range 6 {
			a := s.attempt("alpha", fmt.Sprint(n), 500)
			if n < 2 {
				runs = append(runs, a)
				running = append(running, entry.background(a))
				time.Sleep(time.Second)
				continue
			}
			queued = append(queued, entry.background(a))
		}
		time.Sleep(100 * time.Millisecond)
		s.stopAgent()
		for _, waiting := range queued {
			r := <-waiting
			require.Equal(t, call.ReasonDraining, r.reason())
			require.False(t, r.refused.MayHaveRun)
		}
		for n := range runs {
			whole(t, runs[n], <-running[n])
		}
		require.NoError(t, <-s.stopped)
	})
}

func TestSilentEndpointIsLost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, nil)
		defer s.end()
		entry := s.dial()
		first := s.attempt("alpha", "first", 10)
		whole(t, first, entry.run(first))
		s.network.LoseHost("vm8")
		s.muted.Store(true)
		time.Sleep(5 * time.Second)
		require.NotEqual(t, call.ReasonNone, entry.run(s.attempt("alpha", "late", 10)).reason())
		require.False(t, s.control.known().Ready)
	})
}

func TestOverloadRefusesTheLeastUrgent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) {
			s.engine.Places = 1
			s.bound = 4
		})
		defer s.end()
		entry := s.dial()
		running := entry.background(s.attempt("alpha", "long", 300))
		time.Sleep(time.Second)
		results := map[call.Class][]<-chan *result{}
		for _, class := range []call.Class{call.ClassLong, call.ClassLong, call.ClassInteractive, call.ClassInteractive, call.ClassInteractive, call.ClassInteractive} {
			a := s.attempt("alpha", "prompt", 10)
			a.Class = class
			results[class] = append(results[class], entry.background(a))
			time.Sleep(10 * time.Millisecond)
		}
		for _, waiting := range results[call.ClassLong] {
			r := <-waiting
			require.Equal(t, call.ReasonFull, r.reason())
			require.False(t, r.refused.MayHaveRun)
		}
		for _, waiting := range results[call.ClassInteractive] {
			require.NotNil(t, (<-waiting).end)
		}
		require.NotNil(t, (<-running).end)
	})
}
