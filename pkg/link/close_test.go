package link_test

import (
	"context"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// slowCloseConn delays Close, as on a VM with one core where the closing
// goroutine is not scheduled.
type slowCloseConn struct {
	net.Conn
	once *sync.Once
}

const closeDelay = 300 * time.Millisecond

func (c slowCloseConn) Close() error {
	c.once.Do(func() { time.Sleep(closeDelay) })
	return c.Conn.Close()
}

func cpuTime(t *testing.T) time.Duration {
	usage := &syscall.Rusage{}
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Closing a session while streams wait for messages must not use CPU time. The
// multiplexer's stream readers spin between its shutdown and the close of its
// connection; on a VM with one core they can keep the closing goroutine from
// running.
func TestCloseDoesNotSpin(t *testing.T) {
	// Empty the timer pool that tests in synctest bubbles filled; see bubble.Test.
	runtime.GC()
	runtime.GC()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	waits := map[string]link.Handler{"wait": func(_ context.Context, stream *wire.Stream) error {
		return stream.Receive(&call.Probe{})
	}}
	go func() { _ = link.Serve(ctx, listener, waits) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	session, err := link.Client(slowCloseConn{conn, &sync.Once{}}, nil)
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
	_ = session.Close()
	for range readers {
		require.Error(t, <-ended)
	}
	require.Less(t, cpuTime(t)-before, closeDelay/2)
}
