package plane

import "github.com/tanagerspindle/tanagerspindle/pkg/span"

// GrantAsk is an entry's request for tokens; also how unused ones go back.
type GrantAsk struct {
	Entry       string `protobuf:"bytes,1,opt"`
	Incarnation uint64 `protobuf:"varint,2,opt"`
	// Seq makes a resend recognizable: the same Seq gets the same grants.
	Seq  uint64 `protobuf:"varint,3,opt"`
	Asks []Ask  `protobuf:"bytes,4,rep"`
}

// Ask is the need of one workspace at one entry.
type Ask struct {
	// Workspace may also be the account of a service's repeats.
	Workspace string `protobuf:"bytes,1,opt"`
	// Want is how many tokens the entry could use now.
	Want int64 `protobuf:"varint,2,opt"`
	// Least is the smallest useful grant: what the first waiter needs.
	Least int64 `protobuf:"varint,3,opt"`
	// Unused is how many granted tokens go back. Lease names their grant.
	Unused int64 `protobuf:"varint,4,opt"`
	// Lease is the grant that Unused belongs to.
	Lease uint64 `protobuf:"varint,5,opt"`
	// Spent is how many tokens of Lease have been spent since the last ask
	// that said so. Tokens not known to be spent keep room in the bucket until
	// their Life has passed; nothing accrues in that room.
	Spent int64 `protobuf:"varint,6,opt"`
	// Owed is how many tokens the entry has spent without a grant while control
	// did not answer.
	Owed int64 `protobuf:"varint,7,opt"`
	// Requests is how many requests to the service whose repeats Workspace names
	// have come to the entry since it last said so. They are told once: an ask
	// that is sent again does not hold them.
	Requests int64 `protobuf:"varint,8,opt"`
}

// Check reports the first invalid field.
func (g *GrantAsk) Check() error {
	if g.Entry == "" || g.Incarnation == 0 {
		return &Error{Op: "check grant", Kind: KindInvalid}
	}
	for _, ask := range g.Asks {
		if ask.Want < 0 || ask.Least < 0 || ask.Unused < 0 || ask.Spent < 0 || ask.Owed < 0 || ask.Requests < 0 {
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
	// Lease identifies the grant when unused tokens go back.
	Lease uint64        `protobuf:"varint,3,opt"`
	Life  span.Duration `protobuf:"varint,4,opt"`
	// Wait is when Least tokens will probably be there, if they are not.
	Wait span.Duration `protobuf:"varint,5,opt"`
	// Missing says that the workspace does not exist.
	Missing bool `protobuf:"varint,6,opt"`
	// Over says that Least exceeds the burst and can never be granted.
	Over bool `protobuf:"varint,7,opt"`
	// Demand is the fleet's wish for the workspace's tokens over its rate; an
	// entry refuses rather than waits when it is far above 1.
	Demand float64 `protobuf:"fixed64,8,opt"`
}
