// Package roster maintains the records of agents and their endpoints. Control
// replicas and daemons hold copies that converge by exchanging deltas.
package roster

import (
	"slices"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// KindField means that a record has an invalid field.
const KindField Kind = "invalid field"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Record is an agent's report about itself and the endpoint beside it.
type Record struct {
	// Agent is the agent's name, unique among the agents.
	Agent string `protobuf:"bytes,1,opt" json:"agent"`
	// Incarnation is new at each start of the agent process.
	Incarnation uint64 `protobuf:"varint,2,opt" json:"incarnation"`
	// ReportSeq numbers the reports of this incarnation. Of two records with equal
	// Fence and ControlSeq, the one with the larger ReportSeq is newer.
	ReportSeq uint64 `protobuf:"varint,3,opt" json:"beat"`
	// Fence is the fencing number that control gave this incarnation. Later
	// incarnations of the same agent have larger numbers.
	Fence uint64 `protobuf:"varint,4,opt" json:"fence"`
	// Address is where entries reach the agent, as IP:port.
	Address string `protobuf:"bytes,5,opt" json:"address"`
	// DataCentre is the data centre that the agent runs in.
	DataCentre string `protobuf:"bytes,6,opt" json:"data_centre"`
	// Model is the engine's base model; empty for a plain service.
	Model string `protobuf:"bytes,7,opt" json:"model"`
	// Service is the plain service's name; empty for an engine.
	Service string `protobuf:"bytes,8,opt" json:"service"`
	// AdapterSlots is the number of adapters that the engine holds at once.
	AdapterSlots int32 `protobuf:"varint,9,opt" json:"slots"`
	// RequestSlots is the number of requests that the endpoint runs concurrently.
	RequestSlots int32 `protobuf:"varint,10,opt" json:"places"`
	// EnforcesFencing means that the engine refuses orders with an old fencing number.
	EnforcesFencing bool `protobuf:"varint,11,opt" json:"fenced"`
	// Ready means that the endpoint accepts requests; it is false when the endpoint
	// is draining or lost.
	Ready bool `protobuf:"varint,12,opt" json:"ready"`
	// Draining means that the endpoint completes its requests and accepts no new ones.
	Draining bool `protobuf:"varint,13,opt" json:"leaving"`
	// ResidentAdapters lists the adapters whose weights are in a slot or loading.
	ResidentAdapters []ResidentAdapter `protobuf:"bytes,14,rep" json:"resident"`
	// Running is the number of requests at the endpoint.
	Running int32 `protobuf:"varint,15,opt" json:"running"`
	// Queued is the number of requests waiting at the agent, by class.
	Queued []int32 `protobuf:"varint,16,rep" json:"queued"`
	// TokenMicros is the recent time per answer token, in microseconds.
	TokenMicros int64 `protobuf:"varint,17,opt" json:"speed"`
	// Origin is the control replica that last changed the record, and Counter that
	// replica's change counter at that time.
	Origin  uint64 `protobuf:"varint,18,opt" json:"origin"`
	Counter uint64 `protobuf:"varint,19,opt" json:"counter"`
	// Removed marks a tombstone: the agent is gone, and the record is kept so that
	// its removal reaches all holders.
	Removed bool `protobuf:"varint,20,opt" json:"gone"`
	// Digests lists the content digests of the requests at the endpoint, so that
	// these can be suspected if the endpoint crashes.
	Digests [][]byte `protobuf:"bytes,21,rep" json:"digests"`
	// AgeNanos is the time since the origin replica last heard from the agent, in
	// nanoseconds, as of when the record was sent.
	AgeNanos int64 `protobuf:"varint,22,opt" json:"age"`
	// ControlSeq numbers the changes that control has made to the record of an
	// incarnation, when another replica takes the agent over or the agent is
	// removed. Agents leave it 0.
	ControlSeq uint64 `protobuf:"varint,23,opt" json:"turn"`
	// NonLoadCounter is the value of Counter when anything but the load last changed.
	NonLoadCounter uint64 `protobuf:"varint,24,opt" json:"shape"`
}

// ResidentAdapter is one adapter version at an endpoint.
type ResidentAdapter struct {
	Adapter string `protobuf:"bytes,1,opt" json:"adapter"`
	Version string `protobuf:"bytes,2,opt" json:"version"`
	// Loading means that the weights are still being loaded.
	Loading bool `protobuf:"varint,3,opt" json:"loading"`
}

// Check reports the first invalid field.
func (r *Record) Check() error {
	if r.Agent == "" || r.Incarnation == 0 {
		return &Error{Op: "check record", Kind: KindField}
	}
	if r.AdapterSlots < 0 || r.RequestSlots < 0 || r.Running < 0 {
		return &Error{Op: "check sizes", Kind: KindField}
	}
	return nil
}

// Newer reports whether r replaces old. The larger Fence wins, then the later
// Incarnation, then the larger ControlSeq, then the larger ReportSeq. ControlSeq
// comes before ReportSeq so that a replica that takes an agent over also overrides
// holders that had a later report from the previous replica. If two replicas made
// the change with the same ControlSeq, a live record wins over a removed one, and
// then the larger replica ID wins, so that all holders keep the same record.
func (r *Record) Newer(old *Record) bool {
	if r.Fence != old.Fence {
		return r.Fence > old.Fence
	}
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.ControlSeq != old.ControlSeq {
		return r.ControlSeq > old.ControlSeq
	}
	if r.ReportSeq != old.ReportSeq {
		return r.ReportSeq > old.ReportSeq
	}
	if r.Removed != old.Removed {
		return old.Removed
	}
	if r.Origin != old.Origin {
		return r.Origin > old.Origin
	}
	return r.Counter > old.Counter
}

// VectorEntry is the counter of one origin replica in a version vector.
type VectorEntry struct {
	Origin  uint64 `protobuf:"varint,1,opt" json:"origin"`
	Counter uint64 `protobuf:"varint,2,opt" json:"counter"`
}

// Delta holds the records that a holder lacks, given its version vector.
type Delta struct {
	// Sender is the replica that sends the delta.
	Sender  uint64   `protobuf:"varint,4,opt" json:"sender"`
	Records []Record `protobuf:"bytes,1,rep" json:"records"`
	// Vector holds the highest counter that the delta covers for each origin.
	Vector []VectorEntry `protobuf:"bytes,2,rep" json:"vector"`
	// Complete means that the delta names all live agents that Vector covers.
	// Holders remove the agents that it does not name.
	Complete bool `protobuf:"varint,3,opt" json:"whole"`
	// Loads holds the loads of agents whose records have not changed otherwise.
	// They are sent at a bounded rate, so Vector does not cover them.
	Loads []Load `protobuf:"bytes,5,rep" json:"loads"`
}

// Load is the part of a record that changes with each request.
type Load struct {
	Agent string `protobuf:"bytes,1,opt" json:"agent"`
	// Fence and ReportSeq identify the report that the load is from.
	Fence       uint64  `protobuf:"varint,2,opt" json:"fence"`
	ReportSeq   uint64  `protobuf:"varint,3,opt" json:"beat"`
	Running     int32   `protobuf:"varint,4,opt" json:"running"`
	Queued      []int32 `protobuf:"varint,5,rep" json:"queued"`
	TokenMicros int64   `protobuf:"varint,6,opt" json:"speed"`
}

// Load returns the load part of the record.
func (r *Record) Load() Load {
	return Load{
		Agent: r.Agent, Fence: r.Fence, ReportSeq: r.ReportSeq,
		Running: r.Running, Queued: r.Queued, TokenMicros: r.TokenMicros,
	}
}

// applyLoad copies a newer load into the record and reports whether it was newer.
func (r *Record) applyLoad(load *Load) bool {
	if r.Removed || load.Fence != r.Fence || load.ReportSeq <= r.ReportSeq {
		return false
	}
	r.ReportSeq, r.Running, r.Queued, r.TokenMicros = load.ReportSeq, load.Running, load.Queued, load.TokenMicros
	return true
}

// equalExceptLoad reports whether two records are equal in everything but the load.
func (r *Record) equalExceptLoad(other *Record) bool {
	return r.Origin == other.Origin && r.Incarnation == other.Incarnation && r.Fence == other.Fence &&
		r.Address == other.Address && r.DataCentre == other.DataCentre &&
		r.Model == other.Model && r.Service == other.Service &&
		r.AdapterSlots == other.AdapterSlots && r.RequestSlots == other.RequestSlots && r.EnforcesFencing == other.EnforcesFencing &&
		r.Ready == other.Ready && r.Draining == other.Draining && r.Removed == other.Removed &&
		slices.EqualFunc(r.ResidentAdapters, other.ResidentAdapters, sameAdapter)
}

// sameAdapter reports whether two entries are the same adapter version. It ignores
// Loading, because entries send requests for the adapter in either case.
func sameAdapter(a, b ResidentAdapter) bool {
	return a.Adapter == b.Adapter && a.Version == b.Version
}
