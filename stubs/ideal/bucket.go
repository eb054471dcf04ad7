// Package ideal is the one central token bucket that refusals are judged
// against.
package ideal

import "time"

// Bucket admits as a single bucket with full knowledge would.
type Bucket struct {
	// Rate is in tokens per second and Burst in tokens.
	Rate, Burst float64

	level float64
	last  time.Time
}

// Admit debits the tokens when they are there and reports whether they were.
// Times must not decrease.
func (b *Bucket) Admit(at time.Time, tokens int64) bool {
	if b.last.IsZero() {
		b.level, b.last = b.Burst, at
	}
	b.level = min(b.Burst, b.level+b.Rate*at.Sub(b.last).Seconds())
	b.last = at
	if b.level < float64(tokens) {
		return false
	}
	b.level -= float64(tokens)
	return true
}
