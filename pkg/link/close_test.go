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

// slowConn takes a while to close, as on a VM with one core where the closing
// goroutine is not scheduled.
type slowConn struct {
	net.Conn
	once *sync.Once
}

const closing = 300 * time.Millisecond

func (c slowConn) Close() error {
	c.once.Do(func() { time.Sleep(closing) })
	return c.Conn.Close()
}

func processorTime(t *testing.T) time.Duration {
	usage := &syscall.Rusage{}
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// A session is closed while streams wait for messages. The multiplexer's
// readers spun from its shutdown until its connection was closed; on a VM with
// one core they kept the closing goroutine from doing that.
func TestCloseDoesNotSpin(t *testing.T) {
	// Drops the timers of other tests' bubbles; see bubble.Test.
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
	session, err := link.Client(slowConn{conn, &sync.Once{}}, nil)
	require.NoError(t, err)
	const readers = 4
	ended := make(chan error, readers)
	for range readers {
		stream, err := session.Open("wait")
		require.NoError(t, err)
		go func() { ended <- stream.Receive(&call.Probe{}) }()
	}
	time.Sleep(20 * time.Millisecond)
	before := processorTime(t)
	_ = session.Close()
	for range readers {
		require.Error(t, <-ended)
	}
	require.Less(t, processorTime(t)-before, closing/2)
}
