// Package node runs one control replica: it drives the consensus core with
// time, disk and network, and applies what is committed.
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
	// tick is the core's unit of time. It is short beside the election timeout
	// so that two replicas seldom campaign in the same tick.
	tick = 10 * time.Millisecond
	// electionTicks is the shortest election timeout: 300 ms. The longest is
	// just below twice that.
	electionTicks = 30
	// beatTicks is the time between heartbeats: 100 ms.
	beatTicks = 10
	// repairTicks is the time between two looks at the membership: 500 ms.
	repairTicks = 50
	// deadTicks is the default of Node.Dead: 10 s.
	deadTicks = 1000
	// aliveTicks is how long a replica that counts as alive may be silent:
	// 1 s.
	aliveTicks = 100
	// appendBytes bounds an append message, window the number of them sent
	// to a replica and not yet acknowledged.
	appendBytes = 256 << 10
	window      = 64
	// chunkBytes is the piece of a snapshot in one message.
	chunkBytes = 512 << 10
	// MaxProposalBytes is the largest proposal, in bytes. With its frame it must fit
	// into wire.MaxMessage.
	MaxProposalBytes = 12 << 20
	// snapshotEntries and snapshotBytes are how much is applied between two
	// snapshots.
	snapshotEntries = 10_000
	snapshotBytes   = 16 << 20
	// keepEntries stay in memory behind a snapshot for slow replicas.
	keepEntries = 1000
	// handOverTime bounds the hand-over of the leadership at a stop.
	handOverTime = time.Second
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindNotLeader says that nothing was proposed.
	KindNotLeader Kind = "not-leader"
	// KindLost says that the proposal is proved never to take effect.
	KindLost Kind = "lost"
	// KindTimeout says that the outcome is unknown.
	KindTimeout   Kind = "timeout"
	KindStopped   Kind = "stopped"
	KindTooLarge  Kind = "proposal too large"
	KindNoReplica Kind = "no such replica"
	KindDisk      Kind = "cannot use the data folder"
	// KindRemoved says that another replica took this one's place.
	KindRemoved Kind = "not in the group any more"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Entry is a committed command.
type Entry struct {
	Index, Term uint64
	// Time is in nanoseconds since 1970 and never decreases.
	Time int64
	// AppendedBy is a local time at which the entry had been appended: when the
	// replica opened the log that held it, or when it is applied.
	AppendedBy time.Time
	Data       []byte
}

// Peer is a replica that the group should have.
type Peer struct{ Name, Address string }

// Node is one control replica. Its exported fields are set before Run.
type Node struct {
	Host          host.Host
	Name, Address string
	// Peers are all replicas, this one included.
	Peers []Peer
	// DataDir is the data folder, for this process alone.
	DataDir string
	// Disk replaces Folder in tests.
	Disk *disk.Disk
	// Voters lets any replica join, up to this number of voters, and any take
	// the place of one that is dead; Peers are then only where to ask first.
	// Zero keeps the group to Peers.
	Voters int
	// NoBootstrap says that the group has begun before, so that this replica never
	// begins one.
	NoBootstrap bool
	// ReplaceAfter is how long a voter must be silent before another replica takes
	// its place unasked; zero means ten seconds.
	ReplaceAfter time.Duration
	// Seed makes IDs and election timeouts repeatable in tests; zero means
	// random ones.
	Seed uint64
	// SnapshotEntries is the number of entries between two snapshots; zero
	// means a default.
	SnapshotEntries uint64
	// Apply is called for each committed command in order, from one
	// goroutine; the result goes to the caller of Propose.
	Apply func(Entry) []byte
	// Snapshot and Restore are called from the same goroutine. Restore is
	// also called by Run before anything else.
	Snapshot func() ([]byte, error)
	Restore  func([]byte) error
	// OnLeadership is called from the same goroutine when the leadership is
	// gained and all earlier entries are applied, and when it is lost. It
	// must not wait for a proposal.
	OnLeadership func(term uint64, leading bool)

	once sync.Once
	// began is when this process set the replica up.
	began   time.Time
	events  chan event
	done    chan struct{}
	status  atomic.Pointer[raft.Status]
	applier *applier
	rounds  *rounds
	outlets *outlets
}

// setUp makes what Handlers and Run share.
func (n *Node) setUp() {
	n.once.Do(func() {
		n.began = time.Now()
		n.events = make(chan event, eventBuffer)
		n.done = make(chan struct{})
		n.applier = newApplier(n)
		n.rounds = newRounds(n)
		n.outlets = &outlets{node: n, byAddress: map[string]*outlet{}, learned: map[uint64]string{}}
		if n.SnapshotEntries == 0 {
			n.SnapshotEntries = snapshotEntries
		}
		if n.Seed == 0 {
			n.Seed = rand.Uint64()
		}
		if n.ReplaceAfter == 0 {
			n.ReplaceAfter = deadTicks * tick
		}
	})
}

// Now is the time for stamps of entries, in nanoseconds since 1970. It is the
// time of day at the process's start, moved on by a clock that does not step:
// spans that the log bounds would otherwise end early when the leader's time of
// day is set ahead.
func (n *Node) Now() int64 {
	n.setUp()
	return n.began.UnixNano() + int64(time.Since(n.began))
}

// Run takes part in the group until ctx ends, then hands the leadership over.
// It returns an error if the data folder cannot be used; nothing that was not
// synced has been acknowledged then.
func (n *Node) Run(ctx context.Context) error {
	n.setUp()
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
	l, err := n.open(d)
	if err != nil {
		n.Host.Log.Write("replica-refused", "err", err)
		return err
	}
	defer func() { _ = l.log.Close() }()
	return l.run(ctx)
}

// open reads the data folder.
func (n *Node) open(d *disk.Disk) (*loop, error) {
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
		ID: identity.ID, Seed: n.Seed, ElectionTicks: electionTicks, HeartbeatTicks: beatTicks,
		MaxAppendBytes: appendBytes, MaxInflightAppends: window,
		Hard: content.Hard, Snapshot: snapshot, Entries: content.Entries,
	})
	if err != nil {
		return nil, &Error{Op: "open log", Kind: KindDisk, Err: err}
	}
	n.applier.begin(snapshot, store, content.Entries)
	n.Host.Log.Write("replica-opened", "replica", identity.ID, "snapshot", snapshot.Index,
		"entries", len(content.Entries), "cut_bytes", content.TruncatedBytes)
	return newLoop(n, identity, core, log, store), nil
}

// randomID returns the source of a new replica's ID. Names seed it in tests,
// so that replicas with one seed differ.
func (n *Node) randomID(source *rand.Rand) func() uint64 {
	return func() uint64 {
		id := source.Uint64()
		for _, letter := range n.Name {
			id = id*1_000_003 + uint64(letter)
		}
		return id
	}
}
