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
	tierTimely
	tierLate
)

const (
	// prefillRate is how many prompt tokens an engine reads in a millisecond;
	// from the users' sheets: 25.8.
	prefillRate = 25.0
	// prefillShare is the part of an engine's time that may go into reading
	// prompts. An event of a stream takes three steps, and each may read; at
	// this share the pause stays below the 250 ms that the users allow.
	prefillShare = 0.65
	// prefillAhead is how much reading of prompts may be under way before the
	// next one is admitted: about the time in which the next admission would
	// arrive at the engine.
	prefillAhead = 10 * time.Millisecond
	// loadTime is the time over which the reading of prompts is averaged.
	loadTime = time.Second
	// memoryShare is the part of the engine's memory that is given away; the
	// rest holds parts of prompts that others share.
	memoryShare = 0.92
	// hintSpread is how far an answer may exceed the caller's estimate, which
	// is right at the median only, before its memory was not counted.
	hintSpread = 2
	// lateShare is the part of the time that a caller has left, as a divisor,
	// that it may wait at its last engine for a late answer. The other half
	// covers what the estimate leaves out: more urgent requests that come after.
	lateShare = 2
	// leastService is the time that a request takes at least at an engine: the
	// reading of a short prompt and the first events.
	leastService = 100 * time.Millisecond
	// tokenTime is the time for one token of an answer at a full engine; from
	// the users' sheets: 8.2 ms and 4 ms for a full batch.
	tokenTime = 12 * time.Millisecond
)

// Controller admits requests to one engine. Its exported fields may change between
// calls; it is used by one goroutine at a time.
type Controller struct {
	// Slots is how many requests the engine runs at once.
	Slots int
	// TokenCapacity is how many tokens fit into its memory.
	TokenCapacity int64

	waiting []*Request
	running map[*Request]struct{}
	used    int64
	// reading is when the prompts admitted so far will have been read, at the
	// share of time that goes into reading.
	reading time.Time
	// read is the decayed reading time of the last loadTime, as of readAt.
	read   float64
	readAt time.Time
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
	return len(g.running) < g.Slots && g.used+w.tokens() <= g.room() && g.reading.Sub(now) < prefillAhead
}

func (g *Controller) room() int64 { return int64(float64(g.TokenCapacity) * memoryShare) }

// Start moves a request from waiting to running.
func (g *Controller) Start(w *Request, now time.Time) {
	g.Remove(w)
	if g.running == nil {
		g.running = map[*Request]struct{}{}
	}
	g.running[w] = struct{}{}
	g.used += w.tokens()
	if g.reading.Before(now) {
		g.reading = now
	}
	g.reading = g.reading.Add(readTime(w))
	g.read = g.readLately(now) + readTime(w).Seconds()
	g.readAt = now
}

// readLately returns the decayed reading time of the last loadTime, in
// seconds.
func (g *Controller) readLately(now time.Time) float64 {
	return g.read * math.Exp(-now.Sub(g.readAt).Seconds()/loadTime.Seconds())
}

// End takes a running request out.
func (g *Controller) End(w *Request) {
	if _, ok := g.running[w]; !ok {
		return
	}
	delete(g.running, w)
	g.used -= w.tokens()
}

// readTime is how long an engine takes to read a prompt beside its other work.
func readTime(w *Request) time.Duration {
	return time.Duration(float64(w.Spec.PromptTokens) / prefillRate / prefillShare * float64(time.Millisecond))
}

// Load returns the work at the engine and in front of it as a share of what
// the engine can do, in thousandths.
func (g *Controller) Load(now time.Time) int64 {
	if g.Slots == 0 || g.TokenCapacity == 0 {
		return 0
	}
	tokens, reading := g.used, g.readLately(now)
	for _, w := range g.waiting {
		tokens += w.tokens()
		reading += readTime(w).Seconds()
	}
	slots := int64(len(g.running)+len(g.waiting)) * 1000 / int64(g.Slots)
	return max(slots, tokens*1000/max(g.room(), 1), int64(reading/loadTime.Seconds()*1000))
}

// EstimateWait estimates when a request that comes now could begin, after a load that
// takes some time, given what would go before it.
func (g *Controller) EstimateWait(w *Request, load time.Duration, now time.Time) time.Duration {
	reading := max(g.reading.Sub(now), 0)
	tokens, ahead := g.used+w.tokens(), 0
	for _, other := range g.waiting {
		if other == w || !other.before(w, now) {
			continue
		}
		ahead++
		reading += readTime(other)
		tokens += other.tokens()
	}
	wait := max(reading-prefillAhead, 0)
	if over := tokens - g.room(); over > 0 && len(g.running) > 0 {
		wait = max(wait, g.freeing(over))
	}
	if over := len(g.running) + ahead + 1 - g.Slots; over > 0 && len(g.running) > 0 {
		wait = max(wait, g.freeing(int64(over)*g.meanTokens()))
	}
	return max(wait, load)
}

// freeing estimates how long it takes until running requests have given back
// so many tokens.
func (g *Controller) freeing(tokens int64) time.Duration {
	mean, life := g.meanTokens(), time.Duration(0)
	for w := range g.running {
		life += w.EstimateRunTime()
	}
	life /= time.Duration(len(g.running))
	// Requests end evenly over their life: one after another frees its tokens.
	each := life / time.Duration(len(g.running))
	return time.Duration((tokens+mean-1)/mean) * each
}

func (g *Controller) meanTokens() int64 {
	if len(g.running) == 0 {
		return 1
	}
	return max(g.used/int64(len(g.running)), 1)
}

// ShouldRefuse reports whether a request that could begin after wait is better
// refused at once: it would be late where another engine or a later moment may
// serve it in time.
func (g *Controller) ShouldRefuse(w *Request, wait time.Duration, now time.Time) bool {
	left := w.until().Sub(now)
	if wait+leastService > left {
		return true
	}
	if w.Spec.Resumed || g.MeetsObjective(w, wait, now) {
		return false
	}
	return !w.Spec.LastCandidate || wait > left/lateShare
}

// MeetsObjective reports whether a request that could begin after wait would be in
// time.
func (g *Controller) MeetsObjective(w *Request, wait time.Duration, now time.Time) bool {
	return wait <= w.goal().Sub(now)-readTime(w)
}
