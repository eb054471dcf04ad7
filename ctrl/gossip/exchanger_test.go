package gossip_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/gossip"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/locate"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
)

// settings holds the seeds of all control processes.
type settings struct {
	mutex sync.Mutex
	seeds map[string][]string
}

func (s *settings) of(name string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.seeds[name]
}

func (s *settings) set(name string, seeds ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seeds[name] = seeds
}

// Only the replica knows where the replicas are. The settings of the control processes form a chain
// of seeds in no common direction, with one seed that is down.
func TestEveryControlProcessLearnsOfTheReplicas(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		ctx, cancel := context.WithCancel(t.Context())
		current := &settings{seeds: map[string][]string{
			"replica": {"b1:1", "down:1"}, "b1": {"b1:1"}, "b2": {"b1:1"}, "b3": {"b2:1"}, "b4": {"b4:1"},
		}}
		directories := map[string]*locate.Directory{}
		stops := map[string]context.CancelFunc{}
		start := func(name string) {
			running, stop := context.WithCancel(ctx)
			stops[name] = stop
			directory := &locate.Directory{}
			directories[name] = directory
			listener, err := network.Listen(name + ":1")
			require.NoError(t, err)
			go func() {
				_ = link.Serve(running, listener, map[string]link.Handler{plane.MethodLocate: directory.Serve(nil)})
			}()
			h := host.Host{VM: name, Meter: meter.New(), Dial: network.Dialer(name)}
			exchanger := &gossip.Exchanger{Host: h, Address: name + ":1", Directory: directory, Seeds: func() []string { return current.of(name) }}
			go exchanger.Run(running)
		}
		names := []string{"b1", "b2", "b3", "b4", "replica"}
		for _, name := range names {
			start(name)
		}
		var index atomic.Uint64
		directories["replica"].SetReplica(func() plane.ReplicaList {
			return plane.ReplicaList{Addresses: []string{"replica:1"}, Index: index.Load()}
		})
		index.Store(9)
		requireKnown := func(within time.Duration, names ...string) {
			t.Helper()
			time.Sleep(within)
			for _, name := range names {
				require.Equal(t, index.Load(), directories[name].Known().Index, name)
			}
		}
		requireKnown(4*time.Second, "b1", "b2", "b3")
		require.Zero(t, directories["b4"].Known().Index, "no settings name b4")

		current.set("replica", "b4:1")
		requireKnown(3*time.Second, "b4")

		stops["b4"]()
		time.Sleep(100 * time.Millisecond)
		start("b4")
		requireKnown(3*time.Second, "b4")

		index.Store(12)
		requireKnown(3*time.Second, "b4")
		cancel()
		time.Sleep(time.Minute)
	})
}
