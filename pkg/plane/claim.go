package plane

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Verb is what a ClaimAsk wants.
type Verb string

// The verbs of a claim.
const (
	// VerbClaim takes the claim if nobody has it.
	VerbClaim Verb = "claim"
	// VerbDone records the outcome.
	VerbDone Verb = "done"
	// VerbUnknown records that the outcome cannot be known.
	VerbUnknown Verb = "unknown"
	// VerbVoid gives the claim up: the attempt is proved not to have run.
	VerbVoid Verb = "void"
	// VerbRead only reads.
	VerbRead Verb = "ask"
)

// ClaimRequest is one step of a request that runs at most once.
type ClaimRequest struct {
	Verb Verb `protobuf:"bytes,1,opt"`
	// Key is the digest of workspace, route and idempotency key, or of the
	// whole request.
	Key []byte `protobuf:"bytes,2,opt"`
	// Attempt is the ID of the attempt that the claim is for; every verb but
	// VerbAsk changes only the claim of this attempt.
	Attempt []byte `protobuf:"bytes,3,opt"`
	// Entry is the claimant. Agent and Incarnation say who may run it.
	Entry       string `protobuf:"bytes,4,opt"`
	Agent       string `protobuf:"bytes,5,opt"`
	Incarnation uint64 `protobuf:"varint,6,opt"`
	// Window is how long the claim is kept in committed time.
	Window span.Duration `protobuf:"varint,7,opt"`
	// Outcome belongs to VerbDone.
	Outcome *call.Outcome `protobuf:"bytes,8,opt"`
	// ContentDigest is the digest of the request's content, to notice a key that is
	// used again for another request.
	ContentDigest []byte `protobuf:"bytes,9,opt"`
	// Workspace and Route are for operators and for the memory bound.
	Workspace string `protobuf:"bytes,10,opt"`
	Route     string `protobuf:"bytes,11,opt"`
}

// ClaimState is the state of a claim.
type ClaimState string

// The states of a claim.
const (
	// ClaimNone says that nobody has the claim.
	ClaimNone ClaimState = "none"
	// ClaimOwned says that the asking attempt has just got the claim, or had
	// it already.
	ClaimOwned ClaimState = "owned"
	// ClaimTaken says that another attempt has it and may be running.
	ClaimTaken ClaimState = "taken"
	// ClaimDone says that the outcome is recorded.
	ClaimDone ClaimState = "done"
	// ClaimUnknown says that the outcome will never be known.
	ClaimUnknown ClaimState = "unknown"
	// ClaimConflict says that the key was used for a request of other content.
	ClaimConflict ClaimState = "mixed"
)

// ClaimReply answers a ClaimAsk once the step is committed.
type ClaimReply struct {
	// Refused is KindNone when the step is committed. After any other kind
	// the step may or may not be in the log: ask again.
	Refused Kind       `protobuf:"bytes,1,opt"`
	State   ClaimState `protobuf:"bytes,2,opt"`
	// Attempt, Agent and Incarnation describe the claim as it stands.
	Attempt     []byte        `protobuf:"bytes,3,opt"`
	Agent       string        `protobuf:"bytes,4,opt"`
	Incarnation uint64        `protobuf:"varint,5,opt"`
	Outcome     *call.Outcome `protobuf:"bytes,6,opt"`
}
