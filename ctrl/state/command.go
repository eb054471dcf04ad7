package state

import (
	"github.com/tanagerspindle/tanagerspindle/ctrl/bans"
	"github.com/tanagerspindle/tanagerspindle/ctrl/ledger"
	"github.com/tanagerspindle/tanagerspindle/ctrl/poison"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Command is one entry of the replicated log. The fields that are set are applied
// in the order below. An empty command only advances the committed time.
type Command struct {
	// Config proposes the next configuration as a delta.
	Config *Proposal `protobuf:"bytes,1,opt"`
	// Claim is one claim operation of a request that runs at most once.
	Claim *plane.ClaimRequest `protobuf:"bytes,2,opt"`
	// Reservations replace the token reservations of active workspaces. They
	// take effect only if they are appended in ReservationTerm, because those of
	// a former leader do not include its successor's grants. Zero allows any
	// term.
	Reservations    []Reservation `protobuf:"bytes,3,rep"`
	ReservationTerm uint64        `protobuf:"varint,13,opt"`
	// Enrolments are agent incarnations that need a fencing number.
	Enrolments []AgentIncarnation `protobuf:"bytes,4,rep"`
	// EndedAgents are agent incarnations that reported their own stop.
	EndedAgents []AgentIncarnation `protobuf:"bytes,5,rep"`
	// Crashes lists the requests that endpoints were running when they crashed.
	Crashes []plane.Crash `protobuf:"bytes,6,rep"`
	// ClearedDigests holds digests of suspect requests that completed without a
	// crash.
	ClearedDigests [][]byte `protobuf:"bytes,7,rep"`
	// LiftDigest is the digest of a request whose quarantine an operator ends.
	LiftDigest []byte `protobuf:"bytes,8,opt"`
	// FullConfig replaces a configuration that has a lower number.
	FullConfig *conf.Config `protobuf:"bytes,9,opt"`
	// Announcements describe endpoints. Departures name endpoints that have left.
	Announcements []advert.Record `protobuf:"bytes,10,rep"`
	Departures    []Departure     `protobuf:"bytes,11,rep"`
	// Release is the version of an adapter that new requests run on.
	Release *plane.Release `protobuf:"bytes,12,opt"`
	// AgedRevision states that all changes of endpoints up to this revision were made at
	// least origin.Retention ago.
	AgedRevision uint64 `protobuf:"varint,14,opt"`
}

// Departure reports that an endpoint has left.
type Departure struct {
	Name string `protobuf:"bytes,1,opt"`
	// StartedMillis is when the process that left had started. A process of that
	// name that started later stays; 0 removes any.
	StartedMillis int64 `protobuf:"varint,2,opt"`
}

// Proposal is a submission of the next configuration.
type Proposal struct {
	// Sum is the digest of the complete configuration.
	Sum string `protobuf:"bytes,1,opt"`
	// Author names the submitter.
	Author string `protobuf:"bytes,2,opt"`
	// Delta is the difference from the configuration that the proposal replaces.
	Delta *conf.Delta `protobuf:"bytes,3,opt"`
}

// Reservation is the state of one workspace's token bucket under the assumption
// that every token reserved by the leader has been granted. Pools of the retry
// budget are stored as reservations too, under the name of their account.
type Reservation struct {
	Workspace string `protobuf:"bytes,1,opt"`
	// Level is the number of tokens remaining in the bucket.
	Level int64 `protobuf:"varint,2,opt"`
	// Held is the number of tokens that are reserved or granted and possibly
	// still unspent.
	Held int64 `protobuf:"varint,3,opt"`
	// EndsAfter is the time from the proposal until all held tokens are spent or
	// expired.
	EndsAfter span.Duration `protobuf:"varint,4,opt"`
}

// AgentIncarnation identifies one incarnation of an agent.
type AgentIncarnation struct {
	Agent       string `protobuf:"bytes,1,opt"`
	Incarnation uint64 `protobuf:"varint,2,opt"`
}

// Result is the outcome of an applied command.
type Result struct {
	// Refused is KindInvalid if the command could not be decoded, and
	// KindNoLeader if its reservations belong to another term.
	Refused plane.Kind         `protobuf:"bytes,1,opt"`
	Config  *plane.SubmitReply `protobuf:"bytes,2,opt"`
	Claim   *plane.ClaimReply  `protobuf:"bytes,3,opt"`
	// Fences are the fencing numbers for Enrolments, in their order; 0 means that
	// a later incarnation exists.
	Fences []uint64 `protobuf:"varint,4,rep"`
	// Lifted reports whether LiftDigest matched a ban.
	Lifted bool `protobuf:"varint,5,opt"`
}

// ConfigRecord is the record of one configuration number in the history.
type ConfigRecord struct {
	Number uint64 `protobuf:"varint,1,opt"`
	Sum    string `protobuf:"bytes,2,opt"`
	Author string `protobuf:"bytes,3,opt"`
}

// Fence is the newest incarnation of an agent and its fencing number.
type Fence struct {
	Agent       string `protobuf:"bytes,1,opt"`
	Incarnation uint64 `protobuf:"varint,2,opt"`
	// Number increases with each new incarnation of any agent.
	Number uint64 `protobuf:"varint,3,opt"`
	// Former holds the most recent earlier incarnations, oldest first.
	Former []uint64 `protobuf:"varint,4,rep"`
	// Ended reports whether the incarnation reported its own stop.
	Ended bool `protobuf:"varint,5,opt"`
}

// image is the stored form of a machine snapshot.
type image struct {
	Time         int64          `protobuf:"varint,1,opt"`
	Config       *conf.Config   `protobuf:"bytes,2,opt"`
	History      []ConfigRecord `protobuf:"bytes,3,rep"`
	Claims       []ledger.Claim `protobuf:"bytes,4,rep"`
	Reservations []Reservation  `protobuf:"bytes,5,rep"`
	Fences       []Fence        `protobuf:"bytes,6,rep"`
	LastFence    uint64         `protobuf:"varint,7,opt"`
	Bans         *bans.Table    `protobuf:"bytes,8,opt"`
	// EndpointsRevision counts the changes to endpoints and releases.
	EndpointsRevision uint64          `protobuf:"varint,9,opt"`
	Endpoints         []advert.Record `protobuf:"bytes,10,rep"`
	Releases          []plane.Release `protobuf:"bytes,11,rep"`
	PromptParts       *poison.Table   `protobuf:"bytes,12,opt"`
	AgedRevision      uint64          `protobuf:"varint,13,opt"`
	// DeferredEndpoints are announcements for services that are not configured.
	DeferredEndpoints []advert.Record `protobuf:"bytes,14,rep"`
}
