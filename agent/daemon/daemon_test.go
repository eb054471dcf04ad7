package daemon_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
)

func TestAnswerIsWholeOwnAndOnItsVersion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, nil)
		defer f.shutDown()
		entry := f.dial()
		a, b := f.newAttempt("alpha", "first", 20), f.newAttempt("alpha", "second", 30)
		b.Version = "v2"
		first, second := entry.background(a), entry.background(b)
		requireComplete(t, a, <-first)
		requireComplete(t, b, <-second)

		resumed := f.newAttempt("alpha", "first", 20)
		resumed.DeliveredTokens = 5
		resumed.DeliveredText = model.Answer("alpha", "v1", "first", 0, 5)
		requireComplete(t, resumed, entry.run(resumed))
	})
}

func TestOtherVersionIsWithheldAndUnloaded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		wrong := &atomic.Bool{}
		wrong.Store(true)
		f := start(t, func(f *fixture) {
			f.engine.RunVersion = func(_, version string) string {
				if wrong.Load() {
					return "v0"
				}
				return version
			}
		})
		defer f.shutDown()
		entry := f.dial()
		r := entry.run(f.newAttempt("alpha", "first", 20))
		require.Equal(t, call.ReasonWrongVersion, r.reason())
		require.True(t, r.refusal.MayHaveRun)
		require.Empty(t, r.answer)
		wrong.Store(false)
		time.Sleep(2 * time.Second)
		again := f.newAttempt("alpha", "first", 20)
		requireComplete(t, again, entry.run(again))
		require.Len(t, f.store.Loads(), 2, "the adapter is loaded again")
	})
}

func TestAttemptQueuedPastItsDeadlineIsNotRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) { f.engine.MaxRequests = 1 })
		defer f.shutDown()
		entry := f.dial()
		long := f.newAttempt("alpha", "long", 500)
		running := entry.background(long)
		time.Sleep(time.Second)
		late := f.newAttempt("alpha", "late", 10)
		late.Remaining = time.Second
		sent := time.Now()
		r := entry.run(late)
		require.Equal(t, call.ReasonDeadline, r.reason())
		require.False(t, r.refusal.MayHaveRun)
		require.InDelta(t, 1, r.endedAt.Sub(sent).Seconds(), 0.3)
		requireComplete(t, long, <-running)
	})
}

func TestNoTokenBeyondTheReservation(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, nil)
		defer f.shutDown()
		entry := f.dial()
		a := f.newAttempt("alpha", "first", 20)
		a.ReservedTokens = 8
		stream := entry.open(a)
		results := make(chan *result, 1)
		go func() { results <- readResult(stream) }()
		time.Sleep(10 * time.Second)
		require.Empty(t, results, "the run waits for an extension")
		require.NoError(t, stream.Send(&call.Frame{ID: a.ID, Type: call.FrameExtend, Tokens: 20}))
		r := <-results
		requireComplete(t, a, r)
		require.Greater(t, r.endedAt.Sub(r.firstPartAt), 9*time.Second)
	})
}

func TestLargeAnswersAreSplit(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, plainService)
		defer f.shutDown()
		lookup := f.newFiling("")
		lookup.Method, lookup.Path, lookup.Idempotent = "GET", "/register?size=100000", true
		r := f.dial().run(lookup)
		require.NotNil(t, r.end)
		require.Equal(t, strings.Repeat("x", 100_000), r.answer)
		require.LessOrEqual(t, r.largestPart, 4<<10)
	})
}

func TestAdapterInUseIsNeverEvicted(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, nil)
		defer f.shutDown()
		entry := f.dial()
		long := f.newAttempt("alpha", "long", 3000)
		running := entry.background(long)
		time.Sleep(time.Second)
		var others []<-chan *result
		for _, adapter := range []string{"beta", "gamma", "delta", "beta", "gamma", "delta"} {
			others = append(others, entry.background(f.newAttempt(adapter, adapter, 20)))
		}
		for _, other := range others {
			require.Equal(t, call.ReasonNone, (<-other).reason())
		}
		requireComplete(t, long, <-running)
		require.Empty(t, f.engine.Violations())
	})
}

// lossyCloseConn is a connection whose close does not reach the other side while
// loseClose is set.
type lossyCloseConn struct {
	net.Conn
	loseClose *atomic.Bool
}

func (c *lossyCloseConn) Close() error {
	if c.loseClose.Load() {
		return nil
	}
	return c.Conn.Close()
}

func TestLostCancelKeepsThePin(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		lost := &atomic.Bool{}
		f := start(t, func(f *fixture) {
			f.engine.AdapterSlots = 1
			dial := f.agent.DialEndpoint
			f.agent.DialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dial(ctx, address)
				return &lossyCloseConn{Conn: conn, loseClose: lost}, err
			}
		})
		defer f.shutDown()
		entry := f.dial()
		stream := entry.open(f.newAttempt("alpha", "long", 2000))
		time.Sleep(2 * time.Second)
		lost.Store(true)
		_ = stream.Close()
		time.Sleep(time.Second)
		lost.Store(false)
		next := entry.background(f.newAttempt("beta", "next", 10))
		time.Sleep(10 * time.Second)
		require.Empty(t, next, "the engine still runs on the only slot")
		require.Equal(t, call.ReasonNone, (<-next).reason())
	})
}

func TestWithdrawnRunEndsAtTheEngine(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) { f.engine.MaxRequests = 1 })
		defer f.shutDown()
		entry := f.dial()
		stream := entry.open(f.newAttempt("alpha", "long", 100_000))
		time.Sleep(2 * time.Second)
		_ = stream.Close()
		sent := time.Now()
		next := entry.run(f.newAttempt("alpha", "next", 10))
		require.Equal(t, call.ReasonNone, next.reason())
		require.Less(t, next.endedAt.Sub(sent), time.Second)
	})
}

func TestVersionSwitchInTraffic(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, nil)
		defer f.shutDown()
		entry := f.dial()
		former := f.newAttempt("alpha", "before", 500)
		running := entry.background(former)
		time.Sleep(time.Second)
		for range 5 {
			later := f.newAttempt("alpha", "after", 20)
			later.Version = "v2"
			requireComplete(t, later, entry.run(later))
		}
		requireComplete(t, former, <-running)
	})
}

func TestPersonTakesTheLongRunsPlace(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) { f.engine.MaxRequests = 2 })
		defer f.shutDown()
		entry := f.dial()
		var long []*call.Attempt
		var running []<-chan *result
		for _, prompt := range []string{"one", "two"} {
			a := f.newAttempt("alpha", prompt, 2000)
			a.Class = call.ClassLong
			long = append(long, a)
			running = append(running, entry.background(a))
		}
		time.Sleep(3 * time.Second)
		interactive := f.newAttempt("alpha", "person", 10)
		sent := time.Now()
		r := entry.run(interactive)
		requireComplete(t, interactive, r)
		require.Less(t, r.endedAt.Sub(sent), time.Second)
		for n := range long {
			requireComplete(t, long[n], <-running[n])
		}
		require.Equal(t, int64(1), f.agent.Host.Meter.Value("preempted"))
	})
}

func TestSuspectsRunApart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, nil)
		defer f.shutDown()
		entry := f.dial()
		var results []<-chan *result
		for _, prompt := range []string{"one", "two"} {
			a := f.newAttempt("alpha", prompt, 200)
			a.Suspect = true
			results = append(results, entry.background(a))
		}
		first, second := <-results[0], <-results[1]
		require.False(t, first.firstPartAt.Before(second.endedAt) && second.firstPartAt.Before(first.endedAt), "suspects ran at the same time")
		require.NotNil(t, first.end)
		require.NotNil(t, second.end)
	})
}

func TestInterruptedRunIsNotCalledNotRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) { f.engine.MaxRequests = 1 })
		defer f.shutDown()
		entry := f.dial()
		long := f.newAttempt("alpha", "long", 2000)
		long.Class = call.ClassLong
		interrupted := entry.background(long)
		time.Sleep(3 * time.Second)
		interactive := f.newAttempt("alpha", "person", 400)
		running := entry.background(interactive)
		time.Sleep(time.Second)
		f.engine.SetDraining(true)
		r := <-interrupted
		require.Equal(t, call.ReasonDraining, r.reason())
		require.True(t, r.refusal.MayHaveRun)
		requireComplete(t, interactive, <-running)
	})
}
