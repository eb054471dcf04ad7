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
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// limitSpan is the time in which an endpoint counts its requests against its limit.
const limitSpan = 4 * time.Second

// limitedEndpoints answer each request and name a limit; calls are the times of the
// requests at each.
type limitedEndpoints struct {
	mutex     sync.Mutex
	perSecond map[string]float64
	calls     map[string][]time.Time
}

func (l *limitedEndpoints) send(_ context.Context, c *direct.Call) (*direct.Answer, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.calls[c.Endpoint.Name] = append(l.calls[c.Endpoint.Name], time.Now())
	perSecond, limited := l.perSecond[c.Endpoint.Name]
	c.OnNotice(advert.Notice{Limited: limited, RequestsPerSecond: perSecond})
	return &direct.Answer{Status: 200, Header: http.Header{}, Authentic: true, Body: io.NopCloser(strings.NewReader("good"))}, nil
}

func (l *limitedEndpoints) mostWithinSpan(endpoint string) int {
	most := 0
	times := l.calls[endpoint]
	for i := range times {
		count := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) <= limitSpan {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Replays a load of ten times what three plain endpoints say that they take, then of none
// that name a limit. Requests were sent all the same; they must be refused at once, with a
// time to come back, and the limits must be used.
func TestPlainEndpointsWithLimitsUnderTenTimesTheirLoad(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const rate, seconds = 60, 12
		l := &limitedEndpoints{calls: map[string][]time.Time{}, perSecond: map[string]float64{"e0": 2, "e1": 2, "e2": 2}}
		d := newFilter(&service{}, 3)
		d.Send = l.send
		var callers sync.WaitGroup
		var mutex sync.Mutex
		served, refused := 0, 0
		longest, meanRetry := time.Duration(0), 0.0
		for i := range seconds * rate {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / rate)
				started := time.Now()
				_, err := run(context.Background(), d, nil)
				mutex.Lock()
				defer mutex.Unlock()
				longest = max(longest, time.Since(started))
				if err == nil {
					served++
					return
				}
				refused++
				refusal := chain.RefusalOf(err)
				require.Equal(t, "endpoints_limited", refusal.Code)
				require.Equal(t, chain.RanNo, refusal.Ran)
				meanRetry += refusal.RetryAfter.Seconds()
			})
		}
		callers.Wait()
		for _, name := range []string{"e0", "e1", "e2"} {
			require.LessOrEqual(t, l.mostWithinSpan(name), 17)
		}
		require.GreaterOrEqual(t, served, 3*2*seconds*9/10, "the limits are used")
		require.LessOrEqual(t, longest, 650*time.Millisecond, "no request is held for long")
		require.InDelta(t, 0.5, meanRetry/float64(refused), 0.5)
		l.perSecond = nil
		time.Sleep(time.Second)
		for range 3 {
			_, _ = run(context.Background(), d, nil)
		}
		for range 50 {
			_, err := run(context.Background(), d, nil)
			require.NoError(t, err, "the limits have ended")
		}
	})
}

// A plain endpoint with a limit gets what it takes, and the others the rest.
func TestLimitedPlainEndpointIsPassedOver(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		l := &limitedEndpoints{calls: map[string][]time.Time{}, perSecond: map[string]float64{"e0": 1}}
		d := newFilter(&service{}, 2)
		d.Send = l.send
		for range 400 {
			_, err := run(context.Background(), d, nil)
			require.NoError(t, err)
			time.Sleep(25 * time.Millisecond)
		}
		require.LessOrEqual(t, l.mostWithinSpan("e0"), 5)
		require.GreaterOrEqual(t, len(l.calls["e0"]), 8)
	})
}

// An engine whose agent refused a request by its limit was asked as the last one and the
// request refused, though others had room.
func TestLimitedEngineIsPassedOver(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		// The only adapter prefers more engines the more it is used, and chance decides which
		// of them is asked first.
		drawn := 0
		s.filter.Random = func() float64 {
			drawn++
			return float64(drawn%20) / 20
		}
		_, err := run(t.Context(), s.filter, model)
		require.NoError(t, err)
		preferred := s.received[0].Endpoint
		s.agentReplies[preferred] = admit.Reply{Reason: admit.ReasonLimited, Wait: span.Duration(700 * time.Millisecond)}
		s.received = nil
		for range 10 {
			_, err = run(t.Context(), s.filter, model)
			require.NoError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		countAsked := func() (asked int) {
			for _, request := range s.received {
				if request.Endpoint == preferred {
					asked++
				}
			}
			return asked
		}
		require.Equal(t, 1, countAsked(), "not asked again within the wait")
		delete(s.agentReplies, preferred)
		time.Sleep(700 * time.Millisecond)
		s.received = nil
		for range 20 {
			_, err = run(t.Context(), s.filter, model)
			require.NoError(t, err)
		}
		require.Greater(t, countAsked(), 1, "used as before")
	})
}

// If all engines are limited, the request may wait at those with the shortest waits.
func TestRequestWaitsIfAllEnginesAreLimited(t *testing.T) {
	inSite(t, 4, func(t *testing.T, s *site) {
		for name, wait := range map[string]time.Duration{"e0": 900, "e1": 300, "e2": 200, "e3": 800} {
			s.agentReplies[name] = admit.Reply{Reason: admit.ReasonLimited, Wait: span.Duration(wait * time.Millisecond)}
		}
		_, err := run(t.Context(), s.filter, model)
		refusal := chain.RefusalOf(err)
		require.Equal(t, "engines_busy", refusal.Code)
		require.InDelta(t, 0.3, refusal.RetryAfter.Seconds(), 0.1, "spread over once more the shortest wait")
		var waiting []string
		for _, request := range s.received {
			if request.MaxLimitWait > 0 {
				require.Equal(t, 500*time.Millisecond, request.MaxLimitWait.Std())
				waiting = append(waiting, request.Endpoint)
			}
		}
		require.Equal(t, []string{"e2", "e1", "e3"}, waiting)
		require.True(t, s.received[len(s.received)-1].LastCandidate)
	})
}

// The agent of a limited engine learns the limit with the next request, and without its
// agent the engine gets no more than the entry's share.
func TestLimitOfEngineReachesItsAgent(t *testing.T) {
	inSite(t, 1, func(t *testing.T, s *site) {
		s.filter.Endpoints.Update(map[string][]advert.Record{"s": {{Name: "e0", Service: "s", Address: "e0:1", Agent: "e0:2", DataCentre: "d", Slots: 8, StartedMillis: 7}}})
		sent := 0
		send := s.filter.Send
		s.filter.Send = func(ctx context.Context, c *direct.Call) (*direct.Answer, error) {
			sent++
			c.OnNotice(advert.Notice{Limited: true, RequestsPerSecond: 2})
			return send(ctx, c)
		}
		for range 2 {
			_, err := run(t.Context(), s.filter, model)
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		require.Nil(t, s.received[0].Limit)
		require.Equal(t, &advert.LimitReport{
			Endpoint: "e0", StartedMillis: 7, Named: true, RequestsPerSecond: 2, SentAgo: span.Duration(100 * time.Millisecond), ArrivedAgo: span.Duration(100 * time.Millisecond),
		}, s.received[1].Limit)
		s.mutex.Lock()
		s.unresponsive["e0"] = true
		s.mutex.Unlock()
		sent = 0
		for range 80 {
			_, _ = run(t.Context(), s.filter, model)
			time.Sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, sent, 17)
		require.Positive(t, sent)
	})
}

// Replays a service whose endpoints all name limits, under more load than they take: the
// requests were served in the order of their arrival, whatever their priority.
func TestUrgentRequestsGetWhatLimitsAllow(t *testing.T) {
	for name, test := range map[string]struct {
		// urgent and other are the requests a second of each kind; the limits allow 6.
		urgent, other int
		// minUrgent and minOther are how many a second must be served.
		minUrgent, minOther float64
	}{
		"fewer urgent ones than allowed": {3, 20, 2.8, 1.5},
		"more urgent ones than allowed":  {12, 20, 4.8, 0},
		"no urgent ones":                 {0, 20, 0, 5},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				const seconds = 20
				l := &limitedEndpoints{calls: map[string][]time.Time{}, perSecond: map[string]float64{"e0": 2, "e1": 2, "e2": 2}}
				d := newFilter(&service{}, 3)
				d.Send = l.send
				var callers sync.WaitGroup
				var mutex sync.Mutex
				served := map[int32]float64{}
				load := func(perSecond int, priority int32) {
					for i := range perSecond * seconds {
						callers.Go(func() {
							time.Sleep(time.Duration(i) * time.Second / time.Duration(perSecond))
							_, err := run(context.Background(), d, func(r *chain.Request) { r.Route.Priority = priority })
							mutex.Lock()
							defer mutex.Unlock()
							if err == nil {
								served[priority]++
							}
						})
					}
				}
				load(test.urgent, 0)
				load(test.other, 2)
				callers.Wait()
				require.GreaterOrEqual(t, served[0], test.minUrgent*seconds)
				require.GreaterOrEqual(t, served[2], test.minOther*seconds)
				require.GreaterOrEqual(t, served[0]+served[2], 0.9*6*seconds, "the limits are used")
				t.Logf("served: %v urgent, %v others", served[0], served[2])
			})
		})
	}
}
