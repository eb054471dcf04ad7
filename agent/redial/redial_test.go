package redial_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/redial"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
)

// A connection attempt whose SYNs met a full backlog for over a second was still waiting for the
// next one long after the backlog had room.
func TestConnectionAfterAFullBacklogIsNotDelayed(t *testing.T) {
	for _, silence := range []time.Duration{0, 400 * time.Millisecond, 1100 * time.Millisecond, 1700 * time.Millisecond} {
		bubble.Test(t, func(t *testing.T) {
			network := vnet.New()
			listener, err := network.Listen("vm:1")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			network.Cut("vm", "vm")
			time.AfterFunc(silence, func() { network.Heal("vm", "vm") })
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			conn, err := (&redial.Dialer{Attempt: network.Dialer("vm")}).Dial(ctx, "vm:1")
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.LessOrEqual(t, time.Since(began), silence+300*time.Millisecond)
		})
	}
}

// The same with the kernel's own backlog.
func TestConnectionAfterAFullBacklogOfTheKernel(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	require.NoError(t, err)
	address := listener.Addr().String()
	for range 4 {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			break
		}
		defer func() { _ = conn.Close() }()
	}
	time.AfterFunc(1300*time.Millisecond, func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
		}
	})
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	dialer := &redial.Dialer{Attempt: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
	conn, err := dialer.Dial(ctx, address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.Greater(t, time.Since(began), time.Second, "the backlog was full")
}

// Attempts were repeated beyond the caller's limit, or after a refusal, which shows that the
// endpoint is gone.
func TestUnreachableEndpointEndsTheAttempts(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		dialer := &redial.Dialer{Attempt: network.Dialer("vm")}
		began := time.Now()
		_, err := dialer.Dial(t.Context(), "vm:1")
		require.Error(t, err, "nothing listens")
		require.Less(t, time.Since(began), 100*time.Millisecond)
		network.Cut("vm", "vm")
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err = dialer.Dial(ctx, "vm:1")
		require.Error(t, err)
		require.Equal(t, 2*time.Second, time.Since(began))
	})
}
