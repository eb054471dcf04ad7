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

// A silence of the peer, at any time between two pings, ends neither the session nor the
// streams on it, including one that is opened in the silence.
func TestStreamsOutlastSilenceOfPeer(t *testing.T) {
	for start := time.Duration(0); start < link.PingInterval; start += 100 * time.Millisecond {
		bubble.Test(t, func(t *testing.T) {
			network := vnet.New()
			network.Latency = func(string, string) time.Duration { return time.Millisecond }
			listener, err := network.Listen("agent:1")
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			late := func(ctx context.Context, stream *wire.Stream) error {
				time.Sleep(4 * time.Second)
				return echo(ctx, stream)
			}
			go func() { _ = link.Serve(ctx, listener, map[string]link.Handler{"late": late}) }()
			session, err := link.Dial(ctx, network.Dialer("entry"), "agent:1")
			require.NoError(t, err)
			errs := make(chan error, 2)
			request := func() {
				errs <- session.Call(ctx, "late", &call.Probe{AgentIncarnation: 7}, &call.ProbeReply{})
			}
			go request()
			time.Sleep(start)
			network.Isolate("entry", "agent")
			go request()
			time.Sleep(1300 * time.Millisecond)
			network.Rejoin("entry", "agent")
			require.NoError(t, <-errs)
			require.NoError(t, <-errs)
			_ = session.Close()
			cancel()
			time.Sleep(time.Minute)
		})
	}
}
