package direct_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// A connection attempt that was cancelled for a takeover returned the tokens, and the request ran
// without any.
func TestTakeoverAfterCancelledDialTakesTokensAgain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		k := &tokens{}
		d := newFilter(&service{}, 3)
		calls := 0
		d.Send = func(ctx context.Context, _ *direct.Call) (*direct.Answer, error) {
			if calls++; calls == 1 {
				// The dial of 400 ms (connectTimeout) is cancelled after 2 x 150 ms.
				select {
				case <-ctx.Done():
				case <-time.After(400 * time.Millisecond):
				}
				return nil, &httpc.Error{Kind: httpc.KindDial, Err: context.Canceled}
			}
			return &direct.Answer{Status: 200, Header: http.Header{}, Authentic: true, Body: io.NopCloser(strings.NewReader("good"))}, nil
		}
		got, err := run(t.Context(), d, func(r *chain.Request) {
			retryable(r)
			k.request(r)
		})
		require.NoError(t, err)
		require.Equal(t, "good", got.text)
		require.Equal(t, 2, calls)
		require.EqualValues(t, 1, k.taken.Load()-k.returned.Load(), "tokens of a request that ran")
	})
}

// lateBody is an answer whose first event arrives as the attempt is cancelled.
type lateBody struct {
	ctx  context.Context
	done bool
}

func (b *lateBody) Read(data []byte) (int, error) {
	<-b.ctx.Done()
	if b.done {
		return 0, &httpc.Error{Kind: httpc.KindCancelled, Err: b.ctx.Err()}
	}
	b.done = true
	return copy(data, completeStream[:15]), nil
}
func (b *lateBody) Close() error { return nil }

// An endpoint of another software version had been secured before the first event arrived, and
// continued the stream.
func TestFirstEventThatCrossesTakeoverMixesNoSoftware(t *testing.T) {
	for seed := range 8 {
		bubble.Test(t, func(t *testing.T) {
			s := &service{replies: []reply{{}, {status: 200, authentic: true, body: completeStream[15:]}}}
			d := newFilter(s, 0)
			d.Random = func() float64 { return float64(seed) / 8 }
			listSoftware(d, "a", "b")
			var versions []string
			d.Send = func(ctx context.Context, c *direct.Call) (*direct.Answer, error) {
				versions = append(versions, c.Endpoint.SoftwareVersion)
				if len(versions) == 1 {
					return &direct.Answer{Status: 200, Header: http.Header{}, Authentic: true, Body: &lateBody{ctx: ctx}}, nil
				}
				return &direct.Answer{Status: 200, Header: http.Header{}, Authentic: true, Body: io.NopCloser(strings.NewReader(completeStream[15:]))}, nil
			}
			got, _ := run(t.Context(), d, resumable)
			require.NotEqual(t, []string{"a", "b"}, versions, got.text)
			require.NotEqual(t, []string{"b", "a"}, versions, got.text)
		})
	}
}

// Without a retry, agents admitted a silent stream again and again in vain.
func TestSearchWithoutRetryAsksNoAgent(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		service := &service{replies: []reply{silentAt(1, 3700*time.Millisecond), wholeStream}}
		s.filter.Send = service.send
		s.filter.Budget.Lease = limitedRetries(0)
		got, err := run(t.Context(), s.filter, patient)
		require.NoError(t, err)
		require.Equal(t, completeStream, got.text)
		require.LessOrEqual(t, len(s.received), 2, "admissions")
	})
}

// A large answer that is no stream can continue nowhere else, and was abandoned at a silent endpoint.
func TestLargeAnswerOfStreamRouteIsNotAbandoned(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		large := strings.Repeat("x", 100<<10)
		s := &service{replies: []reply{{status: 200, authentic: true, contentType: "application/json", body: large, pieces: []string{"y"}, pause: 2500 * time.Millisecond}, good}}
		got, err := run(t.Context(), newFilter(s, 3), resumable)
		require.NoError(t, err)
		require.True(t, got.ended)
		require.Len(t, got.text, len(large)+1)
		require.Len(t, s.calls, 1)
	})
}

// The same at a sound endpoint, with a caller that reads slowly.
func TestSlowCallerOfLargeAnswerKeepsItsEndpoint(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		large := strings.Repeat("x", 300<<10)
		s := &service{replies: []reply{{status: 200, authentic: true, contentType: "application/json", body: large, pieces: []string{"y"}, pause: time.Millisecond}, good}}
		d := newFilter(s, 3)
		_, err := run(t.Context(), d, func(r *chain.Request) {
			resumable(r)
			write := r.Write
			r.Write = func(f *call.Frame) error {
				time.Sleep(700 * time.Millisecond)
				return write(f)
			}
		})
		require.NoError(t, err)
	})
}

// An engine that died after the head of its answer was left only after the caller had gone.
func TestHeadDoesNotExtendTheCallersPatience(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		var mutex sync.Mutex
		calls := 0
		s.filter.Send = func(ctx context.Context, _ *direct.Call) (*direct.Answer, error) {
			mutex.Lock()
			calls++
			n := calls
			mutex.Unlock()
			if n == 1 {
				time.Sleep(1900 * time.Millisecond)
				return &direct.Answer{Status: 200, Header: http.Header{}, Authentic: true, Body: io.NopCloser(&pieceReader{ctx: ctx, reply: reply{pieces: []string{"id: 1\n"}, pause: time.Hour}})}, nil
			}
			time.Sleep(300 * time.Millisecond) // prefill
			return &direct.Answer{Status: 200, Header: http.Header{}, Authentic: true, Body: io.NopCloser(strings.NewReader(completeStream))}, nil
		}
		began := time.Now()
		got, err := run(t.Context(), s.filter, patient)
		require.NoError(t, err)
		require.Equal(t, completeStream, got.text)
		require.Less(t, time.Since(began), 4*time.Second, "the caller has left")
	})
}

// The same for a dead engine that had admitted the request late.
func TestWaitForAdmissionCountsForTheCallersPatience(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		s.slowElsewhere = time.Millisecond
		s.admissionTime = 1700 * time.Millisecond
		service := &service{replies: []reply{unresponsive, {status: 200, authentic: true, pieces: []string{completeStream}, pause: 400 * time.Millisecond}}}
		s.filter.Send = service.send
		began := time.Now()
		time.AfterFunc(1750*time.Millisecond, func() {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.admissionTime = 0
		})
		got, err := run(t.Context(), s.filter, patient)
		require.NoError(t, err)
		require.Equal(t, completeStream, got.text)
		require.Less(t, time.Since(began), 4*time.Second, "the caller has left")
	})
}

// The search called Check, which changes the request, while the job read it. It fails with -race.
func TestCheckIsNotCalledBesideTheJob(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &service{replies: []reply{{status: 200, authentic: true, body: "x"}, good}}
		d := newFilter(s, 3)
		send := d.Send
		d.Send = func(ctx context.Context, c *direct.Call) (*direct.Answer, error) {
			time.Sleep(400 * time.Millisecond)
			return send(ctx, c)
		}
		d.OnSuspectCleared = func([]byte) {}
		_, err := run(t.Context(), d, func(r *chain.Request) {
			retryable(r)
			began := time.Now()
			r.Check = func() error {
				if time.Since(began) > 0 { // by the search, from 300 ms on
					time.Sleep(101 * time.Millisecond)
					r.Suspect = true
				}
				return nil
			}
		})
		require.NoError(t, err)
		time.Sleep(time.Second)
	})
}

// A search waited without limit at an agent that fell silent after it had queued the request.
func TestSearchDoesNotStayAtASilentAgent(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		service := &service{replies: []reply{silentAt(1, time.Hour), {status: 200, authentic: true, body: completeStream[15:]}}}
		s.filter.Send = service.send
		s.slowElsewhere = time.Minute
		// Only the first other agent is slow.
		go func() {
			for {
				time.Sleep(10 * time.Millisecond)
				s.mutex.Lock()
				if len(s.received) > 1 {
					s.slowElsewhere = 0
					s.mutex.Unlock()
					return
				}
				s.mutex.Unlock()
			}
		}()
		began := time.Now()
		got, err := run(t.Context(), s.filter, patient)
		t.Log(time.Since(began), got.text, err, len(s.received))
		require.NoError(t, err)
		require.Less(t, time.Since(began), 4*time.Second)
	})
}

// Where callers wait for 20 s, a dead engine was left after 10 s, beyond the objective of 5 s.
func TestDeadEngineIsLeftWithinTheObjective(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		service := &service{replies: []reply{unresponsive, wholeStream}}
		s.filter.Send = service.send
		began := time.Now()
		got, err := run(t.Context(), s.filter, func(r *chain.Request) {
			model(r)
			r.MaxWait = 60 * time.Second
			r.Objective.FirstToken = span.Duration(5 * time.Second)
			r.Route.EventTimeout = span.Duration(20 * time.Second)
		})
		require.NoError(t, err)
		require.Equal(t, completeStream, got.text)
		require.Less(t, time.Since(began), 5*time.Second)
	})
}

// brokenAfter returns an answer whose connection breaks after the given events.
func brokenAfter(events int) reply {
	return reply{status: 200, authentic: true, body: completeStream[:15*events], broken: true}
}

// The answer to a stream whose connection broke was broken off at once if no engine admitted the
// stream or no retry was left in that moment.
func TestBrokenStreamAwaitsPlaceAndRetry(t *testing.T) {
	for name, test := range map[string]struct {
		// busy and withoutRetries are for how long engines refuse and no retry is available.
		busy, withoutRetries time.Duration
		events               int
		complete             bool
		code                 string
		took                 time.Duration
	}{
		"engines busy":                       {time.Second, 0, 1, true, "", 1500 * ms},
		"no retry":                           {0, time.Second, 1, true, "", 1500 * ms},
		"neither":                            {700 * ms, time.Second, 2, true, "", 1500 * ms},
		"engines stay busy":                  {time.Hour, 0, 1, false, "engines_busy", callerPatience/2 + 100*ms},
		"retries stay away":                  {0, time.Hour, 1, false, "retry_budget", callerPatience/2 + 100*ms},
		"engines busy, before the first":     {time.Second, 0, 0, false, "engines_busy", 0},
		"no retry left, before the first":    {0, time.Second, 0, false, "retry_budget", 0},
		"an engine admits, there is a retry": {0, 0, 1, true, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, 3, func(t *testing.T, s *site) {
				rest := reply{status: 200, authentic: true, body: completeStream[15*test.events:]}
				service := &service{replies: []reply{brokenAfter(test.events), rest}}
				s.filter.Send = service.send
				started := time.Now()
				if test.busy > 0 {
					s.refuseElsewhere = admit.ReasonBusy
					time.AfterFunc(test.busy, func() { s.setRefusal(admit.ReasonNone) })
				}
				leased := 0
				s.filter.Budget.Lease = func(context.Context, string) func(bool) {
					if time.Since(started) < test.withoutRetries {
						return nil
					}
					leased++
					return func(sent bool) {
						if !sent {
							leased--
						}
					}
				}
				got, err := run(t.Context(), s.filter, patient)
				require.LessOrEqual(t, time.Since(started), test.took)
				if !test.complete {
					require.Equal(t, test.code, chain.RefusalOf(err).Code)
					require.Len(t, service.calls, 1)
					require.Zero(t, leased)
					return
				}
				require.NoError(t, err)
				require.Equal(t, completeStream, got.text)
				require.Len(t, service.calls, 2)
				require.EqualValues(t, test.events, *service.calls[1].LastEventID)
				require.Equal(t, 1, leased)
				time.Sleep(time.Second)
				require.Zero(t, s.held(), "admissions that no request uses")
			})
		})
	}
}

// A stream that no other endpoint can continue is not held in vain, nor one whose prompt has been
// quarantined.
func TestBrokenStreamThatCannotContinueEndsAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		engines    int
		quarantine bool
		code       string
	}{
		"no other engine": {1, false, "software_gone"},
		"quarantined":     {3, true, "quarantined"},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, test.engines, func(t *testing.T, s *site) {
				service := &service{replies: []reply{brokenAfter(1)}}
				s.filter.Send = service.send
				s.filter.Quarantined = func([]byte) time.Duration {
					if test.quarantine && len(service.calls) > 0 {
						return time.Minute
					}
					return 0
				}
				s.refuseElsewhere = admit.ReasonBusy
				began := time.Now()
				_, err := run(t.Context(), s.filter, func(r *chain.Request) {
					patient(r)
					r.PromptParts = []string{"shared"}
				})
				require.Equal(t, test.code, chain.RefusalOf(err).Code)
				require.LessOrEqual(t, time.Since(began), 100*ms)
			})
		})
	}
}
