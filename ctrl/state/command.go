package state

import (
	"github.com/tanagerspindle/tanagerspindle/ctrl/bans"
	"github.com/tanagerspindle/tanagerspindle/ctrl/ledger"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Command is one entry of the replicated log. Each field that is set is
// applied, in the order below. An empty command only moves committed time on.
type Command struct {
	// Config proposes the next configuration.
	Config *Proposal `protobuf:"bytes,1,opt"`
	// Claim is one step of a request that runs at most once.
	Claim *plane.ClaimRequest `protobuf:"bytes,2,opt"`
	// Reservations move the token reservations of active workspaces. They take
	// effect only if they are appended in HorizonTerm: what a former leader
	// drew up knows nothing of its successor's grants. Zero is any term.
	Reservations    []Reservation `protobuf:"bytes,3,rep"`
	ReservationTerm uint64        `protobuf:"varint,13,opt"`
	// Enrolments gives fencing numbers to agent incarnations.
	Enrolments []AgentIncarnation `protobuf:"bytes,4,rep"`
	// EndedAgents names agent incarnations that said goodbye.
	EndedAgents []AgentIncarnation `protobuf:"bytes,5,rep"`
	// Crashes names requests that were at endpoints when they died.
	Crashes []plane.Crash `protobuf:"bytes,6,rep"`
	// ClearedDigests holds digests of suspects that ended well.
	ClearedDigests [][]byte `protobuf:"bytes,7,rep"`
	// LiftDigest is a digest whose quarantine an operator ends.
	LiftDigest []byte `protobuf:"bytes,8,opt"`
	// FullConfig is a configuration that takes the place of any with a lower
	// number.
	FullConfig *conf.Config `protobuf:"bytes,9,opt"`
	// Announcements are announcements of endpoints, Leaves those of their ends.
	Announcements []advert.Record `protobuf:"bytes,10,rep"`
	Departures    []Departure     `protobuf:"bytes,11,rep"`
	// Release names a version of an adapter that new requests run on.
	Release *plane.Release `protobuf:"bytes,12,opt"`
}

// Departure says that an endpoint has left.
type Departure struct {
	Name string `protobuf:"bytes,1,opt"`
	// StartedMillis tells which process of the name; 0 does not.
	StartedMillis int64 `protobuf:"varint,2,opt"`
}

// Proposal is a configuration that wants to be the next one.
type Proposal struct {
	// Sum is the digest of the whole configuration.
	Sum string `protobuf:"bytes,1,opt"`
	// Author is who submitted it.
	Author string `protobuf:"bytes,2,opt"`
	// Delta leads from the configuration that the proposal replaces.
	Delta *conf.Delta `protobuf:"bytes,3,opt"`
}

// Reservation is the state of one workspace's token bucket as if every token
// reserved by the leader had been granted.
type Reservation struct {
	Workspace string `protobuf:"bytes,1,opt"`
	// Level is what is left in the bucket, in tokens.
	Level int64 `protobuf:"varint,2,opt"`
	// Held is the number of tokens reserved or granted that may not be spent
	// yet.
	Held int64 `protobuf:"varint,3,opt"`
	// EndsAfter is how long after the proposal all that is held has been spent or
	// has ended.
	EndsAfter span.Duration `protobuf:"varint,4,opt"`
}

// AgentIncarnation names one incarnation of an agent.
type AgentIncarnation struct {
	Agent       string `protobuf:"bytes,1,opt"`
	Incarnation uint64 `protobuf:"varint,2,opt"`
}

// Result is what a command gave.
type Result struct {
	// Refused is KindInvalid when the command could not be decoded.
	Refused plane.Kind         `protobuf:"bytes,1,opt"`
	Config  *plane.SubmitReply `protobuf:"bytes,2,opt"`
	Claim   *plane.ClaimReply  `protobuf:"bytes,3,opt"`
	// Fences answers Enrols in their order; 0 says that a later incarnation
	// exists.
	Fences []uint64 `protobuf:"varint,4,rep"`
	// Lifted says that Lift named a ban.
	Lifted bool `protobuf:"varint,5,opt"`
}

// ConfigRecord is one number of the configuration's history.
type ConfigRecord struct {
	Number uint64 `protobuf:"varint,1,opt"`
	Sum    string `protobuf:"bytes,2,opt"`
	Author string `protobuf:"bytes,3,opt"`
}

// Fence is the newest incarnation of an agent and its fencing number.
type Fence struct {
	Agent       string `protobuf:"bytes,1,opt"`
	Incarnation uint64 `protobuf:"varint,2,opt"`
	// Number grows with each new incarnation of any agent.
	Number uint64 `protobuf:"varint,3,opt"`
	// Former holds the last incarnations before it, oldest first.
	Former []uint64 `protobuf:"varint,4,rep"`
	// Ended says that the incarnation said goodbye.
	Ended bool `protobuf:"varint,5,opt"`
}

// image is a snapshot of the machine.
type image struct {
	Time         int64          `protobuf:"varint,1,opt"`
	Config       *conf.Config   `protobuf:"bytes,2,opt"`
	History      []ConfigRecord `protobuf:"bytes,3,rep"`
	Claims       []ledger.Claim `protobuf:"bytes,4,rep"`
	Reservations []Reservation  `protobuf:"bytes,5,rep"`
	Fences       []Fence        `protobuf:"bytes,6,rep"`
	LastFence    uint64         `protobuf:"varint,7,opt"`
	Bans         *bans.Table    `protobuf:"bytes,8,opt"`
	// EndpointsRevision counts the changes of endpoints and releases.
	EndpointsRevision uint64          `protobuf:"varint,9,opt"`
	Endpoints         []advert.Record `protobuf:"bytes,10,rep"`
	Releases          []plane.Release `protobuf:"bytes,11,rep"`
}
