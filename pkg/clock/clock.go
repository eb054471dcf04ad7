// Package clock provides a clock that keeps running while the VM is suspended.
//
// Go's monotonic clock stops during a suspension, so a lease that expired meanwhile
// would still look valid. Code that must not act after a deadline compares times of
// this clock instead.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

// Now returns the time since the VM booted, including suspensions, as a time.Time.
// Only the difference between two such times is meaningful.
func Now() time.Time {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		// Not reached on Linux 2.6.39 or later, which all have this clock.
		return time.Now().Round(0)
	}
	return time.Unix(read.Sec, read.Nsec)
}

// SuspendDetector measures how long the VM was suspended, for code that uses Go's
// monotonic clock. Its fields must be set before the first use. It is not safe for
// concurrent use.
type SuspendDetector struct {
	// BootTime returns the time of a clock that keeps running during suspensions,
	// such as Now. If it is nil, as in tests on virtual time, no suspension is ever
	// detected.
	BootTime func() time.Time

	lastBoot, lastNow time.Time
}

// maxReadSkew bounds the difference that arises from reading the two clocks one
// after the other.
const maxReadSkew = 50 * time.Millisecond

// Suspended returns how long the VM was suspended since the previous call. now is
// the current time of Go's monotonic clock.
func (d *SuspendDetector) Suspended(now time.Time) time.Duration {
	if d.BootTime == nil {
		return 0
	}
	boot, lastBoot, lastNow := d.BootTime(), d.lastBoot, d.lastNow
	d.lastBoot, d.lastNow = boot, now
	if lastBoot.IsZero() {
		return 0
	}
	suspended := boot.Sub(lastBoot) - now.Sub(lastNow)
	if suspended < maxReadSkew {
		return 0
	}
	return suspended
}
