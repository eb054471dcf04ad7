// Package lease implements the holder's side of a lease, which authorizes a daemon
// to act for a limited time.
package lease

import (
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/clock"
)

// Length is the duration of a lease. The holder counts it from when it sent the
// renewal request, and the grantor from when it answered.
const Length = 3 * time.Second

// DriftMargin is added by the grantor, so that the lease ends later for the grantor
// than for the holder although their clocks run at different speeds.
const DriftMargin = 200 * time.Millisecond

// Lease is the state of one lease at its holder. It uses Go's monotonic clock and
// subtracts the time for which the VM was suspended. It is safe for concurrent use.
type Lease struct {
	// BootTime returns the time of a clock that keeps running while the VM is
	// suspended; see clock.SuspendDetector.
	BootTime func() time.Time

	mutex      sync.Mutex
	suspension clock.SuspendDetector
	sentAt     map[uint64]time.Time
	until      time.Time
	ended      bool
}

// Sent records that renewal request seq is about to be sent.
func (l *Lease) Sent(seq uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.subtractSuspension()
	if l.sentAt == nil {
		l.sentAt = map[uint64]time.Time{}
	}
	l.sentAt[seq] = time.Now()
}

// subtractSuspension shortens the lease and moves pending renewals back by the time
// for which the VM was suspended since the previous call.
func (l *Lease) subtractSuspension() {
	l.suspension.BootTime = l.BootTime
	suspended := l.suspension.Suspended(time.Now())
	if suspended == 0 {
		return
	}
	l.until = l.until.Add(-suspended)
	for seq, sent := range l.sentAt {
		l.sentAt[seq] = sent.Add(-suspended)
	}
}

// Renew extends the lease to length after renewal request seq was sent. It ignores
// requests that were not sent, and those that were renewed already.
func (l *Lease) Renew(seq uint64, length time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.subtractSuspension()
	sent, ok := l.sentAt[seq]
	if !ok || l.ended {
		return
	}
	for old := range l.sentAt {
		if old <= seq {
			delete(l.sentAt, old)
		}
	}
	if until := sent.Add(length); until.After(l.until) {
		l.until = until
	}
}

// Reset forgets the pending renewal requests, for a new stream whose numbers start
// again. The lease itself stays valid.
func (l *Lease) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sentAt = nil
}

// Valid reports whether the lease is valid now.
func (l *Lease) Valid() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.subtractSuspension()
	return !l.ended && time.Now().Before(l.until)
}

// Until returns when the lease expires.
func (l *Lease) Until() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.subtractSuspension()
	return l.until
}

// End ends the lease for good; later renewals have no effect.
func (l *Lease) End() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended = true
}
