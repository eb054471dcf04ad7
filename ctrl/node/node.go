// Package node runs one control replica. It drives the consensus core with time,
// disk and network, and applies committed commands to the state machine.
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/member"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/ctrl/snap"
	"github.com/tanagerspindle/tanagerspindle/ctrl/wlog"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
)

const (
	// tickInterval is the consensus core's unit of time. It is short compared with
	// the election timeout, so that two replicas seldom campaign in the same tick.
	tickInterval = 10 * time.Millisecond
	// electionTicks is the minimum election timeout: 300 ms. The maximum is just
	// below twice that.
	electionTicks = 30
	// heartbeatTicks is the time between heartbeats: 100 ms.
	heartbeatTicks = 10
	// repairTicks is the time between two checks of the membership: 500 ms.
	repairTicks = 50
	// defaultReplaceAfterTicks is the default of Node.ReplaceAfter: 10 s.
	defaultReplaceAfterTicks = 1000
	// firstVotersTicks is how long a new group waits for its next voter before it
	// commits commands with fewer than FirstVoters: 1.5 s. All replicas of a new group
	// start within 0.3 s, and a start and a join take less than a second.
	firstVotersTicks = 150
	// aliveTicks is the longest time since the last message from a replica that
	// counts as alive: 1 s.
	aliveTicks = 100
	// promptTicks is the longest time since the last message from a voter that surely
	// takes part in decisions: 300 ms, three heartbeats.
	promptTicks = 30
	// maxAppendBytes limits the size of an append message, and maxUnackedAppends the
	// number of append messages sent to a replica and not yet acknowledged.
	maxAppendBytes    = 256 << 10
	maxUnackedAppends = 64
	// chunkBytes is the size of the snapshot piece in one message.
	chunkBytes = 512 << 10
	// MaxProposalBytes is the size of the largest proposal. With its frame it must
	// fit into wire.MaxMessage.
	MaxProposalBytes = 12 << 20
	// defaultSnapshotEntries and snapshotBytes limit what is applied between two
	// snapshots.
	defaultSnapshotEntries = 10_000
	snapshotBytes          = 16 << 20
	// keepEntries is the number of entries before a snapshot that stay in memory
	// for slow replicas.
	keepEntries = 1000
	// handoverTimeout limits the leadership transfer when the replica stops.
	handoverTimeout = time.Second
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindNotLeader means that nothing was proposed.
	KindNotLeader Kind = "not-leader"
	// KindLost means that the proposal is certain never to take effect.
	KindLost Kind = "lost"
	// KindTimeout means that the outcome is unknown.
	KindTimeout   Kind = "timeout"
	KindStopped   Kind = "stopped"
	KindTooLarge  Kind = "proposal too large"
	KindNoReplica Kind = "no such replica"
	KindDisk      Kind = "cannot use the data folder"
	// KindRemoved means that another replica has replaced this one in the group.
	KindRemoved Kind = "removed from the group"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Entry is a committed command.
type Entry struct {
	Index, Term uint64
	// Time is in nanoseconds since 1970 and never decreases.
	Time int64
	// AppendedBy is a local time by which the entry had been appended: the opening
	// of the log if the log held it then, otherwise the time of applying.
	AppendedBy time.Time
	Data       []byte
}

// Peer is a replica that belongs in the group.
type Peer struct{ Name, Address string }

// Node is one control replica. The caller sets its exported fields, serves its
// Handlers and calls Run.
type Node struct {
	Host          host.Host
	Name, Address string
	// Peers lists all replicas, including this one.
	Peers []Peer
	// DataDir is the data folder, used by this process only.
	DataDir string
	// Disk replaces DataDir in tests.
	Disk *disk.Disk
	// Voters opens the group: any replica may join, up to this number of voters,
	// and any may replace a dead voter. Peers are then only the first addresses to
	// contact. Zero limits the group to Peers.
	Voters int
	// FirstVoters is the number of voters that a new group waits for before it commits
	// its first command, so that the command outlasts the loss of as many disks as
	// later ones. It waits no longer than firstVotersTicks for the next voter. Zero
	// means no wait.
	FirstVoters int
	// Located returns the addresses of replicas that other control processes know. A
	// replica asks them for its group, as its Peers may run no replicas. It may be nil.
	Located func() []string
	// NoBootstrap is set if the group already exists. The replica then never
	// bootstraps one.
	NoBootstrap bool
	// ReplaceAfter is how long a voter must be unresponsive before another replica
	// replaces it without an operator's command; zero means ten seconds.
	ReplaceAfter time.Duration
	// Seed makes IDs and election timeouts reproducible in tests; zero means random
	// values.
	Seed uint64
	// SnapshotEntries is the number of entries between two snapshots; zero means
	// the default.
	SnapshotEntries uint64
	// Apply is called for each committed command in order, from one goroutine. Its
	// result is returned by Propose.
	Apply func(Entry) []byte
	// Snapshot and Restore are called from the same goroutine as Apply. Run also
	// calls Restore, before anything else.
	Snapshot func() ([]byte, error)
	Restore  func([]byte) error
	// OnLeadership is called from the same goroutine when the replica has become
	// leader and applied all earlier entries, and when it has lost the leadership.
	// It must not wait for a proposal.
	OnLeadership func(term uint64, leading bool)

	initOnce sync.Once
	// startedAt is when this process initialized the replica.
	startedAt  time.Time
	events     chan event
	done       chan struct{}
	status     atomic.Pointer[raft.Status]
	leader     leaderWatch
	applier    *applier
	readRounds *readRounds
	conns      *peerConns
}

// initialize creates the state that Handlers and Run share.
func (n *Node) initialize() {
	n.initOnce.Do(func() {
		n.startedAt = time.Now()
		n.events = make(chan event, eventBuffer)
		n.done = make(chan struct{})
		n.applier = newApplier(n)
		n.readRounds = newReadRounds(n)
		n.conns = &peerConns{node: n, byAddress: map[string]*peerConn{}, reportedAddresses: map[uint64]string{}}
		if n.SnapshotEntries == 0 {
			n.SnapshotEntries = defaultSnapshotEntries
		}
		if n.Seed == 0 {
			n.Seed = rand.Uint64()
		}
		if n.ReplaceAfter == 0 {
			n.ReplaceAfter = defaultReplaceAfterTicks * tickInterval
		}
	})
}

// Now returns the time for stamping entries, in nanoseconds since 1970: the wall
// clock at the start of the process plus the monotonic time since. Otherwise
// periods that the log limits would end early if the leader's wall clock were set
// ahead.
func (n *Node) Now() int64 {
	n.initialize()
	return n.startedAt.UnixNano() + int64(time.Since(n.startedAt))
}

// Run takes part in the group until ctx ends and then hands over the leadership. It
// returns an error if the data folder cannot be used; in that case nothing unsynced
// has been acknowledged.
func (n *Node) Run(ctx context.Context) error {
	n.initialize()
	defer close(n.done)
	d := n.Disk
	if d == nil {
		opened, err := disk.Open(n.DataDir)
		if err != nil {
			return &Error{Op: "open folder", Kind: KindDisk, Err: err}
		}
		d = opened
	}
	defer func() { _ = d.Close() }()
	l, err := n.openLoop(d)
	if err != nil {
		n.Host.Log.Write("replica-refused", "err", err)
		return err
	}
	defer func() { _ = l.log.Close() }()
	return l.run(ctx)
}

// openLoop reads the data folder and returns the event loop that continues from it.
func (n *Node) openLoop(d *disk.Disk) (*loop, error) {
	source := rand.New(rand.NewPCG(n.Seed, uint64(len(n.Name))))
	identity, err := member.Open(d, n.Name, n.randomID(source))
	if err != nil {
		return nil, &Error{Op: "open identity", Kind: KindDisk, Err: err}
	}
	store := &snap.Store{Disk: d}
	saved, err := store.Load()
	if err != nil {
		return nil, &Error{Op: "load snapshot", Kind: KindDisk, Err: err}
	}
	var snapshot raft.Snapshot
	if saved != nil {
		snapshot = saved.Snapshot
		if err := n.Restore(saved.Data); err != nil {
			return nil, &Error{Op: "restore snapshot", Kind: KindDisk, Err: err}
		}
	}
	log, content, err := wlog.Open(d, snapshot)
	if err != nil {
		return nil, &Error{Op: "open log", Kind: KindDisk, Err: err}
	}
	core, err := raft.New(raft.Config{
		ID: identity.ID, Seed: n.Seed, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		MaxAppendBytes: maxAppendBytes, MaxInflightAppends: maxUnackedAppends,
		Hard: content.Hard, Snapshot: snapshot, Entries: content.Entries,
	})
	if err != nil {
		return nil, &Error{Op: "open log", Kind: KindDisk, Err: err}
	}
	n.applier.start(snapshot, store, content.Entries)
	n.Host.Log.Write("replica-opened", "replica", identity.ID, "snapshot", snapshot.Index,
		"entries", len(content.Entries), "cut_bytes", content.TruncatedBytes)
	return newLoop(n, identity, core, log, store), nil
}

// randomID returns the generator of a new replica's ID. The name is part of the ID,
// so that replicas with the same seed in tests get different ones.
func (n *Node) randomID(source *rand.Rand) func() uint64 {
	return func() uint64 {
		id := source.Uint64()
		for _, letter := range n.Name {
			id = id*1_000_003 + uint64(letter)
		}
		return id
	}
}
