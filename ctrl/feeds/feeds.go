// Package feeds serves the daemons' long streams at one control replica:
// leases, configuration, roster, fencing numbers and quarantine; and exchanges
// the roster with the other replicas.
package feeds

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// silence is how long an agent may not be heard before it is gone.
	silence = 3 * time.Second
	// lostAfter is how long an agent whose connection broke has to be heard
	// again.
	lostAfter = time.Second
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
	// Name is the replica's, and Peers those of the other replicas.
	Name  string
	Peers []string
	// Replica returns the replica's ID; 0 while it has none.
	Replica func() uint64
	// Machine is the replicated state, Roster the endpoints known here.
	Machine *state.Machine
	Roster  *roster.Roster
	// Propose commits a command, at the leader wherever that is.
	Propose func(ctx context.Context, command *state.Command) (*state.Result, error)
	// Barrier makes a quorum round and waits until its result is applied.
	Barrier func(ctx context.Context) error
	// Open starts a stream to another replica.
	Open func(ctx context.Context, replica, method string) (*wire.Stream, error)
	// Loads is the fleet's load budget in loads per second.
	Loads float64

	once     sync.Once
	barriers batch[struct{}, struct{}]
	enrols   batch[state.Enrol, uint64]
	burn     burn

	mutex sync.Mutex
	// members are the open feeds.
	members map[*member]struct{}
	// holders are the leases given here that may still last.
	holders map[holderKey]*holder
	peers   map[string]*peer
	// proved is when the last successful quorum round began.
	proved time.Time
	// listening is since when this replica has heard agents without a pause.
	listening time.Time
	closed    bool
	// changed is closed and replaced when a lease or an acknowledgement
	// changes.
	changed chan struct{}
}

// holderKey identifies one incarnation of a daemon.
type holderKey struct {
	role, name  string
	incarnation uint64
}

// holder is what a replica knows of a lease that it gave.
type holder struct {
	// number is the configuration that the daemon has in force.
	number uint64
	// until is the end of the lease, drift included.
	until time.Time
}

// prepare makes the zero value usable.
func (f *Feeds) prepare() {
	f.once.Do(func() {
		f.members = map[*member]struct{}{}
		f.holders = map[holderKey]*holder{}
		f.peers = map[string]*peer{}
		for _, name := range f.Peers {
			f.peers[name] = &peer{burn: map[goal]plane.Burn{}}
		}
		f.changed = make(chan struct{})
		f.proved, f.listening = time.Now(), time.Now()
		f.barriers.run = f.round
		f.enrols.run = f.enrolAll
	})
}

// Run expires silent agents and exchanges news with the other replicas until
// ctx ends; then it ends every feed and refuses new ones, so that daemons move
// to another replica.
func (f *Feeds) Run(ctx context.Context) {
	f.prepare()
	var group conc.WaitGroup
	group.Go(func() { f.sweepAll(ctx) })
	for _, name := range f.Peers {
		group.Go(func() { f.listen(ctx, name) })
	}
	<-ctx.Done()
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

// Changed tells the feeds that the machine or the roster has news.
func (f *Feeds) Changed() {
	f.prepare()
	for _, m := range f.all() {
		notify(m.news)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, p := range f.peers {
		if p.news != nil {
			notify(p.news)
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
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

func (f *Feeds) enrolAll(ctx context.Context, items []state.Enrol) ([]uint64, error) {
	result, err := f.Propose(ctx, &state.Command{Enrols: items})
	if err != nil {
		return nil, err
	}
	if len(result.Fences) != len(items) {
		return nil, &Error{Op: "enrol", Kind: KindQuorum}
	}
	return result.Fences, nil
}

// sweepAll looks for silent agents and peers until ctx ends.
func (f *Feeds) sweepAll(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last, settled := time.Now(), false
	started := last
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		f.noticePause(now, now.Sub(last))
		last = now
		if !settled && now.Sub(started) >= settleTime {
			settled = true
			f.settle()
		}
		f.sweep(ctx, now)
	}
}

// noticePause restarts the listening time after the process stood still:
// agents may have been heard by nobody here meanwhile.
func (f *Feeds) noticePause(now time.Time, gap time.Duration) {
	if gap < silence/3 {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listening = now
}

// settle lets the roster speak for agents that it does not know, also to
// daemons that joined before with a roster from elsewhere.
func (f *Feeds) settle() {
	f.Roster.Settle()
	for _, m := range f.all() {
		if len(m.hello.Vector) == 0 {
			continue
		}
		m.mutex.Lock()
		m.vector, m.followed = m.hello.Vector, false
		m.mutex.Unlock()
		notify(m.news)
	}
}

// sweep removes agents that this replica has not heard for too long, adopts
// those of silent replicas, and closes the feeds when there is no quorum.
func (f *Feeds) sweep(ctx context.Context, now time.Time) {
	f.mutex.Lock()
	deaf := now.Sub(f.proved)
	listened := now.Sub(f.listening)
	f.dropHolders(now)
	f.mutex.Unlock()
	if deaf >= deafAfter {
		f.probe(ctx)
		return
	}
	if deaf >= probeAfter {
		f.probe(ctx)
	}
	if listened < silence+sweepInterval {
		return
	}
	f.adopt(now)
	gone := f.Roster.Expire(f.Replica(), silence)
	if len(gone) == 0 {
		return
	}
	for i := range gone {
		f.Host.Log.Write("agent-gone", "agent", gone[i].Agent, "incarnation", gone[i].Incarnation)
	}
	f.Changed()
	go f.reportLost(gone)
}

// probe makes a quorum round although no beat asks for one, and closes the
// feeds when rounds keep failing.
func (f *Feeds) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout/2)
	defer cancel()
	_, err := f.barriers.do(ctx, struct{}{})
	if err == nil {
		return
	}
	f.mutex.Lock()
	deaf := time.Since(f.proved) >= deafAfter
	f.mutex.Unlock()
	if deaf {
		f.closeAll()
	}
}

func (f *Feeds) dropHolders(now time.Time) {
	for key, held := range f.holders {
		if !held.until.After(now) {
			delete(f.holders, key)
		}
	}
}

// Entries returns the names of the entries that are connected here or at
// another replica, sorted.
func (f *Feeds) Entries() []string {
	f.prepare()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	names := f.ownEntries()
	for _, p := range f.peers {
		if time.Since(p.heard) < peerSilence {
			names = append(names, p.last.Entries...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (f *Feeds) ownEntries() []string {
	var names []string
	for m := range f.members {
		if m.hello.Role == plane.RoleEntry {
			names = append(names, m.hello.Name)
		}
	}
	return names
}

// grant notes a lease that is about to be sent.
func (f *Feeds) grant(m *member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	held := f.hold(m)
	held.until = time.Now().Add(lease.Length + lease.Drift)
}

// acknowledge notes the configuration that a daemon has in force.
func (f *Feeds) acknowledge(m *member, number uint64) {
	f.mutex.Lock()
	held := f.hold(m)
	news := held.number != number
	held.number = number
	f.mutex.Unlock()
	if news {
		f.wakeWaiters()
	}
}

func (f *Feeds) hold(m *member) *holder {
	held := f.holders[m.key()]
	if held == nil {
		held = &holder{number: m.hello.Number}
		f.holders[m.key()] = held
	}
	return held
}

// release ends the lease of a daemon that said goodbye.
func (f *Feeds) release(m *member) {
	f.mutex.Lock()
	delete(f.holders, m.key())
	f.mutex.Unlock()
	f.wakeWaiters()
}

// wakeWaiters wakes those who wait for acknowledgements, here and at peers.
func (f *Feeds) wakeWaiters() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
	for _, p := range f.peers {
		if p.news != nil {
			notify(p.news)
		}
	}
}
