// Package plane defines the messages of the control plane, between daemons,
// operators and control.
package plane

import (
	"bytes"
	"math"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Method names of the streams that daemons and replicas open.
const (
	// MethodFeed is a long-lived stream: a Hello, then Heartbeat messages from the
	// daemon and Update messages from control.
	MethodFeed = "feed"
	// MethodGrant exchanges a GrantRequest for a GrantReply, at the leader.
	MethodGrant = "grant"
	// MethodClaim exchanges a ClaimRequest for a ClaimReply, at the leader.
	MethodClaim = "claim"
	// MethodPermit is a long-lived stream at the leader: PermitRequest messages from
	// an agent and Permit messages from control.
	MethodPermit = "permit"
	// MethodSubmit exchanges a SubmitRequest for a SubmitReply, at the leader.
	MethodSubmit = "submit"
	// MethodStatus exchanges a StatusRequest for a Status.
	MethodStatus = "status"
	// MethodAdmin exchanges an AdminRequest for an AdminReply, at the leader.
	MethodAdmin = "admin"
	// MethodFetch exchanges a FetchRequest for a FetchReply with the committed
	// configuration.
	MethodFetch = "fetch"
	// MethodAttempt is the stream of one attempt between an entry and an agent.
	MethodAttempt = "attempt"
	// MethodProbe exchanges a call.Probe for a call.ProbeReply at an agent.
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

// Hello is the first message of a daemon's feed.
type Hello struct {
	// Role is RoleEntry, RoleAgent or RoleKeeper.
	Role string `protobuf:"bytes,1,opt"`
	// Name is the daemon's name, unique among the daemons of its role.
	Name string `protobuf:"bytes,2,opt"`
	// Incarnation is new at each start of the process.
	Incarnation uint64 `protobuf:"varint,3,opt"`
	DataCentre  string `protobuf:"bytes,4,opt"`
	// ConfigNumber is the number of the daemon's configuration; 0 if it has none.
	ConfigNumber uint64 `protobuf:"varint,5,opt"`
	// Vector is the version vector of the daemon's roster.
	Vector []roster.VectorEntry `protobuf:"bytes,6,rep"`
	// EnforcesFencing means that the agent's engine refuses orders with an old
	// fencing number.
	EnforcesFencing bool `protobuf:"varint,7,opt"`
	// EndpointsRevision is the revision of the endpoints and releases that the daemon has.
	EndpointsRevision uint64 `protobuf:"varint,8,opt"`
}

// Daemon roles.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
	// RoleKeeper is an agent whose endpoint announces itself to control. It follows
	// the configuration and the releases.
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

// Heartbeat is sent by a daemon once a second, and immediately after a change.
type Heartbeat struct {
	// Seq numbers the heartbeats of the stream. The Update that answers a heartbeat
	// repeats its number, so that the daemon counts its lease from when it sent
	// that heartbeat.
	Seq uint64 `protobuf:"varint,1,opt"`
	// ConfigNumber is the number of the configuration in force at the daemon.
	ConfigNumber uint64 `protobuf:"varint,2,opt"`
	// Record is an agent's report, if it has changed.
	Record *roster.Record `protobuf:"bytes,3,opt"`
	// BansRevision is the revision of the quarantine in force at the daemon.
	BansRevision uint64 `protobuf:"varint,4,opt"`
	// BurnCounts holds an entry's counts of good and bad requests since its
	// previous heartbeat.
	BurnCounts []BurnCount `protobuf:"bytes,5,rep"`
	// Departing means that the daemon ends and gives its lease back.
	Departing bool `protobuf:"varint,6,opt"`
	// Crashes reports the requests that were running at endpoints when these crashed.
	Crashes []Crash `protobuf:"bytes,7,rep"`
	// ClearedSuspects holds the digests of suspected requests that completed
	// without a crash of the endpoint.
	ClearedSuspects [][]byte `protobuf:"bytes,8,rep"`
	// Limits holds what endpoints lately said of their request limits to an entry.
	Limits []advert.LimitReport `protobuf:"bytes,9,rep"`
}

// BurnCount counts the requests for the objective of a workspace and route.
type BurnCount struct {
	Workspace string `protobuf:"bytes,1,opt" json:"workspace"`
	Route     string `protobuf:"bytes,2,opt" json:"route"`
	// Good requests met the objective; Bad ones missed it.
	Good int64 `protobuf:"varint,3,opt" json:"good"`
	Bad  int64 `protobuf:"varint,4,opt" json:"bad"`
}

// CrashSource returns Crash.Source for the crash of an endpoint that an entry reports.
func CrashSource(entry, endpoint string) string { return entry + "/" + endpoint }

// Crash reports the requests that an endpoint was running when it crashed.
type Crash struct {
	// Source is the name of the agent that reports the crash of its endpoint, or the
	// CrashSource of an entry's report. Source and Incarnation identify the endpoint,
	// and Count numbers its crashes, so that a report that is sent twice counts once.
	Source      string `protobuf:"bytes,1,opt" json:"agent"`
	Incarnation uint64 `protobuf:"varint,2,opt" json:"incarnation"`
	Count       uint64 `protobuf:"varint,3,opt" json:"count"`
	// Digests are the content digests of the requests at the endpoint.
	Digests [][]byte `protobuf:"bytes,4,rep" json:"digests"`
	// Endpoint names the process that crashed, of which Incarnation is the start. Parts
	// are the prompts' parts of its requests, with the contents of those that it had begun
	// to answer, without what it lately answered. Both are reported by entries only.
	Endpoint string      `protobuf:"bytes,5,opt" json:"endpoint,omitempty"`
	Parts    []CrashPart `protobuf:"bytes,6,rep" json:"parts,omitempty"`
}

// ContentPosition is the position of a request's whole content among the parts of its
// prompt.
const ContentPosition = math.MaxInt32

// AddCrashPart returns the parts with one more, or with its position raised and Begun
// set if it is among them already.
func AddCrashPart(parts []CrashPart, part CrashPart) []CrashPart {
	for i := range parts {
		if bytes.Equal(parts[i].Digest, part.Digest) {
			parts[i].Position = max(parts[i].Position, part.Position)
			parts[i].Begun = parts[i].Begun || part.Begun
			return parts
		}
	}
	return append(parts, part)
}

// CrashPart is a part of a prompt that may have crashed an endpoint.
type CrashPart struct {
	// Digest identifies the part and the service.
	Digest []byte `protobuf:"bytes,1,opt" json:"digest"`
	// Position is the part's largest index in a prompt, from 0.
	Position int32 `protobuf:"varint,2,opt" json:"position"`
	// Begun means that the endpoint had begun to answer a request with the part. Only a
	// complete answer then shows that the part is sound.
	Begun bool `protobuf:"varint,3,opt" json:"begun,omitempty"`
}

// Update answers a heartbeat, or carries changes at other times (Seq 0).
type Update struct {
	// Seq is the number of the heartbeat that is answered. Only such an update
	// renews the lease.
	Seq uint64 `protobuf:"varint,1,opt"`
	// Lease is how long the daemon may act on its configuration, counted from when
	// it sent heartbeat Seq. Zero does not renew the lease.
	Lease span.Duration `protobuf:"varint,2,opt"`
	// ConfigNumber is the number of the newest configuration that the replica knows
	// to be committed.
	ConfigNumber uint64 `protobuf:"varint,3,opt"`
	// Config is nil if the daemon's configuration is up to date.
	Config *conf.Delta `protobuf:"bytes,4,opt"`
	// Roster is nil if nothing has changed.
	Roster *roster.Delta `protobuf:"bytes,5,opt"`
	// Fence is an agent's fencing number. The agent must not send orders to its
	// engine while it is zero.
	Fence uint64 `protobuf:"varint,6,opt"`
	// Bans is the complete quarantine, if BansRevision differs from that of the heartbeat.
	Bans         []Ban  `protobuf:"bytes,7,rep"`
	BansRevision uint64 `protobuf:"varint,8,opt"`
	// Superseded means that a later incarnation of the daemon exists and this one
	// must stop.
	Superseded bool `protobuf:"varint,9,opt"`
	// LoadsPerSecond is the fleet's budget of loads per second, and EngineCount the
	// number of engines that share it. An agent that cannot reach the coordinator,
	// the part of control that issues Permits, may use LoadsPerSecond/EngineCount.
	LoadsPerSecond float64 `protobuf:"fixed64,10,opt"`
	EngineCount    int32   `protobuf:"varint,11,opt"`
	// Endpoints and Releases are those that changed up to revision
	// EndpointsRevision, which is 0 if the daemon has them all.
	Endpoints         []advert.Record `protobuf:"bytes,12,rep"`
	Releases          []Release       `protobuf:"bytes,13,rep"`
	EndpointsRevision uint64          `protobuf:"varint,14,opt"`
	// Replicas holds the addresses of the control replicas, if they have changed.
	Replicas []string `protobuf:"bytes,15,rep"`
	// EntryCount is the number of entries that control knows of.
	EntryCount int32 `protobuf:"varint,16,opt"`
	// EntryRank is the entry's position in the sorted names of the EntryListed entries
	// that are connected, from 1; 0 if it is unknown.
	EntryRank   int32 `protobuf:"varint,17,opt"`
	EntryListed int32 `protobuf:"varint,18,opt"`
	// Limits holds all known request limits of endpoints, and those that ended lately, if
	// they have changed.
	Limits []advert.LimitReport `protobuf:"bytes,19,rep"`
	// ReplicasIndex is ReplicaList.Index of Replicas.
	ReplicasIndex uint64 `protobuf:"varint,20,opt"`
}

// Release is the version of an adapter that new requests run on.
type Release struct {
	Model   string `protobuf:"bytes,1,opt" json:"model"`
	Adapter string `protobuf:"bytes,2,opt" json:"adapter"`
	// Version increases with each release of the adapter.
	Version int64 `protobuf:"varint,3,opt" json:"version"`
	// Revision is the revision of the endpoints and releases at which this release
	// was made.
	Revision uint64 `protobuf:"varint,4,opt" json:"revision"`
}

// Check reports the first invalid field.
func (r *Release) Check() error {
	if r.Model == "" || r.Version < 1 {
		return &Error{Op: "check release", Kind: KindInvalid}
	}
	return nil
}

// Ban is a quarantined or suspected request, or part of a prompt.
type Ban struct {
	// Digest is the request's content digest, or that of the part.
	Digest []byte `protobuf:"bytes,1,opt" json:"digest"`
	// Suspect means that the request may still run, but not beside another suspect.
	Suspect bool `protobuf:"varint,2,opt" json:"suspect"`
	// Crashes is the number of endpoint crashes at which the request was running,
	// and SoleSuspectCrashes the number of those at which it was the only suspect.
	Crashes            int32 `protobuf:"varint,3,opt" json:"deaths"`
	SoleSuspectCrashes int32 `protobuf:"varint,4,opt" json:"alone"`
	// UntilNanos is when the ban ends, in nanoseconds of committed time.
	UntilNanos int64 `protobuf:"varint,5,opt" json:"until"`
	// Remaining is the time until the ban ends, as of when the message was sent.
	Remaining span.Duration `protobuf:"varint,6,opt" json:"left"`
	// Part means that the ban concerns all requests with a part of a prompt. Such
	// suspects may run beside each other.
	Part bool `protobuf:"varint,7,opt" json:"part,omitempty"`
	// Begun means that endpoints crashed after they had begun to answer, so that only a
	// complete answer ends the ban.
	Begun bool `protobuf:"varint,8,opt" json:"begun,omitempty"`
}
