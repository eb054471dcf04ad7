package gate

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/pace"
)

// ApplyPace sets the engine's present pace, and how many prompt tokens were sent to it whose
// prefill is not seen to have ended. It is called before each pass over the waiting requests.
func (c *Controller) ApplyPace(p pace.Pace, outstanding int64, now time.Time) {
	// What was processed so far was processed at the former pace.
	c.prefillTokens, c.prefillAt = c.remainingPrefill(now), now
	c.Pace, c.outstanding = p, outstanding
}

// SetPrefill replaces the estimated number of admitted prompt tokens that the engine has yet to
// process. It is called where the estimate does not hold because the engine may not have worked.
func (c *Controller) SetPrefill(tokens int64, now time.Time) {
	c.prefillTokens, c.prefillAt, c.outstanding = float64(tokens), now, tokens
}

// wouldStall reports whether the prompt of a request would delay the events of a running
// stream beyond its required gap because the engine is slow at present. The prompt then waits
// for the moment to pass. A prompt that is too long at the engine's usual speed does not wait.
func (c *Controller) wouldStall(r *Request, now time.Time) bool {
	if c.slowdown() <= 1 || r.Spec.PromptTokens <= c.prefillBudget(max(c.slowdown(), c.Pace.SlowMoments)) {
		return false
	}
	if r.stalled.IsZero() {
		r.stalled = now
	}
	return now.Sub(r.stalled) <= maxStallWait
}

// wouldCrowd reports whether the prompt of a request would fall into one gap between events
// together with prompts that the engine is still processing, and delay a running stream beyond
// its required gap if the engine turned slow now. An engine that turns slow at moments so gets
// prompts one after the other; one that does not is limited by its backlog only.
func (c *Controller) wouldCrowd(r *Request) bool {
	if c.Pace.SlowMoments <= 1 || c.outstanding == 0 {
		return false
	}
	return c.outstanding+r.Spec.PromptTokens > c.prefillBudget(c.Pace.SlowMoments)
}

// prefillBudget returns how many prompt tokens the engine can process within one gap between
// the events of the running streams while it is slower than usual by a factor.
func (c *Controller) prefillBudget(slowdown float64) int64 {
	usual := c.usualPace()
	free := gapMargin*pace.Millis(c.tokenGap())/slowdown - pace.Millis(usual.StepTime)*float64(c.stepsPerEvent())
	return int64(max(free, 0) * usual.PrefillTokensPerMs)
}

// prefillTime returns how long the engine takes to process a prompt beside its other work.
func (c *Controller) prefillTime(r *Request) time.Duration {
	return c.prefillDuration(float64(r.Spec.PromptTokens))
}

func (c *Controller) prefillDuration(tokens float64) time.Duration {
	return time.Duration(tokens / (c.prefillTokensPerMs() * c.prefillShare()) * float64(time.Millisecond))
}

// prefillBacklog returns how long the engine takes until it has processed all admitted prompts.
func (c *Controller) prefillBacklog(now time.Time) time.Duration {
	return c.prefillDuration(c.remainingPrefill(now))
}

// remainingPrefill returns the number of admitted prompt tokens that the engine has yet to
// process.
func (c *Controller) remainingPrefill(now time.Time) float64 {
	processed := pace.Millis(now.Sub(c.prefillAt)) * c.prefillTokensPerMs() * c.prefillShare()
	return max(c.prefillTokens-max(processed, 0), 0)
}

// prefillShare returns the part of the engine's time that may go into prefill. A gap between
// two events holds the steps of the event and the prefill that falls between them.
func (c *Controller) prefillShare() float64 {
	share := prefillGapShare * (1 - float64(c.eventTime())/float64(c.tokenGap()))
	return min(max(share, minPrefillShare), maxPrefillShare)
}

// tokenGap returns the shortest required gap between two events of the running streams.
func (c *Controller) tokenGap() time.Duration {
	if c.shortestGap == 0 {
		return defaultTokenGap
	}
	return c.shortestGap
}

// updateShortestGap is called after each change of running. The gap is kept because each
// estimate of a wait uses it once for each waiting request.
func (c *Controller) updateShortestGap() {
	c.shortestGap = 0
	for r := range c.running {
		if gap := r.tokenGap(); c.shortestGap == 0 || gap < c.shortestGap {
			c.shortestGap = gap
		}
	}
}

// eventTime returns how long the engine takes at present for the steps of one event.
func (c *Controller) eventTime() time.Duration {
	return time.Duration(c.stepsPerEvent()) * c.stepTime()
}

func (c *Controller) stepsPerEvent() int {
	if c.StepsPerEvent <= 0 {
		return defaultStepsPerEvent
	}
	return c.StepsPerEvent
}

// stepTime returns how long the engine takes for one step at present.
func (c *Controller) stepTime() time.Duration {
	return time.Duration(float64(c.usualPace().StepTime) * c.slowdown())
}

// prefillTokensPerMs returns how many prompt tokens the engine processes in a millisecond of
// prefill at present.
func (c *Controller) prefillTokensPerMs() float64 {
	return c.usualPace().PrefillTokensPerMs / c.slowdown()
}

// slowdown returns the factor by which the engine is slower than usual at present.
func (c *Controller) slowdown() float64 { return max(c.usualPace().Slowdown, 1) }

func (c *Controller) usualPace() pace.Pace {
	if c.Pace.StepTime <= 0 || c.Pace.PrefillTokensPerMs <= 0 {
		return pace.Default
	}
	return c.Pace
}

// EstimateRunTime estimates how long a request runs at a full engine.
func (c *Controller) EstimateRunTime(r *Request) time.Duration {
	return time.Duration(r.expectedTokens()-r.Spec.PromptTokens) * c.stepTime()
}
