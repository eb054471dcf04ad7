package call

// Step says what a frame carries.
type Step int32

// The steps of an attempt.
const (
	// StepHead is the answer's status and header, from the agent.
	StepHead Step = 1
	// StepPart is a piece of the answer, from the agent.
	StepPart Step = 2
	// StepEnd closes a whole answer, from the agent.
	StepEnd Step = 3
	// StepRefuse says that no answer follows, from the agent.
	StepRefuse Step = 4
	// StepCancel withdraws the attempt, from the entry.
	StepCancel Step = 5
	// StepExtend raises the number of tokens reserved, from the entry.
	StepExtend Step = 6
)

// Reason says why an attempt was refused or broke off.
type Reason string

// The reasons for StepRefuse.
const (
	ReasonNone     Reason = ""
	ReasonLeaving  Reason = "leaving"
	ReasonFull     Reason = "full"
	ReasonStranger Reason = "other-incarnation"
	ReasonTomb     Reason = "tombstone"
	ReasonVersion  Reason = "wrong-version"
	ReasonLoad     Reason = "load-failed"
	ReasonEngine   Reason = "engine-lost"
	ReasonLease    Reason = "lease-expired"
	ReasonLate     Reason = "deadline"
	ReasonDuplex   Reason = "duplicate"
	ReasonSuspect  Reason = "suspect-apart"
	ReasonInvalid  Reason = "invalid"
	ReasonCancel   Reason = "cancelled"
)

// Frame is one message about an attempt. Frames of another attempt than the
// expected one are dropped and counted by the receiver.
type Frame struct {
	// ID is the attempt's.
	ID []byte `protobuf:"bytes,1,opt"`
	// Step says which of the fields below hold.
	Step Step `protobuf:"varint,2,opt"`
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
	// Finish is the engine's reason to stop, in StepEnd ("stop", "length").
	Finish string `protobuf:"bytes,9,opt"`
	// Reason belongs to StepRefuse.
	Reason Reason `protobuf:"bytes,10,opt"`
	// Ran is false only if it is proved that the attempt did not reach the
	// endpoint and never will.
	Ran bool `protobuf:"varint,11,opt"`
	// Cached is the number of prompt tokens that the engine found cached.
	Cached int64 `protobuf:"varint,12,opt"`
	// Waited is how long the attempt waited for a load, in nanoseconds; in
	// StepHead.
	Waited int64 `protobuf:"varint,13,opt"`
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
	if f.Step < StepHead || f.Step > StepExtend {
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
	// Cut says that the answer was too large to record: Body is empty and
	// Sum is the digest of the answer.
	Cut bool `protobuf:"varint,4,opt" json:"cut"`
	// Sum is the SHA-256 of the whole answer.
	Sum []byte `protobuf:"bytes,5,opt" json:"sum"`
}

// Probe asks an agent what became of an attempt. An attempt that the agent
// has not seen is refused from then on.
type Probe struct {
	ID    []byte `protobuf:"bytes,1,opt"`
	Agent uint64 `protobuf:"varint,2,opt"`
}

// State is what an agent knows of an attempt.
type State int32

// The states that a probe can report.
const (
	// StateNever says that the attempt has not run and never will.
	StateNever State = 1
	// StateRunning says that it is with the endpoint or queued for it.
	StateRunning State = 2
	// StateDone says that it ended; Outcome is set when the answer is whole.
	StateDone State = 3
	// StateUnknown says that this incarnation cannot tell.
	StateUnknown State = 4
)

// Verdict answers a Probe.
type Verdict struct {
	State   State    `protobuf:"varint,1,opt"`
	Outcome *Outcome `protobuf:"bytes,2,opt"`
	// Incarnation is the answering agent's.
	Incarnation uint64 `protobuf:"varint,3,opt"`
}
