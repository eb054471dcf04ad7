// Package idle provides connections to an endpoint with read timeouts. A middlebox may drop
// the state of a connection, so that neither side ever sees it end.
package idle

import (
	"net"
	"sync/atomic"
	"time"
)

// Conn fails a Read that takes too long. While no Read is pending, because the reader applies
// backpressure, no timeout runs. Exported fields are set before use.
type Conn struct {
	net.Conn
	// FirstReadTimeout is the longest wait for the first byte, ReadTimeout the longest wait
	// for each further read.
	FirstReadTimeout, ReadTimeout time.Duration

	// started is set after the first byte was read.
	started atomic.Bool
}

// Read reads with the timeout that applies.
func (c *Conn) Read(p []byte) (int, error) {
	limit := c.FirstReadTimeout
	if c.started.Load() {
		limit = c.ReadTimeout
	}
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.started.Store(true)
	}
	return n, err
}
