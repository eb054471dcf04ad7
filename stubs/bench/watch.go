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
	// sampleInterval is the time between two looks at the engines.
	sampleInterval = 100 * time.Millisecond
	// perThousand is the base of the rates.
	perThousand = 1000
)

// watcher samples the engines' places and reads the agents' counters.
type watcher struct {
	fleet          *fleet.Fleet
	occupied, open int
	stop           context.CancelFunc
	done           chan struct{}
}

func dialFrom(network *vnet.Network, host string) func(context.Context, string, string) (net.Conn, error) {
	dial := network.Dialer(host)
	return func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
}

func (w *watcher) begin(ctx context.Context) {
	ctx, w.stop = context.WithCancel(ctx)
	w.done = make(chan struct{})
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			w.sample()
			select {
			case <-ctx.Done():
			case <-time.After(sampleInterval):
			}
		}
	}()
}

func (w *watcher) end() {
	w.stop()
	<-w.done
}

// sample adds the places of all engines while work waits at any of them.
func (w *watcher) sample() {
	running, places, queued := 0, 0, 0
	for index := range w.fleet.Spec.Engines {
		record := w.fleet.AgentRecord(fleet.EngineAgentName(index))
		if record == nil {
			continue
		}
		running += int(record.Running)
		places += int(record.RequestSlots)
		for _, count := range record.Queued {
			queued += int(count)
		}
	}
	if queued == 0 {
		return
	}
	w.occupied += running
	w.open += places
}

// score fills the measures that come from the endpoints' side.
func (w *watcher) score(s *score.Score) {
	if w.open > 0 {
		s.Batch = float64(w.occupied) / float64(w.open)
	}
	var waits, micros int64
	for index := range w.fleet.Spec.Engines {
		gauge := w.fleet.Meter(fleet.EngineAgentName(index))
		waits += gauge.Value("load_waits")
		micros += gauge.Value("load_wait_us")
	}
	if s.Models > 0 {
		s.Stalls = perThousand * float64(waits) / float64(s.Models)
		s.StallTime = perThousand * (time.Duration(micros) * time.Microsecond).Seconds() / float64(s.Models)
	}
}
