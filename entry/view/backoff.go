package view

import "time"

// backoff is the state of an exponential backoff after failed connections.
type backoff struct {
	// failures counts consecutive failures.
	failures int
	// since is the time of the first of them without a long gap, last that of the last one.
	since, last time.Time
	until       time.Time
	// probeEnd is until when a single attempt is under way that shows whether the failures go
	// on; zero without one.
	probeEnd time.Time
}

// fail records a failure and starts a pause twice as long as the previous one,
// up to maximum.
func (b *backoff) fail(now time.Time, maximum time.Duration) {
	if b.failures == 0 || now.Sub(b.last) > maxAgentSilence {
		b.since = now
	}
	b.last, b.probeEnd = now, time.Time{}
	b.until = now.Add(min(minPause<<min(b.failures, 8), maximum))
	b.failures++
}

// active reports whether a pause is in progress, or the attempt that follows it.
func (b *backoff) active(now time.Time) bool {
	return now.Before(b.until) || now.Before(b.probeEnd)
}
