// Package call defines one attempt of a request and the frames that travel
// between an entry and the agent that runs it.
package call

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindID    Kind = "attempt ID is not 16 bytes"
	KindField Kind = "invalid field"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// IDSize is the length of an attempt ID in bytes.
const IDSize = 16

// Class is the inferred urgency of a request; a smaller value is more urgent.
type Class int32

// The classes of urgency, most urgent first.
const (
	// ClassInteractive marks a request that somebody waits for.
	ClassInteractive Class = 0
	// ClassSoon marks a request needed shortly but not watched.
	ClassSoon Class = 1
	// ClassLong marks a long run.
	ClassLong Class = 2
	// ClassCount is the number of classes.
	ClassCount = 3
)

// String returns the class's short name.
func (c Class) String() string {
	switch c {
	case ClassInteractive:
		return "person"
	case ClassSoon:
		return "soon"
	case ClassLong:
		return "long"
	}
	return fmt.Sprintf("class%d", int32(c))
}

// Attempt is one try of one request at one agent.
type Attempt struct {
	// ID is unique to this attempt: IDSize random bytes. A retry has another.
	ID []byte `protobuf:"bytes,1,opt" json:"id"`
	// Index counts attempts of the same request from 0.
	Index int32 `protobuf:"varint,2,opt" json:"try"`
	// Workspace is the one whose key came with the request, or the route's
	// for a route open to all.
	Workspace string `protobuf:"bytes,3,opt" json:"workspace"`
	// Route is the name of the matched route.
	Route string `protobuf:"bytes,4,opt" json:"route"`
	// Model is the base model; empty for a plain service.
	Model string `protobuf:"bytes,5,opt" json:"model"`
	// Adapter is the adapter's name; empty for a plain service.
	Adapter string `protobuf:"bytes,6,opt" json:"adapter"`
	// Version is fixed at admission and never changes, also when the answer
	// is resumed elsewhere.
	Version string `protobuf:"bytes,7,opt" json:"version"`
	// Service is the plain service's name; empty for a model engine.
	Service string `protobuf:"bytes,8,opt" json:"service"`
	// Class is the inferred urgency.
	Class Class `protobuf:"varint,9,opt" json:"class"`
	// ReservedTokens is how many tokens may be generated under the reservation so far.
	ReservedTokens int64 `protobuf:"varint,10,opt" json:"tokens"`
	// MaxTokens is how many tokens the answer may have in all.
	MaxTokens int64 `protobuf:"varint,11,opt" json:"max_tokens"`
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int64 `protobuf:"varint,12,opt" json:"prompt"`
	// DeliveredTokens is the number of answer tokens that the caller already has.
	DeliveredTokens int64 `protobuf:"varint,13,opt" json:"offset"`
	// DeliveredText is the answer text that the caller already has; its length in
	// tokens is Offset.
	DeliveredText string `protobuf:"bytes,14,opt" json:"delivered"`
	// Idempotent says that the request is idempotent.
	Idempotent bool `protobuf:"varint,15,opt" json:"repeat"`
	// AgentIncarnation is the agent incarnation that the attempt is meant for; any other
	// refuses it.
	AgentIncarnation uint64 `protobuf:"varint,16,opt" json:"agent"`
	// Digest identifies the request's content, for suspects and quarantine.
	Digest []byte `protobuf:"bytes,17,opt" json:"digest"`
	// Remaining is the time left until the caller gives up; a duration because
	// clocks differ. Zero means no limit.
	Remaining time.Duration `protobuf:"varint,18,opt" json:"left"`
	// PrefixHashes holds hashes of the prompt's leading blocks, shortest first.
	PrefixHashes []uint64 `protobuf:"varint,19,rep" json:"prefix"`
	// Method and Path are the plain service's request line.
	Method string `protobuf:"bytes,20,opt" json:"method"`
	// Path includes the query.
	Path string `protobuf:"bytes,21,opt" json:"path"`
	// Header holds the caller's header without keys.
	Header []Field `protobuf:"bytes,22,rep" json:"header"`
	// Body is the plain service's request body, or the engine's prompt
	// request as JSON without keys.
	Body []byte `protobuf:"bytes,23,opt" json:"body"`
	// Suspect says that the request may have crashed an endpoint before and
	// must not share one with another suspect.
	Suspect bool `protobuf:"varint,24,opt" json:"suspect"`
}

// Field is one header field.
type Field struct {
	Name  string `protobuf:"bytes,1,opt" json:"name"`
	Value string `protobuf:"bytes,2,opt" json:"value"`
}

// Check reports the first invalid field.
func (a *Attempt) Check() error {
	if len(a.ID) != IDSize {
		return &Error{Op: "check attempt", Kind: KindID}
	}
	if a.Class < ClassInteractive || a.Class >= ClassCount {
		return &Error{Op: "check class", Kind: KindField}
	}
	if a.DeliveredTokens < 0 || a.ReservedTokens < 0 || a.MaxTokens < 0 || a.PromptTokens < 0 || a.Remaining < 0 {
		return &Error{Op: "check sizes", Kind: KindField}
	}
	if (a.Service == "") == (a.Adapter == "") {
		return &Error{Op: "check target", Kind: KindField}
	}
	return nil
}

// IDString returns the attempt's ID as text for logs.
func (a *Attempt) IDString() string { return hex.EncodeToString(a.ID) }
