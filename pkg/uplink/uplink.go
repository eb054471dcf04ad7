// Package uplink maintains a daemon's session to control: it connects to one of
// the control replicas and reconnects when the session ends.
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
	"github.com/tanagerspindle/tanagerspindle/pkg/locate"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// dialTimeout bounds one attempt to connect. A round trip between regions
	// takes up to 200 ms. The kernel retransmits a lost SYN only after one
	// second, so that a longer wait does not help.
	dialTimeout = 400 * time.Millisecond
	// locateTimeout bounds the wait for a process that accepted the connection. A
	// process that stands still never replies.
	locateTimeout = time.Second
	// attemptDelay is how long an attempt may take before an attempt at the
	// next replica starts in parallel: the default of RFC 8305.
	attemptDelay = 250 * time.Millisecond
	// initialBackoff and maxBackoff bound the exponential backoff, before
	// jitter, after rounds in which all replicas failed and after sessions that
	// lasted less than stableAfter.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	stableAfter    = time.Second
)

// Kind classifies the failures of this package.
type Kind string

// KindNoSession means that no session was established before the context ended.
const KindNoSession Kind = "no session to control"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Uplink holds one session at a time, to the first replica that it reaches. A control
// process without a replica tells where the replicas are. When the session ends, it tries the next replicas first. Its
// exported fields are set before Run; its methods are safe for concurrent use.
type Uplink struct {
	// Host gives the daemon's name, event log and dialer.
	Host host.Host
	// Replicas are the configured addresses of control, nearest first.
	Replicas []string
	// Refresh rereads the configured addresses; Run calls it after no known
	// replica could be reached. It may be nil.
	Refresh func() []string
	// Directory holds the replicas that control processes have told of; nil means one
	// of the uplink's own.
	Directory *locate.Directory

	mutex sync.Mutex
	// learned are the addresses last received from control, in this daemon's
	// order of preference.
	learned        []string
	session        *link.Session
	sessionChanged chan struct{}
	lastAddress    string
}

// Run connects and reconnects until ctx ends.
func (u *Uplink) Run(ctx context.Context) {
	delay := initialBackoff
	for ctx.Err() == nil {
		session, address := u.connect(ctx, rotateAfter(u.candidates(), u.LastAddress()))
		if session == nil {
			u.refresh()
			delay = backOff(ctx, delay)
			continue
		}
		began := time.Now()
		u.Host.Log.Write("control-reached", "address", address)
		u.setLastAddress(address)
		u.setSession(session)
		select {
		case <-session.Done():
		case <-ctx.Done():
		}
		u.setSession(nil)
		_ = session.Close()
		u.Host.Log.Write("control-lost", "address", address)
		if time.Since(began) < stableAfter {
			delay = backOff(ctx, delay)
		} else {
			delay = initialBackoff
		}
	}
}

// backOff waits for the delay, less jitter, and returns the next delay.
func backOff(ctx context.Context, delay time.Duration) time.Duration {
	pause.For(ctx, delay/2+rand.N(delay/2))
	return min(2*delay, maxBackoff)
}

// refresh replaces the configured addresses by those that Refresh returns, if
// any.
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

// UpdateReplicas sets the current addresses of control, as received from
// control. The configured addresses are still tried after them, because all
// replicas may since have moved to other addresses.
func (u *Uplink) UpdateReplicas(list plane.ReplicaList) {
	u.Located().Learn(list)
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.learned = u.preferred(list.Addresses)
}

// preferred returns the addresses in this daemon's order, which spreads the daemons
// over the replicas.
func (u *Uplink) preferred(addresses []string) []string {
	sorted := slices.Clone(addresses)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(u.rank(a), u.rank(b)) })
	return sorted
}

// Located returns the directory of the replicas that control processes have told of.
func (u *Uplink) Located() *locate.Directory {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.Directory == nil {
		u.Directory = &locate.Directory{}
	}
	return u.Directory
}

func (u *Uplink) rank(address string) uint64 { return xxhash.Sum64String(u.Host.VM + " " + address) }

// candidates returns the addresses to try, in order.
func (u *Uplink) candidates() []string {
	located := u.preferred(u.Located().Known().Addresses)
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return appendNew(slices.Clone(u.learned), slices.Concat(located, u.Replicas))
}

// appendNew appends the addresses that are not in the list yet.
func appendNew(list, addresses []string) []string {
	for _, address := range addresses {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

// rotateAfter rotates the addresses so that the one after last, the address
// used last, comes first.
func rotateAfter(addresses []string, last string) []string {
	at := slices.Index(addresses, last) + 1
	return slices.Concat(addresses[at:], addresses[:at])
}

// dialResult is the outcome of one attempt to connect.
type dialResult struct {
	address string
	// session is nil if the attempt failed, or if the process serves no replica.
	session *link.Session
	err     error
}

// connect returns a session to the first replica that responds, or nil when none does.
// Attempts overlap, because a replica whose VM is powered off does not respond at
// all: with strictly sequential attempts, all daemons that try that replica first
// would have no configuration for a second.
func (u *Uplink) connect(ctx context.Context, addresses []string) (session *link.Session, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan dialResult)
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
			if outcome.session != nil {
				go closeUnused(outcomes, started-ended)
				return outcome.session, outcome.address
			}
			if outcome.err != nil {
				u.Host.Log.Write("control-unreachable", "address", outcome.address, "err", outcome.err)
			} else {
				known := u.Located().Known()
				u.Host.Log.Write("control-redirected", "address", outcome.address, "replicas", len(known.Addresses), "index", known.Index)
				addresses = u.insertLocated(addresses, started, known)
			}
			next.Reset(0)
		}
	}
	return nil, ""
}

// insertLocated returns the addresses with the located ones that were not among them as the
// next to try, after the first started ones.
func (u *Uplink) insertLocated(addresses []string, started int, known plane.ReplicaList) []string {
	all := appendNew(slices.Clone(addresses), u.preferred(known.Addresses))
	return slices.Insert(slices.Clone(addresses), started, all[len(addresses):]...)
}

// dial connects to a control process and asks it for the replicas.
func (u *Uplink) dial(ctx context.Context, address string, outcomes chan<- dialResult) {
	dialling, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := link.Dial(dialling, u.Host.Dial, address)
	if err == nil {
		session, err = u.locate(ctx, session)
	}
	outcomes <- dialResult{address: address, session: session, err: err}
}

// locate returns the session if its process serves a replica, otherwise nil.
func (u *Uplink) locate(ctx context.Context, session *link.Session) (*link.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	serves, err := u.Located().Exchange(ctx, session)
	if err != nil && ctx.Err() == nil && !sessionEnded(session) {
		// A process of an earlier version does not know the method.
		return session, nil
	}
	if err != nil || !serves {
		_ = session.Close()
		return nil, err
	}
	return session, nil
}

func sessionEnded(session *link.Session) bool {
	select {
	case <-session.Done():
		return true
	default:
		return false
	}
}

// closeUnused closes the sessions of attempts that succeed after the first.
func closeUnused(outcomes <-chan dialResult, count int) {
	for range count {
		if outcome := <-outcomes; outcome.session != nil {
			_ = outcome.session.Close()
		}
	}
}

// LastAddress returns the address that the uplink connected to last, or an empty string.
func (u *Uplink) LastAddress() string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.lastAddress
}

func (u *Uplink) setLastAddress(address string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.lastAddress = address
}

func (u *Uplink) setSession(session *link.Session) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.session = session
	if u.sessionChanged != nil {
		close(u.sessionChanged)
		u.sessionChanged = nil
	}
}

// Session returns the current session, waiting for one until ctx ends.
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
	if u.sessionChanged == nil {
		u.sessionChanged = make(chan struct{})
	}
	return u.session, u.sessionChanged
}

// Call sends one request to control and receives the reply.
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

// SwitchReplica closes the current session, so that Run connects to another
// replica.
func (u *Uplink) SwitchReplica() {
	session, _ := u.current()
	if session != nil {
		_ = session.Close()
	}
}
