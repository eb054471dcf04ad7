package call

// FrameType says what a frame carries.
type FrameType int32

// The steps of an attempt.
const (
	// FrameHead is the answer's status and header, from the agent.
	FrameHead FrameType = 1
	// FramePart is a piece of the answer, from the agent.
	FramePart FrameType = 2
	// FrameEnd closes a whole answer, from the agent.
	FrameEnd FrameType = 3
	// FrameRefuse says that no answer follows, from the agent.
	FrameRefuse FrameType = 4
	// FrameCancel withdraws the attempt, from the entry.
	FrameCancel FrameType = 5
	// FrameExtend raises the number of tokens reserved, from the entry.
	FrameExtend FrameType = 6
)

// Reason says why an attempt was refused or broke off.
type Reason string

// The reasons for StepRefuse.
const (
	ReasonNone             Reason = ""
	ReasonDraining         Reason = "leaving"
	ReasonFull             Reason = "full"
	ReasonOtherIncarnation Reason = "other-incarnation"
	ReasonTombstone        Reason = "tombstone"
	ReasonWrongVersion     Reason = "wrong-version"
	ReasonLoadFailed       Reason = "load-failed"
	ReasonEngineLost       Reason = "engine-lost"
	ReasonLeaseExpired     Reason = "lease-expired"
	ReasonDeadline         Reason = "deadline"
	ReasonDuplicate        Reason = "duplicate"
	ReasonSuspect          Reason = "suspect-apart"
	ReasonInvalid          Reason = "invalid"
	ReasonCancelled        Reason = "cancelled"
)

// Frame is one message about an attempt. Frames of another attempt than the
// expected one are dropped and counted by the receiver.
type Frame struct {
	// ID is the attempt's.
	ID []byte `protobuf:"bytes,1,opt"`
	// Type says which of the fields below hold.
	Type FrameType `protobuf:"varint,2,opt"`
	// Index counts StepPart frames of the attempt from 0, without gaps.
	Index int64 `protobuf:"varint,3,opt"`
	// Status and Header belong to StepHead. For engines Status is 200.
	Status int32 `protobuf:"varint,4,opt"`
	// Header holds the answer's header of a plain service.
	Header []Field `protobuf:"bytes,5,rep"`
	// Data is the bytes of a StepPart: answer text of an engine, body bytes
	// of a plain service.
	Data []byte `protobuf:"bytes,6,opt"`
	// Tokens is the number of answer tokens: in a StepPart those of this
	// part, in a StepEnd those of this attempt, in a StepExtend the new
	// reservation in all.
	Tokens int64 `protobuf:"varint,7,opt"`
	// Version is what the engine says it ran, in StepEnd.
	Version string `protobuf:"bytes,8,opt"`
	// FinishReason is the engine's reason to stop, in StepEnd ("stop", "length").
	FinishReason string `protobuf:"bytes,9,opt"`
	// Reason belongs to StepRefuse.
	Reason Reason `protobuf:"bytes,10,opt"`
	// MayHaveRun is false only if it is proved that the attempt did not reach the
	// endpoint and never will.
	MayHaveRun bool `protobuf:"varint,11,opt"`
	// CachedTokens is the number of prompt tokens that the engine found cached.
	CachedTokens int64 `protobuf:"varint,12,opt"`
	// LoadWaitNanos is how long the attempt waited for a load, in nanoseconds; in
	// StepHead.
	LoadWaitNanos int64 `protobuf:"varint,13,opt"`
	// Running and Queued are the endpoint's load as in its reports, in a
	// StepHead and in the last frame: so that entries know the load of those
	// that they use sooner than control tells them. Without Queued there is
	// none.
	Running int32   `protobuf:"varint,14,opt"`
	Queued  []int32 `protobuf:"varint,15,rep"`
}

// Check reports the first invalid field.
func (f *Frame) Check() error {
	if len(f.ID) != IDSize {
		return &Error{Op: "check frame", Kind: KindID}
	}
	if f.Type < FrameHead || f.Type > FrameExtend {
		return &Error{Op: "check step", Kind: KindField}
	}
	if f.Index < 0 || f.Tokens < 0 {
		return &Error{Op: "check sizes", Kind: KindField}
	}
	return nil
}

// Outcome is the recorded end of a request that must not repeat.
type Outcome struct {
	// Status is the answer's HTTP status.
	Status int32 `protobuf:"varint,1,opt" json:"status"`
	// Header is the answer's header.
	Header []Field `protobuf:"bytes,2,rep" json:"header"`
	// Body is the whole answer, unless Cut.
	Body []byte `protobuf:"bytes,3,opt" json:"body"`
	// Truncated says that the answer was too large to record: Body is empty and
	// Sum is the digest of the answer.
	Truncated bool `protobuf:"varint,4,opt" json:"cut"`
	// BodyDigest is the SHA-256 of the whole answer.
	BodyDigest []byte `protobuf:"bytes,5,opt" json:"sum"`
}

// Probe asks an agent what became of an attempt. An attempt that the agent
// has not seen is refused from then on.
type Probe struct {
	ID               []byte `protobuf:"bytes,1,opt"`
	AgentIncarnation uint64 `protobuf:"varint,2,opt"`
}

// State is what an agent knows of an attempt.
type State int32

// The states that a probe can report.
const (
	// StateNotRun says that the attempt has not run and never will.
	StateNotRun State = 1
	// StateRunning says that it is with the endpoint or queued for it.
	StateRunning State = 2
	// StateDone says that it ended; Outcome is set when the answer is whole.
	StateDone State = 3
	// StateUnknown says that this incarnation cannot tell.
	StateUnknown State = 4
)

// ProbeReply answers a Probe.
type ProbeReply struct {
	State   State    `protobuf:"varint,1,opt"`
	Outcome *Outcome `protobuf:"bytes,2,opt"`
	// Incarnation is the answering agent's.
	Incarnation uint64 `protobuf:"varint,3,opt"`
}
