// Package gossip spreads the addresses of the control replicas among the control processes that
// the settings name, so that each of them can direct a daemon to a replica.
package gossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/locate"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
)

const (
	// exchangeTimeout bounds one exchange. A lost SYN is retransmitted after a second, so a
	// longer wait does not help.
	exchangeTimeout = time.Second
	// minInterval and maxInterval are the times between two rounds: after a change, and, with
	// each round twice as long, at most. A control process that has restarted and cannot reach
	// its own seeds learns of the replicas within maxInterval.
	minInterval = 100 * time.Millisecond
	maxInterval = 2 * time.Second
)

// Exchanger exchanges the list of replicas with the seeds. Its fields are set before Run.
type Exchanger struct {
	// Host provides the log, the metrics and the network.
	Host host.Host
	// Address is that of this process, which may be one of the seeds.
	Address string
	// Directory holds the list of replicas.
	Directory *locate.Directory
	// Seeds returns the control addresses of the current settings; nil keeps the former ones.
	Seeds func() []string
}

// Run exchanges lists until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	interval := minInterval
	seeds, index := e.Seeds(), uint64(0)
	silent := map[string]bool{}
	for ctx.Err() == nil {
		changed := e.Directory.Changed()
		e.exchange(ctx, seeds, silent)
		known := e.Directory.Known()
		interval = min(2*interval, maxInterval)
		if known.Index != index {
			index, interval = known.Index, minInterval
			e.Host.Log.Write("replicas-located", "replicas", len(known.Addresses), "index", known.Index)
			e.Host.Meter.Set("replicas_located", int64(len(known.Addresses)))
		}
		if fresh := e.Seeds(); len(fresh) > 0 && !slices.Equal(fresh, seeds) {
			seeds, interval = fresh, minInterval
		}
		pause.Until(ctx, minInterval, nil)
		pause.Until(ctx, interval-minInterval, changed)
	}
}

// exchange runs one round with all seeds. silent holds the seeds that did not answer in the last
// one; a seed is logged when it becomes silent.
func (e *Exchanger) exchange(ctx context.Context, seeds []string, silent map[string]bool) {
	var mutex sync.Mutex
	var round tasks.Group
	for _, seed := range seeds {
		if seed == e.Address {
			continue
		}
		round.Go(func() {
			err := e.exchangeOnce(ctx, seed)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil && !silent[seed] && ctx.Err() == nil {
				e.Host.Log.Write("seed-silent", "address", seed, "err", err)
			}
			silent[seed] = err != nil
		})
	}
	round.Wait()
}

func (e *Exchanger) exchangeOnce(ctx context.Context, seed string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	session, err := link.Dial(ctx, e.Host.Dial, seed)
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	_, err = e.Directory.Exchange(ctx, session)
	return err
}
