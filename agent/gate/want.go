package gate

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
)

// Request is one request that wants to go to the engine.
type Request struct {
	// Spec is what the entry said. It is not changed.
	Spec *admit.Request
	// Arrived is when the ask came.
	Arrived time.Time
}

// goal is when the first token is late.
func (w *Request) goal() time.Time { return w.Arrived.Add(w.Spec.FirstTokenRemaining.Std()) }

// until is when the caller gives up.
func (w *Request) until() time.Time { return w.Arrived.Add(w.Spec.Remaining.Std()) }

// tokens is the memory that the request will probably take at the engine.
func (w *Request) tokens() int64 {
	answer := w.Spec.MaxAnswerTokens
	if hint := w.Spec.ExpectedAnswerTokens; hint > 0 {
		answer = min(answer, hint*hintSpread)
	}
	return w.Spec.PromptTokens + answer
}

// EstimateRunTime estimates how long the request runs at a full engine.
func (w *Request) EstimateRunTime() time.Duration {
	return time.Duration(w.tokens()-w.Spec.PromptTokens) * tokenTime
}

// tier orders wants: those of callers who have a part of the answer first,
// then those that can still be in time, then the late ones.
func (w *Request) tier(now time.Time) int {
	if w.Spec.Resumed {
		return tierResumed
	}
	if now.Before(w.goal()) {
		return tierTimely
	}
	return tierLate
}

// before reports whether a goes before b.
func (w *Request) before(other *Request, now time.Time) bool {
	a, b := w.tier(now), other.tier(now)
	if a != b {
		return a < b
	}
	if w.Spec.Priority != other.Spec.Priority {
		return w.Spec.Priority < other.Spec.Priority
	}
	return w.goal().Before(other.goal())
}
