package feeds

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
)

// holderKey identifies one incarnation of a daemon.
type holderKey struct {
	role, name  string
	incarnation uint64
}

// leaseHolder is the state of a lease that this replica granted to one daemon. It
// remains until the lease expires, also when the feed has ended.
type leaseHolder struct {
	// configNumber is the number of the configuration that the daemon has in force.
	configNumber uint64
	// expires is the end of the lease, including the margin for clock drift.
	expires time.Time
}

// recordLease records a lease that is about to be sent.
func (f *Feeds) recordLease(c *client) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	held := f.ensureHolder(c)
	held.expires = time.Now().Add(lease.Length + lease.DriftMargin)
}

// acknowledge records the number of the configuration that a daemon has in force.
func (f *Feeds) acknowledge(c *client, number uint64) {
	f.mutex.Lock()
	held := f.ensureHolder(c)
	changed := held.configNumber != number
	held.configNumber, c.ackedConfig = number, number
	f.mutex.Unlock()
	if changed {
		f.notifyWaiters()
		f.notifyPeers()
	}
}

// ensureHolder returns the client's leaseHolder, adding it if it is missing. The caller
// holds the mutex.
func (f *Feeds) ensureHolder(c *client) *leaseHolder {
	held := f.holders[c.key()]
	if held == nil {
		held = &leaseHolder{configNumber: c.ackedConfig}
		f.holders[c.key()] = held
	}
	return held
}

// release drops the lease of a daemon that has announced its departure.
func (f *Feeds) release(c *client) {
	f.mutex.Lock()
	delete(f.holders, c.key())
	f.mutex.Unlock()
	f.notifyWaiters()
	f.notifyPeers()
}

// notifyWaiters wakes the pending WaitForConfig calls.
func (f *Feeds) notifyWaiters() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// notifyPeers triggers an update to each of the other replicas.
func (f *Feeds) notifyPeers() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, p := range f.peers {
		if p.changed != nil {
			notify(p.changed)
		}
	}
}

func (f *Feeds) dropExpiredHolders(now time.Time) {
	for key, held := range f.holders {
		if !held.expires.After(now) {
			delete(f.holders, key)
		}
	}
}
