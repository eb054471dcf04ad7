package feeds

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
)

const (
	// liveRetention is how long a daemon still counts after its last sign of life. Its
	// usage may fall into a window of ten seconds, the longest of the configured
	// limits, and it may continue for the length of its lease.
	liveRetention = 10*time.Second + lease.Length
	// countDelay is how long a replica collects heartbeats before its count is
	// complete. Each daemon sends one within the length of its lease, and the
	// peers report their daemons at most peerInterval later.
	countDelay = lease.Length + peerInterval
)

// liveCounter counts the daemons that share a fleet-wide limit. It may include
// daemons that have disconnected, but never undercounts.
type liveCounter struct {
	// startedAt is when the replica began to collect heartbeats.
	startedAt time.Time
	lastHeard map[string]time.Time
}

// observe records that the named daemons are connected now.
func (c *liveCounter) observe(names []string, now time.Time) {
	if c.lastHeard == nil {
		c.lastHeard = map[string]time.Time{}
	}
	for _, name := range names {
		c.lastHeard[name] = now
	}
}

// refreshAll extends the retention of all known daemons.
func (c *liveCounter) refreshAll(now time.Time) {
	for name := range c.lastHeard {
		c.lastHeard[name] = now
	}
}

// count returns the number of daemons, or 0 until countDelay after the start.
func (c *liveCounter) count(now time.Time) int {
	for name, at := range c.lastHeard {
		if now.Sub(at) > liveRetention {
			delete(c.lastHeard, name)
		}
	}
	if now.Sub(c.startedAt) < countDelay {
		return 0
	}
	return len(c.lastHeard)
}
