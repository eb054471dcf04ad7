package plane

import "github.com/tanagerspindle/tanagerspindle/pkg/span"

// PermitRequest is an agent's complete current demand for loads. It replaces the
// agent's previous request.
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
	// Waiters is the number of waiting requests by class.
	Waiters []int32 `protobuf:"varint,4,rep"`
	// LongestWait is how long the request that waited longest has been waiting.
	LongestWait span.Duration `protobuf:"varint,5,opt"`
	// Remaining is the shortest time left to the deadline of any of the requests.
	Remaining span.Duration `protobuf:"varint,6,opt"`
	// WaitingTokens is the work of the waiting requests, in tokens.
	WaitingTokens int64 `protobuf:"varint,7,opt"`
	// ExtraCopy means that the agent demands a further copy although another
	// endpoint has the adapter.
	ExtraCopy bool `protobuf:"varint,8,opt"`
}

// LoadResult reports the end of a permitted load.
type LoadResult struct {
	PermitID uint64 `protobuf:"varint,1,opt"`
	// Loaded is false when the load failed.
	Loaded bool `protobuf:"varint,2,opt"`
	// Unused means that the agent did not start the load.
	Unused bool `protobuf:"varint,3,opt"`
}

// Permit allows an agent one load. It is issued by the coordinator, which divides the
// fleet's load budget among the agents. A permit with ID 0 allows no load: control
// sends one every second to show that the coordinator is running.
type Permit struct {
	// ID identifies the permit at the coordinator that issued it.
	ID      uint64 `protobuf:"varint,1,opt"`
	Adapter string `protobuf:"bytes,2,opt"`
	Version string `protobuf:"bytes,3,opt"`
	// Lifetime is how long after the permit's arrival the load may be started.
	Lifetime span.Duration `protobuf:"varint,4,opt"`
	// Term is the term of the leader that issued the permit.
	Term uint64 `protobuf:"varint,5,opt"`
}
