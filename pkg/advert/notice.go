package advert

import "time"

// Notice is what an endpoint says of itself in an answer to a request.
type Notice struct {
	// Leaving means that the endpoint will stop and wants no new requests.
	Leaving bool
	// Pause is how long the endpoint wants no requests from this VM; 0 if it wants
	// them.
	Pause time.Duration
	// Limited reports whether the endpoint limits the requests that it takes from all VMs
	// together, and RequestsPerSecond is that limit. LimitUnreadable means that the answer
	// states a limit in a wrong form; it then neither names nor ends one.
	Limited           bool
	RequestsPerSecond float64
	LimitUnreadable   bool
	// Status is the answer's status, and Malformed the name of a header field of a
	// wrong form, which is not taken into account; empty if there is none.
	Status    int
	Malformed string
}

// Notices is what one process of an endpoint has said of itself in its answers. The zero
// value is that of a process that has said nothing.
type Notices struct {
	// LeavingSince is when the first of the answers arrived that said that the process
	// is leaving; zero if it is not.
	LeavingSince time.Time
	// PausedUntil is until when the process wants no requests.
	PausedUntil time.Time
	// Limit is how many requests the process takes.
	Limit Limit
}

// Record records what an answer said that arrived now, to a request sent at the time
// sent. An answer ends an earlier notice that the process is leaving only if its request
// was sent after that notice arrived, since answers on different connections overtake each
// other. A pause is never shortened. Record reports whether anything changed.
func (n *Notices) Record(notice Notice, sent, now time.Time) (changed bool) {
	switch {
	case notice.Leaving && !n.Leaving():
		n.LeavingSince, changed = now, true
	case !notice.Leaving && n.Leaving() && sent.After(n.LeavingSince):
		n.LeavingSince, changed = time.Time{}, true
	}
	if until := now.Add(notice.Pause); notice.Pause > 0 && until.After(n.PausedUntil) {
		n.PausedUntil, changed = until, true
	}
	if notice.LimitUnreadable {
		return changed
	}
	stated := Limit{Named: notice.Limited, RequestsPerSecond: notice.RequestsPerSecond, Sent: sent, Arrived: now}
	return n.Limit.Merge(stated) || changed
}

// Leaving reports whether the process is leaving.
func (n *Notices) Leaving() bool { return !n.LeavingSince.IsZero() }

// PauseLeft returns how much longer the process wants no requests.
func (n *Notices) PauseLeft(now time.Time) time.Duration { return max(n.PausedUntil.Sub(now), 0) }
