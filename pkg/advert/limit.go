package advert

import "time"

// Limit is how many requests one process of an endpoint takes from all VMs together, as it
// said in an answer. The zero value is that of a process that has said nothing.
type Limit struct {
	// Named reports whether the process limits its requests.
	Named bool
	// RequestsPerSecond is the limit, at least 0. It is meaningful only if Named is set.
	RequestsPerSecond float64
	// Sent is when the request was sent and Arrived when its answer arrived. The process
	// stated the limit in between.
	Sent, Arrived time.Time
}

// Merge takes in a later or another VM's statement of the same process and reports whether
// the limit changed. Answers on different connections overlap: of two statements of which
// neither is certainly the newer one, the stricter holds.
func (l *Limit) Merge(other Limit) (changed bool) {
	if other.Arrived.Before(l.Sent) {
		return false
	}
	newer := other.Sent.After(l.Arrived)
	if !newer && l.stricter(&other) {
		return false
	}
	changed = l.Named != other.Named || l.RequestsPerSecond != other.RequestsPerSecond
	if !changed {
		if other.Sent.Before(l.Sent) {
			other.Sent = l.Sent
		}
		if other.Arrived.Before(l.Arrived) {
			other.Arrived = l.Arrived
		}
	}
	*l = other
	return changed
}

// stricter reports whether l allows fewer requests than other.
func (l *Limit) stricter(other *Limit) bool {
	if !l.Named || !other.Named {
		return l.Named && !other.Named
	}
	return l.RequestsPerSecond < other.RequestsPerSecond
}
