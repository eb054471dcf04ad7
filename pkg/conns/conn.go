package conns

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fieldBytes is the memory of a header field beside its text, in bytes: its entry in the
	// map of fields and its list of values.
	fieldBytes = 160
	// textFactor is how often the text of a header is in memory: as read, and as parsed.
	textFactor = 2
	// readAhead is the most that the server reads beyond the end of a header, in bytes.
	readAhead = 4 << 10
	// refusalTime and refusalBytes bound what is read of a header that has been refused: a
	// connection that is closed with unread bytes may lose the refusal.
	refusalTime  = 500 * time.Millisecond
	refusalBytes = 256 << 10
	// headerTooLarge is the answer to a header that is too large.
	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// HeaderBytes returns the memory of a header that has been parsed, in bytes.
func HeaderBytes(header http.Header) int64 {
	bytes := 0
	for name, values := range header {
		bytes += fieldBytes + textFactor*len(name)
		for _, value := range values {
			bytes += fieldBytes + textFactor*len(value)
		}
	}
	return int64(bytes)
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// conn is a bounded connection.
type conn struct {
	net.Conn
	limiter *Limiter
	record  *record
	// phase is the record's phase; reads look at it without a lock.
	phase atomic.Int32

	mutex sync.Mutex
	// requested is the deadline that the server has set, ownLimit that of the phase; zero
	// means none.
	requested, ownLimit time.Time
}

// NetConn returns the connection inside.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 || phase(c.phase.Load()) == phaseActive {
		return n, err
	}
	if refused := c.receive(data[:n]); refused != nil {
		// The server closes a connection without an answer only after an error of this type.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: refused}
	}
	return n, err
}

// receive counts a part of a header.
func (c *conn) receive(data []byte) error {
	now := time.Now()
	var begun bool
	var length int64
	taken := int64(len(data))*textFactor + int64(bytes.Count(data, []byte{'\n'}))*fieldBytes
	fits := c.limiter.change(now, func(t *table) *record {
		if c.record.phase == phaseActive {
			return nil
		}
		if begun = c.record.phase != phaseHeader; begun {
			c.enterLocked(t, phaseHeader, now)
		}
		t.receive(c.record, int64(len(data)), taken)
		length = c.record.headerLength
		return c.record
	})
	switch {
	case length > c.limiter.limits().MaxHeaderBytes+readAhead:
		c.refuseHeader()
		return &Error{Op: "read header", Kind: KindHeader}
	case !fits:
		return &Error{Op: "read header", Kind: KindMemory}
	case begun && !bytes.Contains(data, []byte("\r\n\r\n")):
		c.await(phaseHeader, now)
	}
	return nil
}

// refuseHeader answers a header that is too large. No answer to another request is being
// written while a header arrives.
func (c *conn) refuseHeader() {
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTime))
	if _, err := io.WriteString(c.Conn, headerTooLarge); err != nil {
		return
	}
	if c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, refusalBytes)
	}
}

// enter changes the phase.
func (c *conn) enter(next phase) {
	now := time.Now()
	c.limiter.change(now, func(t *table) *record {
		c.enterLocked(t, next, now)
		return c.record
	})
	c.await(next, now)
}

// enterLocked changes the phase while the table is locked.
func (c *conn) enterLocked(t *table, next phase, now time.Time) {
	t.enter(c.record, next, now)
	c.phase.Store(int32(next))
}

// await sets the deadline of the phase.
func (c *conn) await(in phase, now time.Time) {
	var limit time.Time
	switch in {
	case phaseHeader:
		limit = now.Add(c.limiter.limits().HeaderTimeout.Std())
	case phaseNew, phaseIdle:
		limit = now.Add(c.limiter.limits().IdleTimeout.Std())
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if phase(c.phase.Load()) != in || in != phaseActive && c.ownLimit.Equal(past) {
		return
	}
	c.ownLimit = limit
	_ = c.applyDeadline()
}

// SetReadDeadline implements net.Conn. The earlier of the server's deadline and that of the
// phase applies.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requested = deadline
	return c.applyDeadline()
}

// applyDeadline requires the mutex.
func (c *conn) applyDeadline() error {
	deadline := c.requested
	if !c.ownLimit.IsZero() && (deadline.IsZero() || c.ownLimit.Before(deadline)) {
		deadline = c.ownLimit
	}
	return c.Conn.SetReadDeadline(deadline)
}

// MarkActive exempts the connection from giving way, for servers without http.ConnState: the
// peer has proved that it speaks the server's protocol.
func (c *conn) MarkActive() { c.enter(phaseActive) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}

// yield ends the connection unless a request has begun to be served meanwhile.
func (c *conn) yield() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if phase(c.phase.Load()) == phaseActive {
		return
	}
	c.ownLimit = past
	_ = c.applyDeadline()
}

// CloseWrite lets the server send an answer before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return &Error{Op: "close for writing", Kind: KindUnsupported}
}

// SetLinger lets the connection be reset.
func (c *conn) SetLinger(seconds int) error {
	if inner, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return &Error{Op: "set linger", Kind: KindUnsupported}
}
