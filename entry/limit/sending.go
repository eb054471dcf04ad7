package limit

import (
	"context"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/bucket"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
)

const (
	// maxShortWait is how long a request waits for tokens that control lacks: a part of the
	// time in which its caller expects the first event, so that it can still be admitted.
	maxShortWait = 500 * time.Millisecond
	// maxSilentWait is how long it waits if control has begun not to answer: an election takes
	// up to 0.6 s, a restart of all replicas about a second more, and then the tokens of that
	// time come within maxRecoveryWait. Once control has been silent for this time, a request
	// waits for maxShortWait only.
	maxSilentWait = 6 * time.Second
	// maxRecoveryWait takes the place of maxShortWait for recoveryTime after control answers
	// again, and from its first answer on for the requests that have waited for it. At the
	// rate, the tokens of 1.5 s without control come within these times; with waits of 1 s, up
	// to 35 of 135 requests were refused (stubs/chaos, TestRefusalsAfterLoss).
	maxRecoveryWait = 4 * time.Second
	recoveryTime    = 10 * time.Second
	// recoveryNotice is how long a reply counts that says that control has led for a short
	// time only. An entry without requests in the time without control learns it from these.
	recoveryNotice = time.Second
	// silentRetryAfter is the least Retry-After while control does not answer: a caller that
	// came back sooner would wait for tokens again in vain.
	silentRetryAfter = time.Second
	// sentAfter is how long after it took tokens an attempt is taken to have reached its
	// endpoint, so that its tokens are reported as spent and no longer occupy room in
	// control's bucket. An attempt that is refused a connection fails within milliseconds.
	sentAfter = 100 * time.Millisecond
)

// arrival is a request that takes its tokens when an attempt is about to be sent. The
// Limiter's mutex guards it.
type arrival struct {
	limiter *Limiter
	request *chain.Request
	share   *share
	tokens  int64
	urgency urgency
	// reservation is nil until the tokens are taken, at takenAt.
	reservation *reservation
	takenAt     time.Time
}

// takesWhenSending reports whether a request takes its tokens when an attempt is about to be
// sent, rather than on arrival.
func (l *Limiter) takesWhenSending(r *chain.Request) bool {
	return l.QuotaWindow > 0 && r.Route.Kind == conf.RouteOpaque
}

// doWhenSending runs a request that takes its tokens when an attempt is about to be sent.
// It is refused only if control is known to lack tokens until the request's deadline, or if
// it needs more than the workspace's burst.
func (l *Limiter) doWhenSending(ctx context.Context, r *chain.Request, need int64, next chain.Next) error {
	a := &arrival{limiter: l, request: r, tokens: need, urgency: l.urgencyOf(r)}
	if refusal := l.arrive(a); refusal != nil {
		return refusal
	}
	r.TakeTokens = a.take
	err := next(ctx, r)
	r.TakeTokens = nil
	l.end(a)
	return err
}

// arrive counts the request's tokens as demand, or refuses it.
func (l *Limiter) arrive(a *arrival) *chain.Refusal {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.dropLeasesAfterSuspend(now)
	a.share = l.share(a.request.Workspace)
	if limits, ok := l.Config().Workspaces[a.request.Workspace]; ok && a.tokens > limits.Burst {
		l.countRefusal(a.share, &a.share.counts.refusedOnArrival)
		return refuseLate(overBurstRetryAfter)
	}
	if a.share.isShort(now) {
		w := &waiter{tokens: a.tokens, urgency: a.urgency, queueTime: a.request.Deadline()}
		wait := a.share.estimate(now, w, a.share.arrivedBefore(w), l.accrual(a.share.account))
		if now.Add(wait).After(a.request.Deadline()) {
			l.countRefusal(a.share, &a.share.counts.refusedOnArrival)
			return refuseLate(wait)
		}
	}
	a.share.expect(a)
	if a.share.available(now) < a.tokens {
		l.wake.Set()
	}
	return nil
}

// take takes the request's tokens, once. It waits for them until maxShortWait has passed, or
// maxSilentWait while control does not answer, and never beyond the request's deadline.
func (a *arrival) take(ctx context.Context) (giveBack func(), err error) {
	l := a.limiter
	l.mutex.Lock()
	taken := a.reservation != nil
	if !taken {
		a.share.unexpect(a)
	}
	l.mutex.Unlock()
	if taken {
		return func() {}, nil
	}
	now := time.Now()
	deadline := a.request.Deadline()
	w := &waiter{
		tokens: a.tokens, class: a.request.Class, opaque: true, urgency: a.urgency, queueTime: deadline, done: make(chan error, 1),
	}
	short, silent := l.maxWaits(now)
	w.since = now
	w.servedBy, w.deadline = earlier(now.Add(short), deadline), earlier(now.Add(silent), deadline)
	reserved, err := l.wait(ctx, a.request.Workspace, w)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		if refusal := chain.RefusalOf(err); refusal.Code == codeRateLimited {
			if l.isCutOff(time.Now()) {
				err = refusal.WithRetryAfter(max(refusal.RetryAfter, silentRetryAfter))
			}
			l.countRefusal(a.share, &a.share.counts.refusedWhenSending)
		} else {
			a.share.expect(a)
		}
		return nil, err
	}
	a.share = reserved.share
	a.reservation, a.takenAt = reserved, time.Now()
	a.share.sending = append(a.share.sending, a)
	return a.giveBack, nil
}

// extendWaits lets the requests that have waited for control wait on for maxRecoveryWait at
// most. The caller holds the mutex.
func (l *Limiter) extendWaits(now time.Time) {
	l.recoveredAt = now
	for _, s := range l.shares {
		for _, w := range s.waiters {
			if !w.servedBy.IsZero() {
				w.servedBy = earlier(now.Add(maxRecoveryWait), w.deadline)
			}
		}
	}
}

// extendWaits lets the requests that wait for tokens wait for maxRecoveryWait in all.
func (s *share) extendWaits() {
	for _, w := range s.waiters {
		if !w.servedBy.IsZero() {
			w.servedBy = later(w.servedBy, earlier(w.since.Add(maxRecoveryWait), w.deadline))
		}
	}
}

// maxWaits returns how long a request may wait for tokens that control lacks, and how long
// while control does not answer.
func (l *Limiter) maxWaits(now time.Time) (short, silent time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) > maxSilentWait:
		return maxShortWait, maxShortWait
	case now.Sub(l.recoveredAt) < recoveryTime:
		return maxRecoveryWait, maxSilentWait
	}
	return maxShortWait, maxSilentWait
}

// giveBack returns the tokens of an attempt that provably has not run. The request counts as
// demand again.
func (a *arrival) giveBack() {
	l := a.limiter
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if a.reservation == nil {
		return
	}
	now := time.Now()
	a.share.endSending(a)
	a.share.recordUse(now, -a.reservation.total)
	a.share.giveBack(now, a.reservation, a.reservation.total)
	a.reservation = nil
	a.share.expect(a)
	l.serveWaiters(a.share, now)
}

// end ends a request. Tokens that were taken and not returned are used.
func (l *Limiter) end(a *arrival) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a.share.unexpect(a)
	if a.reservation != nil {
		a.share.endSending(a)
		a.reservation.use(time.Now(), a.reservation.total)
	}
}

// expect counts a request's tokens as demand.
func (s *share) expect(a *arrival) {
	if s.arrivals == nil {
		s.arrivals = map[*arrival]struct{}{}
	}
	if _, ok := s.arrivals[a]; !ok {
		s.arrivals[a] = struct{}{}
		s.arrivedTokens += a.tokens
	}
}

func (s *share) unexpect(a *arrival) {
	if _, ok := s.arrivals[a]; ok {
		delete(s.arrivals, a)
		s.arrivedTokens -= a.tokens
	}
}

// arrivedBefore returns the tokens of the requests that have arrived, are not in the queue
// yet and precede w.
func (s *share) arrivedBefore(w *waiter) int64 {
	sum := int64(0)
	for a := range s.arrivals {
		other := &waiter{urgency: a.urgency, queueTime: a.request.Deadline()}
		if !w.before(other) {
			sum += a.tokens
		}
	}
	return sum
}

// arrivedDemand returns the number of tokens to lease in advance, where ahead is that by
// recent use. Requests that wait for their admission raise it: to twice as much, or to one
// request's tokens if there was no recent use, as after a start. Leasing the tokens of all of
// them would leave many to expire unused.
func (s *share) arrivedDemand(ahead int64) int64 {
	if len(s.arrivals) == 0 {
		return ahead
	}
	mean := s.arrivedTokens / int64(len(s.arrivals))
	return max(ahead, min(s.arrivedTokens, max(2*ahead, mean)))
}

func (s *share) endSending(a *arrival) {
	if at := slices.Index(s.sending, a); at >= 0 {
		s.sending = slices.Delete(s.sending, at, at+1)
	}
}

// confirmSent records the tokens of attempts that have been sent as used.
func (s *share) confirmSent(now time.Time) {
	s.sending = slices.DeleteFunc(s.sending, func(a *arrival) bool {
		if now.Sub(a.takenAt) < sentAfter {
			return false
		}
		a.reservation.use(now, a.reservation.total)
		return true
	})
}

// accrual returns the rate at which control's bucket of the account fills.
func (l *Limiter) accrual(account string) float64 {
	if _, pool := budget.Service(account); pool || l.QuotaWindow <= 0 {
		return l.rate(account)
	}
	allowance := l.allowance(account)
	accrual, _ := bucket.WindowLimits(allowance.Rate, allowance.Burst, 0, l.QuotaWindow)
	return float64(accrual)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
