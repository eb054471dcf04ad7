// Package gate is the admission control in front of one engine. It decides which requests may
// go to the engine now and in which order, and which requests are refused at once because the
// engine could not serve them in time.
//
// Requests admitted beyond the engine's memory would preempt running requests, whose prompts
// are then processed again, and prompts processed together stall the token streams of all
// other requests.
package gate

import (
	"math"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/pace"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// The tiers, as returned by Request.tier, in the order of admission.
	tierResumed = iota
	tierOnTime
	tierLate
)

const (
	// prefillGapShare is the part of the required gap between two events, less the time of the
	// event's own steps, that may go into prefill. The rest covers prompts that meet in one gap
	// although they were admitted apart.
	prefillGapShare = 0.76
	// gapMargin is the part of the required gap that a prompt may fill while the engine is slow:
	// its present speed is known to about a tenth.
	gapMargin = 0.9
	// minPrefillShare and maxPrefillShare bound the part of an engine's time that may go into
	// prefill, so that a required gap that the engine cannot keep does not stop prefill.
	minPrefillShare = 0.25
	maxPrefillShare = 0.9
	// defaultTokenGap is the required gap of a request that names none.
	defaultTokenGap = 250 * time.Millisecond
	// defaultStepsPerEvent is the number of steps per stream event if the configuration states
	// none.
	defaultStepsPerEvent = 3
	// maxStallWait is how long a prompt waits for a slow moment of the engine to pass. Such
	// moments take some hundred milliseconds.
	maxStallWait = 700 * time.Millisecond
	// maxPrefillBacklog is how much prefill may be outstanding when the next request is
	// admitted: about the time that an admitted request takes to arrive at the engine.
	maxPrefillBacklog = 10 * time.Millisecond
	// loadWindow is the time constant over which the prefill load is averaged.
	loadWindow = time.Second
	// memoryShare is the part of the engine's memory that is allocated to requests; the rest
	// holds cached prompt prefixes shared between requests.
	memoryShare = 0.92
	// maxHintRatio limits the memory reserved for an answer to a multiple of the caller's
	// estimate. The estimate is right only for the median answer, so many answers are longer.
	maxHintRatio = 2
	// lateWaitDivisor is the inverse of the part of a request's remaining time that the request
	// may wait at the last engine available to it if it would miss its objective there. The
	// other half covers more urgent requests that arrive later, which the estimate omits.
	lateWaitDivisor = 2
	// minServiceTime is the shortest time that a request takes at an engine: the prefill of a
	// short prompt and the first events.
	minServiceTime = 100 * time.Millisecond
)

// Controller admits requests to one engine. The keeper adds arriving requests, starts those
// that fit and ends them when they leave the engine. Exported fields may change between calls.
// A Controller is not safe for concurrent use.
type Controller struct {
	// Slots is how many requests the engine runs at once.
	Slots int
	// TokenCapacity is how many tokens fit into the engine's memory.
	TokenCapacity int64
	// StepsPerEvent is how many steps of the engine make one event of a stream; 0 if unknown.
	StepsPerEvent int
	// Pace is the engine's present pace; the zero value is pace.Default.
	Pace pace.Pace

	waiting []*Request
	running map[*Request]struct{}
	// shortestGap is the shortest required gap between two events of the running streams, 0 if
	// none runs.
	shortestGap time.Duration
	// usedTokens is the expected memory of all running requests.
	usedTokens int64
	// prefillTokens is the number of admitted prompt tokens that the engine has yet to process,
	// as of prefillAt, if it spends the allowed part of its time on them.
	prefillTokens float64
	prefillAt     time.Time
	// admittedTokens is the number of prompt tokens admitted so far, less those withdrawn.
	// The engine processes prompts in the order of their admission.
	admittedTokens float64
	// outstanding is the number of prompt tokens sent to the engine whose prefill is not seen to
	// have ended, by the engine's reports.
	outstanding int64
	// recentPrefill is the prefill time admitted within about the last loadWindow, in seconds.
	// It decays exponentially and is stated as of recentPrefillAt.
	recentPrefill   float64
	recentPrefillAt time.Time
}

// Add queues a request.
func (c *Controller) Add(r *Request) { c.waiting = append(c.waiting, r) }

// Remove removes a waiting request and reports whether it was waiting.
func (c *Controller) Remove(r *Request) bool {
	at := slices.Index(c.waiting, r)
	if at < 0 {
		return false
	}
	c.waiting = slices.Delete(c.waiting, at, at+1)
	return true
}

// Waiting returns the waiting requests, most urgent first.
func (c *Controller) Waiting(now time.Time) []*Request {
	slices.SortStableFunc(c.waiting, func(a, b *Request) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		}
		return 0
	})
	return slices.Clone(c.waiting)
}

// Running returns the number of requests at the engine.
func (c *Controller) Running() int { return len(c.running) }

// Fits reports whether the engine has room for a request now. An idle engine accepts any
// request.
func (c *Controller) Fits(r *Request, now time.Time) bool {
	if len(c.running) == 0 {
		return true
	}
	return len(c.running) < c.Slots && c.usedTokens+r.expectedTokens() <= c.usableTokens() && c.prefillBacklog(now) < maxPrefillBacklog && !c.wouldStall(r, now) && !c.wouldCrowd(r)
}

// usableTokens returns the memory that requests may occupy, in tokens.
func (c *Controller) usableTokens() int64 { return int64(float64(c.TokenCapacity) * memoryShare) }

// Start moves a request from waiting to running.
func (c *Controller) Start(r *Request, now time.Time) {
	c.Remove(r)
	if c.running == nil {
		c.running = map[*Request]struct{}{}
	}
	c.running[r] = struct{}{}
	c.updateShortestGap()
	c.usedTokens += r.expectedTokens()
	c.prefillTokens = c.remainingPrefill(now) + float64(r.Spec.PromptTokens)
	c.prefillAt = now
	c.admittedTokens += float64(r.Spec.PromptTokens)
	r.prefillEnd = c.admittedTokens
	c.outstanding += r.Spec.PromptTokens
	c.recentPrefill = c.decayedPrefill(now) + c.prefillTime(r).Seconds()
	c.recentPrefillAt = now
}

// decayedPrefill returns the prefill time of about the last loadWindow, in seconds.
func (c *Controller) decayedPrefill(now time.Time) float64 {
	return c.recentPrefill * math.Exp(-now.Sub(c.recentPrefillAt).Seconds()/loadWindow.Seconds())
}

// End removes a running request.
func (c *Controller) End(r *Request) {
	if _, ok := c.running[r]; !ok {
		return
	}
	delete(c.running, r)
	c.updateShortestGap()
	c.usedTokens -= r.expectedTokens()
}

// Withdraw removes a running request that did not reach the engine, together with the part of
// its prompt that counts as not processed yet.
func (c *Controller) Withdraw(r *Request, now time.Time) {
	if _, ok := c.running[r]; !ok {
		return
	}
	backlog := c.remainingPrefill(now)
	withdrawn := min(max(r.prefillEnd-(c.admittedTokens-backlog), 0), float64(r.Spec.PromptTokens))
	c.prefillTokens, c.prefillAt = backlog-withdrawn, now
	c.admittedTokens -= withdrawn
	for other := range c.running {
		if other.prefillEnd > r.prefillEnd {
			other.prefillEnd -= withdrawn
		}
	}
	c.End(r)
}

// Load returns the utilization of the engine by running and waiting requests, in thousandths.
// It is the highest of the shares of slots, memory and prefill time.
func (c *Controller) Load(now time.Time) int64 {
	if c.Slots == 0 || c.TokenCapacity == 0 {
		return 0
	}
	tokens, prefill := c.usedTokens, c.decayedPrefill(now)
	for _, r := range c.waiting {
		tokens += r.expectedTokens()
		prefill += c.prefillTime(r).Seconds()
	}
	slots := int64(len(c.running)+len(c.waiting)) * 1000 / int64(c.Slots)
	return max(slots, tokens*1000/max(c.usableTokens(), 1), int64(prefill/loadWindow.Seconds()*1000))
}

// EstimateWait estimates how long a request waits until it can start: after the requests that
// precede it and not before its adapter is loaded, which takes the time load.
func (c *Controller) EstimateWait(r *Request, load time.Duration, now time.Time) time.Duration {
	backlog := c.prefillBacklog(now)
	tokens, ahead := c.usedTokens+r.expectedTokens(), 0
	for _, other := range c.waiting {
		if other == r || !other.before(r, now) {
			continue
		}
		ahead++
		backlog += c.prefillTime(other)
		tokens += other.expectedTokens()
	}
	wait := max(backlog-maxPrefillBacklog, 0)
	if over := tokens - c.usableTokens(); over > 0 && len(c.running) > 0 {
		wait = max(wait, c.estimateRelease(over))
	}
	if over := len(c.running) + ahead + 1 - c.Slots; over > 0 && len(c.running) > 0 {
		wait = max(wait, c.estimateRelease(int64(over)*c.meanRunTokens()))
	}
	return max(wait, load)
}

// estimateRelease estimates how long it takes until running requests release a number of
// tokens.
func (c *Controller) estimateRelease(tokens int64) time.Duration {
	mean, runTime := c.meanRunTokens(), time.Duration(0)
	for r := range c.running {
		runTime += c.EstimateRunTime(r)
	}
	runTime /= time.Duration(len(c.running))
	// Assumes that requests end at even intervals, each releasing the mean number of tokens.
	interval := runTime / time.Duration(len(c.running))
	return time.Duration((tokens+mean-1)/mean) * interval
}

// meanRunTokens returns the mean expected memory of a running request, at least 1.
func (c *Controller) meanRunTokens() int64 {
	if len(c.running) == 0 {
		return 1
	}
	return max(c.usedTokens/int64(len(c.running)), 1)
}

// ShouldRefuse reports whether a request that could start after wait is better refused at
// once: it would miss its objective here, whereas another engine or a later attempt may meet
// it. A resumed request may be late, and so may, within limits, one that has no other engine
// left.
func (c *Controller) ShouldRefuse(r *Request, wait time.Duration, now time.Time) bool {
	remaining := r.deadline().Sub(now)
	if wait+minServiceTime > remaining {
		return true
	}
	if r.Spec.Resumed || c.MeetsObjective(r, wait, now) {
		return false
	}
	return !r.Spec.LastCandidate || wait > remaining/lateWaitDivisor
}

// MeetsObjective reports whether a request that could start after wait would return its first
// token in time.
func (c *Controller) MeetsObjective(r *Request, wait time.Duration, now time.Time) bool {
	return wait <= r.objective().Sub(now)-c.prefillTime(r)
}
