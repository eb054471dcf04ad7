package vnet_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
)

// connect returns both ends of a new connection from host a to host b.
func connect(t *testing.T, network *vnet.Network) (near, far net.Conn) {
	t.Helper()
	listener, err := network.Listen("b:1")
	require.NoError(t, err)
	near, err = network.Dialer("a")(t.Context(), "b:1")
	require.NoError(t, err)
	far, err = listener.Accept()
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return near, far
}

func TestFaults(t *testing.T) {
	scenarios := []struct {
		name string
		act  func(*vnet.Network)
		want func(*testing.T, error)
	}{
		{"healthy", func(*vnet.Network) {}, func(t *testing.T, err error) { require.NoError(t, err) }},
		{"silenced for good", func(n *vnet.Network) { n.Silence("a", "b") }, func(t *testing.T, err error) { require.ErrorContains(t, err, "timeout") }},
		{"cut one way", func(n *vnet.Network) { n.Cut("a", "b") }, func(t *testing.T, err error) { require.ErrorContains(t, err, "timeout") }},
		{"healed after a cut", func(n *vnet.Network) {
			n.Cut("a", "b")
			time.AfterFunc(time.Second, func() { n.Heal("a", "b") })
		}, func(t *testing.T, err error) { require.NoError(t, err) }},
		{"process killed", func(n *vnet.Network) { n.Crash("a") }, func(t *testing.T, err error) { require.ErrorIs(t, err, &vnet.Error{Kind: vnet.KindReset}) }},
		{"VM lost", func(n *vnet.Network) { n.LoseHost("a") }, func(t *testing.T, err error) { require.ErrorContains(t, err, "timeout") }},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				network := vnet.New()
				network.Latency = func(string, string) time.Duration { return 5 * time.Millisecond }
				near, far := connect(t, network)
				scenario.act(network)
				_, _ = near.Write([]byte("x"))
				require.NoError(t, far.SetReadDeadline(time.Now().Add(10*time.Second)))
				_, err := io.ReadFull(far, make([]byte, 1))
				scenario.want(t, err)
				_ = near.Close()
				_ = far.Close()
			})
		})
	}
}

func TestDialTimesOutDuringPartition(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		network.Cut("b", "a")
		_, err := network.Listen("b:1")
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = network.Dialer("a")(ctx, "b:1")
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
