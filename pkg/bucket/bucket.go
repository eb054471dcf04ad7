// Package bucket implements a token bucket in integer arithmetic. Rounding never
// yields more tokens than the rate allows.
package bucket

import (
	"math/bits"
	"time"
)

// Bucket accrues rate tokens per second, up to burst tokens. It is not safe for
// concurrent use.
type Bucket struct {
	rate, burst int64
	level       int64
	// accruedUntil is the time up to which accrual is included in level.
	accruedUntil time.Time
}

// New returns a bucket that holds level tokens at the given time. rate is in tokens
// per second and burst in tokens; values below 1 are raised to 1.
func New(rate, burst, level int64, at time.Time) *Bucket {
	b := &Bucket{rate: max(rate, 1), burst: max(burst, 1), accruedUntil: at}
	b.level = min(max(level, 0), b.burst)
	return b
}

// SetRate changes rate and burst, effective from the time of the last Advance.
func (b *Bucket) SetRate(rate, burst int64) {
	b.rate, b.burst = max(rate, 1), max(burst, 1)
	b.level = min(b.level, b.burst)
}

// Advance accrues tokens until now, up to burst minus held. held is the number of
// tokens that were taken and may still be unspent. A now before the last Advance
// has no effect.
func (b *Bucket) Advance(now time.Time, held int64) {
	room := b.burst - held - b.level
	gap := now.Sub(b.accruedUntil)
	if gap <= 0 {
		return
	}
	if room <= 0 {
		b.accruedUntil = now
		return
	}
	earned := b.accrued(gap)
	if earned >= room {
		b.level += room
		b.accruedUntil = now
		return
	}
	b.level += earned
	b.accruedUntil = b.accruedUntil.Add(b.accrualTime(earned))
}

// accrued returns the number of whole tokens that accrue in gap, at most burst.
func (b *Bucket) accrued(gap time.Duration) int64 {
	high, low := bits.Mul64(uint64(b.rate), uint64(gap))
	if high >= uint64(time.Second) {
		return b.burst
	}
	tokens, _ := bits.Div64(high, low, uint64(time.Second))
	if tokens > uint64(b.burst) {
		return b.burst
	}
	return int64(tokens)
}

// accrualTime returns how long tokens take to accrue, rounded up.
func (b *Bucket) accrualTime(tokens int64) time.Duration {
	high, low := bits.Mul64(uint64(tokens), uint64(time.Second))
	if high >= uint64(b.rate) {
		return time.Duration(1<<63 - 1)
	}
	gap, rest := bits.Div64(high, low, uint64(b.rate))
	if rest > 0 {
		gap++
	}
	if gap > 1<<63-1 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(gap)
}

// Level returns the number of tokens in the bucket as of the last Advance.
func (b *Bucket) Level() int64 { return b.level }

// Burst returns the bucket's capacity in tokens.
func (b *Bucket) Burst() int64 { return b.burst }

// Rate returns the number of tokens that accrue per second.
func (b *Bucket) Rate() int64 { return b.rate }

// Take removes up to want tokens and returns how many it removed.
func (b *Bucket) Take(want int64) int64 {
	taken := max(min(want, b.level), 0)
	b.level -= taken
	return taken
}

// Refund returns tokens to the bucket, up to burst.
func (b *Bucket) Refund(tokens int64) { b.level = min(b.level+tokens, b.burst) }

// Wait returns how long it takes until the bucket holds want tokens if none are
// taken meanwhile.
func (b *Bucket) Wait(want int64) time.Duration {
	if want <= b.level {
		return 0
	}
	return b.accrualTime(want - b.level)
}
