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
		f := start(t, plainService)
		defer f.shutDown()
		entry := f.dial()
		filing := f.newFiling("case 1")
		r := entry.run(filing)
		require.Equal(t, int32(201), r.head.Status)
		again := entry.run(filing)
		require.Equal(t, call.ReasonDuplicate, again.reason())
		require.True(t, again.refusal.MayHaveRun)
		reply := entry.probe(filing)
		require.Equal(t, call.StateDone, reply.State)
		require.Equal(t, r.answer, string(reply.Outcome.Body))
		require.Equal(t, map[string]int{"case 1": 1}, f.service.Filings())
	})
}

func TestFilingIsFinishedWithoutItsEntry(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) {
			plainService(f)
			f.service.Delay, f.service.MaxRequests = 2*time.Second, 1
		})
		defer f.shutDown()
		entry := f.dial()
		running, queued := f.newFiling("case 1"), f.newFiling("case 2")
		stream := entry.open(running)
		time.Sleep(500 * time.Millisecond)
		_ = entry.open(queued)
		time.Sleep(500 * time.Millisecond)
		require.NoError(t, stream.Send(&call.Frame{ID: running.ID, Type: call.FrameCancel}))
		time.Sleep(100 * time.Millisecond)
		_ = entry.session.Close()
		other := f.dial()
		require.Equal(t, call.StateRunning, other.probe(running).State)
		time.Sleep(4 * time.Second)
		for _, filing := range []*call.Attempt{running, queued} {
			reply := other.probe(filing)
			require.Equal(t, call.StateDone, reply.State)
			require.Equal(t, int32(201), reply.Outcome.Status)
		}
		require.Equal(t, map[string]int{"case 1": 1, "case 2": 1}, f.service.Filings())
	})
}

func TestProbedFilingNeverRunsLater(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, plainService)
		defer f.shutDown()
		entry := f.dial()
		filing := f.newFiling("case 1")
		require.Equal(t, call.StateNotRun, entry.probe(filing).State)
		r := entry.run(filing)
		require.Equal(t, call.ReasonTombstone, r.reason())
		require.False(t, r.refusal.MayHaveRun)
		require.Empty(t, f.service.Calls())
	})
}

func TestAttemptForAnotherIncarnationIsRefused(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, plainService)
		defer f.shutDown()
		entry := f.dial()
		filing := f.newFiling("case 1")
		filing.AgentIncarnation--
		require.Equal(t, call.ReasonOtherIncarnation, entry.run(filing).reason())
		require.Equal(t, call.StateUnknown, entry.probe(filing).State)
		require.Empty(t, f.service.Calls())
	})
}

func TestUnreachedServiceIsNotRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) {
			plainService(f)
			f.service.Address = "service:80"
			f.service.Listen = f.network.Listen
		})
		defer f.shutDown()
		entry := f.dial()
		f.network.Isolate("vm", "service")
		r := entry.run(f.newFiling("case 1"))
		require.Equal(t, call.ReasonEngineLost, r.reason())
		require.False(t, r.refusal.MayHaveRun)
		require.Empty(t, f.service.Calls())
	})
}

func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) { f.engine.MaxRequests = 1 })
		defer f.shutDown()
		entry := f.dial()
		long := f.newAttempt("alpha", "long", 500)
		running := entry.background(long)
		time.Sleep(time.Second)
		queued := entry.background(f.newAttempt("alpha", "queued", 10))
		f.engine.SetDraining(true)
		time.Sleep(1500 * time.Millisecond)
		for _, r := range []*result{<-queued, entry.run(f.newAttempt("alpha", "late", 10))} {
			require.Equal(t, call.ReasonDraining, r.reason())
			require.False(t, r.refusal.MayHaveRun)
		}
		require.True(t, f.control.lastRecord().Draining)
		requireComplete(t, long, <-running)
		f.engine.SetDraining(false)
		time.Sleep(1500 * time.Millisecond)
		again := f.newAttempt("alpha", "again", 10)
		requireComplete(t, again, entry.run(again))
	})
}

func TestStopCutsOffNoRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) {
			f.engine.MaxRequests = 2
			f.separateStop = true
		})
		defer f.shutDown()
		entry := f.dial()
		var running, queued []<-chan *result
		var runs []*call.Attempt
		for n := range 6 {
			a := f.newAttempt("alpha", fmt.Sprint(n), 500)
			if n < 2 {
				runs = append(runs, a)
				running = append(running, entry.background(a))
				time.Sleep(time.Second)
				continue
			}
			queued = append(queued, entry.background(a))
		}
		time.Sleep(100 * time.Millisecond)
		f.stopAgent()
		for _, waiting := range queued {
			r := <-waiting
			require.Equal(t, call.ReasonDraining, r.reason())
			require.False(t, r.refusal.MayHaveRun)
		}
		for n := range runs {
			requireComplete(t, runs[n], <-running[n])
		}
		require.NoError(t, <-f.stopped)
	})
}

func TestSilentEndpointIsLost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, nil)
		defer f.shutDown()
		entry := f.dial()
		first := f.newAttempt("alpha", "first", 10)
		requireComplete(t, first, entry.run(first))
		f.network.LoseHost("vm8")
		f.muteAnnouncements.Store(true)
		time.Sleep(5 * time.Second)
		require.NotEqual(t, call.ReasonNone, entry.run(f.newAttempt("alpha", "late", 10)).reason())
		require.False(t, f.control.lastRecord().Ready)
	})
}

func TestOverloadRefusesTheLeastUrgent(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) {
			f.engine.MaxRequests = 1
			f.maxQueued = 4
		})
		defer f.shutDown()
		entry := f.dial()
		running := entry.background(f.newAttempt("alpha", "long", 300))
		time.Sleep(time.Second)
		results := map[call.Class][]<-chan *result{}
		for _, class := range []call.Class{call.ClassLong, call.ClassLong, call.ClassInteractive, call.ClassInteractive, call.ClassInteractive, call.ClassInteractive} {
			a := f.newAttempt("alpha", "prompt", 10)
			a.Class = class
			results[class] = append(results[class], entry.background(a))
			time.Sleep(10 * time.Millisecond)
		}
		for _, waiting := range results[call.ClassLong] {
			r := <-waiting
			require.Equal(t, call.ReasonFull, r.reason())
			require.False(t, r.refusal.MayHaveRun)
		}
		for _, waiting := range results[call.ClassInteractive] {
			require.NotNil(t, (<-waiting).end)
		}
		require.NotNil(t, (<-running).end)
	})
}
