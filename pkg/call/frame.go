package call

import "github.com/tanagerspindle/tanagerspindle/pkg/head"

// FrameType is the type of a frame.
type FrameType int32

// The frame types.
const (
	// FrameHead carries the answer's status and header; sent by the agent.
	FrameHead FrameType = 1
	// FramePart carries a piece of the answer; sent by the agent.
	FramePart FrameType = 2
	// FrameEnd ends a complete answer; sent by the agent.
	FrameEnd FrameType = 3
	// FrameRefuse ends the attempt without a complete answer; sent by the agent.
	FrameRefuse FrameType = 4
	// FrameCancel cancels the attempt; sent by the entry.
	FrameCancel FrameType = 5
	// FrameExtend raises the number of reserved tokens; sent by the entry.
	FrameExtend FrameType = 6
)

// Reason is why an attempt was refused or aborted.
type Reason string

// The reasons in FrameRefuse.
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

// Frame is one message about an attempt. The receiver drops and counts frames with
// the ID of another attempt than the expected one.
type Frame struct {
	// ID is the attempt's ID.
	ID []byte `protobuf:"bytes,1,opt"`
	// Type determines which of the other fields are set.
	Type FrameType `protobuf:"varint,2,opt"`
	// Index numbers the FramePart frames of an attempt from 0, without gaps.
	Index int64 `protobuf:"varint,3,opt"`
	// Status and Header are set in FrameHead. Status is 200 for engines.
	Status int32 `protobuf:"varint,4,opt"`
	// Header is the header of a plain service's answer.
	Header []Field `protobuf:"bytes,5,rep"`
	// Data is the content of a FramePart: answer text from an engine, body bytes
	// from a plain service.
	Data []byte `protobuf:"bytes,6,opt"`
	// Tokens is the number of answer tokens: in FramePart those of the part, in
	// FrameEnd those of the attempt, and in FrameExtend the new total of the
	// reservation.
	Tokens int64 `protobuf:"varint,7,opt"`
	// Version is the adapter version that the engine reports to have run; set in FrameEnd.
	Version string `protobuf:"bytes,8,opt"`
	// FinishReason is the engine's reason to stop, such as "stop" or "length"; set
	// in FrameEnd.
	FinishReason string `protobuf:"bytes,9,opt"`
	// Reason is set in FrameRefuse.
	Reason Reason `protobuf:"bytes,10,opt"`
	// MayHaveRun is false only if it is certain that the attempt did not reach the
	// endpoint and never will.
	MayHaveRun bool `protobuf:"varint,11,opt"`
	// CachedTokens is the number of prompt tokens that the engine found in its cache.
	CachedTokens int64 `protobuf:"varint,12,opt"`
	// LoadWaitNanos is how long the attempt waited for an adapter to load, in
	// nanoseconds; set in FrameHead.
	LoadWaitNanos int64 `protobuf:"varint,13,opt"`
	// Running and Queued are the endpoint's load, as in the agent's reports; set in
	// FrameHead and in the last frame. They give the entry the load of the
	// endpoints that it uses sooner than the updates from control. If Queued is
	// empty, the frame reports no load.
	Running int32   `protobuf:"varint,14,opt"`
	Queued  []int32 `protobuf:"varint,15,rep"`
}

// Check reports the first invalid field.
func (f *Frame) Check() error {
	if len(f.ID) != IDSize {
		return &Error{Op: "check frame", Kind: KindID}
	}
	if f.Type < FrameHead || f.Type > FrameExtend {
		return &Error{Op: "check frame type", Kind: KindField}
	}
	if f.Index < 0 || f.Tokens < 0 {
		return &Error{Op: "check sizes", Kind: KindField}
	}
	if f.Type == FrameHead {
		return checkHead(f.Status, f.Header)
	}
	return nil
}

// checkHead reports why the head of an answer is not valid.
func checkHead(status int32, header []Field) error {
	if err := head.CheckFinal(int(status)); err != nil {
		return &Error{Op: "check status", Kind: KindField, Err: err}
	}
	for _, field := range header {
		if err := head.CheckField(field.Name, field.Value); err != nil {
			return &Error{Op: "check header", Kind: KindField, Err: err}
		}
	}
	return nil
}

// Outcome is the recorded result of a request that must run at most once.
type Outcome struct {
	// Status is the answer's HTTP status.
	Status int32 `protobuf:"varint,1,opt" json:"status"`
	// Header is the answer's header.
	Header []Field `protobuf:"bytes,2,rep" json:"header"`
	// Body is the complete answer, unless Truncated is set.
	Body []byte `protobuf:"bytes,3,opt" json:"body"`
	// Truncated means that the answer was too large to record. Body is then empty,
	// and BodyDigest is the only record of the answer's content.
	Truncated bool `protobuf:"varint,4,opt" json:"cut"`
	// BodyDigest is the SHA-256 digest of the complete answer.
	BodyDigest []byte `protobuf:"bytes,5,opt" json:"sum"`
}

// CheckHead reports why the head of a recorded answer is not valid. A truncated outcome has
// none.
func (o *Outcome) CheckHead() error { return checkHead(o.Status, o.Header) }

// Probe asks an agent for the state of an attempt. If the agent does not know the
// attempt, it refuses the attempt from then on.
type Probe struct {
	ID               []byte `protobuf:"bytes,1,opt"`
	AgentIncarnation uint64 `protobuf:"varint,2,opt"`
}

// State is the state of an attempt as far as the agent knows.
type State int32

// The states that a probe can report.
const (
	// StateNotRun means that the attempt has not run and never will.
	StateNotRun State = 1
	// StateRunning means that the attempt is running at the endpoint or queued for it.
	StateRunning State = 2
	// StateDone means that the attempt has ended. ProbeReply.Outcome is set if the
	// answer is complete.
	StateDone State = 3
	// StateUnknown means that this incarnation of the agent cannot determine the state.
	StateUnknown State = 4
)

// ProbeReply answers a Probe.
type ProbeReply struct {
	State   State    `protobuf:"varint,1,opt"`
	Outcome *Outcome `protobuf:"bytes,2,opt"`
	// Incarnation is the incarnation of the agent that replies.
	Incarnation uint64 `protobuf:"varint,3,opt"`
}
