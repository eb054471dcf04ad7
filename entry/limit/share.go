package limit

import (
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// idleReturn is how long a lease is unused before its tokens go back.
	idleReturn = 200 * time.Millisecond
	// endReturn is how long before its end a lease's tokens go back.
	endReturn = 100 * time.Millisecond
	// tellSpent is how long spent tokens are gathered before control is told
	// of them. Until it knows, they keep room in the bucket. Requests are
	// gathered as long, and add so much later to the pool of repeats: the bound
	// has room for a fifth of a second of them.
	tellSpent = 200 * time.Millisecond
	// aheadTime is how much of the recent spending is leased ahead.
	aheadTime = 250 * time.Millisecond
	// spendTime is the time over which spending is averaged.
	spendTime = time.Second
	// shortestPoll and longestPoll bound the pause between two asks for
	// tokens that are not there.
	shortestPoll = 5 * time.Millisecond
	longestPoll  = 500 * time.Millisecond
	// forget is how long an idle workspace is remembered.
	forget = time.Minute
)

// share is what this entry holds of one workspace's tokens. The mutex of Limit
// guards it.
type share struct {
	workspace string
	leases    []*held
	// waiters are in the order of due.
	waiters []*waiter
	// askAt is when control is asked next. At due it expects to have lack
	// tokens for this entry, which is what the first waiter lacked.
	askAt time.Time
	due   time.Time
	lack  int64
	// demand is the fleet's wish for tokens over the rate, in seconds.
	demand float64
	// spent is the decayed spending of the last spendTime, as of usedAt.
	spent  float64
	usedAt time.Time
	// over is the overdraft while control does not answer, owed what control
	// has not been told of.
	over *overdraft
	owed int64
	// requests have come since control was last told, the first of them at
	// requested.
	requests  int64
	requested time.Time
}

// held is a lease of tokens; none is spent after until.
type held struct {
	id    uint64
	left  int64
	until time.Time
	used  time.Time
	// spent is how many tokens were used up since control was last told, and
	// since is when the first of them were.
	spent int64
	since time.Time
}

// waiter is a request that needs tokens.
type waiter struct {
	need int64
	// spare is what must be left when the waiter is paid.
	spare int64
	class call.Class
	// due is when the caller's patience ends; the earliest comes first.
	due time.Time
	// until is when the caller's patience ends; zero for a stream that has
	// begun.
	until   time.Time
	extends bool
	// opaque says that the caller's size of the request is only a bound: one
	// over the burst is refused like any other that comes too early.
	opaque bool
	paid   *reservation
	done   chan error
}

// take pays a waiter in full, or not at all if there are too few tokens.
func (s *share) take(now time.Time, w *waiter) bool {
	if s.available(now) < w.need+w.spare {
		return false
	}
	need, paid := w.need, w.paid
	s.note(now, need)
	for _, lease := range s.leases {
		tokens := min(lease.left, need)
		if tokens <= 0 || !now.Before(lease.until) {
			continue
		}
		lease.left -= tokens
		lease.used = now
		need -= tokens
		paid.parts = append(paid.parts, part{lease: lease, tokens: tokens})
		paid.total += tokens
	}
	return true
}

func (s *share) available(now time.Time) int64 {
	var sum int64
	for _, lease := range s.leases {
		if now.Before(lease.until) {
			sum += lease.left
		}
	}
	return sum
}

// spend notes that the first tokens of a reservation, up to a sum, are used
// up.
func (p *reservation) spend(now time.Time, sum int64) {
	sum -= p.spent
	for i := range p.parts {
		part := &p.parts[i]
		tokens := min(part.tokens-part.spent, sum)
		if tokens <= 0 {
			continue
		}
		part.spent += tokens
		p.spent += tokens
		sum -= tokens
		if part.lease.spent == 0 {
			part.lease.since = now
		}
		part.lease.spent += tokens
	}
}

// giveBack returns unspent tokens to the leases they came from, last ones
// first. Those of a lease that has ended are lost.
func (s *share) giveBack(now time.Time, paid *reservation, tokens int64) {
	paid.total -= tokens
	for i := len(paid.parts) - 1; i >= 0 && tokens > 0; i-- {
		part := &paid.parts[i]
		returned := min(part.tokens-part.spent, tokens)
		part.tokens -= returned
		tokens -= returned
		if now.Before(part.lease.until) {
			part.lease.left += returned
		}
	}
}

func (s *share) note(now time.Time, tokens int64) {
	s.spent = s.recent(now) + float64(tokens)
	s.usedAt = now
}

// recent returns the spending of the last spendTime, decayed linearly.
func (s *share) recent(now time.Time) float64 {
	left := 1 - now.Sub(s.usedAt).Seconds()/spendTime.Seconds()
	return s.spent * max(left, 0)
}

// enqueue puts a waiter in its place. A new first one may need less, so
// control is asked again at once.
func (s *share) enqueue(now time.Time, w *waiter) {
	at, _ := slices.BinarySearchFunc(s.waiters, w, func(other, w *waiter) int {
		if other.due.After(w.due) {
			return 1
		}
		return -1
	})
	s.waiters = slices.Insert(s.waiters, at, w)
	if at == 0 {
		s.askAt = now
	}
}

func (s *share) isFirst(w *waiter) bool {
	return len(s.waiters) == 0 || w.due.Before(s.waiters[0].due)
}

func (s *share) remove(w *waiter) bool {
	at := slices.Index(s.waiters, w)
	if at < 0 {
		return false
	}
	s.waiters = slices.Delete(s.waiters, at, at+1)
	return true
}

func (s *share) count(class call.Class) int {
	count := 0
	for _, w := range s.waiters {
		if w.class == class && !w.extends {
			count++
		}
	}
	return count
}

// short reports whether control is known to lack tokens.
func (s *share) short(now time.Time) bool { return now.Before(s.due) }

func (s *share) wait(now time.Time) time.Duration { return max(s.due.Sub(now), 0) }

// estimate returns how long a waiter will wait behind those before it. Beyond
// what control has given a time for, tokens come at this entry's part of the
// rate.
func (s *share) estimate(now time.Time, w *waiter, rate float64) time.Duration {
	ahead, all := w.need-s.available(now), w.need
	for _, other := range s.waiters {
		if other == w {
			continue
		}
		all += other.need
		if !other.due.After(w.due) {
			ahead += other.need
		}
	}
	beyond := float64(ahead-s.lack) / rate
	if beyond > 0 {
		beyond *= max(s.demand*rate/float64(max(all, 1)), 1)
	}
	return max(s.wait(now)+time.Duration(beyond*float64(time.Second)), 0)
}

// asks returns what to ask of control now, and takes out what goes back.
func (s *share) asks(now time.Time) []plane.TokenRequest {
	want, least := s.want(now)
	asking := want > 0 && !now.Before(s.askAt)
	asks := append(s.returns(now, asking), s.debt()...)
	if s.requests > 0 && (asking || now.Sub(s.requested) >= tellSpent) {
		asks = append(asks, plane.TokenRequest{Workspace: s.workspace, ServiceRequests: s.requests})
		s.requests = 0
	}
	if asking {
		asks = append(asks, plane.TokenRequest{Workspace: s.workspace, WantedTokens: want, MinTokens: least})
	}
	return asks
}

// want returns the tokens to ask for: what waiters lack, and without a
// shortage a little ahead of the recent spending.
func (s *share) want(now time.Time) (want, least int64) {
	available := s.available(now)
	for _, w := range s.waiters {
		want += w.need
	}
	if len(s.waiters) > 0 {
		least = max(s.waiters[0].need+s.waiters[0].spare-available, 0)
	}
	if s.demand <= 1 {
		ahead := int64(s.recent(now) * aheadTime.Seconds() / spendTime.Seconds())
		if len(s.waiters) > 0 || available < ahead/2 {
			want += ahead
		}
	}
	return max(want-available, least), least
}

// returns gives back the tokens of leases that are idle or about to end, and
// tells of spent ones; of few or new ones only when control is asked anyway.
func (s *share) returns(now time.Time, asking bool) []plane.TokenRequest {
	var asks []plane.TokenRequest
	kept := s.leases[:0]
	for _, lease := range s.leases {
		if !now.Before(lease.until) {
			continue
		}
		kept = append(kept, lease)
		if s.over != nil && lease == s.over.lease {
			continue
		}
		ask := plane.TokenRequest{Workspace: s.workspace, LeaseID: lease.id}
		idle := now.Sub(lease.used) >= idleReturn && len(s.waiters) == 0
		ending := lease.until.Sub(now) < endReturn
		if idle || ending {
			ask.UnusedTokens = lease.left
			lease.left = 0
		}
		if asking || ask.UnusedTokens > 0 || now.Sub(lease.since) >= tellSpent {
			ask.SpentTokens = lease.spent
			lease.spent = 0
		}
		if ask.UnusedTokens > 0 || ask.SpentTokens > 0 {
			asks = append(asks, ask)
		}
	}
	clear(s.leases[len(kept):])
	s.leases = kept
	return asks
}

// idle reports whether the share can be forgotten.
func (s *share) idle(now time.Time) bool {
	return len(s.leases) == 0 && len(s.waiters) == 0 && s.owed == 0 && s.requests == 0 && now.Sub(s.usedAt) > forget
}
