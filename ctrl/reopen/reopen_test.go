package reopen_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/bridge"
	"github.com/tanagerspindle/tanagerspindle/ctrl/daemon"
	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/reopen"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
)

// diskWithoutSpace returns a disk whose writes fail while the flag is set.
func diskWithoutSpace(memory *disk.Memory, noSpace *atomic.Bool) *disk.Disk {
	d := memory.Disk()
	guard := func(f *disk.File, err error) (*disk.File, error) {
		if err != nil {
			return nil, err
		}
		write := f.Write
		f.Write = func(data []byte) error {
			if noSpace.Load() {
				return fmt.Errorf("no space left")
			}
			return write(data)
		}
		return f, nil
	}
	create, open := d.Create, d.Open
	d.Create = func(name string) (*disk.File, error) { return guard(create(name)) }
	d.Open = func(name string) (*disk.File, error) { return guard(open(name)) }
	return d
}

// hostOn returns what the parts on a VM of the network get.
func hostOn(network *vnet.Network, name string) host.Host {
	return host.Host{VM: name, Meter: meter.New(), Dial: network.Dialer(name), Listen: network.Listen}
}

// seedsOf returns the control replicas of these names, and their addresses.
func seedsOf(names ...string) (peers []daemon.Peer, addresses []string) {
	for _, name := range names {
		peers = append(peers, daemon.Peer{Name: name, Address: name + ":1"})
		addresses = append(addresses, name+":1")
	}
	return peers, addresses
}

// A replica whose disk is full for at least five seconds must not end its process. Meanwhile
// operators' calls are forwarded, and the replica rejoins the group once there is
// space.
func TestFullDisk(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		peers, addresses := seedsOf("v1", "v2", "v3")
		hostOf := func(name string) host.Host { return hostOn(network, name) }
		var noSpace atomic.Bool
		memory := &disk.Memory{}
		var started atomic.Uint64
		replica := func(name string, d *disk.Disk) *daemon.Daemon {
			return &daemon.Daemon{
				Host: hostOf(name), Name: name, Address: name + ":1", Peers: peers, Disk: d, Seed: started.Add(1),
				Voters: 3, DeadAfter: 10 * time.Second,
			}
		}
		s := &reopen.Supervisor{
			Host:       hostOf("v1"),
			NewReplica: func() *daemon.Daemon { return replica("v1", diskWithoutSpace(memory, &noSpace)) },
			NewBridge: func() *bridge.Bridge {
				return &bridge.Bridge{
					Host: hostOf("v1"), Name: "v1", Address: "v1:1", HasDisk: true,
					Uplink: &uplink.Uplink{Host: hostOf("v1"), Replicas: addresses},
				}
			},
		}
		ended := make(chan error, 3)
		go func() { ended <- s.Run(ctx) }()
		for _, name := range []string{"v2", "v3"} {
			d := replica(name, (&disk.Memory{}).Disk())
			go func() { ended <- d.Run(ctx) }()
		}
		time.Sleep(5 * time.Second)
		number := uint64(0)
		submit := func() error {
			number++
			limited, cancel := context.WithTimeout(ctx, 4*time.Second)
			defer cancel()
			_, err := s.Replace(limited, &conf.Config{Number: number, Source: []byte("text")})
			return err
		}
		require.NoError(t, submit())
		noSpace.Store(true)
		served, failures := 0, []string{}
		for range 5 {
			called := time.Now()
			if err := submit(); err != nil {
				failures = append(failures, fmt.Sprintf("%s after %s", err, time.Since(called)))
			} else {
				served++
			}
			time.Sleep(time.Second)
		}
		require.GreaterOrEqual(t, served, 3, "calls are forwarded while the disk is full: %q", failures)
		noSpace.Store(false)
		time.Sleep(20 * time.Second)
		require.NoError(t, submit())
		config, _, err := s.Fetch(ctx)
		require.NoError(t, err)
		require.Equal(t, number, config.Number)
		require.Empty(t, ended, "no process has ended")
		cancel()
		for range 3 {
			require.NoError(t, <-ended)
		}
		time.Sleep(5 * time.Minute)
	})
}
