// Package clock tells time that goes on while the VM is suspended.
//
// Go's own monotonic time stands still then, so that a lease that has long run
// out would look valid. Whatever must not be used after its time compares times
// of this clock.
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

// Now returns the time since the VM was started, suspensions included, as a
// time. Only differences between two such times mean anything.
func Now() time.Time {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		return time.Now().Round(0)
	}
	return time.Unix(read.Sec, read.Nsec)
}

// SuspendDetector tells how long the VM was suspended, for parts that count in Go's own
// time. Its fields are set before use; it is used by one goroutine at a time.
type SuspendDetector struct {
	// BootTime returns the time that goes on while the VM is suspended; nil never
	// finds a suspension, as in tests on virtual time.
	BootTime func() time.Time

	lastBoot, lastNow time.Time
}

// maxReadSkew is what reading two clocks one after the other may make them differ.
const maxReadSkew = 50 * time.Millisecond

// Suspended returns how long the VM was suspended since the last call. now is the
// present time of Go's own clock.
func (w *SuspendDetector) Suspended(now time.Time) time.Duration {
	if w.BootTime == nil {
		return 0
	}
	boot, formerBoot, formerOwn := w.BootTime(), w.lastBoot, w.lastNow
	w.lastBoot, w.lastNow = boot, now
	if formerBoot.IsZero() {
		return 0
	}
	slept := boot.Sub(formerBoot) - now.Sub(formerOwn)
	if slept < maxReadSkew {
		return 0
	}
	return slept
}
