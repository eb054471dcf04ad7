package feeds

import (
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// entryMemory is how long an entry counts after it was heard: what it has
	// used up of a bound may be in a window of ten seconds, the longest of the
	// users' bounds, and it may go on for the length of its lease.
	entryMemory = 10*time.Second + lease.Length
	// countAfter is how long a replica listens before it knows how many entries
	// there are. Each of them is heard within the length of its lease, and the
	// peers tell of theirs a moment later.
	countAfter = lease.Length + peerInterval
)

// entryCount counts the entries that divide bounds of the fleet among them. It
// may count some that are gone, but none too few.
type entryCount struct {
	// began is when the replica began to listen.
	began time.Time
	heard map[string]time.Time
}

// note says that entries were heard.
func (c *entryCount) note(names []string, now time.Time) {
	if c.heard == nil {
		c.heard = map[string]time.Time{}
	}
	for _, name := range names {
		c.heard[name] = now
	}
}

// count returns the number of entries, 0 while it is not known.
func (c *entryCount) count(now time.Time) int {
	for name, at := range c.heard {
		if now.Sub(at) > entryMemory {
			delete(c.heard, name)
		}
	}
	if now.Sub(c.began) < countAfter {
		return 0
	}
	return len(c.heard)
}

// Entries returns the names of the entries that are connected here or at
// another replica, sorted.
func (f *Feeds) Entries() []string {
	f.prepare()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	names, _ := f.connected(time.Now())
	return names
}

// countEntries returns among how many entries bounds are divided, 0 while that
// is not known: this replica has just begun, or another one is silent.
func (f *Feeds) countEntries() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	names, silent := f.connected(now)
	f.seen.note(names, now)
	count := f.seen.count(now)
	if silent {
		return 0
	}
	return count
}

// connected returns the names of the entries that are connected here or at
// another replica, sorted, and whether any other replica is silent. The caller
// holds the mutex.
func (f *Feeds) connected(now time.Time) (names []string, silent bool) {
	names = f.ownEntries()
	for _, p := range f.peers {
		if now.Sub(p.heard) >= peerSilence {
			silent = true
			continue
		}
		names = append(names, p.last.Entries...)
	}
	slices.Sort(names)
	return slices.Compact(names), silent
}

func (f *Feeds) ownEntries() []string {
	var names []string
	for m := range f.members {
		if m.hello.Role == plane.RoleEntry {
			names = append(names, m.hello.Name)
		}
	}
	return names
}

func (f *Feeds) wakeEntries() {
	for _, m := range f.all() {
		if m.hello.Role == plane.RoleEntry {
			notify(m.news)
		}
	}
}
