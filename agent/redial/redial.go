// Package redial connects to the endpoint beside the agent.
package redial

import (
	"context"
	"errors"
	"net"
	"time"
)

// attemptTimeout bounds one connection attempt. The kernel repeats a SYN that met a full backlog
// 1 s and 3 s after it was first sent; the SYN of a new attempt arrives soon after the backlog
// has room again.
const attemptTimeout = 250 * time.Millisecond

// Dialer connects to an address by attempts that follow each other. It is set before use and
// safe for concurrent use.
type Dialer struct {
	// Attempt makes one connection attempt.
	Attempt func(ctx context.Context, address string) (net.Conn, error)
}

// Dial connects to an address. It repeats attempts that got no answer until ctx ends, and returns
// other failures at once.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		conn, err := d.Attempt(attempt, address)
		expired := attempt.Err() != nil
		cancel()
		if err == nil || !expired && !isTimeout(err) || ctx.Err() != nil {
			return conn, err
		}
	}
}

// isTimeout reports whether an attempt timed out, which net.Dialer returns shortly before its
// context has expired.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
