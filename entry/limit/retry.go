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

const (
	// minHedgeFreeShare is how much of a retry budget must be free for a hedge. The rest
	// is for retries after failures, which may come all at once.
	minHedgeFreeShare = 0.5
	// freeShareTime is how long a statement of control that too little is free is used, so
	// that an entry asks for the lease of a hedge at most twice a second while retries
	// need the budget. It is longer than the life of a lease: what is held here always
	// comes with a recent statement.
	freeShareTime = 500 * time.Millisecond
	// hedgeQueueDelay places hedges behind all retries that wait for tokens.
	hedgeQueueDelay = time.Second
)

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

// AcquireRetry takes one retry to a service out of the fleet's retry budget. The caller states
// by settle whether it has sent the retry; settle is nil if none was available. None is
// available while control does not answer.
func (l *Limiter) AcquireRetry(ctx context.Context, service string) (settle func(sent bool)) {
	now := time.Now()
	l.mutex.Lock()
	cutOff := l.isCutOff(now)
	l.mutex.Unlock()
	if cutOff {
		return nil
	}
	reserved, err := l.wait(ctx, budget.Account(service), retryWaiter(now))
	if err != nil {
		return nil
	}
	return func(sent bool) { l.settleRetry(reserved, sent) }
}

// retryWaiter returns a waiter for one retry.
func retryWaiter(now time.Time) *waiter {
	until := now.Add(retryTokenTimeout)
	return &waiter{
		tokens: budget.TokensPerRetry, class: call.ClassInteractive, queueTime: until, deadline: until, opaque: true, done: make(chan error, 1),
	}
}

// AcquireHedge takes one retry to a service for a hedge, if control states that most of
// the retry budget is free after it. The caller states by settle whether it has sent the
// hedge; settle is nil if no retry is available. reached reports whether control answers;
// while it does not, none is.
func (l *Limiter) AcquireHedge(ctx context.Context, service string) (settle func(sent bool), reached bool) {
	now := time.Now()
	l.mutex.Lock()
	if l.isCutOff(now) {
		l.mutex.Unlock()
		return nil, false
	}
	s := l.share(budget.Account(service))
	known := now.Sub(s.freeShareAt) < freeShareTime
	if s.isShort(now) || len(s.waiters) > 0 || known && s.freeShare < minHedgeFreeShare {
		l.mutex.Unlock()
		return nil, true
	}
	w := retryWaiter(now)
	w.queueTime = w.queueTime.Add(hedgeQueueDelay)
	l.mutex.Unlock()
	reserved, err := l.wait(ctx, budget.Account(service), w)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now = time.Now()
	if err != nil {
		return nil, !l.isCutOff(now)
	}
	if s.freeShare < minHedgeFreeShare {
		s.giveBack(now, reserved, reserved.total)
		l.serveWaiters(s, now)
		return nil, true
	}
	return func(sent bool) { l.settleRetry(reserved, sent) }, true
}

// settleRetry records a retry as used, or returns it if it was not sent.
func (l *Limiter) settleRetry(reserved *reservation, sent bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if !sent {
		reserved.share.giveBack(now, reserved, reserved.total)
		l.serveWaiters(reserved.share, now)
		return
	}
	reserved.use(now, reserved.total)
}

// isCutOff reports whether control has left a GrantRequest unanswered for too long. The
// caller holds the mutex.
func (l *Limiter) isCutOff(now time.Time) bool {
	return !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) >= overdraftDelay
}
