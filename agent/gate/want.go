package gate

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
)

// Want is one request that wants to go to the engine.
type Want struct {
	// Ask is what the entry said. It is not changed.
	Ask *admit.Request
	// Arrived is when the ask came.
	Arrived time.Time
}

// goal is when the first token is late.
func (w *Want) goal() time.Time { return w.Arrived.Add(w.Ask.FirstTokenRemaining.Std()) }

// until is when the caller gives up.
func (w *Want) until() time.Time { return w.Arrived.Add(w.Ask.Remaining.Std()) }

// tokens is the memory that the request will probably take at the engine.
func (w *Want) tokens() int64 {
	answer := w.Ask.MaxAnswerTokens
	if hint := w.Ask.ExpectedAnswerTokens; hint > 0 {
		answer = min(answer, hint*hintSpread)
	}
	return w.Ask.PromptTokens + answer
}

// Life estimates how long the request runs at a full engine.
func (w *Want) Life() time.Duration { return time.Duration(w.tokens()-w.Ask.PromptTokens) * tokenTime }

// tier orders wants: those of callers who have a part of the answer first,
// then those that can still be in time, then the late ones.
func (w *Want) tier(now time.Time) int {
	if w.Ask.Resumed {
		return tierResumed
	}
	if now.Before(w.goal()) {
		return tierTimely
	}
	return tierLate
}

// before reports whether a goes before b.
func (w *Want) before(other *Want, now time.Time) bool {
	a, b := w.tier(now), other.tier(now)
	if a != b {
		return a < b
	}
	if w.Ask.Priority != other.Ask.Priority {
		return w.Ask.Priority < other.Ask.Priority
	}
	return w.goal().Before(other.goal())
}
