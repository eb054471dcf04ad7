// Package lease is the holder's side of an authority lease.
package lease

import (
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/clock"
)

// Length is how long a lease lasts, counted by the holder from when it sent
// the renewal and by the grantor from when it answered.
const Length = 3 * time.Second

// DriftMargin is added by the grantor, so that its end of the lease is the later
// one although clocks run at different speeds.
const DriftMargin = 200 * time.Millisecond

// Lease is one holder's authority. It uses the monotonic clock, and the time
// for which the VM was suspended.
type Lease struct {
	// BootTime is that of clock.Watch.
	BootTime func() time.Time

	mutex      sync.Mutex
	suspension clock.SuspendDetector
	sentAt     map[uint64]time.Time
	until      time.Time
	ended      bool
}

// Sent notes that the renewal with this number is about to be sent.
func (l *Lease) Sent(seq uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.subtractSuspension()
	if l.sentAt == nil {
		l.sentAt = map[uint64]time.Time{}
	}
	l.sentAt[seq] = time.Now()
}

// subtractSuspension counts the time for which the VM was suspended.
func (l *Lease) subtractSuspension() {
	l.suspension.BootTime = l.BootTime
	slept := l.suspension.Suspended(time.Now())
	if slept == 0 {
		return
	}
	l.until = l.until.Add(-slept)
	for seq, sent := range l.sentAt {
		l.sentAt[seq] = sent.Add(-slept)
	}
}

// Renew extends the lease by length from when renewal seq was sent. Answers to
// renewals that were never sent are ignored.
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

// Reset forgets renewals under way, for a new stream that counts from the
// start. The lease itself goes on.
func (l *Lease) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sentAt = nil
}

// Valid reports whether the holder may act now.
func (l *Lease) Valid() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.subtractSuspension()
	return !l.ended && time.Now().Before(l.until)
}

// Until returns the end of the lease.
func (l *Lease) Until() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.subtractSuspension()
	return l.until
}

// End gives the lease up for good.
func (l *Lease) End() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended = true
}
