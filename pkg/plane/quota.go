package plane

import "github.com/tanagerspindle/tanagerspindle/pkg/span"

// GrantRequest is an entry's request for tokens; also how unused ones go back.
type GrantRequest struct {
	Entry       string `protobuf:"bytes,1,opt"`
	Incarnation uint64 `protobuf:"varint,2,opt"`
	// Seq makes a resend recognizable: the same Seq gets the same grants.
	Seq           uint64         `protobuf:"varint,3,opt"`
	TokenRequests []TokenRequest `protobuf:"bytes,4,rep"`
}

// TokenRequest is the need of one workspace at one entry.
type TokenRequest struct {
	// Workspace may also be the account of a service's repeats.
	Workspace string `protobuf:"bytes,1,opt"`
	// WantedTokens is how many tokens the entry could use now.
	WantedTokens int64 `protobuf:"varint,2,opt"`
	// MinTokens is the smallest useful grant: what the first waiter needs.
	MinTokens int64 `protobuf:"varint,3,opt"`
	// UnusedTokens is how many granted tokens go back. Lease names their grant.
	UnusedTokens int64 `protobuf:"varint,4,opt"`
	// LeaseID is the grant that Unused belongs to.
	LeaseID uint64 `protobuf:"varint,5,opt"`
	// SpentTokens is how many tokens of Lease have been spent since the last ask
	// that said so. Tokens not known to be spent keep room in the bucket until
	// their Life has passed; nothing accrues in that room.
	SpentTokens int64 `protobuf:"varint,6,opt"`
	// OverdraftTokens is how many tokens the entry has spent without a grant while control
	// did not answer.
	OverdraftTokens int64 `protobuf:"varint,7,opt"`
	// ServiceRequests is how many requests to the service whose repeats Workspace names
	// have come to the entry since it last said so. They are told once: an ask
	// that is sent again does not hold them.
	ServiceRequests int64 `protobuf:"varint,8,opt"`
}

// Check reports the first invalid field.
func (g *GrantRequest) Check() error {
	if g.Entry == "" || g.Incarnation == 0 {
		return &Error{Op: "check grant", Kind: KindInvalid}
	}
	for _, ask := range g.TokenRequests {
		if ask.WantedTokens < 0 || ask.MinTokens < 0 || ask.UnusedTokens < 0 || ask.SpentTokens < 0 || ask.OverdraftTokens < 0 || ask.ServiceRequests < 0 {
			return &Error{Op: "check ask", Kind: KindInvalid}
		}
	}
	return nil
}

// GrantReply answers a GrantAsk.
type GrantReply struct {
	Refused Kind    `protobuf:"bytes,1,opt"`
	Grants  []Grant `protobuf:"bytes,2,rep"`
}

// Grant is a lease of tokens.
type Grant struct {
	Workspace string `protobuf:"bytes,1,opt"`
	// Tokens may be spent until Life has passed since the ask was sent.
	Tokens int64 `protobuf:"varint,2,opt"`
	// LeaseID identifies the grant when unused tokens go back.
	LeaseID  uint64        `protobuf:"varint,3,opt"`
	Lifetime span.Duration `protobuf:"varint,4,opt"`
	// Wait is when Least tokens will probably be there, if they are not.
	Wait span.Duration `protobuf:"varint,5,opt"`
	// UnknownWorkspace says that the workspace does not exist.
	UnknownWorkspace bool `protobuf:"varint,6,opt"`
	// ExceedsBurst says that Least exceeds the burst and can never be granted.
	ExceedsBurst bool `protobuf:"varint,7,opt"`
	// DemandRatio is the fleet's wish for the workspace's tokens over its rate; an
	// entry refuses rather than waits when it is far above 1.
	DemandRatio float64 `protobuf:"fixed64,8,opt"`
}
