package daemon_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// An endpoint that is silent for a second or two and then continues is neither dead nor gone:
// requests that run or wait there meanwhile are answered.
func TestRequestsOutliveTheSilenceOfAnEndpoint(t *testing.T) {
	requireOutlived(t, func(f *fixture) { f.network.Cut("vm", "vm") }, func(f *fixture) { f.network.Heal("vm", "vm") })
}

// The same while control answers the heartbeats of the agent a second or two late.
func TestRequestsOutliveTheSilenceOfControl(t *testing.T) {
	requireOutlived(t, func(f *fixture) { f.control.setUnresponsive(true) }, func(f *fixture) { f.control.setUnresponsive(false) })
}

// requireOutlived requires that requests are answered that run or wait at an agent between begin
// and end, which are a second or two apart.
func requireOutlived(t *testing.T, begin, end func(f *fixture)) {
	t.Helper()
	for _, silence := range []time.Duration{900 * time.Millisecond, 1300 * time.Millisecond, 1700 * time.Millisecond} {
		for _, phase := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprint(silence, " phase ", phase), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					f := start(t, nil)
					defer f.shutDown()
					entry := f.dial()
					time.Sleep(phase)
					var attempts []*call.Attempt
					var results []<-chan *result
					send := func(adapter string) {
						a := f.newAttempt(adapter, fmt.Sprint(len(results)), 100)
						attempts, results = append(attempts, a), append(results, entry.background(a))
					}
					for range 6 {
						send("alpha")
					}
					time.Sleep(500 * time.Millisecond)
					begin(f)
					time.Sleep(silence / 2)
					send("alpha")
					send("beta")
					time.Sleep(silence - silence/2)
					end(f)
					require.True(t, f.control.lastRecord().Ready)
					for i, ended := range results {
						requireComplete(t, attempts[i], <-ended)
					}
				})
			})
		}
	}
}

// An endpoint whose backlog was full for over a second answered no connection attempt before the
// one that the kernel sends after 3 s: the attempt was refused after 2 s, though nothing was sent.
func TestRequestsOutliveAFullBacklogOfAnEndpoint(t *testing.T) {
	for name, prepare := range map[string]func(*fixture){"engine": nil, "plain service": plainService} {
		for _, silence := range []time.Duration{1100 * time.Millisecond, 1300 * time.Millisecond, 1700 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", silence), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					f := start(t, prepare)
					defer f.shutDown()
					entry := f.dial()
					if prepare == nil {
						// The adapter is loaded.
						first := f.newAttempt("alpha", "first", 10)
						requireComplete(t, first, entry.run(first))
					}
					f.network.Cut("vm", "vm")
					began := time.Now()
					a := f.newAttempt("alpha", "second", 10)
					if prepare != nil {
						a = f.newFiling("second")
					}
					ended := entry.background(a)
					time.Sleep(silence)
					f.network.Heal("vm", "vm")
					got := <-ended
					require.Nil(t, got.refusal)
					require.NoError(t, got.err)
					require.NotNil(t, got.end)
					require.Less(t, time.Since(began), silence+time.Second)
				})
			})
		}
	}
}

// An endpoint without announcements counted as dead if its backlog was full for over a second
// while the agent checked it, and its runs were broken off.
func TestEndpointWithAFullBacklogIsNotDead(t *testing.T) {
	for name, prepare := range map[string]func(*fixture){
		"engine": nil,
		"plain service": func(f *fixture) {
			plainService(f)
			f.service.Delay = 10 * time.Second
		},
	} {
		for _, silence := range []time.Duration{1100 * time.Millisecond, 1300 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", silence), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					f := start(t, prepare)
					defer f.shutDown()
					entry := f.dial()
					a := f.newAttempt("alpha", "long", 1000)
					if prepare != nil {
						a = f.newFiling("long")
					}
					ended := entry.background(a)
					time.Sleep(time.Second)
					f.muteAnnouncements.Store(true)
					for range 5 {
						time.Sleep(700 * time.Millisecond)
						f.network.Cut("vm", "vm")
						time.Sleep(silence)
						f.network.Heal("vm", "vm")
					}
					got := <-ended
					require.Nil(t, got.refusal)
					require.NoError(t, got.err)
					require.NotNil(t, got.end)
				})
			})
		}
	}
}

// A request that was not sent because its engine accepted no connection counted as one that may
// have run, so that the entry did not repeat it if it must run at most once.
func TestRequestThatWasNotSentToItsEngineHasNotRun(t *testing.T) {
	for name, silence := range map[string]time.Duration{"engine that continues": 2500 * time.Millisecond, "dead engine": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := start(t, nil)
				defer f.shutDown()
				entry := f.dial()
				first := f.newAttempt("alpha", "first", 10)
				requireComplete(t, first, entry.run(first))
				f.network.Cut("vm", "vm")
				time.AfterFunc(silence, func() { f.network.Heal("vm", "vm") })
				a := f.newAttempt("alpha", "second", 10)
				a.Idempotent = false
				got := entry.run(a)
				require.Equal(t, call.ReasonEngineLost, got.reason())
				require.False(t, got.refusal.MayHaveRun)
				require.Equal(t, call.StateNotRun, entry.probe(a).State)
			})
		})
	}
}

// An attempt that was preempted counted as one that has not run if its engine could not be reached
// for the rest of it.
func TestPreemptedRequestThatIsNotSentAgainMayHaveRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var unreachable atomic.Bool
		f := start(t, func(f *fixture) {
			f.engine.MaxRequests = 1
			dial := f.agent.DialEndpoint
			f.agent.DialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
				if unreachable.Load() {
					return nil, net.ErrClosed
				}
				return dial(ctx, address)
			}
		})
		defer f.shutDown()
		entry := f.dial()
		long := f.newAttempt("alpha", "long", 2000)
		long.Class = call.ClassLong
		ended := entry.background(long)
		time.Sleep(3 * time.Second)
		interactive := entry.background(f.newAttempt("alpha", "person", 100))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, int64(1), f.agent.Host.Meter.Value("preempted"))
		unreachable.Store(true)
		<-interactive
		got := <-ended
		require.Equal(t, call.ReasonEngineLost, got.reason())
		require.True(t, got.refusal.MayHaveRun)
	})
}

// A request that was not sent to an endpoint was reported as a possible cause of its crash, and
// was refused everywhere after a few of them.
func TestRequestThatWasNotSentIsNoCauseOfACrash(t *testing.T) {
	for name, prepare := range map[string]func(*fixture){"engine": nil, "plain service": plainService} {
		for _, silence := range []time.Duration{2500 * time.Millisecond, 10 * time.Second} {
			t.Run(fmt.Sprint(name, " ", silence), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					f := start(t, prepare)
					defer f.shutDown()
					entry := f.dial()
					newAttempt := func(prompt string) *call.Attempt {
						if prepare != nil {
							return f.newFiling(prompt)
						}
						return f.newAttempt("alpha", prompt, 10)
					}
					require.Nil(t, entry.run(newAttempt("first")).refusal)
					f.network.Cut("vm", "vm")
					a := newAttempt("second")
					ended := entry.background(a)
					time.Sleep(silence)
					if silence < 4*time.Second {
						// The endpoint continues, and ends soon afterwards.
						f.network.Heal("vm", "vm")
						require.Equal(t, call.ReasonEngineLost, (<-ended).reason())
						f.network.Cut("vm", "vm")
						time.Sleep(10 * time.Second)
					}
					f.control.mutex.Lock()
					defer f.control.mutex.Unlock()
					for _, crash := range f.control.crashes {
						require.NotContains(t, crash.Digests, a.Digest)
					}
				})
			})
		}
	}
}
