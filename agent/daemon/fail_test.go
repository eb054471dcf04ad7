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
		f := start(t, func(f *fixture) { f.engine.Poison = "poison" })
		defer f.shutDown()
		entry := f.dial()
		requireComplete(t, f.newAttempt("alpha", "before", 10), entry.run(f.newAttempt("alpha", "before", 10)))
		bystander := f.newAttempt("alpha", "bystander", 1000)
		running := entry.background(bystander)
		time.Sleep(time.Second)
		poison := f.newAttempt("alpha", "poison", 10)
		for _, r := range []*result{entry.run(poison), <-running} {
			require.Equal(t, call.ReasonEngineLost, r.reason())
			require.True(t, r.refusal.MayHaveRun)
		}
		time.Sleep(2 * time.Second)
		f.control.mutex.Lock()
		require.NotEmpty(t, f.control.crashes)
		for _, crash := range f.control.crashes {
			require.Equal(t, uint64(1), crash.Count)
			require.ElementsMatch(t, [][]byte{bystander.Digest, poison.Digest}, crash.Digests)
		}
		f.control.mutex.Unlock()
		after := f.newAttempt("alpha", "after", 10)
		requireComplete(t, after, entry.run(after))
	})
}

func TestServiceCrashIsReported(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) {
			plainService(f)
			f.service.Poison = "poison"
		})
		defer f.shutDown()
		entry := f.dial()
		r := entry.run(f.newFiling("poison"))
		require.Equal(t, call.ReasonEngineLost, r.reason())
		require.True(t, r.refusal.MayHaveRun)
		time.Sleep(3 * time.Second)
		f.control.mutex.Lock()
		defer f.control.mutex.Unlock()
		require.NotEmpty(t, f.control.crashes)
	})
}

func TestCrashIsReportedUntilAcknowledged(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) { f.engine.Poison = "poison" })
		defer f.shutDown()
		entry := f.dial()
		before := f.newAttempt("alpha", "before", 10)
		requireComplete(t, before, entry.run(before))
		f.control.setUnresponsive(true)
		require.Equal(t, call.ReasonEngineLost, entry.run(f.newAttempt("alpha", "poison", 10)).reason())
		time.Sleep(5 * time.Second)
		f.control.setUnresponsive(false)
		time.Sleep(5 * time.Second)
		f.control.mutex.Lock()
		defer f.control.mutex.Unlock()
		require.NotEmpty(t, f.control.crashes)
		require.Less(t, len(f.control.crashes), 5, "reports must stop after the acknowledgement")
	})
}

func TestColdEngineIsRefilledByDemand(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) { f.engine.AdapterSlots = 3 })
		defer f.shutDown()
		entry := f.dial()
		for n := range 12 {
			adapter := []string{"hot", "hot", "warm", "hot", "warm", "rare"}[n%6]
			a := f.newAttempt(adapter, fmt.Sprint(n), 5)
			requireComplete(t, a, entry.run(a))
		}
		f.engine.Crash()
		time.Sleep(8 * time.Second)
		require.ElementsMatch(t, []roster.ResidentAdapter{
			{Adapter: "hot", Version: "v1"}, {Adapter: "warm", Version: "v1"}, {Adapter: "rare", Version: "v1"},
		}, f.control.lastRecord().ResidentAdapters)
		loads := f.store.Loads()
		require.Equal(t, "hot", loads[3].Adapter, "the most popular adapter is loaded first after the restart")
		require.Equal(t, "warm", loads[4].Adapter)
	})
}

func TestFailedLoadSendsTheRequestElsewhere(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		broken := true
		f := start(t, func(f *fixture) {
			f.engine.FailLoad = func(adapter, _ string) bool { return adapter == "bad" && broken }
		})
		defer f.shutDown()
		entry := f.dial()
		r := entry.run(f.newAttempt("bad", "first", 10))
		require.Equal(t, call.ReasonLoadFailed, r.reason())
		require.False(t, r.refusal.MayHaveRun)
		require.Len(t, f.store.Loads(), 2, "one retry of the load")
		good := f.newAttempt("good", "second", 10)
		requireComplete(t, good, entry.run(good))
		broken = false
		time.Sleep(11 * time.Second)
		later := f.newAttempt("bad", "third", 10)
		requireComplete(t, later, entry.run(later))
	})
}

func TestNoNewWorkWithoutALease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, nil)
		defer f.shutDown()
		entry := f.dial()
		long := f.newAttempt("alpha", "long", 2000)
		running := entry.background(long)
		time.Sleep(time.Second)
		f.network.Isolate("vm", "control")
		time.Sleep(4 * time.Second)
		r := entry.run(f.newAttempt("alpha", "late", 10))
		require.Equal(t, call.ReasonLeaseExpired, r.reason())
		require.False(t, r.refusal.MayHaveRun)
		requireComplete(t, long, <-running)
		f.network.Rejoin("vm", "control")
		time.Sleep(5 * time.Second)
		again := f.newAttempt("alpha", "again", 10)
		requireComplete(t, again, entry.run(again))
	})
}

func TestSilentReplicaIsLeft(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) {
			f.agent.ControlAddresses = []string{"control:1", "other:1"}
		})
		defer f.shutDown()
		other := &control{fence: 1, coordinator: f.control.coordinator}
		f.serve("other:1", other)
		f.control.setUnresponsive(true)
		time.Sleep(3 * time.Second)
		require.True(t, other.lastRecord().Ready)
		a := f.newAttempt("alpha", "prompt", 10)
		requireComplete(t, a, f.dial().run(a))
	})
}

func TestNoOrderBeforeTheFencingNumber(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) {
			f.engine.EnforcesFencing = false
			f.skipReadyCheck = true
			f.control.fence = 0
		})
		defer f.shutDown()
		entry := f.dial()
		a := f.newAttempt("alpha", "prompt", 10)
		require.Equal(t, call.ReasonLeaseExpired, entry.run(a).reason())
		require.Empty(t, f.engine.Received())
		f.control.mutex.Lock()
		f.control.fence = 5
		f.control.mutex.Unlock()
		time.Sleep(2 * time.Second)
		a = f.newAttempt("alpha", "prompt", 10)
		requireComplete(t, a, entry.run(a))
		require.Contains(t, f.engine.Received()[0].Body, `"fence":5`)
	})
}

func TestNextIncarnationSparesWhatTheFormerRuns(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) {
			f.engine.EnforcesFencing = false
			f.engine.AdapterSlots = 1
		})
		defer f.shutDown()
		entry := f.dial()
		long := f.newAttempt("alpha", "long", 3000)
		running := entry.background(long)
		time.Sleep(2 * time.Second)
		// The first agent is partitioned from control; another one takes over.
		f.network.Isolate("vm", "control")
		next := f.newAgent("agent", "vm2:9000", "vm2:9001")
		go func() { _ = next.Run(f.ctx) }()
		go f.engine.Announce(f.ctx, "http://vm2:9001")
		time.Sleep(6 * time.Second)
		f.agent = next
		other := f.dial()
		beta := f.newAttempt("beta", "prompt", 10)
		waiting := other.background(beta)
		time.Sleep(5 * time.Second)
		require.Empty(t, waiting, "the only slot is in use")
		requireComplete(t, long, <-running)
		requireComplete(t, beta, <-waiting)
	})
}

func TestStaticShareWithoutTheCoordinator(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) { f.hideCoordinator = true })
		defer f.shutDown()
		entry := f.dial()
		before := time.Now()
		for n := range 4 {
			a := f.newAttempt(fmt.Sprint("adapter", n), "prompt", 10)
			requireComplete(t, a, entry.run(a))
		}
		took := time.Since(before)
		require.Greater(t, took, 2*time.Second, "the static share is one load per second: 4 loads for 4 agents")
		require.Less(t, took, 10*time.Second)
	})
}

func TestQuarantinedContentIsRefused(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, nil)
		defer f.shutDown()
		entry := f.dial()
		a := f.newAttempt("alpha", "banned", 10)
		f.control.mutex.Lock()
		f.control.bans = []plane.Ban{{Digest: a.Digest}}
		f.control.mutex.Unlock()
		time.Sleep(2 * time.Second)
		r := entry.run(a)
		require.Equal(t, call.ReasonSuspect, r.reason())
		require.False(t, r.refusal.MayHaveRun)
	})
}

func TestUnresponsiveEndpointConnectionIsAbandoned(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) { f.engine.MaxRequests = 1 })
		defer f.shutDown()
		entry := f.dial()
		running := entry.background(f.newAttempt("alpha", "long", 3000))
		time.Sleep(2 * time.Second)
		f.network.Silence("vm", "vm")
		silenced := time.Now()
		r := <-running
		require.Equal(t, call.ReasonEngineLost, r.reason())
		require.True(t, r.refusal.MayHaveRun)
		require.Less(t, r.endedAt.Sub(silenced), 12*time.Second)
		next := f.newAttempt("alpha", "next", 10)
		requireComplete(t, next, entry.run(next))
	})
}

func TestFilingOnUnresponsiveConnectionStaysUnknown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) {
			plainService(f)
			f.service.Delay, f.service.MaxRequests = 2*time.Second, 1
		})
		defer f.shutDown()
		entry := f.dial()
		filing := f.newFiling("case 1")
		running := entry.background(filing)
		time.Sleep(time.Second)
		f.network.Silence("vm", "vm")
		r := <-running
		require.Equal(t, call.ReasonEngineLost, r.reason())
		require.True(t, r.refusal.MayHaveRun)
		require.Nil(t, entry.probe(filing).Outcome)
		require.Equal(t, map[string]int{"case 1": 1}, f.service.Filings())
		require.NotNil(t, entry.run(f.newFiling("case 2")).end)
	})
}
