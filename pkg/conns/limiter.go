// Package conns bounds the connections that a server holds, and the size, memory and time of
// the request headers that arrive on them.
package conns

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindHeader means that a request's header is too large.
	KindHeader Kind = "header is too large"
	// KindMemory means that there is no memory for a request's header.
	KindMemory Kind = "no memory for a header"
	// KindUnsupported means that a connection lacks an option of TCP.
	KindUnsupported Kind = "not supported by the connection"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// defaultMaxHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout are the limits where
	// no operator's limits are known.
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	// logInterval is the least time between two log lines of a limiter.
	logInterval = time.Second
)

// Limiter bounds the connections of a server. Its exported fields are set before use.
type Limiter struct {
	// Host provides log and meter, Name identifies the listener in the log.
	Host host.Host
	Name string
	// MaxDescriptors is the number of file descriptors that the connections may use, counting
	// two for each whose request is being served; zero means no bound.
	MaxDescriptors int
	// MaxBytes is the memory that the connections and the headers arriving on them may take;
	// zero means no bound.
	MaxBytes int64
	// Limits returns the operators' current limits; nil means the defaults.
	Limits func() conf.Limits
	// Account, unless nil, is called with each change of the memory that the connections take.
	Account func(bytes int64)
	// YieldRequest, unless nil, ends a request whose body is arriving, or only one whose body
	// is overdue, and reports whether there was one.
	YieldRequest func(now time.Time, overdue bool) bool

	mutex sync.Mutex
	table table
	conns map[*record]*conn
	// closed and refused count the connections that were closed to make room, and those that
	// were refused, since logged.
	closed, refused int64
	logged          time.Time
}

// Serve serves a listener's connections within the limits.
func (l *Limiter) Serve(server *http.Server, inner net.Listener) error {
	server.ConnState = l.TrackState
	return server.Serve(l.Listen(inner))
}

// Listen returns a listener whose connections are bounded. For an HTTP server, TrackState must
// be called for each change of their states; other servers call MarkActive of a connection.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection that is not refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.admit(accepted, time.Now()); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// admit returns the bounded connection, or nil if there is no room for it.
func (l *Limiter) admit(accepted net.Conn, now time.Time) *conn {
	c := &conn{Conn: accepted, limiter: l}
	fits := l.change(now, func(t *table) *record {
		if c.record = t.add(now); c.record != nil {
			if l.conns == nil {
				l.conns = map[*record]*conn{}
			}
			l.conns[c.record] = c
		}
		return c.record
	})
	if c.record != nil && fits {
		c.await(phaseNew, now)
		return c
	}
	l.remove(c)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refused++
	return nil
}

// remove stops counting a connection that is closed.
func (l *Limiter) remove(c *conn) {
	l.change(time.Now(), func(t *table) *record {
		t.remove(c.record)
		delete(l.conns, c.record)
		return nil
	})
}

// change changes the table, and makes room for the record that do returns, unless it is nil. It
// returns false if there is no room. Others give way in this order: overdue connections, a
// request whose body is overdue, any connection without a request, any request whose body is
// arriving.
func (l *Limiter) change(now time.Time, do func(t *table) *record) (fits bool) {
	l.mutex.Lock()
	l.table.maxDescriptors, l.table.maxBytes = l.MaxDescriptors, l.MaxBytes
	before := l.table.bytes
	r := do(&l.table)
	if r == nil {
		l.finish(before, nil, now)
		return true
	}
	victims, fits := l.table.makeRoom(r, now)
	l.finish(before, victims, now)
	if fits || l.yieldRequest(now, true) {
		return true
	}
	l.mutex.Lock()
	victims, fits = l.table.displace(r, now)
	l.finish(l.table.bytes, victims, now)
	return fits || l.yieldRequest(now, false)
}

// yieldRequest makes a request give way, which closes its connection as well, but later.
func (l *Limiter) yieldRequest(now time.Time, overdue bool) bool {
	return l.YieldRequest != nil && l.YieldRequest(now, overdue)
}

// finish unlocks the mutex after a change, accounts for the memory and closes the victims.
func (l *Limiter) finish(before int64, victims []*record, now time.Time) {
	change := l.table.bytes - before
	closing := make([]*conn, 0, len(victims))
	for _, r := range victims {
		closing = append(closing, l.conns[r])
	}
	l.closed += int64(len(closing))
	report := l.report(now)
	l.mutex.Unlock()
	if change != 0 && l.Account != nil {
		l.Account(change)
	}
	for _, c := range closing {
		c.yield()
	}
	report()
}

// report returns a function that logs, at most once in an interval, the connections that were
// closed and refused. The caller holds the mutex.
func (l *Limiter) report(now time.Time) func() {
	closed, refused, open, descriptors, bytes := l.closed, l.refused, len(l.conns), l.table.descriptors, l.table.bytes
	if closed+refused == 0 || now.Sub(l.logged) < logInterval {
		return func() {}
	}
	l.closed, l.refused, l.logged = 0, 0, now
	return func() {
		l.Host.Meter.Add("connections_closed", closed)
		l.Host.Meter.Add("connections_refused", refused)
		l.Host.Log.Write("connections-short", "listener", l.Name, "open", open, "descriptors", descriptors, "max_descriptors", l.MaxDescriptors,
			"bytes", bytes, "max_bytes", l.MaxBytes, "closed", closed, "refused", refused)
	}
}

// TrackState is the ConnState of the server.
func (l *Limiter) TrackState(tracked net.Conn, state http.ConnState) {
	c := l.find(tracked)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(phaseActive)
	case http.StateIdle:
		c.enter(phaseIdle)
	}
}

// find returns the limiter's connection inside the one that the server knows, nil if it has
// none.
func (l *Limiter) find(tracked net.Conn) *conn {
	for {
		if c, ok := tracked.(*conn); ok && c.limiter == l {
			return c
		}
		outer, ok := tracked.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		tracked = outer.NetConn()
	}
}

// limits returns the current limits on headers and idle connections.
func (l *Limiter) limits() conf.Limits {
	var limits conf.Limits
	if l.Limits != nil {
		limits = l.Limits()
	}
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = span.Duration(defaultHeaderTimeout)
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = span.Duration(defaultIdleTimeout)
	}
	return limits
}
