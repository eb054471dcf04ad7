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

// holder is what a replica knows of a lease that it gave.
type holder struct {
	// number is the configuration that the daemon has in force.
	number uint64
	// until is the end of the lease, drift included.
	until time.Time
}

// grant notes a lease that is about to be sent.
func (f *Feeds) grant(m *member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	held := f.hold(m)
	held.until = time.Now().Add(lease.Length + lease.DriftMargin)
}

// acknowledge notes the configuration that a daemon has in force.
func (f *Feeds) acknowledge(m *member, number uint64) {
	f.mutex.Lock()
	held := f.hold(m)
	news := held.number != number
	held.number, m.acknowledged = number, number
	f.mutex.Unlock()
	if news {
		f.wakeWaiters()
		f.wakePeers()
	}
}

func (f *Feeds) hold(m *member) *holder {
	held := f.holders[m.key()]
	if held == nil {
		held = &holder{number: m.acknowledged}
		f.holders[m.key()] = held
	}
	return held
}

// release ends the lease of a daemon that said goodbye.
func (f *Feeds) release(m *member) {
	f.mutex.Lock()
	delete(f.holders, m.key())
	f.mutex.Unlock()
	f.wakeWaiters()
	f.wakePeers()
}

// wakeWaiters wakes those who wait for acknowledgements here.
func (f *Feeds) wakeWaiters() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// wakePeers lets the other replicas hear of what changed here.
func (f *Feeds) wakePeers() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, p := range f.peers {
		if p.news != nil {
			notify(p.news)
		}
	}
}

func (f *Feeds) dropHolders(now time.Time) {
	for key, held := range f.holders {
		if !held.until.After(now) {
			delete(f.holders, key)
		}
	}
}
