package limit

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// retryTokenTimeout limits how long a retry waits for control. A normal exchange takes
// a few milliseconds.
const retryTokenTimeout = 50 * time.Millisecond

// ReportRequest counts a request to a service, by which the service's retry budget
// grows at control. It returns false, and counts nothing, while control does not
// answer.
func (l *Limiter) ReportRequest(service string) bool {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isCutOff(now) {
		return false
	}
	s := l.share(budget.Account(service))
	if s.unreportedRequests == 0 {
		s.unreportedSince = now
	}
	s.unreportedRequests++
	return true
}

// AcquireRetry takes one retry to a service out of the fleet's retry budget and reports
// whether one was available. None is available while control does not answer.
func (l *Limiter) AcquireRetry(ctx context.Context, service string) bool {
	now := time.Now()
	l.mutex.Lock()
	cutOff := l.isCutOff(now)
	l.mutex.Unlock()
	if cutOff {
		return false
	}
	until := now.Add(retryTokenTimeout)
	w := &waiter{
		tokens: budget.TokensPerRetry, class: call.ClassInteractive, queueTime: until, deadline: until, opaque: true, done: make(chan error, 1),
	}
	reserved, err := l.wait(ctx, budget.Account(service), w)
	if err != nil {
		return false
	}
	l.useAll(reserved)
	return true
}

// isCutOff reports whether control has left a GrantRequest unanswered for too long. The
// caller holds the mutex.
func (l *Limiter) isCutOff(now time.Time) bool {
	return !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) >= overdraftDelay
}
