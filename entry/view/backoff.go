package view

import "time"

// backoff says until when what could not be reached is left alone.
type backoff struct {
	// faults counts the failures in a row.
	faults int
	until  time.Time
}

// fail notes a failure and starts a pause, twice the former one up to longest.
func (b *backoff) fail(now time.Time, longest time.Duration) {
	b.until = now.Add(min(firstPause<<min(b.faults, 8), longest))
	b.faults++
}

// away reports whether a pause is under way.
func (b *backoff) away(now time.Time) bool { return now.Before(b.until) }
