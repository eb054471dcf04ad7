package plane

import "github.com/tanagerspindle/tanagerspindle/pkg/span"

// GrantRequest is an entry's request for tokens. It also returns unused tokens.
type GrantRequest struct {
	Entry       string `protobuf:"bytes,1,opt"`
	Incarnation uint64 `protobuf:"varint,2,opt"`
	// Seq identifies a repeated request: the same Seq gets the same grants.
	Seq           uint64         `protobuf:"varint,3,opt"`
	TokenRequests []TokenRequest `protobuf:"bytes,4,rep"`
}

// TokenRequest is the demand for the tokens of one workspace at one entry.
type TokenRequest struct {
	// Workspace is a workspace, or the account of a service's retry budget.
	Workspace string `protobuf:"bytes,1,opt"`
	// WantedTokens is the number of tokens that the entry could use now.
	WantedTokens int64 `protobuf:"varint,2,opt"`
	// MinTokens is the smallest useful grant, which is what the first waiting
	// request needs.
	MinTokens int64 `protobuf:"varint,3,opt"`
	// UnusedTokens is the number of tokens of lease LeaseID that the entry returns.
	UnusedTokens int64 `protobuf:"varint,4,opt"`
	// LeaseID is the grant that UnusedTokens and SpentTokens refer to.
	LeaseID uint64 `protobuf:"varint,5,opt"`
	// SpentTokens is the number of tokens of lease LeaseID that were spent since
	// the previous request that reported them. Tokens not reported as spent keep
	// their room in the bucket until their Lifetime has passed; nothing accrues in
	// that room.
	SpentTokens int64 `protobuf:"varint,6,opt"`
	// OverdraftTokens is the number of tokens that the entry has spent without a
	// grant while control did not respond.
	OverdraftTokens int64 `protobuf:"varint,7,opt"`
	// ServiceRequests is the number of requests that arrived at the entry since its
	// previous report, for the service whose retry account Workspace is. Each
	// request is reported once: a GrantRequest that is sent again does not include
	// them.
	ServiceRequests int64 `protobuf:"varint,8,opt"`
}

// Check reports the first invalid field.
func (g *GrantRequest) Check() error {
	if g.Entry == "" || g.Incarnation == 0 {
		return &Error{Op: "check grant", Kind: KindInvalid}
	}
	for _, request := range g.TokenRequests {
		if request.WantedTokens < 0 || request.MinTokens < 0 || request.UnusedTokens < 0 || request.SpentTokens < 0 || request.OverdraftTokens < 0 || request.ServiceRequests < 0 {
			return &Error{Op: "check token request", Kind: KindInvalid}
		}
	}
	return nil
}

// GrantReply answers a GrantRequest.
type GrantReply struct {
	Refused Kind    `protobuf:"bytes,1,opt"`
	Grants  []Grant `protobuf:"bytes,2,rep"`
}

// Grant is a lease of tokens.
type Grant struct {
	Workspace string `protobuf:"bytes,1,opt"`
	// Tokens may be spent until Lifetime has passed since the request was sent.
	Tokens int64 `protobuf:"varint,2,opt"`
	// LeaseID identifies the grant when its tokens are reported as spent or returned.
	LeaseID  uint64        `protobuf:"varint,3,opt"`
	Lifetime span.Duration `protobuf:"varint,4,opt"`
	// Wait is the expected time until MinTokens are available, if they are not
	// available now.
	Wait span.Duration `protobuf:"varint,5,opt"`
	// UnknownWorkspace means that the workspace does not exist.
	UnknownWorkspace bool `protobuf:"varint,6,opt"`
	// ExceedsBurst means that MinTokens exceeds the burst and can never be granted.
	ExceedsBurst bool `protobuf:"varint,7,opt"`
	// DemandRatio is the fleet's demand for the workspace's tokens divided by its
	// rate. If it is far above 1, an entry refuses requests instead of letting them
	// wait.
	DemandRatio float64 `protobuf:"fixed64,8,opt"`
	// FreeShare is the part of the account's burst that no entry holds after this
	// grant. Hedges are sent only while it is large. A replica that does not state it
	// leaves it at 0.
	FreeShare float64 `protobuf:"fixed64,9,opt"`
	// Recovering means that the leader has led for a short time only, so that a lack of
	// tokens may come from the time without a leader. It is set with a quota window only.
	Recovering bool `protobuf:"varint,10,opt"`
}
