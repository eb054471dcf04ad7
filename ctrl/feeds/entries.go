package feeds

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// Entries returns the names of the entries that are connected here or at
// another replica, sorted.
func (f *Feeds) Entries() []string {
	f.prepare()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	names, _ := f.connected(time.Now())
	return names
}

// countEntries returns the number of entries that share the fleet-wide limits, or 0
// while it is unknown: this replica has just started, or has not yet received an
// update from one of its peers.
func (f *Feeds) countEntries() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	names, unresponsive := f.connected(now)
	f.liveEntries.observe(names, now)
	if unresponsive {
		// Entries connected to an unresponsive replica may still be running.
		f.liveEntries.refreshAll(now)
	}
	for _, p := range f.peers {
		if p.lastHeard.IsZero() {
			return 0
		}
	}
	return f.liveEntries.count(now)
}

// rankEntry returns the position of an entry among those that countEntries counts, from 1,
// and their number; 0 while that is unknown.
func (f *Feeds) rankEntry(name string) (rank, listed int32) {
	if f.countEntries() == 0 {
		return 0, 0
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	names := slices.Sorted(maps.Keys(f.liveEntries.lastHeard))
	at, found := slices.BinarySearch(names, name)
	if !found {
		return 0, 0
	}
	return int32(at + 1), int32(len(names))
}

// connected returns the names of the entries that are connected here or at
// another replica, sorted, and whether any other replica is unresponsive. The caller
// holds the mutex.
func (f *Feeds) connected(now time.Time) (names []string, unresponsive bool) {
	names = f.ownEntries()
	for _, p := range f.peers {
		if now.Sub(p.lastHeard) >= peerTimeout {
			unresponsive = true
			continue
		}
		names = append(names, p.lastUpdate.Entries...)
	}
	slices.Sort(names)
	return slices.Compact(names), unresponsive
}

func (f *Feeds) ownEntries() []string {
	var names []string
	for c := range f.clients {
		if c.hello.Role == plane.RoleEntry {
			names = append(names, c.hello.Name)
		}
	}
	return names
}

func (f *Feeds) notifyEntries() {
	for _, c := range f.allClients() {
		if c.hello.Role == plane.RoleEntry {
			notify(c.changed)
		}
	}
}
