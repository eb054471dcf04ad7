// Package roster holds what daemons know of the endpoints.
package roster

import (
	"slices"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// KindField says that a record has an invalid field.
const KindField Kind = "invalid field"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Record is an agent's report about itself and the endpoint beside it.
type Record struct {
	// Agent is the agent's name, one for each endpoint VM.
	Agent string `protobuf:"bytes,1,opt" json:"agent"`
	// Incarnation is new at each start of the agent process.
	Incarnation uint64 `protobuf:"varint,2,opt" json:"incarnation"`
	// ReportSeq counts the reports of this incarnation. Of two records with equal
	// Fence and Turn the one with the larger ReportSeq is newer.
	ReportSeq uint64 `protobuf:"varint,3,opt" json:"beat"`
	// Fence is the fencing number that control gave this incarnation; a later
	// incarnation of the same agent has a larger one.
	Fence uint64 `protobuf:"varint,4,opt" json:"fence"`
	// Address is where entries reach the agent, as IP:port.
	Address string `protobuf:"bytes,5,opt" json:"address"`
	// DataCentre is where the agent runs.
	DataCentre string `protobuf:"bytes,6,opt" json:"data_centre"`
	// Model is the engine's base model; empty for a plain service.
	Model string `protobuf:"bytes,7,opt" json:"model"`
	// Service is the plain service's name; empty for an engine.
	Service string `protobuf:"bytes,8,opt" json:"service"`
	// AdapterSlots is the number of adapters that the engine holds at once.
	AdapterSlots int32 `protobuf:"varint,9,opt" json:"slots"`
	// RequestSlots is the number of requests that the endpoint runs at once.
	RequestSlots int32 `protobuf:"varint,10,opt" json:"places"`
	// EnforcesFencing says that the engine refuses orders with an old fencing number.
	EnforcesFencing bool `protobuf:"varint,11,opt" json:"fenced"`
	// Ready says that the endpoint takes work; a leaving or lost one does not.
	Ready bool `protobuf:"varint,12,opt" json:"ready"`
	// Draining says that the endpoint finishes its work and takes none.
	Draining bool `protobuf:"varint,13,opt" json:"leaving"`
	// ResidentAdapters lists the adapters whose weights are in a slot or arriving.
	ResidentAdapters []ResidentAdapter `protobuf:"bytes,14,rep" json:"resident"`
	// Running is the number of requests at the endpoint.
	Running int32 `protobuf:"varint,15,opt" json:"running"`
	// Queued is the number of requests waiting at the agent, by class.
	Queued []int32 `protobuf:"varint,16,rep" json:"queued"`
	// TokenMicros is the recent time for one answer token, in microseconds.
	TokenMicros int64 `protobuf:"varint,17,opt" json:"speed"`
	// Origin is the control replica that last changed the record and Counter
	// that replica's count of changes at the time.
	Origin  uint64 `protobuf:"varint,18,opt" json:"origin"`
	Counter uint64 `protobuf:"varint,19,opt" json:"counter"`
	// Removed marks the record of a dead agent, kept so that its removal spreads.
	Removed bool `protobuf:"varint,20,opt" json:"gone"`
	// Digests lists the content digests of the requests at the endpoint, so
	// that they can be suspected when it dies.
	Digests [][]byte `protobuf:"bytes,21,rep" json:"digests"`
	// AgeNanos is how long ago the origin replica heard from the agent, in
	// nanoseconds, when the record was sent.
	AgeNanos int64 `protobuf:"varint,22,opt" json:"age"`
	// ControlSeq counts the changes that control made to the record of an
	// incarnation: another replica hears the agent now, or nobody does. Agents
	// leave it 0.
	ControlSeq uint64 `protobuf:"varint,23,opt" json:"turn"`
	// NonLoadCounter is the Counter at which anything but the load changed last.
	NonLoadCounter uint64 `protobuf:"varint,24,opt" json:"shape"`
}

// ResidentAdapter is one adapter version at an endpoint.
type ResidentAdapter struct {
	Adapter string `protobuf:"bytes,1,opt" json:"adapter"`
	Version string `protobuf:"bytes,2,opt" json:"version"`
	// Loading says that the weights are not there yet.
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

// Newer reports whether r replaces old: a larger fencing number wins, then a
// larger turn of the same incarnation, then a larger beat. The turn goes first
// so that a replica that takes an agent over is heard also by those who had a
// later report from the former replica. Of two replicas that took the same
// turn, the one that hears the agent wins, then the one with the larger ID, so
// that every holder keeps the same record.
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

// VectorEntry is one replica's counter in a version vector.
type VectorEntry struct {
	Origin  uint64 `protobuf:"varint,1,opt" json:"origin"`
	Counter uint64 `protobuf:"varint,2,opt" json:"counter"`
}

// Delta holds the records that a holder of the vector Since did not have.
type Delta struct {
	// Sender is the replica that answers.
	Sender  uint64   `protobuf:"varint,4,opt" json:"sender"`
	Records []Record `protobuf:"bytes,1,rep" json:"records"`
	// Vector holds for each origin the highest counter covered.
	Vector []VectorEntry `protobuf:"bytes,2,rep" json:"vector"`
	// Complete says that records missing here are gone.
	Complete bool `protobuf:"varint,3,opt" json:"whole"`
	// Loads holds the load of agents whose records are known otherwise. They
	// are sent at a bounded rate, so the vector does not cover them.
	Loads []Load `protobuf:"bytes,5,rep" json:"loads"`
}

// Load is the part of a record that changes with each request.
type Load struct {
	Agent string `protobuf:"bytes,1,opt" json:"agent"`
	// Fence and Beat say which report it is from.
	Fence       uint64  `protobuf:"varint,2,opt" json:"fence"`
	ReportSeq   uint64  `protobuf:"varint,3,opt" json:"beat"`
	Running     int32   `protobuf:"varint,4,opt" json:"running"`
	Queued      []int32 `protobuf:"varint,5,rep" json:"queued"`
	TokenMicros int64   `protobuf:"varint,6,opt" json:"speed"`
}

// Load returns the record's load.
func (r *Record) Load() Load {
	return Load{
		Agent: r.Agent, Fence: r.Fence, ReportSeq: r.ReportSeq,
		Running: r.Running, Queued: r.Queued, TokenMicros: r.TokenMicros,
	}
}

// take puts a newer load into the record and reports whether it was newer.
func (r *Record) take(load *Load) bool {
	if r.Removed || load.Fence != r.Fence || load.ReportSeq <= r.ReportSeq {
		return false
	}
	r.ReportSeq, r.Running, r.Queued, r.TokenMicros = load.ReportSeq, load.Running, load.Queued, load.TokenMicros
	return true
}

// likeShape reports whether two records differ in their load at most.
func (r *Record) likeShape(other *Record) bool {
	return r.Origin == other.Origin && r.Incarnation == other.Incarnation && r.Fence == other.Fence &&
		r.Address == other.Address && r.DataCentre == other.DataCentre &&
		r.Model == other.Model && r.Service == other.Service &&
		r.AdapterSlots == other.AdapterSlots && r.RequestSlots == other.RequestSlots && r.EnforcesFencing == other.EnforcesFencing &&
		r.Ready == other.Ready && r.Draining == other.Draining && r.Removed == other.Removed &&
		slices.EqualFunc(r.ResidentAdapters, other.ResidentAdapters, likePlace)
}

// likePlace takes an adapter that arrives for one that is there: entries send
// it work either way.
func likePlace(a, b ResidentAdapter) bool {
	return a.Adapter == b.Adapter && a.Version == b.Version
}
