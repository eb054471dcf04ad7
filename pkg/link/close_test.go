package link_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// slowCloseConn delays Close, as on a VM with one core where the closing
// goroutine is not scheduled.
type slowCloseConn struct {
	net.Conn
	once *sync.Once
	// silent makes writes vanish, failing makes them return an error.
	silent, failing *atomic.Bool
}

const closeDelay = 300 * time.Millisecond

func newSlowCloseConn(conn net.Conn) slowCloseConn {
	return slowCloseConn{conn, &sync.Once{}, &atomic.Bool{}, &atomic.Bool{}}
}

func (c slowCloseConn) Close() error {
	c.once.Do(func() { time.Sleep(closeDelay) })
	return c.Conn.Close()
}

func (c slowCloseConn) Write(b []byte) (int, error) {
	if c.failing.Load() {
		return 0, syscall.ECONNRESET
	}
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func cpuTime(t *testing.T) time.Duration {
	usage := &syscall.Rusage{}
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Ending a session while streams wait for messages must not use CPU time,
// whatever ends it. The multiplexer's stream readers spin between its shutdown
// and the end of its pending read; on a VM with one core they can keep the
// closing goroutine from running for as long as the process lives.
func TestEndOfSessionDoesNotSpin(t *testing.T) {
	ends := []struct {
		name string
		end  func(*link.Session, slowCloseConn)
	}{
		{"closed by its owner", func(s *link.Session, _ slowCloseConn) { _ = s.Close() }},
		{"failed write", func(s *link.Session, conn slowCloseConn) {
			conn.failing.Store(true)
			_, _ = s.Open("wait")
		}},
		{"no pong", func(_ *link.Session, conn slowCloseConn) { conn.silent.Store(true) }},
		{"no answer to a new stream", func(s *link.Session, conn slowCloseConn) {
			conn.silent.Store(true)
			_, _ = s.Open("wait")
		}},
	}
	for _, scenario := range ends {
		t.Run(scenario.name, func(t *testing.T) {
			bubble.DropTimers()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			waits := map[string]link.Handler{"wait": func(_ context.Context, stream *wire.Stream) error {
				return stream.Receive(&call.Probe{})
			}}
			go func() { _ = link.Serve(ctx, listener, waits) }()
			dialled, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			conn := newSlowCloseConn(dialled)
			session, err := link.Client(conn, nil)
			require.NoError(t, err)
			const readers = 4
			ended := make(chan error, readers)
			for range readers {
				stream, err := session.Open("wait")
				require.NoError(t, err)
				go func() { ended <- stream.Receive(&call.Probe{}) }()
			}
			time.Sleep(20 * time.Millisecond)
			before := cpuTime(t)
			scenario.end(session, conn)
			for range readers {
				require.Error(t, <-ended)
			}
			require.Less(t, cpuTime(t)-before, closeDelay/2)
		})
	}
}
