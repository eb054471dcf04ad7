package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

func echo(_ context.Context, stream *wire.Stream) error {
	var probe call.Probe
	if err := stream.Receive(&probe); err != nil {
		return err
	}
	return stream.Send(&call.ProbeReply{State: call.StateDone, Incarnation: probe.AgentIncarnation})
}

// A session whose peer stops responding ends within the ping interval and
// timeout, and a new session to the same peer works.
func TestSessionEndsWhenPeerIsUnresponsive(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		network.Latency = func(string, string) time.Duration { return time.Millisecond }
		listener, err := network.Listen("agent:1")
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = link.Serve(ctx, listener, map[string]link.Handler{"echo": echo}) }()

		session, err := link.Dial(ctx, network.Dialer("entry"), "agent:1")
		require.NoError(t, err)
		var reply call.ProbeReply
		require.NoError(t, session.Call(ctx, "echo", &call.Probe{AgentIncarnation: 7}, &reply))
		require.Equal(t, uint64(7), reply.Incarnation)

		network.Silence("entry", "agent")
		start := time.Now()
		<-session.Done()
		require.Less(t, time.Since(start), link.PingInterval+link.PingTimeout+time.Second)

		again, err := link.Dial(ctx, network.Dialer("entry"), "agent:1")
		require.NoError(t, err)
		require.NoError(t, again.Call(ctx, "echo", &call.Probe{AgentIncarnation: 8}, &reply))
		require.Equal(t, uint64(8), reply.Incarnation)
		_ = again.Close()
		cancel()
		time.Sleep(time.Minute)
	})
}
