// Package gate decides which requests may go to an engine now, in which order,
// and which are refused at once because they could not be served in time.
//
// It answers a burst of requests on one engine: what is admitted beyond the
// engine's memory would preempt running requests and read their prompts again,
// and prompts that are read together stall the tokens of all others.
package gate

import (
	"math"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	tierResumed = iota
	tierOnTime
	tierLate
)

const (
	// prefillTokensPerMs is how many prompt tokens an engine reads in a millisecond;
	// from the users' sheets: 25.8.
	prefillTokensPerMs = 25.0
	// maxPrefillShare is the part of an engine's time that may go into reading
	// prompts. An event of a stream takes three steps, and each may read; at
	// this share the pause stays below the 250 ms that the users allow.
	maxPrefillShare = 0.65
	// maxPrefillBacklog is how much reading of prompts may be under way before the
	// next one is admitted: about the time in which the next admission would
	// arrive at the engine.
	maxPrefillBacklog = 10 * time.Millisecond
	// loadWindow is the time over which the reading of prompts is averaged.
	loadWindow = time.Second
	// memoryShare is the part of the engine's memory that is given away; the
	// rest holds parts of prompts that others share.
	memoryShare = 0.92
	// maxHintRatio is how far an answer may exceed the caller's estimate, which
	// is right at the median only, before its memory was not counted.
	maxHintRatio = 2
	// lateWaitDivisor is the part of the time that a caller has left, as a divisor,
	// that it may wait at its last engine for a late answer. The other half
	// covers what the estimate leaves out: more urgent requests that come after.
	lateWaitDivisor = 2
	// minServiceTime is the time that a request takes at least at an engine: the
	// reading of a short prompt and the first events.
	minServiceTime = 100 * time.Millisecond
	// timePerToken is the time for one token of an answer at a full engine; from
	// the users' sheets: 8.2 ms and 4 ms for a full batch.
	timePerToken = 12 * time.Millisecond
)

// Controller admits requests to one engine. Its exported fields may change between
// calls; it is used by one goroutine at a time.
type Controller struct {
	// Slots is how many requests the engine runs at once.
	Slots int
	// TokenCapacity is how many tokens fit into its memory.
	TokenCapacity int64

	waiting    []*Request
	running    map[*Request]struct{}
	usedTokens int64
	// prefillEnd is when the prompts admitted so far will have been read, at the
	// share of time that goes into prefillEnd.
	prefillEnd time.Time
	// recentPrefill is the decayed reading time of the last loadTime, as of readAt.
	recentPrefill   float64
	recentPrefillAt time.Time
}

// Add takes a request in.
func (g *Controller) Add(w *Request) { g.waiting = append(g.waiting, w) }

// Remove takes a waiting request out and reports whether it was there.
func (g *Controller) Remove(w *Request) bool {
	at := slices.Index(g.waiting, w)
	if at < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	return true
}

// Waiting returns the waiting requests, most urgent first.
func (g *Controller) Waiting(now time.Time) []*Request {
	slices.SortStableFunc(g.waiting, func(a, b *Request) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		}
		return 0
	})
	return slices.Clone(g.waiting)
}

// Running returns the number of requests at the engine.
func (g *Controller) Running() int { return len(g.running) }

// Fits reports whether the engine has room for a request now.
func (g *Controller) Fits(w *Request, now time.Time) bool {
	if len(g.running) == 0 {
		return true
	}
	return len(g.running) < g.Slots && g.usedTokens+w.expectedTokens() <= g.usableTokens() && g.prefillEnd.Sub(now) < maxPrefillBacklog
}

func (g *Controller) usableTokens() int64 { return int64(float64(g.TokenCapacity) * memoryShare) }

// Start moves a request from waiting to running.
func (g *Controller) Start(w *Request, now time.Time) {
	g.Remove(w)
	if g.running == nil {
		g.running = map[*Request]struct{}{}
	}
	g.running[w] = struct{}{}
	g.usedTokens += w.expectedTokens()
	if g.prefillEnd.Before(now) {
		g.prefillEnd = now
	}
	g.prefillEnd = g.prefillEnd.Add(prefillTime(w))
	g.recentPrefill = g.decayedPrefill(now) + prefillTime(w).Seconds()
	g.recentPrefillAt = now
}

// decayedPrefill returns the decayed reading time of the last loadTime, in
// seconds.
func (g *Controller) decayedPrefill(now time.Time) float64 {
	return g.recentPrefill * math.Exp(-now.Sub(g.recentPrefillAt).Seconds()/loadWindow.Seconds())
}

// End takes a running request out.
func (g *Controller) End(w *Request) {
	if _, ok := g.running[w]; !ok {
		return
	}
	delete(g.running, w)
	g.usedTokens -= w.expectedTokens()
}

// prefillTime is how long an engine takes to read a prompt beside its other work.
func prefillTime(w *Request) time.Duration {
	return time.Duration(float64(w.Spec.Prompt) / prefillTokensPerMs / maxPrefillShare * float64(time.Millisecond))
}

// Load returns the work at the engine and in front of it as a share of what
// the engine can do, in thousandths.
func (g *Controller) Load(now time.Time) int64 {
	if g.Slots == 0 || g.TokenCapacity == 0 {
		return 0
	}
	tokens, reading := g.usedTokens, g.decayedPrefill(now)
	for _, w := range g.waiting {
		tokens += w.expectedTokens()
		reading += prefillTime(w).Seconds()
	}
	slots := int64(len(g.running)+len(g.waiting)) * 1000 / int64(g.Slots)
	return max(slots, tokens*1000/max(g.usableTokens(), 1), int64(reading/loadWindow.Seconds()*1000))
}

// EstimateWait estimates when a request that comes now could begin, after a load that
// takes some time, given what would go before it.
func (g *Controller) EstimateWait(w *Request, load time.Duration, now time.Time) time.Duration {
	reading := max(g.prefillEnd.Sub(now), 0)
	tokens, ahead := g.usedTokens+w.expectedTokens(), 0
	for _, other := range g.waiting {
		if other == w || !other.before(w, now) {
			continue
		}
		ahead++
		reading += prefillTime(other)
		tokens += other.expectedTokens()
	}
	wait := max(reading-maxPrefillBacklog, 0)
	if over := tokens - g.usableTokens(); over > 0 && len(g.running) > 0 {
		wait = max(wait, g.estimateRelease(over))
	}
	if over := len(g.running) + ahead + 1 - g.Slots; over > 0 && len(g.running) > 0 {
		wait = max(wait, g.estimateRelease(int64(over)*g.meanRunTokens()))
	}
	return max(wait, load)
}

// estimateRelease estimates how long it takes until running requests have given back
// so many tokens.
func (g *Controller) estimateRelease(tokens int64) time.Duration {
	mean, life := g.meanRunTokens(), time.Duration(0)
	for w := range g.running {
		life += w.EstimateRunTime()
	}
	life /= time.Duration(len(g.running))
	// Requests end evenly over their life: one after another frees its tokens.
	each := life / time.Duration(len(g.running))
	return time.Duration((tokens+mean-1)/mean) * each
}

func (g *Controller) meanRunTokens() int64 {
	if len(g.running) == 0 {
		return 1
	}
	return max(g.usedTokens/int64(len(g.running)), 1)
}

// ShouldRefuse reports whether a request that could begin after wait is better
// refused at once: it would be late where another engine or a later moment may
// serve it in time.
func (g *Controller) ShouldRefuse(w *Request, wait time.Duration, now time.Time) bool {
	left := w.deadline().Sub(now)
	if wait+minServiceTime > left {
		return true
	}
	if w.Spec.Resumed || g.MeetsObjective(w, wait, now) {
		return false
	}
	return !w.Spec.Last || wait > left/lateWaitDivisor
}

// MeetsObjective reports whether a request that could begin after wait would be in
// time.
func (g *Controller) MeetsObjective(w *Request, wait time.Duration, now time.Time) bool {
	return wait <= w.objective().Sub(now)-prefillTime(w)
}
