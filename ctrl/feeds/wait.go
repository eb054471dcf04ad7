package feeds

import (
	"context"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
)

// waitInterval is the longest time between two checks of the leases. The expiry of a
// lease wakes no waiter.
const waitInterval = 100 * time.Millisecond

// WaitForConfig waits until every daemon that holds a lease has the committed
// configuration number, or a later one, in force. If ctx ends first, it returns false
// and the names of the daemons and replicas that it was still waiting for.
//
// A lease is renewed only after a quorum round that started after its heartbeat was
// sent, and together with the configuration that was committed at that round. So a
// lease on an older configuration was last renewed before number was committed. All
// such leases, including those granted by replicas that this one cannot reach, have
// expired lease.Length and lease.DriftMargin after the call.
func (f *Feeds) WaitForConfig(ctx context.Context, number uint64) (inForce bool, lagging []string) {
	f.prepare()
	leasesEnd := time.Now().Add(lease.Length + lease.DriftMargin)
	for {
		names, changed := f.laggingDaemons(number, time.Now().After(leasesEnd))
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

// laggingDaemons returns the names of the daemons that may act on a configuration older
// than number. Unless all leases on older configurations have ended, it adds the
// replicas that have not reported recently which of their daemons lag.
func (f *Feeds) laggingDaemons(number uint64, leasesEnded bool) (names []string, changed <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	names = f.lagging(number)
	for name, p := range f.peers {
		known := time.Since(p.lastHeard) < peerTimeout && p.lastUpdate.ConfigNumber >= number
		if known {
			names = append(names, p.lastUpdate.Lagging...)
		}
		if !known && !leasesEnded {
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
		if held.configNumber < number && held.expires.After(now) {
			names = append(names, key.role+" "+key.name)
		}
	}
	slices.Sort(names)
	return names
}
