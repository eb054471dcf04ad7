// Package pool keeps sessions to agents, opened on demand and closed when
// idle.
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
	KindDial   Kind = "cannot connect"
	KindClosed Kind = "closed"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// idleLimit is how long a session without attempts is kept.
	idleLimit = time.Minute
	// freshFor is how long a session counts as alive after it was heard.
	freshFor = 500 * time.Millisecond
	// pingLimit is how long a pong may take before a Session session is given
	// up although the connection seems open.
	pingLimit = time.Second
	// dialLimit bounds one attempt to connect, when the pool names no bound.
	dialLimit = time.Second
)

// Pool keeps sessions to agents. Its exported fields are set before use; it is
// safe for concurrent use.
type Pool struct {
	// Dial connects to IP:port.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds one attempt to connect; zero means a second.
	DialTimeout time.Duration

	mutex    sync.Mutex
	sessions map[string]*Session
	closed   bool
}

// Session is one session and the number of users that it has.
type Session struct {
	address string
	session *link.Session
	// ready is closed when session or err is set.
	ready chan struct{}
	err   error
	// The pool's mutex guards the fields below.
	active  int
	retired bool
	timer   *time.Timer
	// heard is for how long the session had existed when the other end was last
	// heard, in nanoseconds.
	created time.Time
	heard   atomic.Int64
}

// Get returns a session to the address and counts an attempt on it.
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

// Open starts a stream on a session.
func (s *Session) Open(method string) (*wire.Stream, error) { return s.session.Open(method) }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.session.Done() }

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
		s = &Session{address: address, ready: make(chan struct{}), created: time.Now()}
		p.sessions[address] = s
		created = true
	}
	s.active++
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	return s, created
}

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

// connect dials without the caller's context: others may wait for the session.
func (p *Pool) connect(s *Session) {
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(p.DialTimeout, dialLimit))
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

// Put ends an attempt's count and starts the idle time after the last one.
func (p *Pool) Put(s *Session) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s.active--
	if s.active > 0 {
		return
	}
	if s.retired || p.closed {
		s.close()
		return
	}
	s.timer = time.AfterFunc(idleLimit, func() { p.expire(s) })
}

func (p *Pool) expire(s *Session) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if s.active > 0 {
		return
	}
	p.forget(s)
	s.close()
}

func (p *Pool) forget(s *Session) {
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

// Retire gives new attempts another connection; those under way go on.
func (p *Pool) Retire(s *Session) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.forget(s)
}

// MarkAlive remembers that the other end was heard.
func (p *Pool) MarkAlive(s *Session) { s.heard.Store(int64(time.Since(s.created))) }

// RecentlyAlive reports whether the other end was heard lately.
func (p *Pool) RecentlyAlive(s *Session) bool {
	return time.Since(s.created)-time.Duration(s.heard.Load()) < freshFor
}

// Verify pings the other end and ends the session when no pong comes in time.
func (p *Pool) Verify(s *Session) bool {
	pong := make(chan error, 1)
	go func() {
		_, err := s.session.Ping()
		pong <- err
	}()
	timer := time.NewTimer(pingLimit)
	defer timer.Stop()
	select {
	case err := <-pong:
		if err == nil {
			p.MarkAlive(s)
			return true
		}
	case <-timer.C:
	}
	p.Retire(s)
	_ = s.session.Close()
	return false
}

// Close ends all sessions.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, s := range p.sessions {
		if s.timer != nil {
			s.timer.Stop()
		}
		s.close()
	}
	p.sessions = nil
}
