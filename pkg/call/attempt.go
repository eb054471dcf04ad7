// Package call defines an attempt of a request and the frames that the entry and
// the agent exchange about it.
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
	// ClassInteractive marks a request that a person waits for.
	ClassInteractive Class = 0
	// ClassSoon marks a request whose answer is needed soon but that no person waits for.
	ClassSoon Class = 1
	// ClassLong marks a long-running request.
	ClassLong Class = 2
	// ClassCount is the number of classes.
	ClassCount = 3
)

// String returns the class's short name, as used in logs and metrics.
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

// Attempt is one attempt to run a request at one agent.
type Attempt struct {
	// ID identifies this attempt by IDSize random bytes. Each retry has its own ID.
	ID []byte `protobuf:"bytes,1,opt" json:"id"`
	// Index numbers the attempts of a request from 0.
	Index int32 `protobuf:"varint,2,opt" json:"try"`
	// Workspace is the workspace of the caller's key, or that of the route if the
	// route is open.
	Workspace string `protobuf:"bytes,3,opt" json:"workspace"`
	// Route is the name of the matched route.
	Route string `protobuf:"bytes,4,opt" json:"route"`
	// Model is the base model; empty for a plain service.
	Model string `protobuf:"bytes,5,opt" json:"model"`
	// Adapter is the adapter's name; empty for a plain service.
	Adapter string `protobuf:"bytes,6,opt" json:"adapter"`
	// Version is the adapter version. It is fixed at admission and stays the same
	// when the answer is resumed at another engine.
	Version string `protobuf:"bytes,7,opt" json:"version"`
	// Service is the plain service's name; empty for a model engine.
	Service string `protobuf:"bytes,8,opt" json:"service"`
	// Class is the inferred urgency.
	Class Class `protobuf:"varint,9,opt" json:"class"`
	// ReservedTokens is the number of answer tokens that may be generated under the
	// current reservation.
	ReservedTokens int64 `protobuf:"varint,10,opt" json:"tokens"`
	// MaxTokens is the maximum length of the whole answer in tokens.
	MaxTokens int64 `protobuf:"varint,11,opt" json:"max_tokens"`
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int64 `protobuf:"varint,12,opt" json:"prompt"`
	// DeliveredTokens is the number of answer tokens that the caller already has.
	DeliveredTokens int64 `protobuf:"varint,13,opt" json:"offset"`
	// DeliveredText is the answer text that the caller already has. DeliveredTokens
	// is its length.
	DeliveredText string `protobuf:"bytes,14,opt" json:"delivered"`
	// Idempotent means that the request may safely run more than once.
	Idempotent bool `protobuf:"varint,15,opt" json:"repeat"`
	// AgentIncarnation is the incarnation of the agent that the attempt is
	// addressed to. Other incarnations refuse it.
	AgentIncarnation uint64 `protobuf:"varint,16,opt" json:"agent"`
	// Digest identifies the request's content, for crash attribution and quarantine.
	Digest []byte `protobuf:"bytes,17,opt" json:"digest"`
	// Remaining is the time left until the caller's deadline; 0 means no deadline.
	// It is a duration because the clocks of the VMs differ.
	Remaining time.Duration `protobuf:"varint,18,opt" json:"left"`
	// PrefixHashes holds hashes of the prompt's leading blocks, shortest first.
	PrefixHashes []uint64 `protobuf:"varint,19,rep" json:"prefix"`
	// Method and Path form the request line for a plain service.
	Method string `protobuf:"bytes,20,opt" json:"method"`
	// Path includes the query.
	Path string `protobuf:"bytes,21,opt" json:"path"`
	// Header is the caller's header without API keys.
	Header []Field `protobuf:"bytes,22,rep" json:"header"`
	// Body is the request body for a plain service, or the engine's completion
	// request as JSON. It contains no API keys.
	Body []byte `protobuf:"bytes,23,opt" json:"body"`
	// Suspect means that the request may have crashed an endpoint before. It must
	// not run at the same endpoint as another suspect.
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
