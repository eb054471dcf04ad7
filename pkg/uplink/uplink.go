// Package uplink keeps a daemon's session to control up.
package uplink

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// dialTimeout bounds one attempt to connect. The kernel sends a lost
	// opening packet again only after a second; a round trip between regions
	// takes up to a fifth of one.
	dialTimeout = 400 * time.Millisecond
	// attemptDelay is how long an attempt may be unanswered before the next
	// replica is tried beside it: the default of RFC 8305.
	attemptDelay = 250 * time.Millisecond
	// firstDelay and longestDelay bound the pause after all replicas failed.
	firstDelay   = 50 * time.Millisecond
	longestDelay = time.Second
)

// Kind classifies the failures of this package.
type Kind string

// KindNoSession says that no replica could be reached in time.
const KindNoSession Kind = "no session to control"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Uplink holds one session at a time, to the first replica that answers, and
// moves on when it ends.
type Uplink struct {
	// Host is the daemon's.
	Host host.Host
	// Replicas are the addresses of control to begin with, nearest first.
	Replicas []string
	// Refresh returns the addresses that the settings name now, after none of
	// those known could be reached; nil knows no others.
	Refresh func() []string

	mutex sync.Mutex
	// learned are the addresses that control named last.
	learned []string
	session *link.Session
	changed chan struct{}
}

// Run connects and reconnects until ctx ends.
func (u *Uplink) Run(ctx context.Context) {
	delay := firstDelay
	last := ""
	for ctx.Err() == nil {
		session, address := u.connect(ctx, behind(u.addresses(), last))
		if session == nil {
			u.refresh()
			pause.For(ctx, delay/2+rand.N(delay/2))
			delay = min(2*delay, longestDelay)
			continue
		}
		delay = firstDelay
		last = address
		u.Host.Log.Write("control-reached", "address", address)
		u.set(session)
		select {
		case <-session.Done():
		case <-ctx.Done():
		}
		u.set(nil)
		_ = session.Close()
		u.Host.Log.Write("control-lost", "address", address)
	}
}

// refresh asks for other addresses after all those known have failed.
func (u *Uplink) refresh() {
	if u.Refresh == nil {
		return
	}
	if fresh := u.Refresh(); len(fresh) > 0 {
		u.mutex.Lock()
		u.Replicas = fresh
		u.mutex.Unlock()
	}
}

// UpdateReplicas takes the addresses that control has now. The ones to begin with are
// tried behind them, since control may have moved on altogether meanwhile.
func (u *Uplink) UpdateReplicas(addresses []string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.learned = slices.Clone(addresses)
	// Daemons spread over the replicas, each in an order of its own.
	slices.SortFunc(u.learned, func(a, b string) int { return cmp.Compare(u.rank(a), u.rank(b)) })
}

func (u *Uplink) rank(address string) uint64 { return xxhash.Sum64String(u.Host.VM + " " + address) }

// addresses returns whom to try, in order.
func (u *Uplink) addresses() []string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	addresses := slices.Clone(u.learned)
	for _, address := range u.Replicas {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// behind returns the addresses in their order, beginning behind the last one
// used.
func behind(addresses []string, last string) []string {
	at := slices.Index(addresses, last) + 1
	return slices.Concat(addresses[at:], addresses[:at])
}

// dialed is the outcome of one attempt.
type dialed struct {
	address string
	session *link.Session
	err     error
}

// connect returns a session to the first replica that answers, nil when none
// does. It answers a control VM without power: waiting for one attempt after
// the other kept all daemons that had the same first replica without a
// configuration for a second.
func (u *Uplink) connect(ctx context.Context, addresses []string) (session *link.Session, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan dialed, len(addresses))
	next := time.NewTimer(0)
	defer next.Stop()
	started, ended := 0, 0
	for ended < len(addresses) {
		select {
		case <-next.C:
			if started < len(addresses) {
				go u.dial(ctx, addresses[started], outcomes)
				started++
				next.Reset(attemptDelay)
			}
		case outcome := <-outcomes:
			ended++
			if outcome.err == nil {
				go closeLate(outcomes, started-ended)
				return outcome.session, outcome.address
			}
			u.Host.Log.Write("control-unreachable", "address", outcome.address, "err", outcome.err)
			next.Reset(0)
		}
	}
	return nil, ""
}

func (u *Uplink) dial(ctx context.Context, address string, outcomes chan<- dialed) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := link.Dial(ctx, u.Host.Dial, address)
	outcomes <- dialed{address: address, session: session, err: err}
}

// closeLate closes the sessions of attempts that were not the first to succeed.
func closeLate(outcomes <-chan dialed, count int) {
	for range count {
		if outcome := <-outcomes; outcome.session != nil {
			_ = outcome.session.Close()
		}
	}
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
			return nil, &Error{Op: "wait for control", Kind: KindNoSession, Err: ctx.Err()}
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

// SwitchReplica drops the present session, so that the next replica is tried.
func (u *Uplink) SwitchReplica() {
	session, _ := u.current()
	if session != nil {
		_ = session.Close()
	}
}
