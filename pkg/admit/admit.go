// Package admit holds the messages by which an entry gets a request admitted
// to an engine by the agent beside it, before it sends the request there
// itself.
//
// One stream carries one request: an Ask from the entry, a Reply from the agent
// when the request may be sent or will not be, and before that one which says
// that the request waits, when it does. The entry closes the
// stream when the request has ended; so does the loss of the connection.
package admit

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Kind classifies the failures of this package.
type Kind string

// KindField says that a message has an invalid field.
const KindField Kind = "invalid field"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Method is the name of the streams.
const Method = "admit"

// Request describes a request that an entry wants to send to an engine.
type Request struct {
	// ID is the request's, for logs.
	ID string `protobuf:"bytes,1,opt"`
	// Endpoint is the name of the engine that is meant.
	Endpoint string `protobuf:"bytes,2,opt"`
	// Model and Adapter are what the request needs; Adapter is empty for the
	// base model.
	Model   string `protobuf:"bytes,3,opt"`
	Adapter string `protobuf:"bytes,4,opt"`
	// MinVersion is the oldest version of the adapter that the request may run
	// on; 0 allows any.
	MinVersion int64 `protobuf:"varint,5,opt"`
	// Workspace is whom the request runs for.
	Workspace string `protobuf:"bytes,6,opt"`
	// PromptTokens is the number of prompt tokens, Answer the most tokens of the
	// answer that are still to come, and Hint how many are expected.
	PromptTokens         int64 `protobuf:"varint,7,opt"`
	MaxAnswerTokens      int64 `protobuf:"varint,8,opt"`
	ExpectedAnswerTokens int64 `protobuf:"varint,9,opt"`
	// Priority is the request's priority, 0 first.
	Priority int32 `protobuf:"varint,10,opt"`
	// FirstTokenRemaining is the time left until the first token is late, below 0 when it is
	// already; Left the time left until the caller gives up.
	FirstTokenRemaining span.Duration `protobuf:"varint,11,opt"`
	Remaining           span.Duration `protobuf:"varint,12,opt"`
	// Resumed says that the caller has a part of the answer already.
	Resumed bool `protobuf:"varint,13,opt"`
	// LastCandidate says that no other engine will be asked: the request is refused
	// only when it cannot be served in time.
	LastCandidate bool `protobuf:"varint,14,opt"`
}

// Check reports the first invalid field.
func (a *Request) Check() error {
	if a.Endpoint == "" || a.Model == "" {
		return &Error{Op: "check target", Kind: KindField}
	}
	if a.PromptTokens < 0 || a.MaxAnswerTokens < 0 || a.ExpectedAnswerTokens < 0 || a.MinVersion < 0 {
		return &Error{Op: "check sizes", Kind: KindField}
	}
	return nil
}

// MemoryTokens is the memory that the request may take at the engine, in tokens.
func (a *Request) MemoryTokens() int64 { return a.PromptTokens + a.MaxAnswerTokens }

// Reason says why a request is not admitted.
type Reason string

// The reasons.
const (
	// ReasonNone admits the request.
	ReasonNone Reason = ""
	// ReasonQueued says that the request waits at the agent; another Reply
	// follows.
	ReasonQueued Reason = "queued"
	// ReasonBusy says that the request could not begin in time; Wait says when
	// it could.
	ReasonBusy Reason = "busy"
	// ReasonOtherEngine says that another engine is here now.
	ReasonOtherEngine Reason = "other-engine"
	// ReasonEngineDown says that the engine does not answer.
	ReasonEngineDown Reason = "engine-down"
	// ReasonModelMissing says that the engine does not hold the model.
	ReasonModelMissing Reason = "model-missing"
	// ReasonDraining says that the engine or the agent takes no more work.
	ReasonDraining Reason = "leaving"
)

// Reply answers an Ask.
type Reply struct {
	Reason Reason `protobuf:"bytes,1,opt"`
	// Version is the version of the adapter that the engine holds.
	Version int64 `protobuf:"varint,2,opt"`
	// Wait is when asking again helps, or how long the request waited.
	Wait span.Duration `protobuf:"varint,3,opt"`
	// LoadPermille is the work at the engine as a share of what it can do, in
	// thousandths.
	LoadPermille int64 `protobuf:"varint,4,opt"`
}
