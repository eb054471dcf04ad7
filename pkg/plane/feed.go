// Package plane holds the messages between daemons and control.
package plane

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Method names of the streams that daemons and replicas open.
const (
	// MethodFeed is a long stream: Hello, then Beats from the daemon and
	// Updates from control.
	MethodFeed = "feed"
	// MethodGrant exchanges one GrantAsk for one GrantReply, at the leader.
	MethodGrant = "grant"
	// MethodClaim exchanges one ClaimAsk for one ClaimReply, at the leader.
	MethodClaim = "claim"
	// MethodPermit is a long stream at the leader: PermitAsks from an agent,
	// Permits from control.
	MethodPermit = "permit"
	// MethodSubmit exchanges one Submit for one Submitted, at the leader.
	MethodSubmit = "submit"
	// MethodStatus exchanges one StatusAsk for one Status.
	MethodStatus = "status"
	// MethodAdmin exchanges one AdminAsk for one AdminReply, at the leader.
	MethodAdmin = "admin"
	// MethodFetch exchanges one FetchAsk for one Fetched: the committed
	// configuration.
	MethodFetch = "fetch"
	// MethodAttempt is a stream of one attempt between entry and agent.
	MethodAttempt = "attempt"
	// MethodProbe exchanges one call.Probe for one call.Verdict at an agent.
	MethodProbe = "probe"
)

// Kind classifies refusals by control.
type Kind string

// The kinds of refusal.
const (
	KindNone     Kind = ""
	KindConflict Kind = "conflict"
	KindInvalid  Kind = "invalid"
	KindNoLeader Kind = "no-leader"
	KindTimeout  Kind = "timeout"
	KindMissing  Kind = "missing"
	KindFull     Kind = "full"
	KindUnproven Kind = "unproven"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Hello opens a daemon's feed.
type Hello struct {
	// Role is RoleEntry, RoleAgent or RoleKeeper.
	Role string `protobuf:"bytes,1,opt"`
	// Name is the daemon's, one for each VM.
	Name string `protobuf:"bytes,2,opt"`
	// Incarnation is new at each start of the process.
	Incarnation uint64 `protobuf:"varint,3,opt"`
	DataCentre  string `protobuf:"bytes,4,opt"`
	// ConfigNumber is the configuration that the daemon has; 0 for none.
	ConfigNumber uint64 `protobuf:"varint,5,opt"`
	// Vector is what the daemon has of the roster.
	Vector []roster.VectorEntry `protobuf:"bytes,6,rep"`
	// EnforcesFencing says that the agent's engine refuses orders with an old fencing
	// number.
	EnforcesFencing bool `protobuf:"varint,7,opt"`
	// EndpointsRevision is the revision of endpoints and releases that the daemon has.
	EndpointsRevision uint64 `protobuf:"varint,8,opt"`
}

// Daemon roles.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
	// RoleKeeper is an agent of an endpoint that announces itself to control.
	// It follows the configuration and the releases.
	RoleKeeper = "keeper"
)

// Check reports the first invalid field.
func (h *Hello) Check() error {
	if h.Role != RoleEntry && h.Role != RoleAgent && h.Role != RoleKeeper {
		return &Error{Op: "check role", Kind: KindInvalid}
	}
	if h.Name == "" || h.Incarnation == 0 {
		return &Error{Op: "check daemon", Kind: KindInvalid}
	}
	return nil
}

// Heartbeat is a daemon's heartbeat, once a second and at once after a change.
type Heartbeat struct {
	// Seq counts the beats of the stream; the Update that answers it repeats
	// it, so that the daemon counts its lease from when it sent the beat.
	Seq uint64 `protobuf:"varint,1,opt"`
	// ConfigNumber is the configuration in force at the daemon.
	ConfigNumber uint64 `protobuf:"varint,2,opt"`
	// Record is an agent's report, when it changed.
	Record *roster.Record `protobuf:"bytes,3,opt"`
	// BansRevision is the quarantine revision in force at the daemon.
	BansRevision uint64 `protobuf:"varint,4,opt"`
	// BurnCounts holds an entry's counts of good and bad requests since its last
	// beat.
	BurnCounts []BurnCount `protobuf:"bytes,5,rep"`
	// Departing says that the daemon ends and gives its lease back.
	Departing bool `protobuf:"varint,6,opt"`
	// Crashes reports requests that were at an endpoint when it died.
	Crashes []Crash `protobuf:"bytes,7,rep"`
	// ClearedSuspects holds digests of suspected requests that ended well at the
	// agent's endpoint.
	ClearedSuspects [][]byte `protobuf:"bytes,8,rep"`
}

// BurnCount counts the requests of one goal, workspace and route.
type BurnCount struct {
	Workspace string `protobuf:"bytes,1,opt" json:"workspace"`
	Route     string `protobuf:"bytes,2,opt" json:"route"`
	// Good met the goal; Bad did not.
	Good int64 `protobuf:"varint,3,opt" json:"good"`
	Bad  int64 `protobuf:"varint,4,opt" json:"bad"`
}

// CrashSource names the endpoint of a crash that an entry reports.
func CrashSource(entry, endpoint string) string { return entry + "/" + endpoint }

// Crash names the requests that an endpoint ran when it died.
type Crash struct {
	// Agent and Incarnation say which endpoint and Count which of its deaths,
	// so that a report sent twice counts once.
	Agent       string `protobuf:"bytes,1,opt" json:"agent"`
	Incarnation uint64 `protobuf:"varint,2,opt" json:"incarnation"`
	Count       uint64 `protobuf:"varint,3,opt" json:"count"`
	// Digests are those of the requests at the endpoint.
	Digests [][]byte `protobuf:"bytes,4,rep" json:"digests"`
}

// Update answers a beat, or carries news without one (Seq 0).
type Update struct {
	// Seq is the beat answered; the lease is renewed only then.
	Seq uint64 `protobuf:"varint,1,opt"`
	// Lease is how long the daemon may act on its configuration, counted from
	// when it sent beat Seq. Zero renews nothing.
	Lease span.Duration `protobuf:"varint,2,opt"`
	// ConfigNumber is the newest committed configuration known to be.
	ConfigNumber uint64 `protobuf:"varint,3,opt"`
	// Config is nil when the daemon is up to date.
	Config *conf.Delta `protobuf:"bytes,4,opt"`
	// Roster is nil when nothing changed.
	Roster *roster.Delta `protobuf:"bytes,5,opt"`
	// Fence is an agent's fencing number; zero before it may order its engine.
	Fence uint64 `protobuf:"varint,6,opt"`
	// Bans is the whole quarantine, when BansRevision differs from the beat's.
	Bans         []Ban  `protobuf:"bytes,7,rep"`
	BansRevision uint64 `protobuf:"varint,8,opt"`
	// Superseded says that a later incarnation of the daemon exists; this one
	// must stop.
	Superseded bool `protobuf:"varint,9,opt"`
	// LoadsPerSecond is the fleet's load budget in loads per second; Agents the number
	// of engines it is shared by. An agent cut off from the coordinator uses
	// LoadsPerSecond/Agents.
	LoadsPerSecond float64 `protobuf:"fixed64,10,opt"`
	EngineCount    int32   `protobuf:"varint,11,opt"`
	// Endpoints and Releases are those that changed up to revision Changes;
	// Changes is 0 when the daemon has them all.
	Endpoints         []advert.Record `protobuf:"bytes,12,rep"`
	Releases          []Release       `protobuf:"bytes,13,rep"`
	EndpointsRevision uint64          `protobuf:"varint,14,opt"`
	// Replicas are the addresses of control, when they have changed.
	Replicas []string `protobuf:"bytes,15,rep"`
	// EntryCount is the number of entries that control hears of.
	EntryCount int32 `protobuf:"varint,16,opt"`
}

// Release names the version of an adapter that new requests run on.
type Release struct {
	Model   string `protobuf:"bytes,1,opt" json:"model"`
	Adapter string `protobuf:"bytes,2,opt" json:"adapter"`
	// Version grows with each release of one adapter.
	Version int64 `protobuf:"varint,3,opt" json:"version"`
	// Revision is the count of changes at which it was released.
	Revision uint64 `protobuf:"varint,4,opt" json:"revision"`
}

// Check reports the first invalid field.
func (r *Release) Check() error {
	if r.Model == "" || r.Version < 1 {
		return &Error{Op: "check release", Kind: KindInvalid}
	}
	return nil
}

// Ban is a quarantined or suspected request.
type Ban struct {
	// Digest is the request's content digest.
	Digest []byte `protobuf:"bytes,1,opt" json:"digest"`
	// Suspect says that the request may still run, apart from other suspects.
	Suspect bool `protobuf:"varint,2,opt" json:"suspect"`
	// Crashes is the number of endpoint deaths it was present at, and Alone
	// how many of them it was the only suspect of.
	Crashes            int32 `protobuf:"varint,3,opt" json:"deaths"`
	SoleSuspectCrashes int32 `protobuf:"varint,4,opt" json:"alone"`
	// UntilNanos is when the ban ends, in nanoseconds of committed time.
	UntilNanos int64 `protobuf:"varint,5,opt" json:"until"`
	// Remaining is the time until then when the message was sent.
	Remaining span.Duration `protobuf:"varint,6,opt" json:"left"`
}
