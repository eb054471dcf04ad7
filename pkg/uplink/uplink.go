// Package uplink keeps a daemon's session to control up.
package uplink

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// dialTimeout bounds one attempt to connect.
	dialTimeout = time.Second
	// firstDelay and longestDelay bound the pause after a failed attempt.
	firstDelay   = 50 * time.Millisecond
	longestDelay = time.Second
)

// Kind classifies the failures of this package.
type Kind string

// KindDown says that no replica could be reached in time.
const KindDown Kind = "no session to control"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Uplink holds one session at a time, to the first replica that answers, and
// moves on when it ends.
type Uplink struct {
	// Host is the daemon's.
	Host host.Host
	// Replicas are the addresses of control, nearest first.
	Replicas []string

	mutex   sync.Mutex
	session *link.Session
	changed chan struct{}
}

// Run connects and reconnects until ctx ends.
func (u *Uplink) Run(ctx context.Context) {
	delay := firstDelay
	for next := 0; ctx.Err() == nil; next++ {
		session, err := u.dial(ctx, u.Replicas[next%len(u.Replicas)])
		if err != nil {
			u.Host.Log.Write("control-unreachable", "address", u.Replicas[next%len(u.Replicas)], "err", err)
			pause.For(ctx, delay/2+rand.N(delay/2))
			delay = min(2*delay, longestDelay)
			continue
		}
		delay = firstDelay
		u.set(session)
		select {
		case <-session.Done():
		case <-ctx.Done():
		}
		u.set(nil)
		_ = session.Close()
	}
}

func (u *Uplink) dial(ctx context.Context, address string) (*link.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return link.Dial(ctx, u.Host.Dial, address)
}

func (u *Uplink) set(session *link.Session) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.session = session
	if u.changed != nil {
		close(u.changed)
		u.changed = nil
	}
}

// Session returns the present session, waiting for one until ctx ends.
func (u *Uplink) Session(ctx context.Context) (*link.Session, error) {
	for {
		session, changed := u.current()
		if session != nil {
			return session, nil
		}
		select {
		case <-ctx.Done():
			return nil, &Error{Op: "wait for control", Kind: KindDown, Err: ctx.Err()}
		case <-changed:
		}
	}
}

func (u *Uplink) current() (*link.Session, <-chan struct{}) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.changed == nil {
		u.changed = make(chan struct{})
	}
	return u.session, u.changed
}

// Call sends one request to control and receives its reply.
func (u *Uplink) Call(ctx context.Context, method string, request, reply any) error {
	session, err := u.Session(ctx)
	if err != nil {
		return err
	}
	return session.Call(ctx, method, request, reply)
}

// Open starts a stream to control.
func (u *Uplink) Open(ctx context.Context, method string) (*wire.Stream, error) {
	session, err := u.Session(ctx)
	if err != nil {
		return nil, err
	}
	return session.Open(method)
}

// Move drops the present session, so that the next replica is tried.
func (u *Uplink) Move() {
	session, _ := u.current()
	if session != nil {
		_ = session.Close()
	}
}
