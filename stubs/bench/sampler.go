package bench

import (
	"context"
	"net"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
	"github.com/tanagerspindle/tanagerspindle/stubs/score"
)

const (
	// sampleInterval is the time between two samples of the engines' request slots.
	sampleInterval = 100 * time.Millisecond
	// perThousand is the number of requests to which rates are normalized.
	perThousand = 1000
)

// sampler periodically samples the occupancy of the engines' request slots and
// reads the agents' counters after the run.
type sampler struct {
	fleet                 *fleet.Fleet
	busySlots, totalSlots int
	cancel                context.CancelFunc
	done                  chan struct{}
}

// dialFrom returns a dial function for connections from a host of the network.
func dialFrom(network *vnet.Network, host string) func(context.Context, string, string) (net.Conn, error) {
	dial := network.Dialer(host)
	return func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
}

// start samples in the background until finish is called.
func (sm *sampler) start(ctx context.Context) {
	ctx, sm.cancel = context.WithCancel(ctx)
	sm.done = make(chan struct{})
	go func() {
		defer close(sm.done)
		for ctx.Err() == nil {
			sm.sample()
			select {
			case <-ctx.Done():
			case <-time.After(sampleInterval):
			}
		}
	}()
}

// finish stops sampling and waits until it has stopped.
func (sm *sampler) finish() {
	sm.cancel()
	<-sm.done
}

// sample adds the busy and total request slots of all engines if any of them has
// queued requests.
func (sm *sampler) sample() {
	running, slots, queued := 0, 0, 0
	for index := range sm.fleet.Spec.Engines {
		record := sm.fleet.AgentRecord(fleet.EngineAgentName(index))
		if record == nil {
			continue
		}
		running += int(record.Running)
		slots += int(record.RequestSlots)
		for _, count := range record.Queued {
			queued += int(count)
		}
	}
	if queued == 0 {
		return
	}
	sm.busySlots += running
	sm.totalSlots += slots
}

// score sets the measurements that are taken from engines and agents.
func (sm *sampler) score(result *score.Score) {
	if sm.totalSlots > 0 {
		result.Batch = float64(sm.busySlots) / float64(sm.totalSlots)
	}
	var waits, micros int64
	for index := range sm.fleet.Spec.Engines {
		metrics := sm.fleet.Meter(fleet.EngineAgentName(index))
		waits += metrics.Value("load_waits")
		micros += metrics.Value("load_wait_us")
	}
	if result.Models > 0 {
		result.Stalls = perThousand * float64(waits) / float64(result.Models)
		result.StallTime = perThousand * (time.Duration(micros) * time.Microsecond).Seconds() / float64(result.Models)
	}
}
