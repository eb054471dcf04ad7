package link

import (
	"net"
	"sync/atomic"
	"time"
)

// muxConn is the connection that a multiplexer reads and writes. The stream
// readers of a multiplexer spin from its shutdown until it has closed the
// connection, its reading goroutine has ended, and it has closed its streams; on
// a single core they can keep the goroutines that it waits for from running. A
// muxConn therefore has the multiplexer end only by a failed read, which it
// reports once the connection is closed, so that the shutdown waits for nothing.
type muxConn struct {
	net.Conn
	// ended is closed when the multiplexer has shut down.
	ended chan struct{}
	// lastRead is when bytes were last received, in nanoseconds since opened.
	lastRead atomic.Int64
	opened   time.Time
}

func newMuxConn(conn net.Conn) *muxConn {
	return &muxConn{Conn: conn, ended: make(chan struct{}), opened: time.Now()}
}

// Read reads from the connection and notes the time. If that fails, it closes the
// connection, which waits for a write in progress.
func (c *muxConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.opened)))
	}
	if err != nil {
		_ = c.Conn.Close()
	}
	return n, err
}

// Write writes to the connection. If that fails, it closes the connection and
// returns once the multiplexer has begun to end by its failed read.
func (c *muxConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err == nil {
		return n, nil
	}
	_ = c.Conn.Close()
	<-c.ended
	return n, err
}

// receivedSince reports whether bytes were received after t.
func (c *muxConn) receivedSince(t time.Time) bool {
	return time.Duration(c.lastRead.Load()) > t.Sub(c.opened)
}
