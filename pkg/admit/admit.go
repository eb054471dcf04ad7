// Package admit defines the messages of the admission protocol between an entry and
// an agent. Before an entry sends a request directly to an engine, it asks the
// agent beside that engine to admit the request.
//
// One stream carries one request. The entry sends a Request. If the request has to
// wait, the agent first sends a Reply with ReasonQueued; the final Reply admits or
// refuses the request. When an admitted request has ended, the entry sends an End if
// the request may have run, and closes the stream. A lost connection also ends the
// admission; the request may then still run.
package admit

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Kind classifies the failures of this package.
type Kind string

// KindField means that a message has an invalid field.
const KindField Kind = "invalid field"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Method is the method name of admission streams.
const Method = "admit"

// Request describes a request that an entry wants to send to an engine.
type Request struct {
	// ID is the request ID, used in logs.
	ID string `protobuf:"bytes,1,opt"`
	// Endpoint is the name of the engine that the entry has selected.
	Endpoint string `protobuf:"bytes,2,opt"`
	// Model and Adapter are the model and the adapter that the request runs on.
	// Adapter is empty for the base model.
	Model   string `protobuf:"bytes,3,opt"`
	Adapter string `protobuf:"bytes,4,opt"`
	// MinVersion is the oldest version of the adapter that the request may run on;
	// 0 allows any version.
	MinVersion int64 `protobuf:"varint,5,opt"`
	// Workspace is the workspace that the request runs for.
	Workspace string `protobuf:"bytes,6,opt"`
	// PromptTokens is the number of prompt tokens. MaxAnswerTokens is the largest
	// number of answer tokens still to be generated, and ExpectedAnswerTokens the
	// expected number.
	PromptTokens         int64 `protobuf:"varint,7,opt"`
	MaxAnswerTokens      int64 `protobuf:"varint,8,opt"`
	ExpectedAnswerTokens int64 `protobuf:"varint,9,opt"`
	// Priority is the request's priority; 0 is the highest.
	Priority int32 `protobuf:"varint,10,opt"`
	// FirstTokenRemaining is the time left until the first token misses its
	// objective; it is negative once that has happened. Remaining is the time left
	// until the caller's deadline.
	FirstTokenRemaining span.Duration `protobuf:"varint,11,opt"`
	Remaining           span.Duration `protobuf:"varint,12,opt"`
	// Resumed means that the caller has already received a part of the answer, from this
	// attempt or, by its own statement, from an earlier one.
	Resumed bool `protobuf:"varint,13,opt"`
	// LastCandidate means that the entry has no other engine to ask. The agent then
	// refuses the request only if it cannot be served in time.
	LastCandidate bool `protobuf:"varint,14,opt"`
	// MaxLimitWait is how long the request may wait until the engine's limit allows it. The
	// agent refuses it at once if that would take longer.
	MaxLimitWait span.Duration `protobuf:"varint,15,opt"`
	// Limit is what the engine said of its limit to the entry; nil if it named none.
	Limit *advert.LimitReport `protobuf:"bytes,16,opt"`
	// MaxTokenGap is the required longest gap between two events of the answer; 0 if the route
	// states none.
	MaxTokenGap span.Duration `protobuf:"varint,17,opt"`
	// OriginKnown means that the entry knows where the stream began whose part the caller has:
	// in this answer, or by a record that an entry made then. Otherwise Resumed is only what
	// the caller claims. Entries built before this field leave it unset.
	OriginKnown bool `protobuf:"varint,18,opt"`
}

// Check reports the first invalid field.
func (r *Request) Check() error {
	if r.Endpoint == "" || r.Model == "" {
		return &Error{Op: "check target", Kind: KindField}
	}
	if r.PromptTokens < 0 || r.MaxAnswerTokens < 0 || r.ExpectedAnswerTokens < 0 || r.MinVersion < 0 {
		return &Error{Op: "check sizes", Kind: KindField}
	}
	if r.Limit != nil {
		return r.Limit.Check()
	}
	return nil
}

// MemoryTokens returns the engine memory that the request may occupy, in tokens.
func (r *Request) MemoryTokens() int64 { return r.PromptTokens + r.MaxAnswerTokens }

// Reason is why a request is not admitted.
type Reason string

// The reasons.
const (
	// ReasonNone means that the request is admitted.
	ReasonNone Reason = ""
	// ReasonQueued means that the request waits at the agent; another Reply follows.
	ReasonQueued Reason = "queued"
	// ReasonBusy means that the request could not start in time; Reply.Wait is when
	// it could.
	ReasonBusy Reason = "busy"
	// ReasonLimited means that the engine's limit does not allow the request now;
	// Reply.Wait is when it would.
	ReasonLimited Reason = "limited"
	// ReasonOtherEngine means that the agent now serves an engine of another name.
	ReasonOtherEngine Reason = "other-engine"
	// ReasonEngineDown means that the engine has ended or has not responded for seconds.
	ReasonEngineDown Reason = "engine-down"
	// ReasonModelMissing means that the engine does not have the model loaded.
	ReasonModelMissing Reason = "model-missing"
	// ReasonDraining means that the engine or the agent accepts no new requests.
	ReasonDraining Reason = "leaving"
)

// Reply answers a Request.
type Reply struct {
	Reason Reason `protobuf:"bytes,1,opt"`
	// Version is the version of the adapter that the engine holds.
	Version int64 `protobuf:"varint,2,opt"`
	// Wait is the delay after which to retry a refused request, or how long an
	// admitted request has waited.
	Wait span.Duration `protobuf:"varint,3,opt"`
	// LoadPermille is the engine's outstanding work relative to its capacity, in
	// thousandths.
	LoadPermille int64 `protobuf:"varint,4,opt"`
}

// End is the last message of an entry. Agents built before it treat any second message
// as the end of the stream, and entries built before it only close the stream.
type End struct {
	// MayHaveRun means that the request may have run at the engine.
	MayHaveRun bool `protobuf:"varint,1,opt"`
}
