// Package pool keeps an entry's sessions to agents, which it opens on demand
// and closes when they are idle. Several attempts may use one session at a
// time.
package pool

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindDial reports that a connection could not be established.
	KindDial Kind = "cannot connect"
	// KindClosed reports that the pool is closed.
	KindClosed Kind = "closed"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// idleTimeout is how long a session without users is kept.
	idleTimeout = time.Minute
	// aliveFor is how long a session counts as alive after data was received on
	// it.
	aliveFor = 500 * time.Millisecond
	// pingTimeout is how long a ping reply may take before the session gets no new
	// users, although the connection seems open.
	pingTimeout = time.Second
	// dialTimeout bounds one connection attempt when the pool has no
	// DialTimeout.
	dialTimeout = time.Second
)

// Pool keeps sessions to agents. Its exported fields are set before use; it is
// safe for concurrent use.
type Pool struct {
	// Dial connects to an address of the form IP:port.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds one connection attempt; zero means one second.
	DialTimeout time.Duration

	mutex    sync.Mutex
	sessions map[string]*Session
	closed   bool
}

// Session is a session to an agent, shared by its users. Each successful Get is
// followed by one Put.
type Session struct {
	address string
	session *link.Session
	// ready is closed when the session or err is set.
	ready chan struct{}
	err   error
	// unanswered is closed when a ping was not answered in time.
	unanswered chan struct{}
	// The pool's mutex guards the fields from users to idleTimer.
	users     int
	retired   bool
	idleTimer *time.Timer
	// lastAlive is when data was last received, in nanoseconds after created.
	created   time.Time
	lastAlive atomic.Int64
}

// Get returns a session to the address, connecting if necessary, and counts the
// caller as its user.
func (p *Pool) Get(ctx context.Context, address string) (*Session, error) {
	s, created := p.reserve(address)
	if s == nil {
		return nil, &Error{Op: "connect", Kind: KindClosed}
	}
	if created {
		p.connect(s)
	}
	select {
	case <-s.ready:
	case <-ctx.Done():
		p.Put(s)
		return nil, &Error{Op: "connect", Kind: KindDial, Err: ctx.Err()}
	}
	if s.err != nil {
		p.Retire(s)
		p.Put(s)
		return nil, s.err
	}
	return s, nil
}

// Open opens a stream on the session.
func (s *Session) Open(method string) (*wire.Stream, error) { return s.session.Open(method) }

// Done returns a channel that is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.session.Done() }

// Unanswered returns a channel that is closed when the agent has not answered a ping in
// time.
func (s *Session) Unanswered() <-chan struct{} { return s.unanswered }

// reserve counts a user of the session to the address. created reports that the
// session is new and must be connected.
func (p *Pool) reserve(address string) (s *Session, created bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, false
	}
	s = p.sessions[address]
	if s == nil || s.ended() {
		if p.sessions == nil {
			p.sessions = map[string]*Session{}
		}
		s = &Session{address: address, ready: make(chan struct{}), unanswered: make(chan struct{}), created: time.Now()}
		p.sessions[address] = s
		created = true
	}
	s.users++
	if s.idleTimer != nil {
		s.idleTimer.Stop()
		s.idleTimer = nil
	}
	return s, created
}

// ended reports whether the session accepts no further users.
func (s *Session) ended() bool {
	select {
	case <-s.ready:
	default:
		return false
	}
	if s.err != nil || s.retired {
		return true
	}
	select {
	case <-s.session.Done():
		return true
	default:
		return false
	}
}

// connect establishes the session. It does not use the caller's context, as
// other callers may wait for the same session.
func (p *Pool) connect(s *Session) {
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(p.DialTimeout, dialTimeout))
	defer cancel()
	session, err := link.Dial(ctx, p.Dial, s.address)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s.session = session
	p.MarkAlive(s)
	if err != nil {
		s.err = &Error{Op: "connect", Kind: KindDial, Err: err}
	}
	close(s.ready)
}

// Put ends a use of the session. When the last use ends, the idle timeout
// starts.
func (p *Pool) Put(s *Session) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s.users--
	if s.users > 0 {
		return
	}
	if s.retired || p.closed {
		s.close()
		return
	}
	s.idleTimer = time.AfterFunc(idleTimeout, func() { p.expire(s) })
}

// expire closes an idle session.
func (p *Pool) expire(s *Session) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if s.users > 0 {
		return
	}
	p.remove(s)
	s.close()
}

// remove takes the session out of the pool; further users get a new one.
func (p *Pool) remove(s *Session) {
	s.retired = true
	if p.sessions[s.address] == s {
		delete(p.sessions, s.address)
	}
}

func (s *Session) close() {
	select {
	case <-s.ready:
	default:
		return
	}
	if s.session != nil {
		go func() { _ = s.session.Close() }()
	}
}

// Retire makes later calls of Get open a new session; current users keep
// theirs.
func (p *Pool) Retire(s *Session) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.remove(s)
}

// MarkAlive records that data was received from the agent.
func (p *Pool) MarkAlive(s *Session) { s.lastAlive.Store(int64(time.Since(s.created))) }

// RecentlyAlive reports whether data was recently received from the agent.
func (p *Pool) RecentlyAlive(s *Session) bool {
	return time.Since(s.created)-time.Duration(s.lastAlive.Load()) < aliveFor
}

// Verify pings the agent and reports whether it replied in time. Otherwise later calls
// of Get open a new session. Current users keep theirs, since the agent may continue; the
// session ends by itself when the connection has failed.
func (p *Pool) Verify(s *Session) bool {
	pong := make(chan error, 1)
	go func() {
		_, err := s.session.Ping()
		pong <- err
	}()
	timer := time.NewTimer(pingTimeout)
	defer timer.Stop()
	select {
	case err := <-pong:
		if err == nil {
			p.MarkAlive(s)
			return true
		}
	case <-timer.C:
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.remove(s)
	select {
	case <-s.unanswered:
	default:
		close(s.unanswered)
	}
	return false
}

// Close closes all sessions.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, s := range p.sessions {
		if s.idleTimer != nil {
			s.idleTimer.Stop()
		}
		s.close()
	}
	p.sessions = nil
}
