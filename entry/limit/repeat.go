package limit

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// repeatWait bounds how long a repeat waits for control. A healthy exchange takes
// a few milliseconds.
const repeatWait = 50 * time.Millisecond

// ReportRequest tells control of a request to a service, whose pool of repeats grows by
// it. It returns false, and control is not told, while control does not answer.
func (l *Limiter) ReportRequest(service string) bool {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cutOff(now) {
		return false
	}
	s := l.share(budget.Account(service))
	if s.requests == 0 {
		s.requested = now
	}
	s.requests++
	return true
}

// AcquireRetry takes one repeat to a service out of the fleet's pool and reports
// whether there was one. There is none while control does not answer.
func (l *Limiter) AcquireRetry(ctx context.Context, service string) bool {
	now := time.Now()
	l.mutex.Lock()
	cutOff := l.cutOff(now)
	l.mutex.Unlock()
	if cutOff {
		return false
	}
	until := now.Add(repeatWait)
	w := &waiter{
		need: budget.TokensPerRetry, class: call.ClassInteractive, due: until, until: until, opaque: true, done: make(chan error, 1),
	}
	paid, err := l.wait(ctx, budget.Account(service), w)
	if err != nil {
		return false
	}
	l.spendAll(paid)
	return true
}

// cutOff reports whether control has left an ask unanswered for too long. The
// caller holds the mutex.
func (l *Limiter) cutOff(now time.Time) bool {
	return !l.asked.IsZero() && now.Sub(l.asked) >= overdraftAfter
}
