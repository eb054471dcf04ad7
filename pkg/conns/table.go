package conns

import (
	"time"
)

const (
	// connBytes is the memory of an open connection, in bytes: its two buffers, the stack of
	// its goroutine and its share of the server's tables.
	connBytes = 20 << 10
	// grace is how long a connection without a request is spared while others may be closed:
	// callers send a request as soon as they have connected.
	grace = time.Second
	// activeDescriptors is the number of descriptors of a connection whose request is being
	// served, which may need a connection to an endpoint.
	activeDescriptors = 2
	// excess is the share of the bound by which descriptors may exceed it until the
	// connections that give way have ended.
	excess = 0.25
)

// phase is what happens on a connection.
type phase int32

const (
	// phaseNew means that nothing has arrived since the connection was opened.
	phaseNew phase = iota
	// phaseIdle means that a request has been answered, and nothing of the next has arrived.
	phaseIdle
	// phaseHeader means that a part of a request's header has arrived.
	phaseHeader
	// phaseActive means that a request is being served.
	phaseActive
)

// record is what a table knows of an open connection.
type record struct {
	phase phase
	// since is when the phase began.
	since time.Time
	// headerLength is the number of bytes of the header that is arriving, headerBytes the
	// memory that it takes.
	headerLength, headerBytes int64
	// yields is set once the connection must be closed to make room.
	yields bool
}

func (r *record) bytes() int64 { return connBytes + r.headerBytes }

func (r *record) descriptors() int {
	if r.phase == phaseActive {
		return activeDescriptors
	}
	return 1
}

// isWithoutRequest reports whether the peer has yet to complete a request on the connection.
func (r *record) isWithoutRequest() bool { return r.phase == phaseNew || r.phase == phaseHeader }

// weight is the memory that the connection has taken without a request, times the time.
func (r *record) weight(now time.Time) float64 {
	return float64(r.bytes()) * float64(now.Sub(r.since))
}

// table decides which connections stay open when descriptors or memory are short. It does no
// I/O. Zero bounds mean none.
type table struct {
	maxDescriptors int
	maxBytes       int64

	records map[*record]struct{}
	// descriptors and bytes are the sums over the records, yieldingDescriptors and
	// yieldingBytes those over the records that yield.
	descriptors, yieldingDescriptors int
	bytes, yieldingBytes             int64
}

// add adds a new connection, or returns nil for one that must be refused.
func (t *table) add(now time.Time) *record {
	r := &record{since: now}
	if t.maxDescriptors > 0 && float64(t.descriptors) >= float64(t.maxDescriptors)*(1+excess) {
		return nil
	}
	if t.records == nil {
		t.records = map[*record]struct{}{}
	}
	t.records[r] = struct{}{}
	t.count(r, 1)
	return r
}

// enter changes a connection's phase.
func (t *table) enter(r *record, next phase, now time.Time) {
	if _, open := t.records[r]; !open {
		return
	}
	t.count(r, -1)
	r.phase, r.since, r.headerLength, r.headerBytes = next, now, 0, 0
	if next == phaseActive {
		// A header that is whole is served.
		r.yields = false
	}
	t.count(r, 1)
}

// receive adds a part of a header that is arriving, and the memory that it takes.
func (t *table) receive(r *record, length, bytes int64) {
	if _, open := t.records[r]; !open {
		return
	}
	t.count(r, -1)
	r.headerLength += length
	r.headerBytes += bytes
	t.count(r, 1)
}

func (t *table) remove(r *record) {
	if _, open := t.records[r]; !open {
		return
	}
	delete(t.records, r)
	t.count(r, -1)
}

// count adds a record to the sums, or removes it for a sign of -1.
func (t *table) count(r *record, sign int) {
	t.descriptors += sign * r.descriptors()
	t.bytes += int64(sign) * r.bytes()
	if r.yields {
		t.yieldingDescriptors += sign * r.descriptors()
		t.yieldingBytes += int64(sign) * r.bytes()
	}
}

func (t *table) isShort() bool {
	return t.maxDescriptors > 0 && t.descriptors-t.yieldingDescriptors > t.maxDescriptors ||
		t.maxBytes > 0 && t.bytes-t.yieldingBytes > t.maxBytes
}

// makeRoom makes the overdue connections give way until the others fit, but not r. It returns
// false if that is not enough.
func (t *table) makeRoom(r *record, now time.Time) (victims []*record, ok bool) {
	return t.yield(func() *record { return t.overdue(r, now) })
}

// displace makes any connections without a request give way until the others fit, but not r.
// It returns false if that is not enough.
func (t *table) displace(r *record, now time.Time) (victims []*record, ok bool) {
	return t.yield(func() *record { return t.heaviest(r, now, 0) })
}

func (t *table) yield(choose func() *record) (victims []*record, ok bool) {
	for t.isShort() {
		victim := choose()
		if victim == nil {
			return victims, false
		}
		t.count(victim, -1)
		victim.yields = true
		t.count(victim, 1)
		victims = append(victims, victim)
	}
	return victims, true
}

// overdue returns the connection that gives way before requests do: the heaviest one without a
// request that has had its time of grace, else the one that has been idle for longest.
func (t *table) overdue(except *record, now time.Time) *record {
	if heaviest := t.heaviest(except, now, grace); heaviest != nil {
		return heaviest
	}
	var idle *record
	for r := range t.records {
		if r != except && !r.yields && r.phase == phaseIdle && (idle == nil || r.since.Before(idle.since)) {
			idle = r
		}
	}
	return idle
}

// heaviest returns the connection that has held most memory for longest without a request, of
// those at least minAge old.
func (t *table) heaviest(except *record, now time.Time, minAge time.Duration) *record {
	var heaviest *record
	for r := range t.records {
		if r == except || r.yields || !r.isWithoutRequest() || now.Sub(r.since) < minAge {
			continue
		}
		if heaviest == nil || r.weight(now) > heaviest.weight(now) {
			heaviest = r
		}
	}
	return heaviest
}
