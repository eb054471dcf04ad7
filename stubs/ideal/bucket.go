// Package ideal is the reference for judging rate limit refusals: one central token bucket,
// without the delay and the splitting between entries that the deployment's quotas have.
package ideal

import "time"

// Bucket is a token bucket that starts full and that sees all requests of a workspace.
type Bucket struct {
	// Rate is the refill rate in tokens per second, Burst the capacity in tokens.
	Rate, Burst float64

	available float64
	refilled  time.Time
}

// Admit takes the tokens from the bucket if it holds that many and reports whether it did.
// The times of successive calls must not decrease.
func (b *Bucket) Admit(at time.Time, tokens int64) bool {
	if b.refilled.IsZero() {
		b.available, b.refilled = b.Burst, at
	}
	b.available = min(b.Burst, b.available+b.Rate*at.Sub(b.refilled).Seconds())
	b.refilled = at
	if b.available < float64(tokens) {
		return false
	}
	b.available -= float64(tokens)
	return true
}
