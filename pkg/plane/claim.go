package plane

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Verb is the operation of a ClaimRequest.
type Verb string

// The verbs of a claim.
const (
	// VerbClaim takes the claim unless another attempt has it.
	VerbClaim Verb = "claim"
	// VerbDone records the outcome.
	VerbDone Verb = "done"
	// VerbUnknown records that the outcome cannot be determined.
	VerbUnknown Verb = "unknown"
	// VerbVoid gives the claim up, because the attempt has certainly not run.
	VerbVoid Verb = "void"
	// VerbRead reads the claim without changing it.
	VerbRead Verb = "ask"
)

// ClaimRequest is one operation on the claim of a request that runs at most once.
type ClaimRequest struct {
	Verb Verb `protobuf:"bytes,1,opt"`
	// Key is the digest of workspace, route and idempotency key, or of the whole request.
	Key []byte `protobuf:"bytes,2,opt"`
	// Attempt is the ID of the attempt that the claim is for. Every verb except
	// VerbRead changes the claim only if it belongs to this attempt.
	Attempt []byte `protobuf:"bytes,3,opt"`
	// Entry is the claimant. Agent and Incarnation identify the agent that may run
	// the attempt.
	Entry       string `protobuf:"bytes,4,opt"`
	Agent       string `protobuf:"bytes,5,opt"`
	Incarnation uint64 `protobuf:"varint,6,opt"`
	// Window is how long the claim is kept, in committed time.
	Window span.Duration `protobuf:"varint,7,opt"`
	// Outcome is set for VerbDone.
	Outcome *call.Outcome `protobuf:"bytes,8,opt"`
	// ContentDigest is the digest of the request's content. It detects a key that
	// is reused for another request.
	ContentDigest []byte `protobuf:"bytes,9,opt"`
	// Workspace and Route are shown to operators and used to bound the memory for claims.
	Workspace string `protobuf:"bytes,10,opt"`
	Route     string `protobuf:"bytes,11,opt"`
}

// ClaimState is the state of a claim.
type ClaimState string

// The states of a claim.
const (
	// ClaimNone means that the claim is free.
	ClaimNone ClaimState = "none"
	// ClaimOwned means that the requesting attempt has the claim, whether it got the
	// claim now or earlier.
	ClaimOwned ClaimState = "owned"
	// ClaimTaken means that another attempt has the claim and may be running.
	ClaimTaken ClaimState = "taken"
	// ClaimDone means that the outcome is recorded.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that the outcome will never be known.
	ClaimUnknown ClaimState = "unknown"
	// ClaimConflict means that the key was used for a request with other content.
	ClaimConflict ClaimState = "mixed"
)

// ClaimReply answers a ClaimRequest once the operation is committed.
type ClaimReply struct {
	// Refused is KindNone if the operation is committed. After any other kind it
	// may or may not be in the log, and the request should be sent again.
	Refused Kind       `protobuf:"bytes,1,opt"`
	State   ClaimState `protobuf:"bytes,2,opt"`
	// Attempt, Agent and Incarnation describe the present claim.
	Attempt     []byte        `protobuf:"bytes,3,opt"`
	Agent       string        `protobuf:"bytes,4,opt"`
	Incarnation uint64        `protobuf:"varint,5,opt"`
	Outcome     *call.Outcome `protobuf:"bytes,6,opt"`
}
