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
	// tick is the time between two looks at what may go back.
	tick = 50 * time.Millisecond
	// askTimeout bounds one exchange with control; askDelay is the pause
	// after a failed one.
	askTimeout = time.Second
	askDelay   = 50 * time.Millisecond
	// overBurst is when a caller may come back whose request counts more
	// tokens than its workspace may use at once.
	overBurst = time.Second
)

// Run exchanges tokens with control until ctx ends, then gives back what is
// left.
func (l *Limiter) Run(ctx context.Context) {
	l.mutex.Lock()
	l.began = time.Now()
	l.mutex.Unlock()
	go l.watchCutOff(ctx)
	l.wake.Set()
	for ctx.Err() == nil {
		timer := time.NewTimer(l.pause(time.Now()))
		select {
		case <-ctx.Done():
		case <-l.wake.C():
		case <-timer.C:
		}
		timer.Stop()
		if ask := l.collect(time.Now()); ask != nil {
			l.exchange(ctx, ask)
		}
	}
	l.giveUp(context.WithoutCancel(ctx))
}

// pause returns the time until control is asked again.
func (l *Limiter) pause(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	wait := tick
	for _, s := range l.shares {
		if len(s.waiters) > 0 {
			wait = min(wait, max(s.askAt.Sub(now), 0))
		}
	}
	return max(wait, shortestPoll/5)
}

func (l *Limiter) collect(now time.Time) *plane.GrantRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var asks []plane.TokenRequest
	for workspace, s := range l.shares {
		l.serve(s, now)
		asks = append(asks, s.asks(now)...)
		if s.idle(now) {
			delete(l.shares, workspace)
		}
	}
	if len(asks) == 0 {
		return nil
	}
	l.seq++
	return &plane.GrantRequest{Entry: l.Host.VM, Incarnation: l.Incarnation, Seq: l.seq, TokenRequests: asks}
}

// exchange sends one ask until it is answered; control answers a resend as it
// did the first. Grants count from the first sending.
func (l *Limiter) exchange(ctx context.Context, ask *plane.GrantRequest) {
	sent := time.Now()
	l.mutex.Lock()
	l.asked = sent
	l.mutex.Unlock()
	for ctx.Err() == nil {
		reply, err := l.once(ctx, ask)
		if err == nil && reply.Refused == plane.KindNone {
			l.receive(sent, ask, reply)
			return
		}
		ask = withoutRequests(ask)
		l.Host.Log.Write("grant-failed", "kind", reply.Refused, "err", err)
		l.Host.Meter.Add("grants_failed", 1)
		select {
		case <-ctx.Done():
		case <-time.After(askDelay):
		}
	}
}

// withoutRequests returns an ask without what may count only once: another
// leader may get it.
func withoutRequests(ask *plane.GrantRequest) *plane.GrantRequest {
	again := *ask
	again.TokenRequests = slices.Clone(ask.TokenRequests)
	for i := range again.TokenRequests {
		again.TokenRequests[i].ServiceRequests = 0
	}
	return &again
}

func (l *Limiter) once(ctx context.Context, ask *plane.GrantRequest) (*plane.GrantReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply plane.GrantReply
	err := l.Grant(ctx, ask, &reply)
	return &reply, err
}

func (l *Limiter) receive(sent time.Time, ask *plane.GrantRequest, reply *plane.GrantReply) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.asked = time.Time{}
	l.endOverdrafts()
	for _, grant := range reply.Grants {
		at := slices.IndexFunc(ask.TokenRequests, func(a plane.TokenRequest) bool { return a.Workspace == grant.Workspace && a.WantedTokens > 0 })
		if at < 0 {
			continue
		}
		l.take(l.share(grant.Workspace), sent, now, &grant, ask.TokenRequests[at].MinTokens)
	}
}

// take adds a grant to the share; least is what was asked for.
func (l *Limiter) take(s *share, sent, now time.Time, grant *plane.Grant, least int64) {
	s.demand = grant.DemandRatio
	s.due, s.lack = time.Time{}, 0
	s.askAt = now.Add(shortestPoll)
	if grant.Tokens > 0 {
		s.leases = append(s.leases, &held{id: grant.LeaseID, left: grant.Tokens, until: sent.Add(grant.Lifetime.Std()), used: now})
	}
	l.serve(s, now)
	switch {
	case grant.UnknownWorkspace:
		s.refuse(chain.Refuse(http.StatusForbidden, "no_allowance", "the workspace has no allowance"))
		return
	case grant.ExceedsBurst && len(s.waiters) > 0 && s.waiters[0].opaque:
		s.refuseFirst(late(overBurst))
		return
	case grant.ExceedsBurst && len(s.waiters) > 0 && !s.waiters[0].extends:
		s.refuseFirst(chain.Refuse(http.StatusRequestEntityTooLarge, "over_burst", "the request needs more tokens than the workspace's burst"))
		return
	}
	if grant.Wait > 0 && len(s.waiters) > 0 {
		s.due = now.Add(grant.Wait.Std())
		s.lack = least
		s.askAt = now.Add(min(max(grant.Wait.Std(), shortestPoll), longestPoll))
		l.shed(s, now)
	}
}

// serve pays waiters in order from what is here. The caller holds the mutex.
func (l *Limiter) serve(s *share, now time.Time) {
	l.wakeUp(now)
	for len(s.waiters) > 0 {
		w := s.waiters[0]
		if !s.take(now, w) {
			return
		}
		s.waiters = slices.Delete(s.waiters, 0, 1)
		w.done <- nil
	}
}

// shed refuses at once the waiters whose tokens will come too late.
func (l *Limiter) shed(s *share, now time.Time) {
	rate := l.rate(s.workspace)
	for _, w := range slices.Clone(s.waiters) {
		if w.until.IsZero() {
			continue
		}
		if wait := s.estimate(now, w, rate); now.Add(wait).After(w.until) {
			s.remove(w)
			w.done <- late(wait)
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

// giveUp returns all tokens at the end of the process.
func (l *Limiter) giveUp(ctx context.Context) {
	l.mutex.Lock()
	var asks []plane.TokenRequest
	for _, s := range l.shares {
		for _, lease := range s.leases {
			if lease.left > 0 && time.Now().Before(lease.until) {
				asks = append(asks, plane.TokenRequest{Workspace: s.workspace, UnusedTokens: lease.left, LeaseID: lease.id})
			}
			lease.left = 0
		}
	}
	l.seq++
	ask := &plane.GrantRequest{Entry: l.Host.VM, Incarnation: l.Incarnation, Seq: l.seq, TokenRequests: asks}
	l.mutex.Unlock()
	if len(asks) > 0 {
		_, _ = l.once(ctx, ask)
	}
}
