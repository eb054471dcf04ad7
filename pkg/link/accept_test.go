package link_test

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// shortListener fails a number of times as if the process had no descriptor left.
type shortListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// An agent ended, and a replica accepted no sessions any more, when clients had taken the last
// descriptor.
func TestServeOutlastsAShortageOfDescriptors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &shortListener{Listener: inner}
	listener.failures.Store(3)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	echo := func(_ context.Context, stream *wire.Stream) error {
		var probe call.Probe
		if err := stream.Receive(&probe); err != nil {
			return err
		}
		return stream.Send(&probe)
	}
	go func() { ended <- link.Serve(ctx, listener, map[string]link.Handler{"echo": echo}) }()
	session, err := link.Dial(ctx, func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}, inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = session.Close() }()
	calling, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	require.NoError(t, session.Call(calling, "echo", &call.Probe{}, &call.Probe{}))
	cancel()
	require.NoError(t, <-ended)
}
