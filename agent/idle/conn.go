// Package idle ends connections to an endpoint that have gone silent: a
// middlebox may have lost track of one, so that no end of it ever shows.
package idle

import (
	"net"
	"sync/atomic"
	"time"
)

// Conn fails a read that waits too long. A connection that nobody reads from,
// because the reader is held back, is not timed. The exported fields are set
// before use.
type Conn struct {
	net.Conn
	// FirstReadTimeout is the longest wait for the first byte, ReadTimeout for each further one.
	FirstReadTimeout, ReadTimeout time.Duration

	begun atomic.Bool
}

// Read reads with the limit that applies now.
func (c *Conn) Read(p []byte) (int, error) {
	limit := c.FirstReadTimeout
	if c.begun.Load() {
		limit = c.ReadTimeout
	}
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begun.Store(true)
	}
	return n, err
}
