package daemon_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/feed"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
)

// versionsOfNewEntry starts an entry's feed, waits until it holds all that control has
// committed, and returns the software versions that the entry has learned of.
func (c *cluster) versionsOfNewEntry(name string) []string {
	var mutex sync.Mutex
	seen := map[string]bool{}
	h := host.Host{VM: name, Meter: meter.New(), Dial: c.network.Dialer(name)}
	up := &uplink.Uplink{Host: h, Replicas: []string{c.leader() + ":1"}}
	f := &feed.Feed{Host: h, Incarnation: 1, Uplink: up, OnEndpointRecords: func(changed []advert.Record) {
		mutex.Lock()
		defer mutex.Unlock()
		for _, record := range changed {
			seen[record.SoftwareVersion] = true
			for _, former := range record.FormerSoftware {
				seen[former] = true
			}
		}
	}}
	ctx, cancel := context.WithCancel(c.ctx)
	var group sync.WaitGroup
	group.Go(func() { up.Run(ctx) })
	group.Go(func() { _ = f.Run(ctx) })
	limited, stop := context.WithTimeout(ctx, 10*time.Second)
	require.True(c.t, f.Confirm(limited))
	stop()
	cancel()
	group.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	return slices.Sorted(maps.Keys(seen))
}

func (c *cluster) restartAll() {
	for _, peer := range c.peers {
		c.crash(peer.Name)
	}
	for _, peer := range c.peers {
		c.start(peer.Name)
	}
	c.leader()
}

// All replicas and entries were killed at once. A version that had left just before must be
// known to the entries that start; one that left long ago made them refuse all streams of
// unknown origin, since replicas that start cannot tell how old a removal is.
func TestVersionsKnownAfterTheLossOfAllReplicas(t *testing.T) {
	withCluster(t, 1, func(c *cluster) {
		announce := func(name, version string, started int64) {
			record := &advert.Record{Name: name, Service: "s", Address: name + ":1", DataCentre: "d", SoftwareVersion: version, StartedMillis: started, Seq: 1}
			require.NoError(c.t, c.running[c.leader()].Announce(c.ctx, record))
		}
		_, err := c.running[c.leader()].Replace(c.ctx, &conf.Config{Number: 1, Services: map[string]conf.Service{"s": {}}})
		require.NoError(c.t, err)
		announce("left", "v1", 1)
		announce("replaced", "v2", 1)
		announce("replaced", "v3", 2)
		require.NoError(c.t, c.running[c.leader()].Depart(c.ctx, "left", 0))
		require.Equal(c.t, []string{"v1", "v2", "v3"}, c.versionsOfNewEntry("e1"))
		c.restartAll()
		require.Equal(c.t, []string{"v1", "v2", "v3"}, c.versionsOfNewEntry("e2"))
		time.Sleep(origin.Retention + 10*time.Second)
		require.Equal(c.t, []string{"v3"}, c.versionsOfNewEntry("e3"))
		c.restartAll()
		require.Equal(c.t, []string{"v3"}, c.versionsOfNewEntry("e4"), "the leader has committed the age")
	})
}
