package feeds

import (
	"context"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
)

// waitInterval is the longest time between two looks at the leases.
const waitInterval = 100 * time.Millisecond

// WaitForConfig waits until every daemon that holds a lease has the committed
// configuration number, or a later one, in force, and returns false with the
// names of the others when ctx ends first.
//
// A lease is renewed only after a quorum round that began after its beat was
// sent, and together with the configuration that the round showed. So a lease
// on an older configuration counts from before number was committed, and all
// of them, also those given by replicas that this one cannot reach, have run
// out one lease length after the call.
func (f *Feeds) WaitForConfig(ctx context.Context, number uint64) (inForce bool, lagging []string) {
	f.prepare()
	over := time.Now().Add(lease.Length + lease.DriftMargin)
	for {
		names, changed := f.behind(number, time.Now().After(over))
		if len(names) == 0 {
			return true, nil
		}
		timer := time.NewTimer(waitInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false, names
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// behind returns the names of the daemons that may act on a configuration
// older than number, with the replicas whose daemons are not known.
func (f *Feeds) behind(number uint64, over bool) (names []string, changed <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	names = f.lagging(number)
	for name, p := range f.peers {
		known := time.Since(p.heard) < peerSilence && p.last.ConfigNumber >= number
		if known {
			names = append(names, p.last.Lagging...)
		}
		if !known && !over {
			names = append(names, "replica "+name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names), f.changed
}

// lagging returns the names of the daemons with a lease from this replica
// that have not acknowledged number.
func (f *Feeds) lagging(number uint64) []string {
	var names []string
	now := time.Now()
	for key, held := range f.holders {
		if held.number < number && held.until.After(now) {
			names = append(names, key.role+" "+key.name)
		}
	}
	slices.Sort(names)
	return names
}
