package reopen_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/bridge"
	"github.com/tanagerspindle/tanagerspindle/ctrl/daemon"
	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
)

// maxSearch is how long daemons may search for the voters: the voters have a leader
// within a second, and the rest is for finding it out.
const maxSearch = 3 * time.Second

// Where more VMs have a disk than the group has voters, the voters move to other VMs
// as VMs fail. All VMs are then killed at once. Daemons know only the seeds of their
// settings, none of which is a voter any more, and each seed's disk still holds the
// group as it was when the seed failed.
func TestDaemonsFindVotersThatHaveMoved(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		network.Latency = func(string, string) time.Duration { return time.Millisecond }
		ctx, cancel := context.WithCancel(t.Context())
		names := []string{"v1", "v2", "v3", "v4", "v5", "v6"}
		peers, seeds := seedsOf(names[:3]...)
		disks, stops, started := map[string]*disk.Memory{}, map[string]func(){}, uint64(0)
		start := func(name string) *daemon.Daemon {
			if disks[name] == nil {
				disks[name] = &disk.Memory{}
			}
			started++
			d := &daemon.Daemon{
				Host: hostOn(network, name), Name: name, Address: name + ":1", Peers: peers, Disk: disks[name].Disk(), Seed: started,
				Voters: 3, DeadAfter: 1500 * time.Millisecond, JoinOnly: started > 3,
			}
			inner, stop := context.WithCancel(ctx)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = d.Run(inner)
			}()
			stops[name] = func() {
				disks[name].Crash()
				network.Crash(name)
				stop()
				<-ended
			}
			return d
		}
		for _, name := range names[:3] {
			start(name)
		}
		time.Sleep(3 * time.Second)
		var d4 *daemon.Daemon
		for _, name := range names[3:] {
			d4 = start(name)
		}
		time.Sleep(3 * time.Second)
		_, err := d4.Replace(ctx, &conf.Config{Number: 1, Source: []byte("text")})
		require.NoError(t, err)
		for _, name := range names[:3] {
			stops[name]()
			time.Sleep(6 * time.Second)
		}
		for _, name := range names[:3] {
			start(name)
		}
		time.Sleep(5 * time.Second)
		for _, name := range names {
			stops[name]()
		}
		time.Sleep(time.Second)
		for _, name := range names {
			start(name)
		}
		b := &bridge.Bridge{Host: hostOn(network, "entry"), Name: "entry", Address: "entry:1", Uplink: &uplink.Uplink{Host: hostOn(network, "entry"), Replicas: seeds}}
		go func() { _ = b.Run(ctx) }()
		began := time.Now()
		for {
			limited, stop := context.WithTimeout(ctx, time.Second)
			config, _, err := b.Fetch(limited)
			stop()
			if err == nil && config != nil {
				break
			}
			require.Less(t, time.Since(began), maxSearch, "the last error: %v", err)
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		for _, name := range names {
			stops[name]()
		}
		time.Sleep(5 * time.Minute)
	})
}
