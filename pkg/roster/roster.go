package roster

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// tombLife is how long the record of a dead agent is kept, so that its
// removal reaches holders that were cut off for a while.
const tombLife = 10 * time.Minute

// held is a record with the local time at which its agent was last heard of.
type held struct {
	Record
	heard time.Time
}

// Roster holds the newest record of each agent and the version vector that
// they cover: for each origin, every change up to the vector's counter is
// held, or a newer record of the same agent. The zero value is empty and ready
// for use by several goroutines.
type Roster struct {
	mutex   sync.Mutex
	records map[string]*held
	vector  map[uint64]uint64
	// forgotten is the vector below which removals may have been forgotten:
	// a holder that is behind it needs the whole roster.
	forgotten map[uint64]uint64
	// counting is set once this process has made a change of its own.
	counting bool
}

func (r *Roster) prepare() {
	if r.records != nil {
		return
	}
	r.records = map[string]*held{}
	r.vector = map[uint64]uint64{}
	r.forgotten = map[uint64]uint64{}
}

// Merge takes the records and loads of delta that are newer than those held
// and returns the records as they are now. After a whole delta, records that it covers but does not name are
// gone; they are returned with Gone set.
func (r *Roster) Merge(delta *Delta) []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	var changed []Record
	for i := range delta.Records {
		if r.put(&delta.Records[i]) {
			changed = append(changed, delta.Records[i])
		}
	}
	if delta.Complete {
		changed = append(changed, r.dropMissing(delta)...)
	}
	for i := range delta.Loads {
		if old := r.records[delta.Loads[i].Agent]; old != nil && old.take(&delta.Loads[i]) {
			changed = append(changed, old.Record)
		}
	}
	for _, mark := range delta.Vector {
		r.vector[mark.Origin] = max(r.vector[mark.Origin], mark.Counter)
	}
	return changed
}

func (r *Roster) put(record *Record) bool {
	old := r.records[record.Agent]
	if old != nil && !record.Newer(&old.Record) {
		return false
	}
	r.records[record.Agent] = &held{Record: *record, heard: time.Now().Add(-time.Duration(record.AgeNanos))}
	return true
}

func (r *Roster) dropMissing(delta *Delta) []Record {
	named := map[string]bool{}
	for i := range delta.Records {
		named[delta.Records[i].Agent] = true
	}
	covered := vectorOf(delta.Vector)
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

// DeltaSince returns what the holder of a vector does not have. The delta is whole
// when the holder has records but is behind what has been forgotten here; its
// records are then all live ones.
func (r *Roster) DeltaSince(vector []VectorEntry) *Delta {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	has := vectorOf(vector)
	return r.since(has, len(vector) > 0 && r.behind(has))
}

// DeltaForFollower returns the same for a holder that has followed this roster without a
// break, and so knows of every removal up to its vector. It is never whole.
func (r *Roster) DeltaForFollower(vector []VectorEntry) *Delta {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.since(vectorOf(vector), false)
}

func (r *Roster) since(has map[uint64]uint64, whole bool) *Delta {
	delta := &Delta{Vector: marksOf(r.vector), Complete: whole}
	now := time.Now()
	for _, record := range r.records {
		if !whole && record.Counter <= has[record.Origin] {
			continue
		}
		if record.Removed && (whole || len(has) == 0) {
			continue
		}
		shown := record.Record
		shown.AgeNanos = int64(now.Sub(record.heard))
		delta.Records = append(delta.Records, shown)
	}
	slices.SortFunc(delta.Records, byAgent)
	return delta
}

func (r *Roster) behind(has map[uint64]uint64) bool {
	for origin, counter := range r.forgotten {
		if has[origin] < counter {
			return true
		}
	}
	return false
}

// MarkComplete declares that the roster is complete up to its present vector.
// Holders with an older vector may know agents that died before this replica
// started; from now on Since sends them the whole roster.
func (r *Roster) MarkComplete() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	maps.Copy(r.forgotten, r.vector)
}

// Vector returns the version vector, sorted by origin.
func (r *Roster) Vector() []VectorEntry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return marksOf(r.vector)
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

func vectorOf(marks []VectorEntry) map[uint64]uint64 {
	vector := make(map[uint64]uint64, len(marks))
	for _, mark := range marks {
		vector[mark.Origin] = max(vector[mark.Origin], mark.Counter)
	}
	return vector
}

func marksOf(vector map[uint64]uint64) []VectorEntry {
	marks := make([]VectorEntry, 0, len(vector))
	for _, origin := range slices.Sorted(maps.Keys(vector)) {
		marks = append(marks, VectorEntry{Origin: origin, Counter: vector[origin]})
	}
	return marks
}
