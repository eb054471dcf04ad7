package roster

import (
	"reflect"
	"time"
)

// Report takes an agent's own report at the replica that hears it, and
// reports whether the record changed. A report without change only notes that
// the agent was heard. An older incarnation or beat than the one held changes
// nothing.
func (r *Roster) Report(origin uint64, record Record) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	old := r.records[record.Agent]
	if old != nil && !r.takes(old, &record) {
		return false
	}
	now := time.Now()
	if old != nil && old.Incarnation == record.Incarnation {
		record.ControlSeq = old.ControlSeq
		if same(old, &record, origin) {
			old.heard = now
			return false
		}
		if old.ReportSeq == record.ReportSeq || old.Origin != origin || old.Removed {
			record.ControlSeq++
		}
	}
	record.Removed = false
	r.change(origin, record, now)
	return true
}

// takes reports whether a live report may replace the held record.
func (r *Roster) takes(old *held, record *Record) bool {
	if record.Fence != old.Fence {
		return record.Fence > old.Fence
	}
	if record.Incarnation != old.Incarnation {
		return record.Incarnation > old.Incarnation
	}
	return record.ReportSeq >= old.ReportSeq
}

// same reports whether a report brings no news.
func same(old *held, record *Record, origin uint64) bool {
	if old.Removed || old.Origin != origin {
		return false
	}
	shown := *record
	shown.Origin, shown.Counter, shown.AgeNanos, shown.Removed = old.Origin, old.Counter, old.AgeNanos, old.Removed
	shown.NonLoadCounter = old.NonLoadCounter
	return reflect.DeepEqual(shown, old.Record)
}

// Touch notes that an incarnation was heard at the replica without a report,
// and takes its record over when another replica heard it last. It reports
// whether the record changed.
func (r *Roster) Touch(origin uint64, agent string, incarnation uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	old := r.records[agent]
	if old == nil || old.Incarnation != incarnation {
		return false
	}
	now := time.Now()
	if old.Origin == origin && !old.Removed {
		old.heard = now
		return false
	}
	record := old.Record
	record.Removed = false
	record.ControlSeq++
	r.change(origin, record, now)
	return true
}

// StartCounter says that this replica starts to count. All that it said before, when
// it was another process, is covered by its vector from now on, so that a
// whole roster can remove agents that only it had known.
func (r *Roster) StartCounter(origin uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prepare()
	if r.counting {
		return
	}
	r.counting = true
	r.vector[origin] = max(r.vector[origin], uint64(time.Now().UnixMicro()))
}

// Expire marks the agents that the origin replica itself heard last, and not
// for age, as gone and returns their records. Removals older than some
// minutes are forgotten.
func (r *Roster) Expire(origin uint64, age time.Duration) []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	var gone []Record
	for agent, old := range r.records {
		if old.Removed {
			r.forget(agent, old, now)
			continue
		}
		if old.Origin != origin || now.Sub(old.heard) < age {
			continue
		}
		gone = append(gone, r.remove(origin, old, now))
	}
	return gone
}

func (r *Roster) forget(agent string, old *held, now time.Time) {
	if now.Sub(old.heard) < tombLife {
		return
	}
	r.forgotten[old.Origin] = max(r.forgotten[old.Origin], old.Counter)
	delete(r.records, agent)
}

// MarkDeparted marks an incarnation that said goodbye as gone.
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

// MarkLost marks an incarnation as gone whose connection to the origin replica
// broke at a time, unless it has been heard since, here or by another replica.
// It returns the last record.
func (r *Roster) MarkLost(origin uint64, agent string, incarnation uint64, at time.Time) (Record, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	old := r.records[agent]
	if old == nil || old.Removed || old.Incarnation != incarnation || old.Origin != origin || old.heard.After(at) {
		return Record{}, false
	}
	return r.remove(origin, old, time.Now()), true
}

// remove marks a record as gone and returns it as it was.
func (r *Roster) remove(origin uint64, old *held, now time.Time) Record {
	former := old.Record
	record := Record{
		Agent: old.Agent, Incarnation: old.Incarnation, ReportSeq: old.ReportSeq, Fence: old.Fence,
		Address: old.Address, ControlSeq: old.ControlSeq + 1, Removed: true,
	}
	r.change(origin, record, now)
	return former
}

// TakeOver takes over the agents of a replica that has gone silent, as if they
// had been heard just now: unless another replica hears them, Expire removes
// them after its age. It reports whether there were any.
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
		r.change(origin, record, now)
		found = true
	}
	return found
}

// change stores a record under the origin's next counter. The first counter is
// at least the clock, in microseconds, so that a replica that restarts with an
// empty roster uses no counter twice, also when its peers know fewer of its
// changes than some daemon does.
func (r *Roster) change(origin uint64, record Record, now time.Time) {
	counter := r.vector[origin]
	if !r.counting {
		counter = max(counter, uint64(now.UnixMicro()))
		r.counting = true
	}
	counter++
	r.vector[origin] = counter
	record.Origin, record.Counter, record.AgeNanos, record.NonLoadCounter = origin, counter, 0, counter
	if old := r.records[record.Agent]; old != nil && old.likeShape(&record) {
		record.NonLoadCounter = old.NonLoadCounter
	}
	r.records[record.Agent] = &held{Record: record, heard: now}
}
