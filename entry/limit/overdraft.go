package limit

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// overdraftDelay is how long control may leave a GrantRequest unanswered before the
	// entry serves callers without control. A normal exchange takes a few milliseconds, an
	// election half a second.
	overdraftDelay = 200 * time.Millisecond
	// overdraftFullTime is how long the entry serves requests at its full part of the
	// rate, and overdraftReducedFactor the factor on that part afterwards. The entry
	// cannot know whether other entries still get all of the rate from control. The
	// limit on the fleet allows 10% above rate and burst in 8 s: with a burst of one
	// second's rate that is 0.9 s of the rate, or 1.08 s with the fixed slack at 60,000
	// tokens/s. Seven of eight entries take 0.875 * (0.75 + 7.25 * 0.06) = 1.04 s of
	// it.
	overdraftFullTime      = 750 * time.Millisecond
	overdraftReducedFactor = 0.06
	// overdraftMinUptime is the minimum uptime for an overdraft, equal to the longest
	// window of the limits on tokens. A previous process of this entry may have used an
	// overdraft in the same window without having reported it to control.
	overdraftMinUptime = 8 * time.Second
	// overdraftInterval is the time between two rounds of overdraft growth.
	overdraftInterval = 50 * time.Millisecond
	// overdraftLeaseTime is the validity of the overdraft's lease, which each round
	// renews.
	overdraftLeaseTime = time.Second
)

// overdraft counts the tokens that a workspace's requests use while control does not
// answer. They are reported to control afterwards and deducted from the workspace's
// bucket.
type overdraft struct {
	lease *tokenLease
	// granted is the total number of tokens added to the lease up to grantedAt.
	granted   float64
	grantedAt time.Time
}

// runOverdrafts serves waiters from overdrafts while control does not answer.
func (l *Limiter) runOverdrafts(ctx context.Context) {
	if l.EntryCount == nil {
		return
	}
	pause.Every(ctx, overdraftInterval, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.growOverdrafts(time.Now())
	})
}

// growOverdrafts adds tokens to the overdrafts if control has left a GrantRequest
// unanswered for too long. The caller holds the mutex.
func (l *Limiter) growOverdrafts(now time.Time) {
	entries := l.EntryCount()
	if !l.isCutOff(now) || entries < 1 || now.Sub(l.startedAt) < overdraftMinUptime {
		return
	}
	for workspace, s := range l.shares {
		if _, ok := budget.Service(workspace); ok {
			continue
		}
		part := l.rate(workspace) / float64(entries)
		if now.Sub(l.unansweredSince) > overdraftDelay+overdraftFullTime {
			part *= overdraftReducedFactor
		}
		s.growOverdraft(now, part, l.burst(workspace)/int64(entries))
		l.serveWaiters(s, now)
	}
}

// growOverdraft adds the tokens that accrue at rate. The unused ones are limited to
// maxUnused or, if larger, to the need of the first waiter.
func (s *share) growOverdraft(now time.Time, rate float64, maxUnused int64) {
	if s.overdraft == nil {
		s.overdraft = &overdraft{lease: &tokenLease{}, grantedAt: now}
		s.leases = append(s.leases, s.overdraft.lease)
	}
	if len(s.waiters) > 0 {
		maxUnused = max(maxUnused, s.waiters[0].tokens)
	}
	o := s.overdraft
	spent := int64(o.granted) - o.lease.remaining
	o.granted = min(o.granted+rate*now.Sub(o.grantedAt).Seconds(), float64(spent+maxUnused))
	o.grantedAt = now
	o.lease.remaining = max(int64(o.granted)-spent, 0)
	o.lease.expires = now.Add(overdraftLeaseTime)
}

// endOverdrafts ends the overdrafts once control has answered; the tokens used are to
// be reported. The caller holds the mutex.
func (l *Limiter) endOverdrafts() {
	for workspace, s := range l.shares {
		if s.overdraft == nil {
			continue
		}
		spent := int64(s.overdraft.granted) - s.overdraft.lease.remaining
		s.unreportedOverdraft += spent
		s.overdraft.lease.remaining, s.overdraft.lease.expires = 0, time.Time{}
		s.overdraft = nil
		if spent > 0 {
			l.Host.Log.Write("overdraft-ended", "workspace", workspace, "tokens", spent)
		}
	}
}

// overdraftReport returns the report of overdraft tokens to control, empty if there are
// none.
func (s *share) overdraftReport() []plane.TokenRequest {
	if s.unreportedOverdraft == 0 {
		return nil
	}
	reported := s.unreportedOverdraft
	s.unreportedOverdraft = 0
	return []plane.TokenRequest{{Workspace: s.account, OverdraftTokens: reported}}
}
