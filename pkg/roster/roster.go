package roster

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// tombstoneLife is how long the tombstone of a removed agent is kept, so that the
// removal reaches holders that were disconnected for a while.
const tombstoneLife = 10 * time.Minute

// heldRecord is a record with the local time at which the agent was last heard from.
type heldRecord struct {
	Record
	heardAt time.Time
}

// Roster holds the newest record of each agent, together with a version vector. For
// each origin, the roster contains every change up to the vector's counter, or a
// newer record of the same agent. The zero value is an empty roster. A Roster is
// safe for concurrent use.
type Roster struct {
	mutex   sync.Mutex
	records map[string]*heldRecord
	vector  map[uint64]uint64
	// forgotten is the version vector up to which tombstones may have been dropped.
	// A holder whose vector is behind it needs a complete delta.
	forgotten map[uint64]uint64
	// counterStarted is set once this process has initialized its own counter.
	counterStarted bool
}

// ensureMaps allocates the maps of a zero Roster. The caller holds the mutex.
func (r *Roster) ensureMaps() {
	if r.records != nil {
		return
	}
	r.records = map[string]*heldRecord{}
	r.vector = map[uint64]uint64{}
	r.forgotten = map[uint64]uint64{}
}

// Merge takes in the records and loads of delta that are newer than those held, and
// returns the changed records. A complete delta also removes the records that it
// covers but does not name; they are returned with Removed set.
func (r *Roster) Merge(delta *Delta) []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ensureMaps()
	var changed []Record
	for i := range delta.Records {
		if r.mergeRecord(&delta.Records[i]) {
			changed = append(changed, delta.Records[i])
		}
	}
	if delta.Complete {
		changed = append(changed, r.dropMissing(delta)...)
	}
	for i := range delta.Loads {
		if old := r.records[delta.Loads[i].Agent]; old != nil && old.applyLoad(&delta.Loads[i]) {
			changed = append(changed, old.Record)
		}
	}
	for _, entry := range delta.Vector {
		r.vector[entry.Origin] = max(r.vector[entry.Origin], entry.Counter)
	}
	return changed
}

// mergeRecord stores a record if it is newer than the held one, and reports whether it did.
func (r *Roster) mergeRecord(record *Record) bool {
	old := r.records[record.Agent]
	if old != nil && !record.Newer(&old.Record) {
		return false
	}
	r.records[record.Agent] = &heldRecord{Record: *record, heardAt: time.Now().Add(-time.Duration(record.AgeNanos))}
	return true
}

// dropMissing removes the records that a complete delta covers but does not name,
// and returns them with Removed set.
func (r *Roster) dropMissing(delta *Delta) []Record {
	named := map[string]bool{}
	for i := range delta.Records {
		named[delta.Records[i].Agent] = true
	}
	covered := vectorMap(delta.Vector)
	var dropped []Record
	for agent, old := range r.records {
		if named[agent] || old.Counter > covered[old.Origin] {
			continue
		}
		delete(r.records, agent)
		old.Removed = true
		dropped = append(dropped, old.Record)
	}
	return dropped
}

// DeltaSince returns what a holder with the given vector lacks. If the holder has
// records but is behind the tombstones that were dropped here, the delta is
// complete: it holds all live records.
func (r *Roster) DeltaSince(vector []VectorEntry) *Delta {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	has := vectorMap(vector)
	return r.since(has, len(vector) > 0 && r.missesRemovals(has))
}

// DeltaForFollower is DeltaSince for a holder that has followed this roster without
// interruption and so has seen every removal up to its vector. The delta is never
// complete.
func (r *Roster) DeltaForFollower(vector []VectorEntry) *Delta {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.since(vectorMap(vector), false)
}

// since returns the records that a holder with the given counters lacks, or all
// live records if complete is set.
func (r *Roster) since(has map[uint64]uint64, complete bool) *Delta {
	delta := &Delta{Vector: vectorEntries(r.vector), Complete: complete}
	now := time.Now()
	for _, record := range r.records {
		if !complete && record.Counter <= has[record.Origin] {
			continue
		}
		if record.Removed && (complete || len(has) == 0) {
			continue
		}
		sent := record.Record
		sent.AgeNanos = int64(now.Sub(record.heardAt))
		delta.Records = append(delta.Records, sent)
	}
	slices.SortFunc(delta.Records, byAgent)
	return delta
}

// missesRemovals reports whether a holder may have missed removals whose tombstones
// were dropped.
func (r *Roster) missesRemovals(has map[uint64]uint64) bool {
	for origin, counter := range r.forgotten {
		if has[origin] < counter {
			return true
		}
	}
	return false
}

// MarkComplete declares that the roster is complete up to its current vector.
// Holders with an older vector may have agents that were removed before this
// replica started, so DeltaSince sends them a complete delta from then on.
func (r *Roster) MarkComplete() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ensureMaps()
	maps.Copy(r.forgotten, r.vector)
}

// Vector returns the version vector, sorted by origin.
func (r *Roster) Vector() []VectorEntry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return vectorEntries(r.vector)
}

// All returns the records of live agents, sorted by name.
func (r *Roster) All() []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	live := make([]Record, 0, len(r.records))
	for _, record := range r.records {
		if !record.Removed {
			live = append(live, record.Record)
		}
	}
	slices.SortFunc(live, byAgent)
	return live
}

// Get returns the record of a live agent.
func (r *Roster) Get(agent string) (Record, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record := r.records[agent]
	if record == nil || record.Removed {
		return Record{}, false
	}
	return record.Record, true
}

func byAgent(a, b Record) int { return strings.Compare(a.Agent, b.Agent) }

// vectorMap returns the entries of a version vector as a map from origin to counter.
func vectorMap(entries []VectorEntry) map[uint64]uint64 {
	vector := make(map[uint64]uint64, len(entries))
	for _, entry := range entries {
		vector[entry.Origin] = max(vector[entry.Origin], entry.Counter)
	}
	return vector
}

// vectorEntries returns the entries of a version vector, sorted by origin.
func vectorEntries(vector map[uint64]uint64) []VectorEntry {
	entries := make([]VectorEntry, 0, len(vector))
	for _, origin := range slices.Sorted(maps.Keys(vector)) {
		entries = append(entries, VectorEntry{Origin: origin, Counter: vector[origin]})
	}
	return entries
}
