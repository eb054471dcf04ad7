package feeds

import (
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

// countEntries returns among how many entries bounds are divided, 0 while that
// is not known: this replica has just begun, or has never heard another one.
func (f *Feeds) countEntries() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	names, silent := f.connected(now)
	f.seen.note(names, now)
	if silent {
		// Those that a silent replica heard last may still be there.
		f.seen.keep(now)
	}
	for _, p := range f.peers {
		if p.heard.IsZero() {
			return 0
		}
	}
	return f.seen.count(now)
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
