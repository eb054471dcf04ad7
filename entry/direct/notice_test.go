package direct_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
)

// An endpoint that said in any answer that it is leaving, or that it wants no requests
// for a time, was sent requests until control or its load told the entry.
func TestEndpointThatWantsNoRequestsGetsNone(t *testing.T) {
	leaving := advert.Notice{Leaving: true}
	pause := func(length time.Duration) advert.Notice { return advert.Notice{Pause: length} }
	for name, test := range map[string]struct {
		first reply
		// endpoints is the number of endpoints, of which all give the first answer.
		endpoints int
		// second is the status of a request one second later, code that of its
		// refusal; calls counts the attempts of both.
		second int
		code   string
		calls  int
	}{
		"leaving with a whole answer":       {reply{status: 200, authentic: true, body: "good", notice: leaving}, 1, 503, "no_endpoint", 1},
		"leaving with an error":             {reply{status: 500, authentic: true, body: "bad", notice: leaving}, 1, 503, "no_endpoint", 1},
		"leaving with an answer cut short":  {reply{status: 200, authentic: true, body: "go", broken: true, notice: leaving}, 1, 503, "no_endpoint", 1},
		"leaving with an answer of another": {reply{status: 200, body: "good", notice: leaving}, 1, 503, "no_endpoint", 1},
		"all pause, refused at once":        {reply{status: 503, notExecuted: true, notice: pause(5 * time.Second)}, 3, 503, "endpoints_paused", 3},
		"the pause is over":                 {reply{status: 503, notExecuted: true, notice: pause(900 * time.Millisecond)}, 1, 200, "", 2},
		"a short rest is waited for":        {reply{status: 503, notExecuted: true, notice: pause(1300 * time.Millisecond)}, 1, 200, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{}
				for range test.endpoints {
					s.replies = append(s.replies, test.first)
				}
				s.replies = append(s.replies, good)
				d := newFilter(s, test.endpoints)
				_, _ = run(context.Background(), d, nil)
				time.Sleep(time.Second)
				started := time.Now()
				got, err := run(context.Background(), d, nil)
				status := int(got.status)
				if err != nil {
					refusal := chain.RefusalOf(err)
					status = refusal.Status
					require.Equal(t, test.code, refusal.Code)
					require.Equal(t, chain.RanNo, refusal.Ran)
					require.Less(t, time.Since(started), 10*time.Millisecond, "refused at once")
					if test.code == "endpoints_paused" {
						require.InDelta(t, 4.5, refusal.RetryAfter.Seconds(), 0.5, "the rest of the pause and up to a quarter")
					}
				}
				require.Equal(t, test.second, status)
				require.Equal(t, test.calls, len(s.calls))
			})
		})
	}
}

// While a request waits for its admission at an engine, another answer of the engine
// may say that it is leaving.
func TestEngineThatLeavesWhileARequestWaitsIsPassedOver(t *testing.T) {
	inSite(t, 2, func(t *testing.T, s *site) {
		s.admissionTime = 200 * time.Millisecond
		var used []string
		send := s.filter.Send
		s.filter.Send = func(ctx context.Context, c *direct.Call) (*direct.Answer, error) {
			used = append(used, c.Endpoint.Name)
			return send(ctx, c)
		}
		var wait sync.WaitGroup
		wait.Go(func() {
			got, err := run(t.Context(), s.filter, model)
			require.NoError(t, err)
			require.Equal(t, completeStream, got.text)
		})
		time.Sleep(100 * time.Millisecond)
		s.mutex.Lock()
		preferred := s.received[0].Endpoint
		s.mutex.Unlock()
		engine := advert.Record{Name: preferred}
		s.filter.Endpoints.RecordNotice(&engine, advert.Notice{Leaving: true}, time.Now(), time.Now())
		wait.Wait()
		require.Len(t, used, 1)
		require.NotEqual(t, preferred, used[0])
	})
}

// pausingEndpoint serves a limited number of requests a second. At the first one more
// it pauses, and answers all requests until the end of the pause with what is left of it.
type pausingEndpoint struct {
	second   int64
	served   int
	pausedAt time.Time
	// late counts the requests that arrived in a pause later than half a second after
	// its begin.
	late int
}

// TestAllEndpointsPauseUnderTwiceTheirCapacity replays a load of twice the capacity of
// three endpoints, whose callers come back once when they are told to.
func TestAllEndpointsPauseUnderTwiceTheirCapacity(t *testing.T) {
	const capacity, pause, seconds, rate = 10, 2 * time.Second, 12, 60
	play := func(t *testing.T, withNotices bool) (served, refused, failed, late int) {
		bubble.Test(t, func(t *testing.T) {
			var mutex sync.Mutex
			endpoints := map[string]*pausingEndpoint{}
			d := newFilter(&service{}, 3)
			d.Send = func(_ context.Context, c *direct.Call) (*direct.Answer, error) {
				mutex.Lock()
				defer mutex.Unlock()
				e := endpoints[c.Endpoint.Name]
				if e == nil {
					e = &pausingEndpoint{}
					endpoints[c.Endpoint.Name] = e
				}
				now := time.Now()
				if since := now.Sub(e.pausedAt); since > 500*time.Millisecond && since < pause {
					e.late++
				}
				if now.Unix() != e.second {
					e.second, e.served = now.Unix(), 0
				}
				answer := &direct.Answer{Status: 200, Header: http.Header{}, Authentic: true, Body: io.NopCloser(strings.NewReader("good"))}
				paused := now.Sub(e.pausedAt) < pause
				if e.served == capacity || paused {
					if !paused {
						e.pausedAt = now
					}
					answer.Status, answer.NotExecuted = 503, true
					if withNotices {
						c.OnNotice(advert.Notice{Status: 503, Pause: e.pausedAt.Add(pause).Sub(now)})
					}
					return answer, nil
				}
				e.served++
				return answer, nil
			}
			var callers sync.WaitGroup
			for i := range seconds * rate {
				callers.Go(func() {
					time.Sleep(time.Duration(i) * time.Second / rate)
					var refusal *chain.Refusal
					for range 2 {
						_, err := run(context.Background(), d, func(r *chain.Request) { r.ID = fmt.Sprint(i) })
						if err == nil {
							mutex.Lock()
							served++
							mutex.Unlock()
							return
						}
						if refusal = chain.RefusalOf(err); refusal.Ran != chain.RanNo {
							break
						}
						time.Sleep(min(refusal.RetryAfter, time.Second))
					}
					mutex.Lock()
					defer mutex.Unlock()
					if refusal.Status == http.StatusServiceUnavailable {
						refused++
					} else {
						failed++
					}
				})
			}
			callers.Wait()
			for _, e := range endpoints {
				late = max(late, e.late)
			}
		})
		return served, refused, failed, late
	}
	for _, withNotices := range []bool{false, true} {
		served, refused, failed, late := play(t, withNotices)
		t.Logf("notices %v: %d served, %d refused, %d failed, at most %d requests to an endpoint in its pauses", withNotices, served, refused, failed, late)
		require.Equal(t, seconds*rate, served+refused+failed)
		require.Zero(t, failed)
		if withNotices {
			require.Zero(t, late, "requests in a pause")
		}
	}
}
