package bridge_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/bridge"
	"github.com/tanagerspindle/tanagerspindle/ctrl/daemon"
	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
)

// The replicas are told of three VMs, one of which has no disk: the group
// begins without it, a third replica joins through the others, and the VM
// without a disk passes calls on.
func TestVMWithoutADiskPassesCallsOn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		hostOf := func(name string) host.Host {
			return host.Host{VM: name, Meter: meter.New(), Dial: network.Dialer(name), Listen: network.Listen}
		}
		var seeds []daemon.Peer
		for _, name := range []string{"v1", "v2", "v3"} {
			seeds = append(seeds, daemon.Peer{Name: name, Address: name + ":1"})
		}
		ended := make(chan struct{}, 4)
		for i, name := range []string{"v2", "v3", "v4"} {
			d := &daemon.Daemon{
				Host: hostOf(name), Name: name, Address: name + ":1", Peers: seeds, Disk: (&disk.Memory{}).Disk(),
				Seed: uint64(i + 1), Voters: 3, DeadAfter: 1500 * time.Millisecond,
			}
			go func() {
				_ = d.Run(ctx)
				ended <- struct{}{}
			}()
		}
		b := &bridge.Bridge{
			Host: hostOf("v1"), Name: "v1", Address: "v1:1",
			Uplink: &uplink.Uplink{Host: hostOf("v1"), Replicas: []string{"v1:1", "v2:1", "v3:1"}},
		}
		go func() {
			_ = b.Run(ctx)
			ended <- struct{}{}
		}()
		time.Sleep(5 * time.Second)
		next := &conf.Config{Number: 4, Source: []byte("text")}
		number, err := b.Replace(ctx, next)
		require.NoError(t, err)
		require.EqualValues(t, 4, number)
		got, _, err := b.Fetch(ctx)
		require.NoError(t, err)
		require.Equal(t, "text", string(got.Source))
		require.NoError(t, b.Announce(ctx, &advert.Record{Name: "e", Service: "s", Address: "a:1", DataCentre: "d"}))
		require.NoError(t, b.Depart(ctx, "e", 0))
		require.NoError(t, b.Release(ctx, &plane.Release{Model: "m", Adapter: "a", Version: 2}))
		require.ErrorIs(t, b.Release(ctx, &plane.Release{Model: "m"}), &daemon.Error{Kind: daemon.KindInvalid})
		require.ErrorIs(t, b.Announce(ctx, &advert.Record{Name: "e"}), &daemon.Error{Kind: daemon.KindInvalid})
		bad := &conf.Config{Number: 9, Routes: map[string]conf.Route{"r": {Kind: "odd"}}}
		_, err = b.Replace(ctx, bad)
		require.ErrorIs(t, err, &daemon.Error{Kind: daemon.KindInvalid}, fmt.Sprint(err))
		cancel()
		for range 4 {
			<-ended
		}
		time.Sleep(5 * time.Minute)
	})
}
