package gate

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
)

// Request is one request that wants to go to the engine.
type Request struct {
	// Spec is what the entry said. It is not changed.
	Spec *admit.Ask
	// Arrived is when the ask came.
	Arrived time.Time
}

// objective is when the first token is late.
func (w *Request) objective() time.Time { return w.Arrived.Add(w.Spec.Goal.Std()) }

// deadline is when the caller gives up.
func (w *Request) deadline() time.Time { return w.Arrived.Add(w.Spec.Left.Std()) }

// expectedTokens is the memory that the request will probably take at the engine.
func (w *Request) expectedTokens() int64 {
	answer := w.Spec.Answer
	if hint := w.Spec.Hint; hint > 0 {
		answer = min(answer, hint*maxHintRatio)
	}
	return w.Spec.Prompt + answer
}

// EstimateRunTime estimates how long the request runs at a full engine.
func (w *Request) EstimateRunTime() time.Duration {
	return time.Duration(w.expectedTokens()-w.Spec.Prompt) * timePerToken
}

// tier orders wants: those of callers who have a part of the answer first,
// then those that can still be in time, then the late ones.
func (w *Request) tier(now time.Time) int {
	if w.Spec.Resumed {
		return tierResumed
	}
	if now.Before(w.objective()) {
		return tierOnTime
	}
	return tierLate
}

// before reports whether a goes before b.
func (w *Request) before(other *Request, now time.Time) bool {
	a, b := w.tier(now), other.tier(now)
	if a != b {
		return a < b
	}
	if w.Spec.Rank != other.Spec.Rank {
		return w.Spec.Rank < other.Spec.Rank
	}
	return w.objective().Before(other.objective())
}
