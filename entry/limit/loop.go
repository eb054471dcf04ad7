package limit

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// idlePollInterval is the time between two checks for tokens to return while no
	// request waits. An entry that holds none checks each reportInterval.
	idlePollInterval = 50 * time.Millisecond
	// exchangeTimeout limits one exchange with control; exchangeRetryDelay is the pause
	// after a failed one.
	exchangeTimeout    = time.Second
	exchangeRetryDelay = 50 * time.Millisecond
	// overBurstRetryAfter is the Retry-After for a request that counts more tokens than
	// its workspace's burst.
	overBurstRetryAfter = time.Second
)

// Run exchanges tokens with control until ctx ends, then returns the remaining tokens.
func (l *Limiter) Run(ctx context.Context) {
	l.mutex.Lock()
	l.startedAt, l.recoveredAt = time.Now(), time.Now()
	l.mutex.Unlock()
	go l.runOverdrafts(ctx)
	l.wake.Set()
	for ctx.Err() == nil {
		timer := time.NewTimer(l.nextPoll(time.Now()))
		select {
		case <-ctx.Done():
		case <-l.wake.C():
		case <-timer.C:
		}
		timer.Stop()
		if request := l.nextRequest(time.Now()); request != nil {
			l.exchangeUntilAnswered(ctx, request)
		}
	}
	l.returnAll(context.WithoutCancel(ctx))
}

// nextPoll returns the time until the next check for a request to control.
func (l *Limiter) nextPoll(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	wait := reportInterval
	for _, s := range l.shares {
		if s.holdsAny() {
			wait = min(wait, idlePollInterval)
		}
		if len(s.waiters) > 0 {
			wait = min(wait, max(s.nextRequestAt.Sub(now), 0))
		}
	}
	return max(wait, minPollInterval/5)
}

// nextRequest builds the next request to control, or returns nil if there is nothing to
// send.
func (l *Limiter) nextRequest(now time.Time) *plane.GrantRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var requests []plane.TokenRequest
	for workspace, s := range l.shares {
		l.serveWaiters(s, now)
		s.confirmSent(now)
		requests = append(requests, s.nextRequests(now)...)
		l.report(s, now)
		if s.isIdle(now) {
			delete(l.shares, workspace)
		}
	}
	if len(requests) == 0 {
		return nil
	}
	l.seq++
	return &plane.GrantRequest{Entry: l.Host.VM, Incarnation: l.Incarnation, Seq: l.seq, TokenRequests: requests}
}

// exchangeUntilAnswered resends one GrantRequest until control answers it; a resend gets
// the same answer as the first sending. The lifetime of a granted lease is counted from the
// first sending, so that the lease does not end later here than at control.
func (l *Limiter) exchangeUntilAnswered(ctx context.Context, request *plane.GrantRequest) {
	sent := time.Now()
	l.mutex.Lock()
	l.unansweredSince = sent
	l.mutex.Unlock()
	for ctx.Err() == nil {
		reply, err := l.exchangeOnce(ctx, request)
		if err == nil && reply.Refused == plane.KindNone {
			l.receive(sent, request, reply)
			return
		}
		request = withoutRequestCounts(request)
		l.Host.Log.Write("grant-failed", "kind", reply.Refused, "err", err)
		l.Host.Meter.Add("grants_failed", 1)
		select {
		case <-ctx.Done():
		case <-time.After(exchangeRetryDelay):
		}
	}
}

// withoutRequestCounts returns a copy of request without the request counts. A resend may
// reach another leader, which would count them a second time.
func withoutRequestCounts(request *plane.GrantRequest) *plane.GrantRequest {
	again := *request
	again.TokenRequests = slices.Clone(request.TokenRequests)
	for i := range again.TokenRequests {
		again.TokenRequests[i].ServiceRequests = 0
	}
	return &again
}

func (l *Limiter) exchangeOnce(ctx context.Context, request *plane.GrantRequest) (*plane.GrantReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply plane.GrantReply
	err := l.Grant(ctx, request, &reply)
	return &reply, err
}

func (l *Limiter) receive(sent time.Time, request *plane.GrantRequest, reply *plane.GrantReply) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if l.isCutOff(now) {
		l.extendWaits(now)
	}
	l.unansweredSince = time.Time{}
	l.endOverdrafts()
	l.countReturned(request, now.Sub(sent))
	for _, grant := range reply.Grants {
		at := slices.IndexFunc(request.TokenRequests, func(a plane.TokenRequest) bool { return a.Workspace == grant.Workspace && a.WantedTokens > 0 })
		if at < 0 {
			continue
		}
		l.addGrant(l.share(grant.Workspace), sent, now, &grant, request.TokenRequests[at].MinTokens)
	}
}

// addGrant adds a grant to the share; minTokens is the minimum that was requested.
func (l *Limiter) addGrant(s *share, sent, now time.Time, grant *plane.Grant, minTokens int64) {
	s.fleetDemand = grant.DemandRatio
	s.freeShare, s.freeShareAt = grant.FreeShare, now
	s.refillAt, s.refillTokens = time.Time{}, 0
	s.nextRequestAt = now.Add(minPollInterval)
	s.queuedAtControl = l.QuotaWindow > 0 && grant.Wait > 0
	if grant.Recovering {
		l.recoveredAt = later(l.recoveredAt, now.Add(recoveryNotice-recoveryTime))
		s.extendWaits()
	}
	if grant.Tokens > 0 {
		s.counts.granted += grant.Tokens
		s.leases = append(s.leases, &tokenLease{id: grant.LeaseID, remaining: grant.Tokens, expires: sent.Add(grant.Lifetime.Std()), lastTaken: now})
	}
	l.serveWaiters(s, now)
	switch {
	case grant.UnknownWorkspace:
		s.refuse(chain.Refuse(http.StatusForbidden, "no_allowance", "the workspace has no allowance"))
		return
	case grant.ExceedsBurst && len(s.waiters) > 0 && s.waiters[0].opaque:
		s.refuseFirst(refuseLate(overBurstRetryAfter))
		return
	case grant.ExceedsBurst && len(s.waiters) > 0 && !s.waiters[0].isExtension:
		s.refuseFirst(chain.Refuse(http.StatusRequestEntityTooLarge, "over_burst", "the request needs more tokens than the workspace's burst"))
		return
	}
	if grant.Wait > 0 && len(s.waiters) > 0 {
		s.refillAt = now.Add(grant.Wait.Std())
		s.refillTokens = minTokens
		s.nextRequestAt = now.Add(min(max(grant.Wait.Std(), minPollInterval), maxPollInterval))
		l.refuseHopeless(s, now)
	}
}

// serveWaiters reserves tokens for the waiters, in queue order, from the leases held. The
// caller holds the mutex.
func (l *Limiter) serveWaiters(s *share, now time.Time) {
	l.dropLeasesAfterSuspend(now)
	for len(s.waiters) > 0 {
		w := s.waiters[0]
		if !s.reserve(now, w) {
			break
		}
		s.waiters = slices.Delete(s.waiters, 0, 1)
		w.done <- nil
	}
	s.serveSmallWaiters(now)
}

// refuseHopeless refuses at once the waiters whose tokens will come after their
// deadline.
func (l *Limiter) refuseHopeless(s *share, now time.Time) {
	rate := l.accrual(s.account)
	for _, w := range slices.Clone(s.waiters) {
		if w.deadline.IsZero() {
			continue
		}
		if wait := s.estimate(now, w, 0, rate); now.Add(wait).After(w.latest()) {
			s.remove(w)
			w.done <- refuseLate(wait)
			l.wake.Set()
		}
	}
}

func (s *share) refuse(refusal *chain.Refusal) {
	for _, w := range s.waiters {
		w.done <- refusal
	}
	s.waiters = nil
}

func (s *share) refuseFirst(refusal *chain.Refusal) {
	w := s.waiters[0]
	s.waiters = slices.Delete(s.waiters, 0, 1)
	w.done <- refusal
}

// returnAll returns all tokens to control at the end of the process.
func (l *Limiter) returnAll(ctx context.Context) {
	l.mutex.Lock()
	var requests []plane.TokenRequest
	for _, s := range l.shares {
		for _, lease := range s.leases {
			if lease.remaining > 0 && time.Now().Before(lease.expires) {
				s.counts.returned += lease.remaining
				requests = append(requests, plane.TokenRequest{Workspace: s.account, UnusedTokens: lease.remaining, LeaseID: lease.id})
			}
			lease.remaining = 0
		}
		l.report(s, time.Now())
	}
	l.seq++
	request := &plane.GrantRequest{Entry: l.Host.VM, Incarnation: l.Incarnation, Seq: l.seq, TokenRequests: requests}
	l.mutex.Unlock()
	if len(requests) > 0 {
		_, _ = l.exchangeOnce(ctx, request)
	}
}
