package feed_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/feed"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// A replica renews the lease after a delay, as while a leader is elected, and then says nothing
// more. The agent noticed this only with its next heartbeat but one, up to a second late, when
// its lease had expired: it refused attempts although another replica answered.
func TestLeaseExpiresBeforeTheReplicaIsSwitched(t *testing.T) {
	for delay := time.Duration(0); delay <= time.Second; delay += 100 * time.Millisecond {
		t.Run(fmt.Sprint("renewed after ", delay), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer func() {
					cancel()
					time.Sleep(time.Minute)
				}()
				network := vnet.New()
				var silent atomic.Bool
				serve := func(first bool) link.Handler {
					return func(_ context.Context, stream *wire.Stream) error {
						var hello plane.Hello
						if err := stream.Receive(&hello); err != nil {
							return err
						}
						for {
							var heartbeat plane.Heartbeat
							if err := stream.Receive(&heartbeat); err != nil {
								return err
							}
							if first && silent.Swap(true) {
								continue
							}
							if first {
								time.Sleep(delay)
							}
							if err := stream.Send(&plane.Update{Seq: heartbeat.Seq, Lease: span.Duration(lease.Length)}); err != nil {
								return err
							}
						}
					}
				}
				for i, address := range []string{"c1:1", "c2:1"} {
					listener, err := network.Listen(address)
					require.NoError(t, err)
					go func() {
						_ = link.Serve(ctx, listener, map[string]link.Handler{plane.MethodFeed: serve(i == 0)})
					}()
				}
				h := host.Host{VM: "agent", Meter: meter.New(), Dial: network.Dialer("agent")}
				up := &uplink.Uplink{Host: h, Replicas: []string{"c1:1", "c2:1"}}
				held := &lease.Lease{}
				f := &feed.Feed{
					Host: h, Uplink: up, Lease: held,
					Hello:       func() plane.Hello { return plane.Hello{Role: plane.RoleAgent, Name: "agent", Incarnation: 1} },
					Record:      func() *roster.Record { return &roster.Record{Agent: "agent", Incarnation: 1} },
					ApplyUpdate: func(*plane.Update) {},
				}
				go up.Run(ctx)
				go func() { _ = f.Run(ctx) }()
				time.Sleep(delay + 50*time.Millisecond)
				for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					require.True(t, held.Valid())
				}
			})
		})
	}
}
