// Package feeds serves the daemons' long-lived streams at one control replica. A feed
// carries leases, configuration, roster, fencing numbers and quarantined requests.
// Replicas exchange their rosters with each other.
package feeds

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/limits"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// agentTimeout is how long an agent may send nothing before it is removed from the
	// roster: three intervals between its heartbeats.
	agentTimeout = 3 * time.Second
	// reconnectTimeout is how long an agent whose connection failed may take to
	// reconnect, here or at another replica, before it is removed from the roster.
	reconnectTimeout = 500 * time.Millisecond
	// sweepInterval is the time between two checks for unresponsive agents.
	sweepInterval = 100 * time.Millisecond
	// settleTime is how long a replica collects reports after its start before it may
	// declare agents that it does not know as removed.
	settleTime = 10 * time.Second
	// minSendInterval is the minimum time between two messages that answer no
	// heartbeat; the changes within it are sent together.
	minSendInterval = 100 * time.Millisecond
	// roundTimeout limits one quorum round, one commit, and opening an exchange.
	roundTimeout = time.Second
	// quorumTimeout is how long quorum rounds may fail before all feeds are closed, so
	// that the daemons connect to another replica before their leases end. It is
	// longer than an election.
	quorumTimeout = 2200 * time.Millisecond
	// probeDelay is the time without a successful quorum round after which one is
	// started without a heartbeat.
	probeDelay = 500 * time.Millisecond
	// resendTimeout is how long a daemon may take to put a configuration in force
	// before the complete configuration is sent again.
	resendTimeout = 3 * time.Second
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindQuorum     Kind = "no quorum"
	KindSuperseded Kind = "later incarnation exists"
	KindStream     Kind = "stream ended"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Feeds serves daemons at one replica. Its fields are set before Run.
type Feeds struct {
	// Host provides the log and the meter.
	Host host.Host
	// Name is the name of this replica. Peers returns the names of the other
	// replicas; nil means that there are none.
	Name  string
	Peers func() []string
	// ReplicaID returns the ID of this replica, or 0 while it has none. MemberIDs
	// returns the IDs of all replicas; nil means that they are unknown.
	ReplicaID func() uint64
	MemberIDs func() []uint64
	// Replicas returns the replicas that daemons connect to, sorted; if it is nil, none
	// are sent to the daemons.
	Replicas func() plane.ReplicaList
	// Machine is the replicated state. Roster holds the endpoints known to this
	// replica.
	Machine *state.Machine
	Roster  *roster.Roster
	// Propose commits a command, forwarding it to the leader if necessary.
	Propose func(ctx context.Context, command *state.Command) (*state.Result, error)
	// Barrier runs a quorum round and waits until its result is applied.
	Barrier func(ctx context.Context) error
	// OpenStream opens a stream to another replica.
	OpenStream func(ctx context.Context, replica, method string) (*wire.Stream, error)
	// LoadsPerSecond is the fleet-wide limit on adapter loads, which agents receive
	// with their updates.
	LoadsPerSecond float64

	once sync.Once
	// engineCount is the number of engines that may share the load budget, or 0
	// while it is unknown.
	engineCount atomic.Int32
	// barriers runs quorum rounds, and enrols commits enrolments, each for several
	// daemons together. burn counts the good and bad requests of the whole fleet per
	// service level objective in sliding windows; entries report the counts with their
	// heartbeats.
	barriers batcher[struct{}, struct{}]
	enrols   batcher[state.AgentIncarnation, uint64]
	burn     burnCounter
	// limits holds what endpoints said of their request limits to any entry.
	limits limits.Table

	mutex sync.Mutex
	// clients are the daemons with an open feed.
	clients map[*client]struct{}
	// holders are the leases granted by this replica that may still be valid.
	holders map[holderKey]*leaseHolder
	// peers are the other replicas, by name.
	peers map[string]*peer
	// lastQuorum is when the last successful quorum round started.
	lastQuorum time.Time
	// liveEntries counts the entries, the daemons that serve callers and send their
	// requests to endpoints, and liveEngines the engines' agents, that may share
	// fleet-wide limits. Daemons that disconnected within liveRetention still count.
	// Only sweepAll uses liveEngines.
	liveEntries, liveEngines liveCounter
	// listeningSince is since when this replica has processed heartbeats without the
	// process being paused.
	listeningSince time.Time
	// closed is set when Run has ended; no daemon may connect from then on.
	closed bool
	// lostAgents are the agents lost within lostWindow and not yet reported.
	lostAgents []roster.Record
	// changed wakes WaitForConfig: it is closed and replaced whenever a lease, an
	// acknowledged configuration or a peer's update changes.
	changed chan struct{}
}

// prepare makes the zero value usable.
func (f *Feeds) prepare() {
	f.once.Do(func() {
		f.clients = map[*client]struct{}{}
		f.holders = map[holderKey]*leaseHolder{}
		f.peers = map[string]*peer{}
		f.changed = make(chan struct{})
		f.lastQuorum, f.listeningSince = time.Now(), time.Now()
		f.liveEntries.startedAt, f.liveEngines.startedAt = f.listeningSince, f.listeningSince
		f.barriers.run = f.runQuorumRound
		f.enrols.run = f.enrolAll
	})
}

// Run expires unresponsive agents and exchanges updates with the other replicas until
// ctx ends. It then closes every feed and rejects new ones, so that daemons connect to
// another replica.
func (f *Feeds) Run(ctx context.Context) {
	f.prepare()
	var group tasks.Group
	group.Go(func() { f.sweepAll(ctx) })
	f.followPeers(ctx, &group)
	f.mutex.Lock()
	f.closed = true
	f.mutex.Unlock()
	f.closeAll()
	group.Wait()
}

func (f *Feeds) closeAll() {
	for _, c := range f.allClients() {
		c.cancel()
	}
}

func (f *Feeds) allClients() []*client {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	clients := make([]*client, 0, len(f.clients))
	for c := range f.clients {
		clients = append(clients, c)
	}
	return clients
}

// StateChanged notifies all feeds and peers that the replicated state has changed.
func (f *Feeds) StateChanged() {
	f.prepare()
	for _, c := range f.allClients() {
		notify(c.changed)
	}
	f.notifyWaiters()
	f.notifyPeers()
}

// rosterChanged announces a roster change that this replica learned of first to its
// entries and peers.
func (f *Feeds) rosterChanged() {
	f.notifyEntries()
	f.notifyPeers()
}

// runQuorumRound runs one quorum round for all heartbeats, and calls of admit and probe,
// that arrived before it.
func (f *Feeds) runQuorumRound(ctx context.Context, items []struct{}) ([]struct{}, error) {
	began := time.Now()
	if err := f.Barrier(ctx); err != nil {
		f.Host.Log.Write("lease-round-failed", "beats", len(items), "err", err)
		return nil, &Error{Op: "renew leases", Kind: KindQuorum, Err: err}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastQuorum = began
	return items, nil
}

func (f *Feeds) enrolAll(ctx context.Context, items []state.AgentIncarnation) ([]uint64, error) {
	result, err := f.Propose(ctx, &state.Command{Enrolments: items})
	if err != nil {
		return nil, err
	}
	if len(result.Fences) != len(items) {
		return nil, &Error{Op: "enrol", Kind: KindQuorum}
	}
	return result.Fences, nil
}
