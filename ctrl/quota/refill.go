package quota

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/bucket"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// refill decides the rate and the capacity of one workspace's bucket where the burst is
// granted again in each window (bucket.WindowLimits). It does no I/O.
//
// While a replica leads, the capacity grows with the largest request, at the cost of the
// rate, and no window exceeds rate x window + burst: a bucket of capacity c1 whose capacity
// grows to c2 after x seconds yields at most c1 + (rate + (burst-c1)/window) x + (rate +
// (burst-c2)/window) (window-x) tokens, which is less. Only the basis, the limits before any
// request, is the same at each leader. What a leader has granted beyond the basis is
// recorded for its successor as a debt.
type refill struct {
	window time.Duration
	limits conf.Workspace
	// largest is the largest request so far.
	largest int64
	// current are the accrual rate and the capacity by largest, basis those without it.
	current, basis conf.Workspace
}

func newRefill(window time.Duration, limits conf.Workspace) *refill {
	f := &refill{window: window}
	f.setLimits(limits)
	return f
}

// setLimits changes the workspace's limits. With a window of at least a second, no window
// exceeds the greater rate x window plus the greater burst: the capacity shrinks at most by
// what the rate or the burst does.
func (f *refill) setLimits(limits conf.Workspace) {
	f.limits = limits
	f.basis.Rate, f.basis.Burst = bucket.WindowLimits(limits.Rate, limits.Burst, 0, f.window)
	f.current.Rate, f.current.Burst = bucket.WindowLimits(limits.Rate, limits.Burst, f.largest, f.window)
}

// request notes a request of the given size and reports whether the capacity has grown.
func (f *refill) request(tokens int64) bool {
	former := f.current.Burst
	f.largest = max(f.largest, tokens)
	f.setLimits(f.limits)
	return f.current.Burst > former
}

// grown reports whether the capacity is above the basis.
func (f *refill) grown() bool { return f.current.Burst > f.basis.Burst }

// basisBucket is a bucket with the limits of the basis, from which the same tokens are taken
// as from an account's own. Its level may fall below zero by debt.
type basisBucket struct {
	bucket *bucket.Bucket
	debt   int64
}

func (b *basisBucket) advance(now time.Time, held int64) {
	b.bucket.Advance(now, held)
	b.debt -= b.bucket.Take(b.debt)
}

func (b *basisBucket) take(tokens int64) { b.debt += tokens - b.bucket.Take(tokens) }

func (b *basisBucket) refund(tokens int64) {
	paid := min(b.debt, tokens)
	b.debt -= paid
	b.bucket.Refund(tokens - paid)
}

// take takes up to want tokens from the account's bucket.
func (a *account) take(want int64) int64 {
	taken := a.bucket.Take(want)
	if a.basis != nil {
		a.basis.take(taken)
	}
	return taken
}

// refund returns tokens to the account's bucket.
func (a *account) refund(tokens int64) {
	a.bucket.Refund(tokens)
	if a.basis != nil {
		a.basis.refund(tokens)
	}
}

// advanceBuckets accrues tokens up to now.
func (a *account) advanceBuckets(now time.Time) {
	held := a.held()
	if !now.After(a.blockedUntil) {
		held = max(held, a.bucket.Burst())
	}
	a.bucket.Advance(now, held)
	if a.basis != nil {
		a.basis.advance(now, a.held())
	}
}

// reservation returns the reservation from which a successor starts, if the tokens held may
// be spent for the given time. A successor has a bucket by the basis. While there is a debt,
// the tokens held fill that bucket until it would have paid the debt, so that nothing
// accrues before.
func (a *account) reservation(ends time.Duration) state.Reservation {
	r := state.Reservation{Workspace: a.name, Level: a.bucket.Level(), Held: a.held(), EndsAfter: span.Duration(ends)}
	if a.basis == nil {
		return r
	}
	r.Level = min(r.Level, a.basis.bucket.Level())
	if debt := a.basis.debt; debt > 0 {
		payment := time.Duration(float64(debt)/float64(a.basis.bucket.Rate())*float64(time.Second)) + time.Millisecond
		r.Level, r.Held = 0, max(r.Held, a.basis.bucket.Burst())
		r.EndsAfter = span.Duration(max(ends, payment))
	}
	return r
}

// applyRefill sets the buckets to the present limits, up to now, to which they have accrued.
func (a *account) applyRefill(now time.Time) {
	if a.refill == nil {
		return
	}
	if a.refill.grown() && a.basis == nil {
		basis := a.refill.basis
		a.basis = &basisBucket{bucket: bucket.New(basis.Rate, basis.Burst, a.bucket.Level(), now)}
	}
	a.bucket.SetRate(a.refill.current.Rate, a.refill.current.Burst)
	if a.basis != nil {
		a.basis.bucket.SetRate(a.refill.basis.Rate, a.refill.basis.Burst)
	}
}

// refillFor returns the refill of a workspace, nil for a retry pool or without a window. It
// is kept while the replica leads,
// also when the account is idle and dropped. The caller holds the mutex.
func (o *Owner) refillFor(name string, limits conf.Workspace) *refill {
	if o.QuotaWindow <= 0 || isPool(name) {
		return nil
	}
	if f := o.refills[name]; f != nil {
		f.setLimits(limits)
		return f
	}
	f := newRefill(o.QuotaWindow, limits)
	if o.refills == nil {
		o.refills = map[string]*refill{}
	}
	o.refills[name] = f
	o.reportCapacity(name, f)
	return f
}

// growFor lets the capacity of an account hold a request of the given size. The caller holds
// the mutex.
func (o *Owner) growFor(a *account, tokens int64, now time.Time) {
	if a.refill != nil && a.refill.request(tokens) {
		a.applyRefill(now)
		o.reportCapacity(a.name, a.refill)
	}
}

// reportCapacity reports capacity and accrual rate of a workspace's bucket, and logs them if
// they are not its burst and rate.
func (o *Owner) reportCapacity(name string, f *refill) {
	o.Host.Meter.Set("quota_capacity_"+name, f.current.Burst)
	if f.current.Burst == f.limits.Burst && f.current.Rate == f.limits.Rate && !f.grown() {
		return
	}
	o.Host.Log.Write("quota-capacity", "workspace", name, "capacity", f.current.Burst, "accrual", f.current.Rate, "largest", f.largest)
}
