package quota

import (
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/bucket"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// account is the token bucket of one workspace, or of the retries to one service. The
// sum of the bucket's level, pending, reserve and outstanding never exceeds the burst.
type account struct {
	name   string
	bucket *bucket.Bucket
	// refill decides the bucket's limits where the burst is granted again in each window;
	// otherwise it is nil.
	refill *refill
	// basis is the bucket by the limits from which a successor starts; nil while the
	// account's own bucket has these.
	basis *basisBucket
	// blockedUntil is the time until which nothing accrues, since the tokens that the
	// previous leader's record counts as granted fill the bucket, whatever its capacity
	// becomes. Zero if they do not.
	blockedUntil time.Time
	// pending is the number of tokens taken from the bucket by a record that is not
	// committed yet.
	pending int64
	// reserve is the number of tokens that a committed record counts as granted, but
	// that no entry has received yet. They may be granted until reserveExpires.
	reserve        int64
	reserveExpires time.Time
	// committedLifetime is how long a grant may be spent according to the last
	// committed record, proposedLifetime according to the record in flight. Grants use
	// the shorter one.
	committedLifetime, proposedLifetime time.Duration
	// grants are the grants that may still be spent, sorted by expiry; outstanding is
	// the sum of their tokens.
	grants      []activeGrant
	outstanding int64
	// waiters are the entries that wait for tokens, in order of arrival.
	waiters []waiter
	// demands is what each entry requested last.
	demands map[string]entryDemand
	// grantedSinceTick counts the tokens granted since the last tick; tokensPerSecond
	// is the smoothed rate.
	grantedSinceTick int64
	tokensPerSecond  float64
	// starved is set when a request waits for tokens that neither the reserve nor the
	// record in flight provides, but the bucket does.
	starved bool
	// overdraft is the number of tokens that entries have spent without a grant and
	// that have not been taken from the bucket yet.
	overdraft int64
}

// activeGrant is a grant that may still be spent. Its id and entry are empty if it was
// made by a previous leader.
type activeGrant struct {
	id      uint64
	entry   string
	tokens  int64
	expires time.Time
}

// waiter is an entry that waits for at least minTokens.
type waiter struct {
	entry     string
	minTokens int64
	expires   time.Time
}

// entryDemand is the number of tokens that an entry requested last, and when.
type entryDemand struct {
	tokens int64
	at     time.Time
}

// newAccount returns an account that starts from the committed reservation, which had been
// appended to the log by the local time appendedBy. All tokens that the reservation holds
// count as granted. If there is no reservation (known is false), the bucket starts full. f
// is the account's refill, or nil.
func newAccount(name string, limits conf.Workspace, f *refill, reservation state.Reservation, appendedBy time.Time, known bool) *account {
	now := time.Now()
	a := &account{name: name, refill: f, demands: map[string]entryDemand{}, committedLifetime: maxGrantLifetime, proposedLifetime: maxGrantLifetime}
	level, from := reservation.Level, appendedBy
	if !known {
		level, from = limits.Burst, now
	}
	if f != nil {
		limits = f.current
	}
	a.bucket = bucket.New(limits.Rate, limits.Burst, level, from)
	if f != nil && f.grown() {
		a.basis = &basisBucket{bucket: bucket.New(f.basis.Rate, f.basis.Burst, level, from)}
	}
	if known && reservation.Held > 0 {
		ends := reservation.EndsAfter.Std()
		if ends == 0 {
			ends = reserveLifetime + maxGrantLifetime
		}
		inherited := activeGrant{tokens: reservation.Held, expires: appendedBy.Add(ends + clockDrift)}
		a.addGrant(inherited)
		if f != nil && reservation.Held >= f.basis.Burst {
			a.blockedUntil = inherited.expires
		}
	}
	return a
}

// addGrant inserts a grant in order of expiry.
func (a *account) addGrant(granted activeGrant) {
	at, _ := slices.BinarySearchFunc(a.grants, granted, func(a, b activeGrant) int { return a.expires.Compare(b.expires) })
	a.grants = slices.Insert(a.grants, at, granted)
	a.outstanding += granted.tokens
}

// held returns the number of tokens outside the bucket that may still be granted or spent.
func (a *account) held() int64 { return a.pending + a.reserve + a.outstanding }

// freeShare returns the part of the burst that is neither granted nor spent.
func (a *account) freeShare() float64 {
	return float64(a.bucket.Level()+a.pending+a.reserve) / float64(max(a.bucket.Burst(), 1))
}

// advance accrues tokens up to now. A grant that expires in between frees its capacity in
// the bucket only from its expiry on.
func (a *account) advance(now time.Time) {
	for len(a.grants) > 0 && !a.grants[0].expires.After(now) {
		ended := a.grants[0]
		a.grants = a.grants[1:]
		a.advanceBuckets(ended.expires)
		a.outstanding -= ended.tokens
	}
	a.advanceBuckets(now)
	if a.reserve > 0 && !a.reserveExpires.After(now) {
		a.refund(a.reserve)
		a.reserve = 0
	}
	a.settleOverdraft()
	a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool { return !w.expires.After(now) })
	for entry, d := range a.demands {
		if now.Sub(d.at) > demandLifetime {
			delete(a.demands, entry)
		}
	}
}

// settleOverdraft takes as much of the overdraft from the bucket as its level allows.
func (a *account) settleOverdraft() { a.overdraft -= a.take(a.overdraft) }

// grantLifetime returns how long a grant should be valid. Tokens that may still be spent
// occupy capacity in the bucket, so the lifetime is short when the burst is small.
func (a *account) grantLifetime() time.Duration {
	half := time.Duration(float64(a.bucket.Burst()) / float64(a.bucket.Rate()) / 2 * float64(time.Second))
	return min(max(half, minGrantLifetime), maxGrantLifetime)
}

// returnTokens adds the unused tokens of an unexpired grant to the reserve and frees the
// capacity of the spent ones.
func (a *account) returnTokens(entry string, request *plane.TokenRequest) {
	for i := range a.grants {
		granted := &a.grants[i]
		if granted.id != request.LeaseID || granted.entry != entry || granted.id == 0 {
			continue
		}
		back := min(request.UnusedTokens, granted.tokens)
		spent := min(request.SpentTokens, granted.tokens-back)
		granted.tokens -= back + spent
		a.outstanding -= back + spent
		a.reserve += back
		return
	}
}

// ahead returns the number of tokens awaited by the waiters that precede the entry.
func (a *account) ahead(entry string) int64 {
	sum := int64(0)
	for _, w := range a.waiters {
		if w.entry == entry {
			break
		}
		sum += w.minTokens
	}
	return sum
}

// grant answers one request. It returns short and grants nothing if the reserve does not
// hold enough tokens but would after a commit.
func (a *account) grant(id uint64, entry string, request *plane.TokenRequest, now time.Time) (result plane.Grant, short bool) {
	life := min(a.committedLifetime, a.proposedLifetime)
	result = plane.Grant{Workspace: a.name, Lifetime: span.Duration(life)}
	if request.WantedTokens <= 0 && request.MinTokens <= 0 {
		if *request == (plane.TokenRequest{Workspace: request.Workspace}) {
			a.withdraw(entry)
		}
		result.DemandRatio = a.demandRatio()
		return result, false
	}
	minTokens := max(request.MinTokens, 1)
	a.demands[entry] = entryDemand{tokens: max(request.WantedTokens, minTokens), at: now}
	result.DemandRatio = a.demandRatio()
	if minTokens > a.bucket.Burst() {
		result.ExceedsBurst = true
		return result, false
	}
	ahead := a.ahead(entry)
	if a.reserve-ahead < minTokens {
		if a.reserve+a.pending+a.bucket.Level()-ahead >= minTokens {
			a.starved = a.reserve+a.pending-ahead < minTokens
			return result, true
		}
		result.Wait = span.Duration(a.enqueue(entry, minTokens, ahead, now))
		return result, false
	}
	result.Tokens = a.share(minTokens, max(request.WantedTokens, minTokens), a.reserve-ahead, entry)
	result.LeaseID = id
	a.reserve -= result.Tokens
	if a.refill != nil {
		// Entries estimate by the demand when their requests get tokens: what was granted
		// is not waited for any more.
		a.demands[entry] = entryDemand{tokens: max(request.WantedTokens-result.Tokens, 0), at: now}
	}
	a.grantedSinceTick += result.Tokens
	a.addGrant(activeGrant{id: id, entry: entry, tokens: result.Tokens, expires: now.Add(life)})
	a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool { return w.entry == entry })
	return result, false
}

// share returns minTokens plus an equal share of the remaining usable tokens, at most
// maxTokens.
func (a *account) share(minTokens, maxTokens, usable int64, entry string) int64 {
	others := int64(0)
	for other := range a.demands {
		if other != entry {
			others++
		}
	}
	extra := (usable - minTokens) / (others + 1)
	return minTokens + min(maxTokens-minTokens, extra)
}

// enqueue adds an entry to the waiters, or updates it, and returns the estimated time
// until its tokens are available.
func (a *account) enqueue(entry string, minTokens, ahead int64, now time.Time) time.Duration {
	wait := max(a.bucket.Wait(ahead+minTokens-a.reserve), minWait)
	if ahead+minTokens > a.bucket.Burst()-a.outstanding && len(a.grants) > 0 {
		wait = max(wait, a.grants[0].expires.Sub(now))
	}
	until := now.Add(wait + waiterLifetime)
	if a.refill != nil {
		until = now.Add(min(wait, maxPollInterval) + waiterLifetime)
	}
	at := slices.IndexFunc(a.waiters, func(w waiter) bool { return w.entry == entry })
	if at < 0 {
		a.waiters = append(a.waiters, waiter{entry: entry, minTokens: minTokens, expires: until})
		return wait
	}
	a.waiters[at].minTokens, a.waiters[at].expires = minTokens, until
	return wait
}

// withdraw ends the wait of an entry whose requests no longer need tokens, so that those
// behind it need not wait for its tokens to accrue.
func (a *account) withdraw(entry string) {
	a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool { return w.entry == entry })
	delete(a.demands, entry)
}

// demandRatio returns the sum of the entries' recent demands divided by the rate.
func (a *account) demandRatio() float64 {
	sum := int64(0)
	for _, d := range a.demands {
		sum += d.tokens
	}
	return float64(sum) / float64(a.bucket.Rate())
}

// reserveTarget returns how many tokens the reserve should hold: the present demands and
// the waiters' tokens, or the usage during reserveLifetime if that is larger.
func (a *account) reserveTarget() int64 {
	sum := int64(0)
	for _, d := range a.demands {
		sum += d.tokens
	}
	for _, w := range a.waiters {
		sum += w.minTokens
	}
	return max(sum, int64(a.tokensPerSecond*reserveLifetime.Seconds()))
}

// topUp takes tokens for the next record from the bucket and returns the reservation to
// commit. It returns false when the account needs no record: the reserve is above half
// its target and does not expire soon, and no request is starved.
func (a *account) topUp(now time.Time) (state.Reservation, bool) {
	a.advance(now)
	missing := a.reserveTarget() - a.reserve
	ending := a.reserve > 0 && a.reserveTarget() > 0 && a.reserveExpires.Sub(now) < 2*tick
	low := 2*a.reserve <= a.reserveTarget() || a.starved
	a.starved = false
	if (missing <= 0 || !low) && !ending {
		return state.Reservation{}, false
	}
	a.pending = a.take(missing)
	if a.pending == 0 && !ending {
		return state.Reservation{}, false
	}
	a.proposedLifetime = a.grantLifetime()
	ends := max(reserveLifetime+a.proposedLifetime, a.lastGrantEnd(now))
	return a.reservation(ends), true
}

// lastGrantEnd returns how long the grant that expires last may still be spent.
func (a *account) lastGrantEnd(now time.Time) time.Duration {
	if len(a.grants) == 0 {
		return 0
	}
	return a.grants[len(a.grants)-1].expires.Sub(now)
}

// release moves the reserve back into the bucket and returns the reservation from which a
// successor starts.
func (a *account) release(now time.Time) state.Reservation {
	a.advance(now)
	a.refund(a.reserve + a.pending)
	a.reserve, a.pending = 0, 0
	return a.reservation(max(a.lastGrantEnd(now), 1))
}

// settle applies the result of a record: on commit the pending tokens become part of the
// reserve, which expires reserveLifetime after the proposal; otherwise they return to the
// bucket.
func (a *account) settle(committed bool, proposed time.Time) {
	if !committed {
		a.committedLifetime = min(a.committedLifetime, a.proposedLifetime)
		a.refund(a.pending)
		a.pending = 0
		return
	}
	a.committedLifetime = a.proposedLifetime
	a.reserve += a.pending
	a.pending = 0
	a.reserveExpires = proposed.Add(reserveLifetime)
}

// updateUsage updates the smoothed usage; it is called once per tick.
func (a *account) updateUsage() {
	// The usage is averaged over about 0.8 s.
	const weight = 0.12
	perSecond := float64(a.grantedSinceTick) * float64(time.Second/tick)
	a.tokensPerSecond += weight * (perSecond - a.tokensPerSecond)
	if a.tokensPerSecond < 1 {
		a.tokensPerSecond = 0
	}
	a.grantedSinceTick = 0
}

// idle reports whether the account can be dropped, because its state follows from the
// committed reservation.
func (a *account) idle() bool {
	return a.held() == 0 && a.overdraft == 0 && len(a.waiters) == 0 && len(a.demands) == 0 && a.tokensPerSecond == 0 && a.bucket.Level() == a.bucket.Burst()
}
