package limit

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// overdraftAfter is how long control may leave an ask unanswered before
	// the entry goes on by itself. A healthy exchange takes a few milliseconds,
	// an election half a second.
	overdraftAfter = 200 * time.Millisecond
	// overdraftFull is how long the entry goes on at its whole part of the
	// rate, and overdraftRest the share of it after that. It cannot know
	// whether others still get all of the rate from control. The platform
	// allows a tenth above rate and burst in 8 s: with a burst of a second's
	// rate 0.9 s of the rate, 1.08 s with its fixed slack at 60,000 tokens/s,
	// of which seven entries of eight take 0.875 * (0.75 + 7.25 * 0.06) = 1.04.
	overdraftFull = 750 * time.Millisecond
	overdraftRest = 0.06
	// overdraftAge is how old a process is before it goes on by itself: one
	// before it may have done so in the same window, which control was not told.
	// The longest window of the users' bounds on tokens.
	overdraftAge = 8 * time.Second
	// overdraftTick is the time between two looks at who waits.
	overdraftTick = 50 * time.Millisecond
	// overdraftLife keeps the overdraft's lease valid from tick to tick.
	overdraftLife = time.Second
)

// overdraft is what a workspace's requests spend while control does not answer.
// Control is told of it later and takes it out of the bucket.
type overdraft struct {
	lease *held
	// given is how many tokens the lease got in all, at is up to when.
	given float64
	at    time.Time
}

// watchCutOff pays waiters out of overdrafts while control does not answer.
func (l *Limiter) watchCutOff(ctx context.Context) {
	if l.EntryCount == nil {
		return
	}
	pause.Every(ctx, overdraftTick, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.overdraw(time.Now())
	})
}

// overdraw moves the overdrafts on if an ask has been unanswered for too long.
// The caller holds the mutex.
func (l *Limiter) overdraw(now time.Time) {
	entries := l.EntryCount()
	if !l.cutOff(now) || entries < 1 || now.Sub(l.began) < overdraftAge {
		return
	}
	for workspace, s := range l.shares {
		if _, ok := budget.Service(workspace); ok {
			continue
		}
		part := l.rate(workspace) / float64(entries)
		if now.Sub(l.asked) > overdraftAfter+overdraftFull {
			part *= overdraftRest
		}
		s.overdraw(now, part, l.burst(workspace)/int64(entries))
		l.serve(s, now)
	}
}

// overdraw adds what accrues at a rate, up to a bound that the first waiter may
// exceed.
func (s *share) overdraw(now time.Time, rate float64, most int64) {
	if s.over == nil {
		s.over = &overdraft{lease: &held{}, at: now}
		s.leases = append(s.leases, s.over.lease)
	}
	if len(s.waiters) > 0 {
		most = max(most, s.waiters[0].need)
	}
	o := s.over
	spent := int64(o.given) - o.lease.left
	o.given = min(o.given+rate*now.Sub(o.at).Seconds(), float64(spent+most))
	o.at = now
	o.lease.left = max(int64(o.given)-spent, 0)
	o.lease.until = now.Add(overdraftLife)
}

// endOverdrafts ends the overdrafts after control has answered; what they spent
// is owed. The caller holds the mutex.
func (l *Limiter) endOverdrafts() {
	for workspace, s := range l.shares {
		if s.over == nil {
			continue
		}
		spent := int64(s.over.given) - s.over.lease.left
		s.owed += spent
		s.over.lease.left, s.over.lease.until = 0, time.Time{}
		s.over = nil
		if spent > 0 {
			l.Host.Log.Write("overdraft-ended", "workspace", workspace, "tokens", spent)
		}
	}
}

// debt returns the ask that tells control of what is owed, if anything is.
func (s *share) debt() []plane.TokenRequest {
	if s.owed == 0 {
		return nil
	}
	owed := s.owed
	s.owed = 0
	return []plane.TokenRequest{{Workspace: s.workspace, OverdraftTokens: owed}}
}
