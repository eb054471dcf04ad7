package feeds

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
)

const (
	// liveMemory is how long a daemon counts after it was heard: what it has
	// used up of a bound may be in a window of ten seconds, the longest of the
	// users' bounds, and it may go on for the length of its lease.
	liveMemory = 10*time.Second + lease.Length
	// countAfter is how long a replica listens before it knows how many daemons
	// there are. Each of them is heard within the length of its lease, and the
	// peers tell of theirs a moment later.
	countAfter = lease.Length + peerInterval
)

// liveCount counts the daemons that divide a bound of the fleet among them. It
// may count some that are gone, but none too few.
type liveCount struct {
	// began is when the replica began to listen.
	began time.Time
	heard map[string]time.Time
}

// note says that daemons were heard.
func (c *liveCount) note(names []string, now time.Time) {
	if c.heard == nil {
		c.heard = map[string]time.Time{}
	}
	for _, name := range names {
		c.heard[name] = now
	}
}

// keep lets all daemons count on although they are not heard.
func (c *liveCount) keep(now time.Time) {
	for name := range c.heard {
		c.heard[name] = now
	}
}

// count returns the number of daemons, 0 while it is not known.
func (c *liveCount) count(now time.Time) int {
	for name, at := range c.heard {
		if now.Sub(at) > liveMemory {
			delete(c.heard, name)
		}
	}
	if now.Sub(c.began) < countAfter {
		return 0
	}
	return len(c.heard)
}
