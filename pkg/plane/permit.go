package plane

import "github.com/tanagerspindle/tanagerspindle/pkg/span"

// PermitRequest is an agent's whole present demand for loads; it replaces the
// former one.
type PermitRequest struct {
	Agent       string       `protobuf:"bytes,1,opt"`
	Incarnation uint64       `protobuf:"varint,2,opt"`
	Demands     []LoadDemand `protobuf:"bytes,3,rep"`
	Results     []LoadResult `protobuf:"bytes,4,rep"`
	// InFlight is the number of loads in progress at the agent.
	InFlight int32 `protobuf:"varint,5,opt"`
}

// LoadDemand is an adapter version that an agent wants to load.
type LoadDemand struct {
	Adapter   string `protobuf:"bytes,1,opt"`
	Version   string `protobuf:"bytes,2,opt"`
	Workspace string `protobuf:"bytes,3,opt"`
	// Waiters is the number of requests waiting, by class.
	Waiters []int32 `protobuf:"varint,4,rep"`
	// LongestWait is the longest time one has waited.
	LongestWait span.Duration `protobuf:"varint,5,opt"`
	// Remaining is the shortest time left to any of them.
	Remaining span.Duration `protobuf:"varint,6,opt"`
	// WaitingTokens is the work waiting, in tokens.
	WaitingTokens int64 `protobuf:"varint,7,opt"`
	// ExtraCopy says that a further copy is wanted although another endpoint has
	// the adapter.
	ExtraCopy bool `protobuf:"varint,8,opt"`
}

// LoadResult reports the end of a permitted load.
type LoadResult struct {
	PermitID uint64 `protobuf:"varint,1,opt"`
	// Loaded is false when the load failed.
	Loaded bool `protobuf:"varint,2,opt"`
	// Unused says that no load was started.
	Unused bool `protobuf:"varint,3,opt"`
}

// Permit allows an agent one load. One with ID 0 allows nothing: it tells the
// agent, once a second, that the coordinator is there.
type Permit struct {
	// ID identifies the permit at the coordinator that gave it.
	ID      uint64 `protobuf:"varint,1,opt"`
	Adapter string `protobuf:"bytes,2,opt"`
	Version string `protobuf:"bytes,3,opt"`
	// Lifetime is how long the load may be started after the permit arrived.
	Lifetime span.Duration `protobuf:"varint,4,opt"`
	// Term is the leader's.
	Term uint64 `protobuf:"varint,5,opt"`
}
