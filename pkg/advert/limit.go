package advert

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

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

// LimitReport is a statement of a process that one VM passes on to another.
type LimitReport struct {
	// Endpoint and StartedMillis identify the process.
	Endpoint      string `protobuf:"bytes,1,opt"`
	StartedMillis int64  `protobuf:"varint,2,opt"`
	// Named reports whether the process limits its requests, to RequestsPerSecond.
	Named             bool    `protobuf:"varint,3,opt"`
	RequestsPerSecond float64 `protobuf:"fixed64,4,opt"`
	// SentAgo is how long ago the request was sent whose answer said so, and ArrivedAgo
	// how long ago that answer arrived.
	SentAgo    span.Duration `protobuf:"varint,5,opt"`
	ArrivedAgo span.Duration `protobuf:"varint,6,opt"`
}

// NewLimitReport describes a limit for another VM.
func NewLimitReport(endpoint string, startedMillis int64, limit *Limit, now time.Time) LimitReport {
	return LimitReport{
		Endpoint: endpoint, StartedMillis: startedMillis, Named: limit.Named, RequestsPerSecond: limit.RequestsPerSecond,
		SentAgo: span.Duration(now.Sub(limit.Sent)), ArrivedAgo: span.Duration(now.Sub(limit.Arrived)),
	}
}

// Check reports the first invalid field.
func (r *LimitReport) Check() error {
	if r.Endpoint == "" || len(r.Endpoint) > maxNameBytes {
		return &Error{Op: "check limited endpoint", Kind: KindField}
	}
	if !(r.RequestsPerSecond >= 0) || r.SentAgo < r.ArrivedAgo || r.ArrivedAgo < 0 {
		return &Error{Op: "check limit", Kind: KindField}
	}
	return nil
}

// Limit returns the statement as of the receiver's clock.
func (r *LimitReport) Limit(now time.Time) Limit {
	return Limit{
		Named: r.Named, RequestsPerSecond: r.RequestsPerSecond,
		Sent: now.Add(-r.SentAgo.Std()), Arrived: now.Add(-r.ArrivedAgo.Std()),
	}
}
