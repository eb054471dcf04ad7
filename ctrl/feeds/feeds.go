// Package feeds serves the daemons' long streams at one control replica:
// leases, configuration, roster, fencing numbers and quarantine; and exchanges
// the roster with the other replicas.
package feeds

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// silence is how long an agent may not be heard before it is gone.
	silence = 3 * time.Second
	// lostAfter is how long an agent whose connection broke has to be heard
	// again.
	lostAfter = 500 * time.Millisecond
	// sweepInterval is the time between two looks for silent agents.
	sweepInterval = 100 * time.Millisecond
	// settleTime is how long a replica listens before it may tell daemons
	// that agents it does not know are gone.
	settleTime = 10 * time.Second
	// newsInterval is the least time between two messages without a beat.
	newsInterval = 100 * time.Millisecond
	// roundTimeout bounds one quorum round or one commit.
	roundTimeout = time.Second
	// deafAfter is how long quorum rounds may fail before the feeds are
	// closed, so that the daemons try another replica before their leases
	// end. It is longer than an election.
	deafAfter = 2200 * time.Millisecond
	// probeAfter is how long no beat may have asked for a quorum round before
	// one is made without.
	probeAfter = 500 * time.Millisecond
	// resendAfter is how long a daemon may take to put a configuration in
	// force before it gets the whole one again.
	resendAfter = 3 * time.Second
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
	// Host gives log and meter.
	Host host.Host
	// Name is the replica's, and Peers returns those of the other replicas; nil
	// knows none.
	Name  string
	Peers func() []string
	// ReplicaID returns the replica's ID, 0 while it has none, and Members those
	// of all replicas; nil knows none.
	ReplicaID func() uint64
	MemberIDs func() []uint64
	// Addresses returns where daemons reach the replicas, sorted; nil tells
	// daemons nothing.
	Addresses func() []string
	// Machine is the replicated state, Roster the endpoints known here.
	Machine *state.Machine
	Roster  *roster.Roster
	// Propose commits a command, at the leader wherever that is.
	Propose func(ctx context.Context, command *state.Command) (*state.Result, error)
	// Barrier makes a quorum round and waits until its result is applied.
	Barrier func(ctx context.Context) error
	// OpenStream starts a stream to another replica.
	OpenStream func(ctx context.Context, replica, method string) (*wire.Stream, error)
	// LoadsPerSecond is the fleet's load budget in loads per second.
	LoadsPerSecond float64

	once sync.Once
	// engines is the number of engines that may share the load budget, 0 while
	// it is not known.
	engines  atomic.Int32
	barriers batch[struct{}, struct{}]
	enrols   batch[state.AgentIncarnation, uint64]
	burn     burn

	mutex sync.Mutex
	// members are the open feeds.
	members map[*member]struct{}
	// holders are the leases given here that may still last.
	holders map[holderKey]*holder
	peers   map[string]*peer
	// proved is when the last successful quorum round began.
	proved time.Time
	// seen are the entries, and loading the engines' agents, that may divide
	// bounds of the fleet among them. Only sweepAll uses loading.
	seen, loading liveCount
	// listening is since when this replica has heard agents without a pause.
	listening time.Time
	closed    bool
	// lost are the agents that were lost lately.
	lost []roster.Record
	// changed is closed and replaced when a lease or an acknowledgement
	// changes.
	changed chan struct{}
}

// prepare makes the zero value usable.
func (f *Feeds) prepare() {
	f.once.Do(func() {
		f.members = map[*member]struct{}{}
		f.holders = map[holderKey]*holder{}
		f.peers = map[string]*peer{}
		f.changed = make(chan struct{})
		f.proved, f.listening = time.Now(), time.Now()
		f.seen.began, f.loading.began = f.listening, f.listening
		f.barriers.run = f.round
		f.enrols.run = f.enrolAll
	})
}

// Run expires silent agents and exchanges news with the other replicas until
// ctx ends; then it ends every feed and refuses new ones, so that daemons move
// to another replica.
func (f *Feeds) Run(ctx context.Context) {
	f.prepare()
	var group tasks.Group
	group.Go(func() { f.sweepAll(ctx) })
	f.listenAll(ctx, &group)
	f.mutex.Lock()
	f.closed = true
	f.mutex.Unlock()
	f.closeAll()
	group.Wait()
}

func (f *Feeds) closeAll() {
	for _, m := range f.all() {
		m.cancel()
	}
}

func (f *Feeds) all() []*member {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	members := make([]*member, 0, len(f.members))
	for m := range f.members {
		members = append(members, m)
	}
	return members
}

// StateChanged tells the feeds that the machine has news.
func (f *Feeds) StateChanged() {
	f.prepare()
	for _, m := range f.all() {
		notify(m.news)
	}
	f.wakeWaiters()
	f.wakePeers()
}

// rosterChanged spreads a change that this replica heard of first.
func (f *Feeds) rosterChanged() {
	f.wakeEntries()
	f.wakePeers()
}

// round makes one quorum round for all beats that came before it.
func (f *Feeds) round(ctx context.Context, items []struct{}) ([]struct{}, error) {
	began := time.Now()
	if err := f.Barrier(ctx); err != nil {
		f.Host.Log.Write("lease-round-failed", "beats", len(items), "err", err)
		return nil, &Error{Op: "renew leases", Kind: KindQuorum, Err: err}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.proved = began
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
