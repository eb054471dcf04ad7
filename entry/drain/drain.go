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
	// HeaderTimeout is the server's limit on the time in which a request header must
	// arrive; zero means no limit.
	HeaderTimeout time.Duration

	mutex    sync.Mutex
	running  int
	draining bool
	exitTime time.Time
	idle     chan struct{}
	// connections holds the open connections, each with the number of its last change of
	// state; closing is set once no more connections are accepted.
	connections map[*callerConn]uint64
	changes     uint64
	closing     bool
	// closedIdle counts the connections that were closed without a request, and refused
	// the requests that were refused because of the stop.
	closedIdle, refused int
	// reading holds the writers of the requests whose bodies are being read.
	reading map[*announcedWriter]struct{}
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
		time.AfterFunc(d.Grace, d.exit)
		for w := range d.reading {
			// An error means that the connection is closed.
			_ = w.limitReadDeadline()
		}
	}
	d.mutex.Unlock()
	time.Sleep(linger)
}

// exit ends what has not begun to be answered when the process is about to exit.
func (d *Drain) exit() {
	d.refusePending()
	d.releaseAll()
}

// Counts returns how many connections the stop has closed without a request, and how many
// requests were refused because of it.
func (d *Drain) Counts() (closedIdle, refused int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.closedIdle, d.refused
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
