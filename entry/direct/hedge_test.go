package direct_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/crash"
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// What denies a hedge, each by itself. The first attempt goes on and its answer is
// delivered; the operators' limit is not used up.
func TestDeniedHedges(t *testing.T) {
	late := 100 * time.Millisecond
	for cause, test := range map[string]struct {
		prepare func(r *raceTest)
		change  func(*chain.Request)
	}{
		"attempts": {nil, func(request *chain.Request) { request.Route.Attempts = 1 }},
		"suspect":  {nil, func(request *chain.Request) { request.Suspect = true }},
		"removed": {nil, func(request *chain.Request) {
			started := time.Now()
			request.Check = func() error {
				if time.Since(started) > 0 {
					return chain.Refuse(401, "invalid_key", "withdrawn")
				}
				return nil
			}
		}},
		"time": {func(r *raceTest) { late = 25 * time.Millisecond }, func(request *chain.Request) { request.MaxWait = 30 * time.Millisecond }},
		"endpoint": {func(r *raceTest) {
			r.filter.Endpoints.Update(map[string][]advert.Record{"s": {{Name: "e0", Service: "s", Address: "e0:1", DataCentre: "d", Slots: 4}}})
		}, nil},
		"share":   {func(r *raceTest) { r.config.Services["s"] = conf.Service{HedgeShare: 0.001} }, nil},
		"budget":  {func(r *raceTest) { r.leased = false }, nil},
		"control": {func(r *raceTest) { r.leased, r.reached = false, false }, nil},
		"load": {func(r *raceTest) {
			for _, name := range []string{"e0", "e1", "e2"} {
				r.filter.Endpoints.SetLoad(name, 500, time.Now())
			}
		}, nil},
		"peak": {func(r *raceTest) {
			for _, name := range []string{"e0", "e1", "e2"} {
				r.filter.Endpoints.SetLoad(name, 750, time.Now())
			}
		}, nil},
	} {
		t.Run(cause, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				late = 100 * time.Millisecond
				r := newRace(3)
				if test.prepare != nil {
					test.prepare(r)
				}
				r.steps = []step{answer("a", late), answer("b", time.Millisecond)}
				got, err := run(context.Background(), r.filter, func(request *chain.Request) {
					request.Route.Idempotent, request.Objective = true, conf.Objective{}
					if test.change != nil {
						test.change(request)
					}
				})
				require.NoError(t, err)
				require.Equal(t, "a", got.text)
				require.Len(t, r.calls, 1)
				require.EqualValues(t, 1, r.filter.Host.Meter.Value("hedges_denied_"+cause+"_s_"), r.log.String())
				require.Contains(t, r.log.String(), "event=hedge-denied request=r service=s")
				require.Contains(t, r.log.String(), "cause="+cause)
				require.Zero(t, r.filter.Host.Meter.Value("hedges_sent_s_"))
			})
		})
	}
}

// Nothing is hedged unless an operator has set a share, and streams and requests that may
// run only once never are, also with a share.
func TestHedgingIsOffByDefaultAndForOtherRequests(t *testing.T) {
	for name, change := range map[string]func(r *raceTest, request *chain.Request){
		"no share":      func(r *raceTest, request *chain.Request) { r.config.Services["s"] = conf.Service{} },
		"no policy":     func(r *raceTest, request *chain.Request) { r.filter.Hedges = nil },
		"run only once": func(r *raceTest, request *chain.Request) { request.Route.Idempotent = false },
		"stream": func(r *raceTest, request *chain.Request) {
			request.Route.Stream = true
			r.steps[0].body = completeStream
		},
	} {
		bubble.Test(t, func(t *testing.T) {
			r := newRace(3, answer("a", 100*time.Millisecond), answer("b", time.Millisecond))
			_, err := r.run(t, func(request *chain.Request) { change(r, request) })
			require.NoError(t, err, name)
			require.Len(t, r.calls, 1, name)
			require.Zero(t, r.leases, name)
			require.NotContains(t, r.filter.Host.Meter.String(), "hedge", name)
			require.NotContains(t, r.log.String(), "hedge", name)
		})
	}
	bubble.Test(t, func(t *testing.T) {
		r := newRace(3, answer("a", 100*time.Millisecond), answer("b", time.Millisecond))
		r.config.Services["s"] = conf.Service{}
		r.filter.HedgeShare = 0.5
		got, err := r.run(t, nil)
		require.NoError(t, err)
		require.Equal(t, "b", got.text, "the entry's option applies to services without a share")
	})
}

// A lease that takes long delays neither the first answer nor that of a hedge that is no
// longer needed; a hedge that was prepared too late is not sent.
func TestFirstAnswerDoesNotWaitForTheLease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := newRace(3, answer("a", 40*time.Millisecond), answer("b", time.Millisecond))
		r.leaseTime = 50 * time.Millisecond
		started := time.Now()
		got, err := r.run(t, nil)
		require.NoError(t, err)
		require.Equal(t, "a", got.text)
		require.Equal(t, 40*time.Millisecond, time.Since(started))
		time.Sleep(time.Second)
		require.Len(t, r.calls, 1)
	})
}

// The endpoint of the hedge leaves, the key is withdrawn or a part of the prompt is
// quarantined while the repeat is leased: the hedge is not sent.
func TestHedgeIsNotSentIfThingsChangeDuringTheLease(t *testing.T) {
	for cause, change := range map[string]func(r *raceTest){
		"endpoint": func(r *raceTest) { r.filter.Endpoints.Update(nil) },
		"removed":  nil,
	} {
		bubble.Test(t, func(t *testing.T) {
			r := newRace(3, answer("a", 100*time.Millisecond), answer("b", time.Millisecond))
			var quarantined atomic.Int64
			if change == nil {
				change = func(*raceTest) { quarantined.Store(int64(time.Minute)) }
			}
			r.filter.Quarantined = func([]byte) time.Duration { return time.Duration(quarantined.Load()) }
			r.leaseTime = 20 * time.Millisecond
			got, err := run(context.Background(), r.filter, func(request *chain.Request) {
				request.Route.Idempotent, request.Objective = true, conf.Objective{}
				request.PromptParts = []string{"p"}
				time.AfterFunc(30*time.Millisecond, func() { change(r) })
			})
			require.NoError(t, err)
			require.Equal(t, "a", got.text)
			require.Len(t, r.calls, 1)
			require.Equal(t, 1, r.returned, "the repeat is returned")
			require.EqualValues(t, 1, r.filter.Host.Meter.Value("hedges_denied_"+cause+"_s_"), r.log.String())
		})
	}
}

// A caller that leaves during a race cancels both attempts, and its request may have run,
// also if one of the attempts provably has not.
func TestCallerLeavesDuringTheRace(t *testing.T) {
	for name, steps := range map[string][]step{
		"both run":           {answer("a", never), answer("b", never)},
		"hedge was rejected": {answer("a", never), failing(rejected, time.Millisecond)},
		"first was rejected": {failing(rejected, 25*time.Millisecond), answer("b", never)},
	} {
		bubble.Test(t, func(t *testing.T) {
			r := newRace(3, steps...)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			_, err := run(ctx, r.filter, func(request *chain.Request) {
				request.Route.Idempotent, request.Objective = true, conf.Objective{}
			})
			refusal := chain.RefusalOf(err)
			require.Equal(t, "caller_gone", refusal.Code, name)
			require.Equal(t, chain.RanUnknown, refusal.Ran, name)
			synctest.Wait()
			require.Zero(t, r.open)
			require.Len(t, r.calls, 2, name)
		})
	}
}

// A caller that is gone when the answer is to be written has its request run all the same.
func TestCallerGoneAtTheAnswer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := newRace(3, answer("a", time.Millisecond))
		_, err := r.run(t, func(request *chain.Request) {
			request.Write = func(*call.Frame) error { return errors.New("gone") }
		})
		require.Equal(t, chain.RanUnknown, chain.RefusalOf(err).Ran)
	})
}

// With three attempts allowed, a third one may follow a race whose attempts both failed,
// and it takes a repeat as before; with two, none may.
func TestAttemptsAfterARace(t *testing.T) {
	for attempts, calls := range map[int32]int{2: 2, 3: 3} {
		bubble.Test(t, func(t *testing.T) {
			r := newRace(3, failing(reset, 25*time.Millisecond), failing(reset, 50*time.Millisecond), answer("c", 100*time.Millisecond))
			got, err := r.run(t, func(request *chain.Request) { request.Route.Attempts = attempts })
			require.Len(t, r.calls, calls)
			require.Equal(t, 1, r.leases)
			if attempts == 3 {
				require.NoError(t, err)
				require.Equal(t, "c", got.text)
				require.EqualValues(t, 1, r.filter.Host.Meter.Value("repeats_pool_s"))
			}
			endpoints := map[string]bool{}
			for _, c := range r.calls {
				endpoints[c.Endpoint.Name] = true
			}
			require.Len(t, endpoints, calls, "no endpoint gets the request twice")
		})
	}
}

// A hedged request whose connections break is reported as a possible cause of crashes, and
// a loser that was cancelled is not: nothing is wrong with its endpoint.
func TestLoserIsNoSuspectAndItsEndpointStaysInUse(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		lost := 0
		r := newRace(2, answer("a", never), answer("b", 10*time.Millisecond))
		r.filter.OnConnectionLost = func(advert.Record, crash.Request, time.Time) { lost++ }
		_, err := r.run(t, nil)
		require.NoError(t, err)
		require.Zero(t, lost)
		require.Zero(t, r.filter.Host.Meter.Value("attempts_failed"))
		_, found := r.filter.Endpoints.FindAlternative("s", r.calls[1].Endpoint.Name, "", nil, 0, time.Now())
		require.True(t, found, "the loser's endpoint is not taken for unreachable")
	})
}

// The hedge of a request for an engine is admitted by the engine's agent like every other
// request. If the agent refuses or does not answer, the first attempt goes on.
func TestHedgeAtAnEngineNeedsAdmission(t *testing.T) {
	for name, test := range map[string]struct {
		reply        admit.Reply
		unresponsive bool
		calls        int
	}{
		"admitted":      {admit.Reply{}, false, 2},
		"busy":          {admit.Reply{Reason: admit.ReasonBusy, Wait: span.Duration(time.Second)}, false, 1},
		"agent is down": {admit.Reply{}, true, 1},
	} {
		inSite(t, 2, func(t *testing.T, s *site) {
			r := newRace(2, answer("a", 400*time.Millisecond), answer("b", 10*time.Millisecond))
			services := s.filter.Config().Services["s"]
			services.HedgeShare = 0.5
			r.config.Services["s"] = services
			s.filter.Config, s.filter.Hedges, s.filter.Send, s.filter.Host.Log = r.filter.Config, r.filter.Hedges, r.send, r.filter.Host.Log
			s.filter.Budget.LeaseHedge = r.filter.Budget.LeaseHedge
			time.AfterFunc(10*time.Millisecond, func() {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				for _, name := range []string{"e0", "e1"} {
					s.agentReplies[name], s.unresponsive[name] = test.reply, test.unresponsive
				}
			})
			got, err := run(t.Context(), s.filter, func(request *chain.Request) {
				request.Route.Idempotent, request.Objective = true, conf.Objective{}
				request.Model = "m"
			})
			require.NoError(t, err, name)
			require.Len(t, r.calls, test.calls, name)
			require.Equal(t, test.calls == 2, got.text == "b", name)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			require.Len(t, s.received, 2, name)
			require.NotEqual(t, s.received[0].Endpoint, s.received[1].Endpoint)
		})
	}
}

// The watchdog cancels a silent first attempt after twice the objective, since another
// endpoint could take over. Once a hedge has taken over, both attempts go on: cancelled, the
// first one could not answer any more if the hedge fails.
func TestWatchdogLeavesAHedgedAttempt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := newRace(3, answer("a", 400*time.Millisecond), answer("b", never))
		got, err := r.run(t, func(request *chain.Request) {
			request.Objective = conf.Objective{FirstToken: span.Duration(150 * time.Millisecond)}
		})
		require.NoError(t, err)
		require.Equal(t, "a", got.text)
	})
}

// A request is hedged once at most, also if its route allows many attempts: the limits
// count hedged requests.
func TestRequestIsHedgedOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := newRace(3, failing(reset, 100*time.Millisecond), failing(rejected, time.Millisecond), answer("c", 100*time.Millisecond), answer("d", time.Millisecond))
		r.filter.Endpoints.Update(endpoints(5))
		got, err := r.run(t, func(request *chain.Request) { request.Route.Attempts = 5 })
		require.NoError(t, err)
		require.Equal(t, "c", got.text)
		require.Len(t, r.calls, 3)
	})
}

func endpoints(count int) map[string][]advert.Record {
	usable := map[string][]advert.Record{}
	for i := range count {
		name := fmt.Sprint("e", i)
		usable["s"] = append(usable["s"], advert.Record{Name: name, Service: "s", Address: name + ":1", DataCentre: "d", Slots: 4})
	}
	return usable
}

// Replays a grey endpoint: it takes requests and does not answer them. With every loss it
// is used less. Without that, hedges would hide it, and each third request would be hedged.
func TestEndpointThatLosesIsUsedLess(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := newRace(3)
		first := map[string]int{}
		r.filter.Send = func(ctx context.Context, c *direct.Call) (*direct.Answer, error) {
			if !c.NewConnection {
				first[c.Endpoint.Name]++
			}
			wait := 10 * time.Millisecond
			if c.Endpoint.Name == "e0" {
				wait = never
			}
			select {
			case <-ctx.Done():
				return nil, &httpc.Error{Kind: httpc.KindCancelled, Err: ctx.Err()}
			case <-time.After(wait):
				return &direct.Answer{Status: 200, Header: http.Header{}, Authentic: true, Body: io.NopCloser(strings.NewReader("good"))}, nil
			}
		}
		drawn := 0
		r.filter.Random = func() float64 {
			drawn++
			return float64(drawn%10) / 10
		}
		for range 90 {
			_, err := r.run(t, nil)
			require.NoError(t, err)
		}
		require.Positive(t, first["e0"])
		require.LessOrEqual(t, first["e0"], 10, "a third would be 30")
	})
}
