package direct_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// tokens counts how often a request's tokens are taken and returned.
type tokens struct {
	taken, returned atomic.Int64
	// take replaces the answer to the first requests for tokens.
	take []func(ctx context.Context) error
}

func (k *tokens) request(r *chain.Request) {
	r.TakeTokens = func(ctx context.Context) (func(), error) {
		if at := int(k.taken.Add(1)); len(k.take) >= at {
			if err := k.take[at-1](ctx); err != nil {
				return nil, err
			}
		}
		return func() { k.returned.Add(1) }, nil
	}
}

// Tokens of an attempt that was not sent, or that the endpoint provably did not run, were not
// returned; those of one that may have run must not be.
func TestTokensOfUnsentAttemptsAreReturned(t *testing.T) {
	for name, test := range map[string]struct {
		replies         []reply
		taken, returned int
	}{
		"sent":                      {[]reply{good}, 1, 0},
		"no connection":             {[]reply{unreached, good}, 2, 1},
		"not run by the endpoint":   {[]reply{rejected, rejected, good}, 3, 2},
		"broken, repeated":          {[]reply{reset, good}, 2, 0},
		"broken, then unreachable":  {[]reply{reset, unreached, good}, 3, 1},
		"answered with an error":    {[]reply{failed, good}, 2, 0},
		"no connection to any of 5": {[]reply{unreached}, 5, 5},
	} {
		bubble.Test(t, func(t *testing.T) {
			k := &tokens{}
			s := &service{replies: test.replies}
			_, _ = run(t.Context(), newFilter(s, 6), func(r *chain.Request) {
				retryable(r)
				r.Route.Attempts = 5
				k.request(r)
			})
			require.Equal(t, []int{test.taken, test.returned}, []int{int(k.taken.Load()), int(k.returned.Load())}, name)
			require.Len(t, s.calls, test.taken, name)
		})
	}
}

// A request that gets no tokens must neither be sent nor admitted, and must be answered with
// the limiter's refusal: admitted requests of a workspace beyond its rate kept places at the
// engines idle, and other workspaces were refused.
func TestRequestWithoutTokensIsNotAdmitted(t *testing.T) {
	inSite(t, 1, func(t *testing.T, s *site) {
		k := &tokens{take: []func(ctx context.Context) error{func(context.Context) error {
			return chain.Refuse(http.StatusTooManyRequests, "rate_limited", "no tokens").WithRetryAfter(700 * time.Millisecond)
		}}}
		s.filter.Send = func(context.Context, *direct.Call) (*direct.Answer, error) {
			t.Error("sent")
			return nil, nil
		}
		started := time.Now()
		_, err := run(t.Context(), s.filter, func(r *chain.Request) {
			model(r)
			k.request(r)
		})
		refusal := chain.RefusalOf(err)
		require.Equal(t, http.StatusTooManyRequests, refusal.Status)
		require.Equal(t, chain.RanNo, refusal.Ran)
		require.Equal(t, 700*time.Millisecond, refusal.RetryAfter)
		require.Empty(t, s.received, "no admission is requested")
		require.Less(t, time.Since(started), 100*time.Millisecond)
	})
}

// A request that waits long for its admission must not keep its tokens, whose leases expire
// meanwhile, and must take them again before it is sent.
func TestTokensAreGivenBackDuringALongAdmission(t *testing.T) {
	inSite(t, 1, func(t *testing.T, s *site) {
		s.admissionTime = 200 * time.Millisecond
		k := &tokens{}
		_, err := run(t.Context(), s.filter, func(r *chain.Request) {
			model(r)
			k.request(r)
		})
		require.NoError(t, err)
		require.Equal(t, []int{2, 1}, []int{int(k.taken.Load()), int(k.returned.Load())})
	})
}

// A request that was admitted after a long wait, and gets its tokens no more, must give back its
// admission soon. It is admitted again once it has tokens.
func TestAdmissionWithoutTokensEndsSoon(t *testing.T) {
	inSite(t, 1, func(t *testing.T, s *site) {
		s.admissionTime = 200 * time.Millisecond
		ended := watchAdmissions(s)
		var endedAtRetry int64
		k := &tokens{take: []func(ctx context.Context) error{
			func(context.Context) error { return nil },
			func(ctx context.Context) error {
				<-ctx.Done()
				return chain.Canceled(ctx, chain.RanNo)
			},
			func(context.Context) error {
				synctest.Wait()
				endedAtRetry = ended.Load()
				s.admissionTime = 0
				return nil
			},
		}}
		started := time.Now()
		_, err := run(t.Context(), s.filter, func(r *chain.Request) {
			model(r)
			k.request(r)
		})
		require.NoError(t, err)
		require.EqualValues(t, 1, endedAtRetry, "the admission has ended before the next wait for tokens")
		require.Equal(t, []int{3, 1}, []int{int(k.taken.Load()), int(k.returned.Load())})
		require.Less(t, time.Since(started), 500*time.Millisecond)
	})
}

// watchAdmissions counts the admissions that have ended, by the agents.
func watchAdmissions(s *site) *atomic.Int64 {
	ended := &atomic.Int64{}
	s.afterReply = func(stream *wire.Stream) {
		var none struct{}
		_ = stream.Receive(&none)
		ended.Add(1)
	}
	return ended
}

// A request whose agent was lost while it waited for tokens was sent to the engine without an
// admission; it must go through the selection again.
func TestAdmissionLostWhileWaitingForTokens(t *testing.T) {
	inSite(t, 1, func(t *testing.T, s *site) {
		s.admissionTime = 200 * time.Millisecond
		watchAdmissions(s)
		k := &tokens{take: []func(ctx context.Context) error{
			func(context.Context) error { return nil },
			func(ctx context.Context) error {
				s.stops["e0"]()
				select {
				case <-ctx.Done():
					return chain.Canceled(ctx, chain.RanNo)
				case <-time.After(5 * time.Second):
					return nil
				}
			},
		}}
		_, err := run(t.Context(), s.filter, func(r *chain.Request) {
			model(r)
			r.Adapter = ""
			k.request(r)
		})
		require.NoError(t, err)
		require.Equal(t, []int{3, 1}, []int{int(k.taken.Load()), int(k.returned.Load())}, "taken again for the next admission, or without one at an engine without its agent")
	})
}

// Tokens of a request whose endpoint left or asked for a pause after they were taken are
// returned.
func TestTokensReturnedWhenTheEndpointLeaves(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &service{replies: []reply{good}}
		d := newFilter(s, 1)
		k := &tokens{}
		_, err := run(t.Context(), d, func(r *chain.Request) {
			k.request(r)
			r.Check = func() error {
				if k.taken.Load() == 1 {
					d.Endpoints.Update(map[string][]advert.Record{"s": {{Name: "e1", Service: "s", Address: "e1:1", DataCentre: "d", Slots: 4}}})
				}
				return nil
			}
		})
		require.NoError(t, err)
		require.Equal(t, []int{2, 1}, []int{int(k.taken.Load()), int(k.returned.Load())})
		require.Equal(t, "e1", s.calls[0].Endpoint.Name)
	})
}
