package gate_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/gate"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

const (
	replaySlots  = 64
	replayMemory = 125_000
	replayStep   = 10 * time.Millisecond
)

// replayed is one request of a replayed load and what became of it.
type replayed struct {
	at   time.Duration
	spec admit.Request
	// answer is the number of tokens that the answer has.
	answer  int64
	request *gate.Request
	// started is when the request was admitted and refused when it was refused; the other one
	// is zero. back is when the refused caller was told to come back.
	started, refused, back time.Time
}

// wait returns how long an admitted request waited.
func (r *replayed) wait() time.Duration { return r.started.Sub(r.request.Arrived) }

// onTime reports whether the request was admitted before its objective.
func (r *replayed) onTime() bool {
	return !r.started.IsZero() && r.wait() < r.spec.FirstTokenRemaining.Std()
}

// replay plays a load to one engine without a network, taking the steps of the keeper.
func replay(load []*replayed, until time.Duration) {
	replayWith(load, until, func(*gate.Controller, []*gate.Request, time.Time) {})
}

// replayWith calls observe in each step before requests are admitted.
func replayWith(load []*replayed, until time.Duration, observe func(g *gate.Controller, waiting []*gate.Request, now time.Time)) {
	slices.SortStableFunc(load, func(a, b *replayed) int { return int(a.at - b.at) })
	g := &gate.Controller{Slots: replaySlots, TokenCapacity: replayMemory}
	byRequest, ends := map[*gate.Request]*replayed{}, map[*gate.Request]time.Time{}
	next := 0
	for elapsed := time.Duration(0); elapsed < until; elapsed += replayStep {
		now := start.Add(elapsed)
		for r, end := range ends {
			if !now.Before(end) {
				g.End(r)
				delete(ends, r)
			}
		}
		for ; next < len(load) && load[next].at <= elapsed; next++ {
			r := load[next]
			r.request = &gate.Request{Spec: &r.spec, Arrived: now}
			byRequest[r.request] = r
			g.Add(r.request)
		}
		full, waiting := false, g.Waiting(now)
		observe(g, waiting, now)
		for _, r := range waiting {
			if !full && g.MayStart(r, now) {
				g.Start(r, now)
				byRequest[r].started = now
				ends[r] = now.Add(100*time.Millisecond + time.Duration(byRequest[r].answer)*12*time.Millisecond)
				continue
			}
			full = true
			if wait := g.EstimateWait(r, 0, now); g.ShouldRefuse(r, wait, now) {
				byRequest[r].refused, byRequest[r].back = now, now.Add(g.ReturnTime(r, wait, now))
				g.Remove(r)
			}
		}
	}
}

// traffic is the load of one workspace.
type traffic struct {
	workspace      string
	perSecond      float64
	prompt, answer int64
	change         func(*admit.Request)
}

// The sizes of requests: an engine without other work admits smallPrompt at about 70 a second
// and runs 17 of longAnswer a second, and admits largePrompt at 20 a second.
const (
	smallPrompt, longAnswer  = 200, 300
	largePrompt, shortAnswer = 800, 100
)

// arrivals returns the requests of a workspace for a time, at random intervals.
func (a traffic) arrivals(seed uint64, from, until time.Duration) []*replayed {
	random := rand.New(rand.NewPCG(seed, uint64(len(a.workspace))+uint64(a.workspace[len(a.workspace)-1])))
	var load []*replayed
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / a.perSecond * float64(time.Second))
		if at >= until {
			return load
		}
		r := &replayed{at: at, answer: int64(float64(a.answer) * (0.5 + random.Float64())), spec: admit.Request{
			Endpoint: "e", Model: "m", Workspace: a.workspace, PromptTokens: a.prompt, MaxAnswerTokens: 4 * a.answer, ExpectedAnswerTokens: a.answer,
			FirstTokenRemaining: span.Duration(time.Second), Remaining: span.Duration(8 * time.Second), LastCandidate: true,
		}}
		if a.change != nil {
			a.change(&r.spec)
		}
		load = append(load, r)
	}
}

// tally sums up the requests that a filter selects.
type tally struct {
	offered, onTime, served, refused int
	work                             int64
	longest                          time.Duration
}

func (s *tally) add(other tally) {
	s.offered, s.onTime, s.served, s.refused = s.offered+other.offered, s.onTime+other.onTime, s.served+other.served, s.refused+other.refused
	s.work, s.longest = s.work+other.work, max(s.longest, other.longest)
}

func count(load []*replayed, selects func(r *replayed) bool) tally {
	var sum tally
	for _, r := range load {
		if !selects(r) {
			continue
		}
		sum.offered++
		if !r.refused.IsZero() {
			sum.refused++
		}
		if r.started.IsZero() {
			continue
		}
		sum.served++
		sum.work += r.spec.PromptTokens + 4*r.spec.ExpectedAnswerTokens
		sum.longest = max(sum.longest, r.wait())
		if r.onTime() {
			sum.onTime++
		}
	}
	return sum
}

func of(workspace string) func(r *replayed) bool {
	return func(r *replayed) bool { return r.spec.Workspace == workspace }
}

func notOf(workspace string) func(r *replayed) bool {
	return func(r *replayed) bool { return r.spec.Workspace != workspace }
}

// forKinds runs a test with requests that are limited by the engine's slots and with such that
// are limited by its prefill. capacity is how many of them an engine serves a second.
func forKinds(t *testing.T, test func(t *testing.T, prompt, answer int64, capacity float64)) {
	t.Run("slots", func(t *testing.T) { test(t, smallPrompt, longAnswer, 17) })
	t.Run("prefill", func(t *testing.T) { test(t, largePrompt, shortAnswer, 20) })
}
