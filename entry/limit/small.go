package limit

import (
	"slices"
	"time"
)

// smallPart is the largest part of the first waiter's tokens that a request may need in order
// to pass it. A plain request counts a tenth of what a stream does; refusing ten of them for
// the sake of one stream serves fewer callers.
const smallPart = 0.2

// passFirst reserves the tokens of a small request ahead of the first waiter, which lacks
// tokens, and reports whether it did. Small requests take at most as many tokens ahead of a
// waiter as that one needs itself, so that they delay it by its own cost at most.
func (s *share) passFirst(now time.Time, w *waiter) bool {
	if len(s.waiters) == 0 || w.servedBy.IsZero() || s.waiters[0] == w {
		return false
	}
	if !w.mayPass(s.waiters[0]) || !s.reserve(now, w) {
		return false
	}
	s.waiters[0].passedTokens += w.tokens
	return true
}

// mayPass reports whether a waiter may get its tokens ahead of the first one.
func (w *waiter) mayPass(first *waiter) bool {
	return float64(w.tokens) <= smallPart*float64(first.tokens) && first.passedTokens+w.tokens <= first.tokens
}

// smallestPassing returns the tokens of the smallest waiter that may pass the first one, or
// otherwise if there is none.
func (s *share) smallestPassing(otherwise int64) int64 {
	for _, w := range s.waiters[1:] {
		if !w.servedBy.IsZero() && w.mayPass(s.waiters[0]) {
			otherwise = min(otherwise, w.tokens)
		}
	}
	return otherwise
}

// serveSmallWaiters reserves the tokens of small waiters that may pass the first one.
func (s *share) serveSmallWaiters(now time.Time) {
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool {
		if !s.passFirst(now, w) {
			return false
		}
		w.done <- nil
		return true
	})
}
