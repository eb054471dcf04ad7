package roster

import (
	"reflect"
	"time"
)

// Report records an agent's report at the replica that the agent is connected to,
// and reports whether the record changed. A report without changes only updates the
// time at which the agent was last heard from. Reports of an older incarnation, or
// older than the held one, are ignored.
func (r *Roster) Report(origin uint64, record Record) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ensureMaps()
	old := r.records[record.Agent]
	if old != nil && !r.accepts(old, &record) {
		return false
	}
	now := time.Now()
	if old != nil && old.Incarnation == record.Incarnation {
		record.ControlSeq = old.ControlSeq
		if unchanged(old, &record, origin) {
			old.heardAt = now
			return false
		}
		if old.ReportSeq == record.ReportSeq || old.Origin != origin || old.Removed {
			record.ControlSeq++
		}
	}
	record.Removed = false
	r.store(origin, record, now)
	return true
}

// accepts reports whether a report from the agent may replace the held record.
func (r *Roster) accepts(old *heldRecord, record *Record) bool {
	if record.Fence != old.Fence {
		return record.Fence > old.Fence
	}
	if record.Incarnation != old.Incarnation {
		return record.Incarnation > old.Incarnation
	}
	return record.ReportSeq >= old.ReportSeq
}

// unchanged reports whether a report contains nothing new.
func unchanged(old *heldRecord, record *Record, origin uint64) bool {
	if old.Removed || old.Origin != origin {
		return false
	}
	expected := *record
	expected.Origin, expected.Counter, expected.AgeNanos, expected.Removed = old.Origin, old.Counter, old.AgeNanos, old.Removed
	expected.NonLoadCounter = old.NonLoadCounter
	return reflect.DeepEqual(expected, old.Record)
}

// Touch records that the replica heard from an incarnation without a report. If
// another replica heard from the agent last, this replica takes the record over. It
// reports whether the record changed.
func (r *Roster) Touch(origin uint64, agent string, incarnation uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	old := r.records[agent]
	if old == nil || old.Incarnation != incarnation {
		return false
	}
	now := time.Now()
	if old.Origin == origin && !old.Removed {
		old.heardAt = now
		return false
	}
	record := old.Record
	record.Removed = false
	record.ControlSeq++
	r.store(origin, record, now)
	return true
}

// StartCounter initializes this replica's counter. The replica's vector then covers
// all changes that its earlier processes made, so that a complete delta can remove
// agents that only they knew.
func (r *Roster) StartCounter(origin uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ensureMaps()
	if r.counterStarted {
		return
	}
	r.counterStarted = true
	r.vector[origin] = max(r.vector[origin], uint64(time.Now().UnixMicro()))
}

// Expire removes the agents that the origin replica was the last to hear from, if
// it has not heard from them for maxAge, and returns their last records. It also
// drops tombstones older than tombstoneLife.
func (r *Roster) Expire(origin uint64, maxAge time.Duration) []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var removed []Record
	for agent, old := range r.records {
		if old.Removed {
			r.dropTombstone(agent, old, now)
			continue
		}
		if old.Origin != origin || now.Sub(old.heardAt) < maxAge {
			continue
		}
		removed = append(removed, r.remove(origin, old, now))
	}
	return removed
}

// dropTombstone deletes a tombstone that is older than tombstoneLife.
func (r *Roster) dropTombstone(agent string, old *heldRecord, now time.Time) {
	if now.Sub(old.heardAt) < tombstoneLife {
		return
	}
	r.forgotten[old.Origin] = max(r.forgotten[old.Origin], old.Counter)
	delete(r.records, agent)
}

// MarkDeparted removes an incarnation that has announced its departure, and reports
// whether the record changed.
func (r *Roster) MarkDeparted(origin uint64, agent string, incarnation uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	old := r.records[agent]
	if old == nil || old.Removed || old.Incarnation != incarnation {
		return false
	}
	r.remove(origin, old, time.Now())
	return true
}

// MarkLost removes an incarnation whose connection to the origin replica broke at
// the given time, unless this or another replica has heard from it since. It
// returns the last record and whether it removed the agent.
func (r *Roster) MarkLost(origin uint64, agent string, incarnation uint64, at time.Time) (Record, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	old := r.records[agent]
	if old == nil || old.Removed || old.Incarnation != incarnation || old.Origin != origin || old.heardAt.After(at) {
		return Record{}, false
	}
	return r.remove(origin, old, time.Now()), true
}

// remove replaces a record by a tombstone and returns the former record.
func (r *Roster) remove(origin uint64, old *heldRecord, now time.Time) Record {
	former := old.Record
	record := Record{
		Agent: old.Agent, Incarnation: old.Incarnation, ReportSeq: old.ReportSeq, Fence: old.Fence,
		Address: old.Address, ControlSeq: old.ControlSeq + 1, Removed: true,
	}
	r.store(origin, record, now)
	return former
}

// TakeOver takes over the agents of replica from, which has become unresponsive, as
// if they had been heard from now. Expire removes those that no replica hears from
// in time. It reports whether there were any agents to take over.
func (r *Roster) TakeOver(origin, from uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	found := false
	for _, old := range r.records {
		if old.Removed || old.Origin != from || from == origin {
			continue
		}
		record := old.Record
		record.ControlSeq++
		r.store(origin, record, now)
		found = true
	}
	return found
}

// store stores a record under the origin's next counter. The first counter is at
// least the wall clock in microseconds. A replica that restarts with an empty
// roster thus never reuses a counter, even if its peers know fewer of its changes
// than some daemon does.
func (r *Roster) store(origin uint64, record Record, now time.Time) {
	counter := r.vector[origin]
	if !r.counterStarted {
		counter = max(counter, uint64(now.UnixMicro()))
		r.counterStarted = true
	}
	counter++
	r.vector[origin] = counter
	record.Origin, record.Counter, record.AgeNanos, record.NonLoadCounter = origin, counter, 0, counter
	if old := r.records[record.Agent]; old != nil && old.equalExceptLoad(&record) {
		record.NonLoadCounter = old.NonLoadCounter
	}
	r.records[record.Agent] = &heldRecord{Record: record, heardAt: now}
}
