package feeds

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

const (
	// loadRate bounds the loads sent to one entry, per second. At 600
	// endpoints each is sent every 10 s; an entry learns of those that it
	// uses from their answers.
	loadRate = 60.0
	// loadBurst is how many may be sent at once.
	loadBurst = 30.0
)

// debt is the agents whose load has changed since an entry was sent it, first
// come first. An agent stands in it once, and the load sent is the one at the
// time of sending.
type debt struct {
	queue  []string
	owed   map[string]bool
	credit float64
	at     time.Time
}

func (d *debt) open() bool { return len(d.queue) > 0 }

func (d *debt) owe(agent string) {
	if d.owed == nil {
		d.owed = map[string]bool{}
	}
	if d.owed[agent] {
		return
	}
	d.owed[agent] = true
	d.queue = append(d.queue, agent)
}

func (d *debt) oweAll(records []roster.Record) {
	for i := range records {
		d.owe(records[i].Agent)
	}
}

// divide returns the records that differ from what the holder of a vector has
// in more than their load. The others are owed.
func (d *debt) divide(records []roster.Record, vector []roster.VectorEntry) []roster.Record {
	has := map[uint64]uint64{}
	for _, mark := range vector {
		has[mark.Origin] = mark.Counter
	}
	kept := records[:0]
	for i := range records {
		if records[i].Removed || records[i].NonLoadCounter > has[records[i].Origin] {
			kept = append(kept, records[i])
			continue
		}
		d.owe(records[i].Agent)
	}
	return kept
}

// pay returns the loads that may be sent now.
func (d *debt) pay(known *roster.Roster, now time.Time) []roster.Load {
	if d.at.IsZero() {
		d.credit = loadBurst
	} else {
		d.credit = min(loadBurst, d.credit+loadRate*now.Sub(d.at).Seconds())
	}
	d.at = now
	var loads []roster.Load
	for len(d.queue) > 0 && d.credit >= 1 {
		agent := d.queue[0]
		d.queue = d.queue[1:]
		delete(d.owed, agent)
		if record, ok := known.Get(agent); ok {
			d.credit--
			loads = append(loads, record.Load())
		}
	}
	return loads
}
