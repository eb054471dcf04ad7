package limit

import (
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// returnIdleAfter is how long a lease is unused before its tokens are returned.
	returnIdleAfter = 200 * time.Millisecond
	// returnBeforeExpiry is how long before a lease expires its tokens are returned.
	returnBeforeExpiry = 100 * time.Millisecond
	// reportInterval is how long used tokens are accumulated before they are reported.
	// Until then they take up room in control's bucket. Request counts are accumulated
	// for the same time, so the retry budget grows that much later; it has room for a
	// fifth of a second of requests.
	reportInterval = 200 * time.Millisecond
	// prefetchTime is how much of the recent use is leased in advance.
	prefetchTime = 250 * time.Millisecond
	// recentWindow is the time over which token use is averaged.
	recentWindow = time.Second
	// minPollInterval and maxPollInterval bound the pause between two requests for
	// tokens that control lacks.
	minPollInterval = 5 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
	// idleShareTimeout is how long the share of an idle workspace is kept.
	idleShareTimeout = time.Minute
)

// share is the tokens that this entry holds of one account, a workspace or a service's
// retry budget, and the requests that wait for them. The Limiter's mutex guards it.
type share struct {
	account string
	leases  []*tokenLease
	// waiters are sorted by queueTime.
	waiters []*waiter
	// nextRequestAt is when tokens are next requested. Control expects to have
	// refillTokens for this entry at refillAt; the first waiter lacked that many.
	nextRequestAt time.Time
	refillAt      time.Time
	refillTokens  int64
	// fleetDemand is the whole fleet's demand for tokens divided by the rate, in
	// seconds.
	fleetDemand float64
	// freeShare is the part of the burst that no entry held as of freeShareAt.
	freeShare   float64
	freeShareAt time.Time
	// recentTokens is the decayed use over recentWindow, as of recentAt.
	recentTokens float64
	recentAt     time.Time
	// overdraft is set while control does not answer; unreportedOverdraft is the number
	// of overdraft tokens still to be reported to control.
	overdraft           *overdraft
	unreportedOverdraft int64
	// unreportedRequests counts requests since the last report to control. The first of
	// them came at unreportedSince.
	unreportedRequests int64
	unreportedSince    time.Time
	// arrivals are the requests that will take their tokens when they are sent, and
	// arrivedTokens the sum of those tokens; sending are the reservations of attempts that
	// are being sent. See sending.go.
	arrivals      map[*arrival]struct{}
	arrivedTokens int64
	sending       []*arrival
	counts        counts
	// queuedAtControl means that control keeps a position for this entry, which is withdrawn
	// when no request waits for tokens any more. It is not set without a quota window.
	queuedAtControl bool
}

// tokenLease is a lease of tokens, which must not be used after expires.
type tokenLease struct {
	id        uint64
	remaining int64
	expires   time.Time
	lastTaken time.Time
	// unreported is the number of tokens used since the last report to control. The
	// first of them were used at unreportedSince.
	unreported      int64
	unreportedSince time.Time
}

// waiter is a request that needs tokens.
type waiter struct {
	tokens int64
	// keepFree is the number of tokens that must remain after the waiter has got its
	// own.
	keepFree int64
	class    call.Class
	// urgency comes before queueTime in the order of the queue. It is zero for requests
	// whose tokens are taken on arrival.
	urgency urgency
	// queueTime orders the queue, earliest first: the deadline, or for a stream's
	// extension a time shortly before that of a new request.
	queueTime time.Time
	// deadline is when the waiter is refused; zero for a stream that has started.
	deadline time.Time
	// servedBy is the latest time at which the waiter's tokens may be expected while
	// control answers; zero means the deadline.
	servedBy time.Time
	// since is when the waiter began to wait, set together with servedBy.
	since       time.Time
	isExtension bool
	// opaque means that the request's size is an upper bound set by its caller. A
	// request whose size exceeds the burst is refused with a time to retry, as for a lack
	// of tokens.
	opaque      bool
	reservation *reservation
	done        chan error
	// passedTokens is the number of tokens that small requests have taken ahead of the waiter
	// while it was the first one.
	passedTokens int64
}

// reserve reserves all tokens of a waiter, or none if there are too few.
func (s *share) reserve(now time.Time, w *waiter) bool {
	if s.available(now) < w.tokens+w.keepFree {
		return false
	}
	need, reserved := w.tokens, w.reservation
	s.recordUse(now, need)
	for _, lease := range s.leases {
		tokens := min(lease.remaining, need)
		if tokens <= 0 || !now.Before(lease.expires) {
			continue
		}
		lease.remaining -= tokens
		lease.lastTaken = now
		need -= tokens
		reserved.parts = append(reserved.parts, part{lease: lease, tokens: tokens})
		reserved.total += tokens
	}
	return true
}

func (s *share) available(now time.Time) int64 {
	var sum int64
	for _, lease := range s.leases {
		if now.Before(lease.expires) {
			sum += lease.remaining
		}
	}
	return sum
}

// use records that the first sum tokens of a reservation are used.
func (p *reservation) use(now time.Time, sum int64) {
	sum -= p.used
	for i := range p.parts {
		part := &p.parts[i]
		tokens := min(part.tokens-part.used, sum)
		if tokens <= 0 {
			continue
		}
		part.used += tokens
		p.used += tokens
		p.share.counts.run += tokens
		sum -= tokens
		if part.lease.unreported == 0 {
			part.lease.unreportedSince = now
		}
		part.lease.unreported += tokens
	}
}

// giveBack returns unused tokens to the leases they came from, the last ones first.
// Tokens of an expired lease are lost.
func (s *share) giveBack(now time.Time, reserved *reservation, tokens int64) {
	reserved.total -= tokens
	for i := len(reserved.parts) - 1; i >= 0 && tokens > 0; i-- {
		part := &reserved.parts[i]
		returned := min(part.tokens-part.used, tokens)
		part.tokens -= returned
		tokens -= returned
		if now.Before(part.lease.expires) {
			part.lease.remaining += returned
		} else {
			s.counts.lost += returned
		}
	}
}

func (s *share) recordUse(now time.Time, tokens int64) {
	s.recentTokens = max(s.recentUse(now)+float64(tokens), 0)
	s.recentAt = now
}

// recentUse returns the token use over recentWindow, decayed linearly.
func (s *share) recentUse(now time.Time) float64 {
	remaining := 1 - now.Sub(s.recentAt).Seconds()/recentWindow.Seconds()
	return s.recentTokens * max(remaining, 0)
}

// enqueue inserts a waiter at its position. A new first waiter may need fewer tokens,
// so the next request to control is sent at once.
func (s *share) enqueue(now time.Time, w *waiter) {
	at, _ := slices.BinarySearchFunc(s.waiters, w, func(other, w *waiter) int {
		if w.before(other) {
			return 1
		}
		return -1
	})
	s.waiters = slices.Insert(s.waiters, at, w)
	if at == 0 {
		s.nextRequestAt = now
	}
}

func (s *share) wouldBeFirst(w *waiter) bool {
	return len(s.waiters) == 0 || w.before(s.waiters[0])
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
		if w.class == class && !w.isExtension {
			count++
		}
	}
	return count
}

// isShort reports whether control is known to lack tokens.
func (s *share) isShort(now time.Time) bool { return now.Before(s.refillAt) }

func (s *share) untilRefill(now time.Time) time.Duration { return max(s.refillAt.Sub(now), 0) }

// estimate returns how long a waiter will wait behind those before it, which include
// requests of arrived tokens that are not in the queue yet. Tokens beyond refillTokens are
// expected at this entry's part of the rate.
func (s *share) estimate(now time.Time, w *waiter, arrived int64, rate float64) time.Duration {
	ahead, all := arrived+w.tokens-s.available(now), arrived+w.tokens
	for _, other := range s.waiters {
		if other == w {
			continue
		}
		all += other.tokens
		if !w.before(other) {
			ahead += other.tokens
		}
	}
	beyond := float64(ahead-s.refillTokens) / rate
	if beyond > 0 {
		beyond *= max(s.fleetDemand*rate/float64(max(all, 1)), 1)
	}
	return max(s.untilRefill(now)+time.Duration(beyond*float64(time.Second)), 0)
}

// nextRequests returns the reports and requests to send to control now, and removes the
// returned tokens from the leases.
func (s *share) nextRequests(now time.Time) []plane.TokenRequest {
	wantedTokens, minTokens := s.wanted(now)
	requesting := wantedTokens > 0 && !now.Before(s.nextRequestAt)
	requests := append(s.collectReports(now, requesting), s.overdraftReport()...)
	if s.unreportedRequests > 0 && (requesting || now.Sub(s.unreportedSince) >= reportInterval) {
		requests = append(requests, plane.TokenRequest{Workspace: s.account, ServiceRequests: s.unreportedRequests})
		s.unreportedRequests = 0
	}
	if s.queuedAtControl && len(s.waiters) == 0 && !requesting {
		s.queuedAtControl = false
		requests = append(requests, plane.TokenRequest{Workspace: s.account})
	}
	if requesting {
		requests = append(requests, plane.TokenRequest{Workspace: s.account, WantedTokens: wantedTokens, MinTokens: minTokens})
	}
	return requests
}

// wanted returns the number of tokens to request: those that waiters lack and, without
// a shortage, some in advance by recent use. minTokens is the number that the first
// waiter lacks.
func (s *share) wanted(now time.Time) (wantedTokens, minTokens int64) {
	available := s.available(now)
	for _, w := range s.waiters {
		wantedTokens += w.tokens
	}
	if len(s.waiters) > 0 {
		minTokens = max(s.waiters[0].tokens+s.waiters[0].keepFree-available, 0)
		minTokens = min(minTokens, max(s.smallestPassing(minTokens+available)-available, 0))
	}
	if s.fleetDemand <= 1 {
		ahead := s.arrivedDemand(int64(s.recentUse(now) * prefetchTime.Seconds() / recentWindow.Seconds()))
		if len(s.waiters) > 0 || available < ahead/2 {
			wantedTokens += ahead
		}
	}
	return max(wantedTokens-available, minTokens), minTokens
}

// collectReports takes the remaining tokens out of leases that are idle or about to
// expire, and reports used tokens. Tokens used less than reportInterval ago are
// reported only if requesting is set, that is, if control is sent a request for tokens
// anyway.
func (s *share) collectReports(now time.Time, requesting bool) []plane.TokenRequest {
	var requests []plane.TokenRequest
	kept := s.leases[:0]
	for _, lease := range s.leases {
		if !now.Before(lease.expires) {
			s.counts.lost += max(lease.remaining, 0)
			continue
		}
		kept = append(kept, lease)
		if s.overdraft != nil && lease == s.overdraft.lease {
			continue
		}
		request := plane.TokenRequest{Workspace: s.account, LeaseID: lease.id}
		idle := now.Sub(lease.lastTaken) >= returnIdleAfter && len(s.waiters) == 0 && len(s.arrivals) == 0
		ending := lease.expires.Sub(now) < returnBeforeExpiry
		if idle || ending {
			request.UnusedTokens = lease.remaining
			lease.remaining = 0
		}
		if requesting || request.UnusedTokens > 0 || now.Sub(lease.unreportedSince) >= reportInterval {
			request.SpentTokens = lease.unreported
			lease.unreported = 0
		}
		if request.UnusedTokens > 0 || request.SpentTokens > 0 {
			requests = append(requests, request)
		}
	}
	clear(s.leases[len(kept):])
	s.leases = kept
	return requests
}

// holdsAny reports whether the share has leases, requests, or something to report.
func (s *share) holdsAny() bool {
	return len(s.leases) > 0 || len(s.waiters) > 0 || len(s.arrivals) > 0 || len(s.sending) > 0 || s.unreportedOverdraft > 0 || s.unreportedRequests > 0
}

// isIdle reports whether the share can be dropped.
func (s *share) isIdle(now time.Time) bool {
	return !s.holdsAny() && !s.isShort(now) && now.Sub(s.recentAt) > idleShareTimeout
}
