// Package drain stops an entry without interrupting running requests.
package drain

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// KindRunning means that requests were still running.
const KindRunning Kind = "requests are running"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Drain counts running requests. The zero value is ready for use.
type Drain struct {
	// Grace is the longest time that the process may run after Begin; zero means no
	// limit. It is set before Begin.
	Grace time.Duration

	mutex    sync.Mutex
	running  int
	draining bool
	exitTime time.Time
	idle     chan struct{}
}

// Enter counts a request as running until the returned function is called.
func (d *Drain) Enter() func() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.running++
	return d.leave
}

func (d *Drain) leave() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.running--
	if d.running == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// Draining reports whether Begin was called. The health check then fails, and
// connections are closed after each answer.
func (d *Drain) Draining() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.draining
}

// ExitTime returns the latest time at which the process exits; zero before Begin or
// without Grace.
func (d *Drain) ExitTime() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.exitTime
}

// Begin starts the drain and returns after linger, the time that the load balancer
// needs to notice the failing health check. Requests are accepted meanwhile.
func (d *Drain) Begin(linger time.Duration) {
	d.mutex.Lock()
	d.draining = true
	if d.Grace > 0 {
		d.exitTime = time.Now().Add(d.Grace)
	}
	d.mutex.Unlock()
	time.Sleep(linger)
}

// Wait returns when no request is running, or an error of KindRunning when ctx ends
// first.
func (d *Drain) Wait(ctx context.Context) error {
	for {
		idle := d.idleChan()
		if idle == nil {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return &Error{Op: "drain", Kind: KindRunning, Err: ctx.Err()}
		}
	}
}

// idleChan returns a channel that is closed when no request is running, or nil if none
// is running now.
func (d *Drain) idleChan() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.running == 0 {
		return nil
	}
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	return d.idle
}
