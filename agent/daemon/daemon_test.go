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
		s := start(t, nil)
		defer s.end()
		entry := s.dial()
		a, b := s.attempt("alpha", "first", 20), s.attempt("alpha", "second", 30)
		b.Version = "v2"
		first, second := entry.background(a), entry.background(b)
		whole(t, a, <-first)
		whole(t, b, <-second)

		resumed := s.attempt("alpha", "first", 20)
		resumed.DeliveredTokens = 5
		resumed.DeliveredText = model.Answer("alpha", "v1", "first", 0, 5)
		whole(t, resumed, entry.run(resumed))
	})
}

func TestOtherVersionIsWithheldAndUnloaded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		wrong := &atomic.Bool{}
		wrong.Store(true)
		s := start(t, func(s *site) {
			s.engine.RunVersion = func(_, version string) string {
				if wrong.Load() {
					return "v0"
				}
				return version
			}
		})
		defer s.end()
		entry := s.dial()
		r := entry.run(s.attempt("alpha", "first", 20))
		require.Equal(t, call.ReasonWrongVersion, r.reason())
		require.True(t, r.refused.MayHaveRun)
		require.Empty(t, r.text)
		wrong.Store(false)
		time.Sleep(2 * time.Second)
		again := s.attempt("alpha", "first", 20)
		whole(t, again, entry.run(again))
		require.Len(t, s.store.Loads(), 2, "loaded anew")
	})
}

func TestAttemptQueuedPastItsDeadlineIsNotRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) { s.engine.Places = 1 })
		defer s.end()
		entry := s.dial()
		long := s.attempt("alpha", "long", 500)
		running := entry.background(long)
		time.Sleep(time.Second)
		late := s.attempt("alpha", "late", 10)
		late.Remaining = time.Second
		sent := time.Now()
		r := entry.run(late)
		require.Equal(t, call.ReasonDeadline, r.reason())
		require.False(t, r.refused.MayHaveRun)
		require.InDelta(t, 1, r.at.Sub(sent).Seconds(), 0.3)
		whole(t, long, <-running)
	})
}

func TestNoTokenBeyondTheReservation(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, nil)
		defer s.end()
		entry := s.dial()
		a := s.attempt("alpha", "first", 20)
		a.ReservedTokens = 8
		stream := entry.open(a)
		results := make(chan *result, 1)
		go func() { results <- read(stream) }()
		time.Sleep(10 * time.Second)
		require.Empty(t, results, "waits for an extension")
		require.NoError(t, stream.Send(&call.Frame{ID: a.ID, Type: call.FrameExtend, Tokens: 20}))
		r := <-results
		whole(t, a, r)
		require.Greater(t, r.at.Sub(r.first), 9*time.Second)
	})
}

func TestLargeAnswersAreSplit(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, plainService)
		defer s.end()
		lookup := s.filing("")
		lookup.Method, lookup.Path, lookup.Idempotent = "GET", "/register?size=100000", true
		r := s.dial().run(lookup)
		require.NotNil(t, r.end)
		require.Equal(t, strings.Repeat("x", 100_000), r.text)
		require.LessOrEqual(t, r.largest, 4<<10)
	})
}

func TestAdapterInUseIsNeverEvicted(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, nil)
		defer s.end()
		entry := s.dial()
		long := s.attempt("alpha", "long", 3000)
		running := entry.background(long)
		time.Sleep(time.Second)
		var others []<-chan *result
		for _, adapter := range []string{"beta", "gamma", "delta", "beta", "gamma", "delta"} {
			others = append(others, entry.background(s.attempt(adapter, adapter, 20)))
		}
		for _, other := range others {
			require.Equal(t, call.ReasonNone, (<-other).reason())
		}
		whole(t, long, <-running)
		require.Empty(t, s.engine.Faults())
	})
}

// deaf is a connection whose end the other side does not see while lost is
// set.
type deaf struct {
	net.Conn
	lost *atomic.Bool
}

func (d *deaf) Close() error {
	if d.lost.Load() {
		return nil
	}
	return d.Conn.Close()
}

func TestLostCancelKeepsThePin(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		lost := &atomic.Bool{}
		s := start(t, func(s *site) {
			s.engine.Slots = 1
			dial := s.agent.DialEndpoint
			s.agent.DialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dial(ctx, address)
				return &deaf{Conn: conn, lost: lost}, err
			}
		})
		defer s.end()
		entry := s.dial()
		stream := entry.open(s.attempt("alpha", "long", 2000))
		time.Sleep(2 * time.Second)
		lost.Store(true)
		_ = stream.Close()
		time.Sleep(time.Second)
		lost.Store(false)
		next := entry.background(s.attempt("beta", "next", 10))
		time.Sleep(10 * time.Second)
		require.Empty(t, next, "the engine still runs on the only slot")
		require.Equal(t, call.ReasonNone, (<-next).reason())
	})
}

func TestWithdrawnRunEndsAtTheEngine(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) { s.engine.Places = 1 })
		defer s.end()
		entry := s.dial()
		stream := entry.open(s.attempt("alpha", "long", 100_000))
		time.Sleep(2 * time.Second)
		_ = stream.Close()
		sent := time.Now()
		whole := entry.run(s.attempt("alpha", "next", 10))
		require.Equal(t, call.ReasonNone, whole.reason())
		require.Less(t, whole.at.Sub(sent), time.Second)
	})
}

func TestVersionSwitchInTraffic(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, nil)
		defer s.end()
		entry := s.dial()
		former := s.attempt("alpha", "before", 500)
		running := entry.background(former)
		time.Sleep(time.Second)
		for range 5 {
			later := s.attempt("alpha", "after", 20)
			later.Version = "v2"
			whole(t, later, entry.run(later))
		}
		whole(t, former, <-running)
	})
}

func TestPersonTakesTheLongRunsPlace(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) { s.engine.Places = 2 })
		defer s.end()
		entry := s.dial()
		var long []*call.Attempt
		var running []<-chan *result
		for _, prompt := range []string{"one", "two"} {
			a := s.attempt("alpha", prompt, 2000)
			a.Class = call.ClassLong
			long = append(long, a)
			running = append(running, entry.background(a))
		}
		time.Sleep(3 * time.Second)
		person := s.attempt("alpha", "person", 10)
		sent := time.Now()
		r := entry.run(person)
		whole(t, person, r)
		require.Less(t, r.at.Sub(sent), time.Second)
		for n := range long {
			whole(t, long[n], <-running[n])
		}
		require.Equal(t, int64(1), s.agent.Host.Meter.Value("preempted"))
	})
}

func TestSuspectsRunApart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, nil)
		defer s.end()
		entry := s.dial()
		var results []<-chan *result
		for _, prompt := range []string{"one", "two"} {
			a := s.attempt("alpha", prompt, 200)
			a.Suspect = true
			results = append(results, entry.background(a))
		}
		first, second := <-results[0], <-results[1]
		require.False(t, first.first.Before(second.at) && second.first.Before(first.at), "at the engine together")
		require.NotNil(t, first.end)
		require.NotNil(t, second.end)
	})
}

func TestInterruptedRunIsNotCalledNotRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) { s.engine.Places = 1 })
		defer s.end()
		entry := s.dial()
		long := s.attempt("alpha", "long", 2000)
		long.Class = call.ClassLong
		interrupted := entry.background(long)
		time.Sleep(3 * time.Second)
		person := s.attempt("alpha", "person", 400)
		running := entry.background(person)
		time.Sleep(time.Second)
		s.engine.Leave(true)
		r := <-interrupted
		require.Equal(t, call.ReasonDraining, r.reason())
		require.True(t, r.refused.MayHaveRun)
		whole(t, person, <-running)
	})
}
