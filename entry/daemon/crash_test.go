package daemon_test

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/daemon"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
)

// An endpoint that is silent or resets connections must not count as crashed, which would
// quarantine parts of the prompts that it ran. Only one at whose address nothing listens has.
func TestSilentEndpointDoesNotCountAsCrashed(t *testing.T) {
	dialer := &net.Dialer{}
	entry := &daemon.Daemon{Host: host.Host{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}}}
	check := func(address string) bool {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		return entry.RefusesConnections(ctx, address)
	}
	// A listener that accepts nothing, with the shortest backlog, which is filled.
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(socket, 0))
	bound, err := syscall.Getsockname(socket)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	full := false
	for range 8 {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		conn, err := dialer.DialContext(ctx, "tcp", address)
		cancel()
		if full = err != nil; full {
			break
		}
		defer func() { _ = conn.Close() }()
	}
	require.True(t, full, "connections time out")
	require.False(t, check(address), "silent")
	require.NoError(t, syscall.Close(socket))
	require.True(t, check(address), "ended")

	for name, failure := range map[string]error{
		"reset": syscall.ECONNRESET, "timed out": syscall.ETIMEDOUT, "no route": syscall.EHOSTUNREACH, "limit of time": context.DeadlineExceeded,
	} {
		entry.Host.Dial = func(context.Context, string) (net.Conn, error) { return nil, &net.OpError{Op: "dial", Err: failure} }
		require.False(t, check(address), name)
	}
}
