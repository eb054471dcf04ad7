package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/link"
)

const (
	// idleLimit is how long a session without attempts is kept.
	idleLimit = time.Minute
	// freshFor is how long a session counts as alive after it was heard.
	freshFor = 500 * time.Millisecond
	// pingLimit is how long a pong may take before a pooled session is given
	// up although the connection seems open.
	pingLimit = time.Second
	// dialLimit bounds one attempt to connect.
	dialLimit = time.Second
)

// pool keeps sessions to agents, opened on demand and closed when idle.
type pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mutex    sync.Mutex
	sessions map[string]*pooled
	closed   bool
}

// pooled is one session and the number of attempts on it.
type pooled struct {
	address string
	session *link.Session
	// ready is closed when session or err is set.
	ready chan struct{}
	err   error
	// The pool's mutex guards the fields below.
	active  int
	retired bool
	timer   *time.Timer
	// heard is when the other end was last heard, in nanoseconds.
	heard atomic.Int64
}

// get returns a session to the address and counts an attempt on it.
func (p *pool) get(ctx context.Context, address string) (*pooled, error) {
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
		p.put(s)
		return nil, &Error{Op: "connect", Kind: KindDial, Err: ctx.Err()}
	}
	if s.err != nil {
		p.retire(s)
		p.put(s)
		return nil, s.err
	}
	return s, nil
}

func (p *pool) reserve(address string) (s *pooled, created bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, false
	}
	s = p.sessions[address]
	if s == nil || s.ended() {
		if p.sessions == nil {
			p.sessions = map[string]*pooled{}
		}
		s = &pooled{address: address, ready: make(chan struct{})}
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

func (s *pooled) ended() bool {
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
func (p *pool) connect(s *pooled) {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	session, err := link.Dial(ctx, p.dial, s.address)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s.session = session
	p.note(s)
	if err != nil {
		s.err = &Error{Op: "connect", Kind: KindDial, Err: err}
	}
	close(s.ready)
}

// put ends an attempt's count and starts the idle time after the last one.
func (p *pool) put(s *pooled) {
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

func (p *pool) expire(s *pooled) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if s.active > 0 {
		return
	}
	p.forget(s)
	s.close()
}

func (p *pool) forget(s *pooled) {
	s.retired = true
	if p.sessions[s.address] == s {
		delete(p.sessions, s.address)
	}
}

func (s *pooled) close() {
	select {
	case <-s.ready:
	default:
		return
	}
	if s.session != nil {
		go func() { _ = s.session.Close() }()
	}
}

// retire gives new attempts another connection; those under way go on.
func (p *pool) retire(s *pooled) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.forget(s)
}

// note remembers that the other end was heard.
func (p *pool) note(s *pooled) { s.heard.Store(time.Now().UnixNano()) }

func (p *pool) fresh(s *pooled) bool {
	return time.Now().UnixNano()-s.heard.Load() < int64(freshFor)
}

// prove pings the other end and ends the session when no pong comes in time.
func (p *pool) prove(s *pooled) bool {
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
			p.note(s)
			return true
		}
	case <-timer.C:
	}
	p.retire(s)
	_ = s.session.Close()
	return false
}

// close ends all sessions.
func (p *pool) close() {
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
