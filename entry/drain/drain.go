// Package drain ends an entry without cutting off a request.
package drain

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// KindRunning says that requests were still running.
const KindRunning Kind = "requests are running"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Drain counts the requests under way. The zero value is ready.
type Drain struct {
	// Grace is how long the process may go on after the end has begun; zero
	// sets no bound. It is set before Begin.
	Grace time.Duration

	mutex    sync.Mutex
	running  int
	draining bool
	ends     time.Time
	empty    chan struct{}
}

// Enter counts a request; the returned function ends it.
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
	if d.running == 0 && d.empty != nil {
		close(d.empty)
		d.empty = nil
	}
}

// Draining reports whether the end has begun: the health check is red and
// connections are closed after each answer.
func (d *Drain) Draining() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.draining
}

// ExitTime returns when the process will be gone; zero while that is not known.
func (d *Drain) ExitTime() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.ends
}

// Begin starts the end, and returns after the time in which the balancer
// notices. Requests are accepted all the while.
func (d *Drain) Begin(linger time.Duration) {
	d.mutex.Lock()
	d.draining = true
	if d.Grace > 0 {
		d.ends = time.Now().Add(d.Grace)
	}
	d.mutex.Unlock()
	time.Sleep(linger)
}

// Wait returns when no request is running, or with an error of KindRunning
// when ctx ends before.
func (d *Drain) Wait(ctx context.Context) error {
	for {
		empty := d.emptied()
		if empty == nil {
			return nil
		}
		select {
		case <-empty:
		case <-ctx.Done():
			return &Error{Op: "drain", Kind: KindRunning, Err: ctx.Err()}
		}
	}
}

// emptied returns a channel that is closed when no request runs, or nil when
// none does now.
func (d *Drain) emptied() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.running == 0 {
		return nil
	}
	if d.empty == nil {
		d.empty = make(chan struct{})
	}
	return d.empty
}
