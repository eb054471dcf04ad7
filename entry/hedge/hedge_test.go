package hedge_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/hedge"
)

const ms = time.Millisecond

// start is the time at which each replay begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// learn records one answer of each endpoint every step, for ten seconds.
func learn(p *hedge.Policy, from time.Time, latency func(endpoint int, random float64) time.Duration, endpoints int) time.Time {
	random := rand.New(rand.NewPCG(1, 2))
	now := from
	for range 500 {
		now = now.Add(20 * ms)
		for e := range endpoints {
			p.RecordAnswer("s", "r", fmt.Sprint("e", e), latency(e, random.Float64()), now)
		}
	}
	return now
}

// usually returns latencies from 20 to 40 ms.
func usually(_ int, random float64) time.Duration {
	return time.Duration((20 + 20*random) * float64(ms))
}

// allowed is a question that only the limits of the operators may deny.
func allowed() hedge.Question {
	return hedge.Question{
		Service: "s", Route: "r", Shares: hedge.Shares{Service: 0.05}, Threshold: 40 * ms, Elapsed: 40 * ms, Remaining: time.Second, AttemptsLeft: 1,
		Loads: hedge.Loads{First: 0.25, Other: 0.125, Found: true, Service: 0.2},
	}
}

// requests counts n requests at a time.
func requests(p *hedge.Policy, n int, now time.Time) {
	for range n {
		p.RecordRequest("s", "r", now)
	}
}

// Each condition denies the hedge by itself, with its own cause. If one were missing, a
// request would run more often than its route allows, or load would be added where it does
// harm.
func TestEachConditionDeniesTheHedge(t *testing.T) {
	for cause, change := range map[hedge.Cause]func(q *hedge.Question){
		hedge.CauseNone:     func(*hedge.Question) {},
		hedge.CauseAttempts: func(q *hedge.Question) { q.AttemptsLeft = 0 },
		hedge.CauseSuspect:  func(q *hedge.Question) { q.Suspect = true },
		hedge.CauseRemoved:  func(q *hedge.Question) { q.Removed = true },
		hedge.CauseTime:     func(q *hedge.Question) { q.Remaining = 39 * ms },
		hedge.CauseStalled:  func(q *hedge.Question) { q.Elapsed = time.Second },
		hedge.CauseEndpoint: func(q *hedge.Question) { q.Loads.Found = false },
		hedge.CausePeak:     func(q *hedge.Question) { q.Loads.Service = 0.7 },
		hedge.CauseLoad:     func(q *hedge.Question) { q.Loads.Other = q.Loads.First },
		hedge.CauseShare:    func(q *hedge.Question) { q.Shares = hedge.Shares{} },
	} {
		p := &hedge.Policy{}
		requests(p, 100, start)
		q := allowed()
		change(&q)
		require.Equal(t, cause, p.Decide(&q, start), "cause %q", cause)
	}
}

// Replays random loads with hedges asked for all the time: in no ten seconds that end with
// a hedge, the hedges exceed the share of the requests that arrived in them. Limits by
// calendar periods allow twice the share across their border.
func TestOperatorsLimitHoldsInEveryTenSeconds(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		p := &hedge.Policy{}
		share := []float64{0.01, 0.05, 0.2, 1}[seed%4]
		var arrived, sent []time.Time
		now, rate := start, 0.0
		for range 20000 {
			if random.IntN(500) == 0 {
				rate = 1000 * random.Float64() * random.Float64()
			}
			now = now.Add(time.Duration(random.ExpFloat64() / (rate + 1) * float64(time.Second)))
			if random.IntN(2) == 0 {
				p.RecordRequest("s", "r", now)
				arrived = append(arrived, now)
				continue
			}
			q := allowed()
			q.Shares = hedge.Shares{Route: share}
			if p.Decide(&q, now) == hedge.CauseNone {
				sent = append(sent, now)
				require.LessOrEqual(t, float64(within(sent, now)), share*float64(within(arrived, now)), "seed %d at %s", seed, now.Sub(start))
			}
		}
		require.NotEmpty(t, sent, "the limit is used")
		if share < 0.5 {
			require.Greater(t, float64(len(sent)), 0.5*share*float64(len(arrived)), "seed %d: most of the limit is used", seed)
		}
	}
}

// within counts the times in the ten seconds up to now.
func within(times []time.Time, now time.Time) int {
	count := 0
	for i := len(times) - 1; i >= 0 && now.Sub(times[i]) <= 10*time.Second; i-- {
		count++
	}
	return count
}

// A service's limit covers all of its routes, a route's limit only itself; a hedge that is
// given back is available again. Without the sum, each further route of a service would
// add another share of hedges.
func TestLimitsOfServiceAndRoute(t *testing.T) {
	p := &hedge.Policy{}
	for _, route := range []string{"a", "b"} {
		for range 100 {
			p.RecordRequest("s", route, start)
		}
	}
	ask := func(route string, shares hedge.Shares) int {
		count := 0
		q := allowed()
		for q.Route, q.Shares = route, shares; p.Decide(&q, start) == hedge.CauseNone; count++ {
			require.Less(t, count, 1000)
		}
		return count
	}
	require.Equal(t, 2, ask("a", hedge.Shares{Service: 0.05, Route: 0.02}), "the route's limit")
	require.Equal(t, 8, ask("b", hedge.Shares{Service: 0.05}), "the rest of the service's limit of 10")
	require.Equal(t, 0, ask("a", hedge.Shares{Service: 0.05, Route: 1}))
	q := allowed()
	q.Route = "b"
	p.GiveBack(&q, start)
	require.Equal(t, 1, ask("b", hedge.Shares{Service: 0.05}))
	require.Equal(t, 3, ask("a", hedge.Shares{Route: 0.05}), "only the route's limit")
}

// Without enough answers there is no threshold, so that nothing is hedged on the first few
// answers after a start. Answers of an hour ago say nothing.
func TestThresholdIsUnknownWithoutRecentAnswers(t *testing.T) {
	p := &hedge.Policy{}
	for range 30 {
		p.RecordAnswer("s", "r", "e0", 20*ms, start)
		p.RecordAnswer("s", "r", "e1", 20*ms, start)
	}
	_, known := p.Threshold("s", "r", start)
	require.False(t, known)
	now := learn(p, start, usually, 2)
	_, known = p.Threshold("s", "r", now)
	require.True(t, known)
	_, known = p.Threshold("s", "other", now)
	require.False(t, known)
	_, known = p.Threshold("s", "r", now.Add(time.Hour))
	require.False(t, known)
}

// Replays the load of one slow endpoint of three, constantly slow and slow at times (grey).
// A quantile of all answers together follows the slow endpoint, and nothing is hedged.
func TestOneSlowEndpointDoesNotRaiseTheThreshold(t *testing.T) {
	for name, slow := range map[string]func(random float64) time.Duration{
		"slow": func(float64) time.Duration { return 400 * ms },
		"grey": func(random float64) time.Duration {
			if random < 0.3 {
				return 600 * ms
			}
			return 20 * ms
		},
	} {
		p := &hedge.Policy{}
		now := learn(p, start, func(e int, random float64) time.Duration {
			if e == 0 {
				return slow(random)
			}
			return usually(e, random)
		}, 3)
		threshold, known := p.Threshold("s", "r", now)
		require.True(t, known, name)
		require.InDelta(t, 39, threshold.Milliseconds(), 4, name)
	}
}

// When all endpoints become slow, the threshold follows within two seconds: their answers
// are then usual, and a hedge would gain nothing. It comes down after 20 s.
func TestThresholdFollowsWhenAllEndpointsBecomeSlow(t *testing.T) {
	p := &hedge.Policy{}
	now := learn(p, start, usually, 3)
	for range 100 {
		now = now.Add(20 * ms)
		for e := range 3 {
			p.RecordAnswer("s", "r", fmt.Sprint("e", e), 300*ms, now)
		}
	}
	threshold, _ := p.Threshold("s", "r", now)
	require.GreaterOrEqual(t, threshold, 280*ms)
	now = learn(p, now.Add(11*time.Second), usually, 3)
	threshold, _ = p.Threshold("s", "r", now)
	require.InDelta(t, 39, threshold.Milliseconds(), 4)
}

// The threshold stays known while answers come: a new histogram is empty at first.
func TestThresholdStaysKnown(t *testing.T) {
	p := &hedge.Policy{}
	now := start
	for i := range 5000 {
		now = now.Add(20 * ms)
		p.RecordAnswer("s", "r", fmt.Sprint("e", i%3), usually(0, float64(i%100)/100), now)
		_, known := p.Threshold("s", "r", now)
		require.Equal(t, i >= 200, i >= 200 && known, "after %d answers", i)
	}
}

// With very fast answers, the threshold stays at its floor: below, a delay in scheduling
// would be taken for a slow endpoint. With many endpoints of few answers each, the answers
// of the whole route count.
func TestThresholdFloorAndManyEndpoints(t *testing.T) {
	p := &hedge.Policy{}
	now := learn(p, start, func(int, float64) time.Duration { return ms }, 2)
	threshold, known := p.Threshold("s", "r", now)
	require.True(t, known)
	require.Equal(t, 10*ms, threshold)
	p = &hedge.Policy{}
	for i := range 300 {
		p.RecordAnswer("s", "r", fmt.Sprint("e", i), usually(0, float64(i%100)/100), start)
	}
	threshold, known = p.Threshold("s", "r", start)
	require.True(t, known)
	require.InDelta(t, 39, threshold.Milliseconds(), 4)
}

// The latencies of endpoints that have left make room for others, so that a site whose
// endpoints are replaced is measured for ever.
func TestLatenciesOfFormerEndpointsAreDropped(t *testing.T) {
	p := &hedge.Policy{}
	now := start
	for generation := range 100 {
		for range 50 {
			p.RecordAnswer("s", "r", fmt.Sprint("g", generation, "slow"), 900*ms, now)
			for e := range 2 {
				p.RecordAnswer("s", "r", fmt.Sprint("g", generation, "e", e), time.Duration(20+generation)*ms, now)
			}
		}
		now = now.Add(25 * time.Second)
	}
	threshold, known := p.Threshold("s", "r", now.Add(-25*time.Second))
	require.True(t, known)
	require.InDelta(t, 119, threshold.Milliseconds(), 8)
}

// An invalid share gives a clear error.
func TestCheckShare(t *testing.T) {
	for _, share := range []float64{0, 0.05, 1} {
		require.NoError(t, hedge.CheckShare(share))
	}
	for _, share := range []float64{-0.1, 1.01, math.NaN(), math.Inf(1)} {
		err := hedge.CheckShare(share)
		require.True(t, errors.Is(err, &hedge.Error{Kind: hedge.KindShare}))
		require.ErrorContains(t, err, "from 0 to 1")
	}
}
