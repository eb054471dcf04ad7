// Package drain stops an entry without interrupting running requests.
package drain

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindRunning means that requests were still running.
	KindRunning Kind = "requests are running"
	// KindUnsupported means that a connection lacks an option of TCP.
	KindUnsupported Kind = "not supported by the connection"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Drain counts running requests and callers' connections. The zero value is ready for use.
type Drain struct {
	// Grace is the longest time that the process may run after Begin; zero means no
	// limit. It is set before the first request.
	Grace time.Duration

	mutex    sync.Mutex
	running  int
	draining bool
	exitTime time.Time
	idle     chan struct{}
	// connections holds the open connections; closing is set once they are being closed.
	connections map[*callerConn]http.ConnState
	closing     bool
	// pending holds the requests whose answers have not begun.
	pending map[*pending]struct{}
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
	d.signalIdle()
}

// signalIdle ends Wait if nothing is left to wait for. The caller holds the mutex.
func (d *Drain) signalIdle() {
	if d.running == 0 && len(d.connections) == 0 && d.idle != nil {
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
		time.AfterFunc(d.Grace, d.refusePending)
	}
	d.mutex.Unlock()
	time.Sleep(linger)
}

// Wait returns when no request is running and no connection is open, or an error of
// KindRunning when ctx ends first. An answer is written out after its request has left.
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

// idleChan returns a channel that is closed when nothing is left to wait for, or nil if
// that is so now.
func (d *Drain) idleChan() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.running == 0 && len(d.connections) == 0 {
		return nil
	}
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	return d.idle
}
