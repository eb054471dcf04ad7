package feeds

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

const (
	// loadRate limits the load reports sent to one entry, per second. With 600
	// endpoints each is sent every 10 s; an entry learns the load of endpoints
	// that it uses from their responses.
	loadRate = 60.0
	// loadBurst is how many load reports may be sent at once.
	loadBurst = 30.0
)

// loadQueue holds the agents whose load has changed since it was last sent to an
// entry, in order of arrival. Each agent is queued at most once, and its current load
// is read when it is sent. A token bucket limits the rate.
type loadQueue struct {
	agents     []string
	queued     map[string]bool
	tokens     float64
	refilledAt time.Time
}

func (q *loadQueue) hasPending() bool { return len(q.agents) > 0 }

func (q *loadQueue) add(agent string) {
	if q.queued == nil {
		q.queued = map[string]bool{}
	}
	if q.queued[agent] {
		return
	}
	q.queued[agent] = true
	q.agents = append(q.agents, agent)
}

func (q *loadQueue) addAll(records []roster.Record) {
	for i := range records {
		q.add(records[i].Agent)
	}
}

// separate returns the records that differ in more than their load from what the
// holder of the vector has. The agents of all other records are queued.
func (q *loadQueue) separate(records []roster.Record, vector []roster.VectorEntry) []roster.Record {
	acked := map[uint64]uint64{}
	for _, mark := range vector {
		acked[mark.Origin] = mark.Counter
	}
	kept := records[:0]
	for i := range records {
		if records[i].Removed || records[i].NonLoadCounter > acked[records[i].Origin] {
			kept = append(kept, records[i])
			continue
		}
		q.add(records[i].Agent)
	}
	return kept
}

// take removes and returns the loads that may be sent now.
func (q *loadQueue) take(known *roster.Roster, now time.Time) []roster.Load {
	if q.refilledAt.IsZero() {
		q.tokens = loadBurst
	} else {
		q.tokens = min(loadBurst, q.tokens+loadRate*now.Sub(q.refilledAt).Seconds())
	}
	q.refilledAt = now
	var loads []roster.Load
	for len(q.agents) > 0 && q.tokens >= 1 {
		agent := q.agents[0]
		q.agents = q.agents[1:]
		delete(q.queued, agent)
		if record, ok := known.Get(agent); ok {
			q.tokens--
			loads = append(loads, record.Load())
		}
	}
	return loads
}
