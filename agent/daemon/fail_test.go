package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

func TestCrashReportsAllThatRan(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) { s.engine.Poison = "poison" })
		defer s.end()
		entry := s.dial()
		whole(t, s.attempt("alpha", "before", 10), entry.run(s.attempt("alpha", "before", 10)))
		bystander := s.attempt("alpha", "bystander", 1000)
		running := entry.background(bystander)
		time.Sleep(time.Second)
		poison := s.attempt("alpha", "poison", 10)
		for _, r := range []*result{entry.run(poison), <-running} {
			require.Equal(t, call.ReasonEngineLost, r.reason())
			require.True(t, r.refused.MayHaveRun)
		}
		time.Sleep(2 * time.Second)
		s.control.mutex.Lock()
		require.NotEmpty(t, s.control.crashes)
		for _, crash := range s.control.crashes {
			require.Equal(t, uint64(1), crash.Count)
			require.ElementsMatch(t, [][]byte{bystander.Digest, poison.Digest}, crash.Digests)
		}
		s.control.mutex.Unlock()
		after := s.attempt("alpha", "after", 10)
		whole(t, after, entry.run(after))
	})
}

func TestServiceCrashIsReported(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) {
			plainService(s)
			s.service.Poison = "poison"
		})
		defer s.end()
		entry := s.dial()
		r := entry.run(s.filing("poison"))
		require.Equal(t, call.ReasonEngineLost, r.reason())
		require.True(t, r.refused.MayHaveRun)
		time.Sleep(3 * time.Second)
		s.control.mutex.Lock()
		defer s.control.mutex.Unlock()
		require.NotEmpty(t, s.control.crashes)
	})
}

func TestCrashIsReportedUntilAcknowledged(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) { s.engine.Poison = "poison" })
		defer s.end()
		entry := s.dial()
		before := s.attempt("alpha", "before", 10)
		whole(t, before, entry.run(before))
		s.control.setSilent(true)
		require.Equal(t, call.ReasonEngineLost, entry.run(s.attempt("alpha", "poison", 10)).reason())
		time.Sleep(5 * time.Second)
		s.control.setSilent(false)
		time.Sleep(5 * time.Second)
		s.control.mutex.Lock()
		defer s.control.mutex.Unlock()
		require.NotEmpty(t, s.control.crashes)
		require.Less(t, len(s.control.crashes), 5, "sent again after the acknowledgement")
	})
}

func TestColdEngineIsRefilledByDemand(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) { s.engine.Slots = 3 })
		defer s.end()
		entry := s.dial()
		for n := range 12 {
			adapter := []string{"hot", "hot", "warm", "hot", "warm", "rare"}[n%6]
			a := s.attempt(adapter, fmt.Sprint(n), 5)
			whole(t, a, entry.run(a))
		}
		s.engine.Crash()
		time.Sleep(8 * time.Second)
		require.ElementsMatch(t, []roster.ResidentAdapter{
			{Adapter: "hot", Version: "v1"}, {Adapter: "warm", Version: "v1"}, {Adapter: "rare", Version: "v1"},
		}, s.control.known().ResidentAdapters)
		loads := s.store.Loads()
		require.Equal(t, "hot", loads[3].Adapter, "first after the restart")
		require.Equal(t, "warm", loads[4].Adapter)
	})
}

func TestFailedLoadSendsTheRequestElsewhere(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		broken := true
		s := start(t, func(s *site) {
			s.engine.FailLoad = func(adapter, _ string) bool { return adapter == "bad" && broken }
		})
		defer s.end()
		entry := s.dial()
		r := entry.run(s.attempt("bad", "first", 10))
		require.Equal(t, call.ReasonLoadFailed, r.reason())
		require.False(t, r.refused.MayHaveRun)
		require.Len(t, s.store.Loads(), 2, "tried again once")
		good := s.attempt("good", "second", 10)
		whole(t, good, entry.run(good))
		broken = false
		time.Sleep(11 * time.Second)
		later := s.attempt("bad", "third", 10)
		whole(t, later, entry.run(later))
	})
}

func TestNoNewWorkWithoutALease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, nil)
		defer s.end()
		entry := s.dial()
		long := s.attempt("alpha", "long", 2000)
		running := entry.background(long)
		time.Sleep(time.Second)
		s.network.Isolate("vm", "control")
		time.Sleep(4 * time.Second)
		r := entry.run(s.attempt("alpha", "late", 10))
		require.Equal(t, call.ReasonLeaseExpired, r.reason())
		require.False(t, r.refused.MayHaveRun)
		whole(t, long, <-running)
		s.network.Rejoin("vm", "control")
		time.Sleep(5 * time.Second)
		again := s.attempt("alpha", "again", 10)
		whole(t, again, entry.run(again))
	})
}

func TestSilentReplicaIsLeft(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) {
			s.agent.ControlAddresses = []string{"control:1", "other:1"}
		})
		defer s.end()
		other := &control{fence: 1, coordinator: s.control.coordinator}
		s.serve("other:1", other)
		s.control.setSilent(true)
		time.Sleep(3 * time.Second)
		require.True(t, other.known().Ready)
		a := s.attempt("alpha", "prompt", 10)
		whole(t, a, s.dial().run(a))
	})
}

func TestNoOrderBeforeTheFencingNumber(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) {
			s.engine.Fenced = false
			s.early = true
			s.control.fence = 0
		})
		defer s.end()
		entry := s.dial()
		a := s.attempt("alpha", "prompt", 10)
		require.Equal(t, call.ReasonLeaseExpired, entry.run(a).reason())
		require.Empty(t, s.engine.Received())
		s.control.mutex.Lock()
		s.control.fence = 5
		s.control.mutex.Unlock()
		time.Sleep(2 * time.Second)
		a = s.attempt("alpha", "prompt", 10)
		whole(t, a, entry.run(a))
		require.Contains(t, s.engine.Received()[0].Body, `"fence":5`)
	})
}

func TestNextIncarnationSparesWhatTheFormerRuns(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) {
			s.engine.Fenced = false
			s.engine.Slots = 1
		})
		defer s.end()
		entry := s.dial()
		long := s.attempt("alpha", "long", 3000)
		running := entry.background(long)
		time.Sleep(2 * time.Second)
		// The former agent hangs cut off from control; another takes over.
		s.network.Isolate("vm", "control")
		next := s.newAgent("agent", "vm2:9000", "vm2:9001")
		go func() { _ = next.Run(s.ctx) }()
		go s.engine.Announce(s.ctx, "http://vm2:9001")
		time.Sleep(6 * time.Second)
		s.agent = next
		other := s.dial()
		beta := s.attempt("beta", "prompt", 10)
		waiting := other.background(beta)
		time.Sleep(5 * time.Second)
		require.Empty(t, waiting, "the only slot is in use")
		whole(t, long, <-running)
		whole(t, beta, <-waiting)
	})
}

func TestStaticShareWithoutTheCoordinator(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) { s.hideCoordinator = true })
		defer s.end()
		entry := s.dial()
		before := time.Now()
		for n := range 4 {
			a := s.attempt(fmt.Sprint("adapter", n), "prompt", 10)
			whole(t, a, entry.run(a))
		}
		took := time.Since(before)
		require.Greater(t, took, 2*time.Second, "one load a second: its share of four")
		require.Less(t, took, 10*time.Second)
	})
}

func TestQuarantinedContentIsRefused(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, nil)
		defer s.end()
		entry := s.dial()
		a := s.attempt("alpha", "banned", 10)
		s.control.mutex.Lock()
		s.control.bans = []plane.Ban{{Digest: a.Digest}}
		s.control.mutex.Unlock()
		time.Sleep(2 * time.Second)
		r := entry.run(a)
		require.Equal(t, call.ReasonSuspect, r.reason())
		require.False(t, r.refused.MayHaveRun)
	})
}

func TestUnresponsiveEndpointConnectionIsAbandoned(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) { s.engine.Places = 1 })
		defer s.end()
		entry := s.dial()
		running := entry.background(s.attempt("alpha", "long", 3000))
		time.Sleep(2 * time.Second)
		s.network.Silence("vm", "vm")
		silenced := time.Now()
		r := <-running
		require.Equal(t, call.ReasonEngineLost, r.reason())
		require.True(t, r.refused.MayHaveRun)
		require.Less(t, r.at.Sub(silenced), 12*time.Second)
		next := s.attempt("alpha", "next", 10)
		whole(t, next, entry.run(next))
	})
}

func TestFilingOnUnresponsiveConnectionStaysUnknown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) {
			plainService(s)
			s.service.Delay, s.service.Places = 2*time.Second, 1
		})
		defer s.end()
		entry := s.dial()
		filing := s.filing("case 1")
		running := entry.background(filing)
		time.Sleep(time.Second)
		s.network.Silence("vm", "vm")
		r := <-running
		require.Equal(t, call.ReasonEngineLost, r.reason())
		require.True(t, r.refused.MayHaveRun)
		require.Nil(t, entry.probe(filing).Outcome)
		require.Equal(t, map[string]int{"case 1": 1}, s.service.Filings())
		require.NotNil(t, entry.run(s.filing("case 2")).end)
	})
}
