package gate

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
)

// Request is a request for admission to the engine.
type Request struct {
	// Spec is the message from the entry. It is not modified.
	Spec *admit.Request
	// Arrived is when the message arrived.
	Arrived time.Time

	// stalled is when the request first waited for a slow moment of the engine to pass.
	stalled time.Time
	// prefillEnd is the Controller's admittedTokens after the request was admitted.
	prefillEnd float64
}

// objective returns when the first token is due.
func (r *Request) objective() time.Time { return r.Arrived.Add(r.Spec.FirstTokenRemaining.Std()) }

// deadline returns when the caller stops waiting.
func (r *Request) deadline() time.Time { return r.Arrived.Add(r.Spec.Remaining.Std()) }

// expectedTokens returns the memory that the request is expected to need at the engine.
func (r *Request) expectedTokens() int64 {
	answer := r.Spec.MaxAnswerTokens
	if hint := r.Spec.ExpectedAnswerTokens; hint > 0 {
		answer = min(answer, hint*maxHintRatio)
	}
	return r.Spec.PromptTokens + answer
}

// tokenGap returns the required gap between two events of the request's stream.
func (r *Request) tokenGap() time.Duration {
	if gap := r.Spec.MaxTokenGap.Std(); gap > 0 {
		return gap
	}
	return defaultTokenGap
}

// tier returns the first criterion of the admission order: requests whose caller already has a
// part of the answer precede those that can still meet their objective, and late requests come
// last.
func (r *Request) tier(now time.Time) int {
	if r.Spec.Resumed {
		return tierResumed
	}
	if now.Before(r.objective()) {
		return tierOnTime
	}
	return tierLate
}

// before reports whether the request is admitted before another one.
func (r *Request) before(other *Request, now time.Time) bool {
	a, b := r.tier(now), other.tier(now)
	if a != b {
		return a < b
	}
	if r.Spec.Priority != other.Spec.Priority {
		return r.Spec.Priority < other.Spec.Priority
	}
	return r.objective().Before(other.objective())
}
