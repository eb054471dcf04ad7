// Package daemon wires a control replica together.
package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/feeds"
	"github.com/tanagerspindle/tanagerspindle/ctrl/node"
	"github.com/tanagerspindle/tanagerspindle/ctrl/permit"
	"github.com/tanagerspindle/tanagerspindle/ctrl/quota"
	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
)

const (
	// commitTimeout bounds one commit.
	commitTimeout = 3 * time.Second
	// adminTimeout bounds an operator's order, which may wait for a replica to
	// catch up.
	adminTimeout = 30 * time.Second
	// leaderTimeout is how long a stream for the leader waits for one to be
	// known.
	leaderTimeout = 3 * time.Second
	// leaderInterval is the time between two looks for a leader.
	leaderInterval = 50 * time.Millisecond
	// expireInterval is the time between two looks at what expires.
	expireInterval = time.Second
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindListen Kind = "cannot listen"
	KindNode   Kind = "replica stopped"
	KindLeader Kind = "no leader"
	KindState  Kind = "bad result"
	// KindInvalid says that what was submitted can never be accepted.
	KindInvalid Kind = "invalid"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Peer names one control replica.
type Peer struct {
	Name    string
	Address string
}

// Daemon is one control replica. Its fields are set before Run.
type Daemon struct {
	// Host gives log, meter and network.
	Host host.Host
	// Name is the replica's, unique in control.
	Name string
	// Address is where peers and daemons connect, as IP:port.
	Address string
	// Peers are all replicas, this one included.
	Peers []Peer
	// Voters, Late and Dead are those of node.Node: a group that any replica
	// may join.
	Voters    int
	JoinOnly  bool
	DeadAfter time.Duration
	// DataDir holds the replica's data.
	DataDir string
	// Disk replaces Folder, and Seed makes IDs and timeouts repeatable, in
	// tests.
	Disk *disk.Disk
	Seed uint64
	// LoadsPerSecond is the fleet's load budget, in loads per second, and Flight the
	// most loads in progress at once.
	LoadsPerSecond   float64
	MaxLoadsInFlight int
	// BootTime is that of clock.Watch; nil counts in Go's own time.
	BootTime func() time.Time
	// RetryBudget bounds the repeats to each service over all entries, which have
	// the same bound; zero means repeat.Default.
	RetryBudget budget.Limit
	// Watch runs beside the replica and submits the operators' folder, by
	// Fetch and Submit; nil does nothing. It must return when ctx ends.
	Watch func(ctx context.Context) error
	// ChooseLoad replaces the load coordinator's choice; nil keeps it.
	ChooseLoad func(now time.Time, candidates []permit.Candidate) int

	once    sync.Once
	node    *node.Node
	permits *permit.Coordinator
	store   permit.BaseModelLimiter
	machine state.Machine
	roster  roster.Roster
	feeds   *feeds.Feeds
	quota   *quota.Owner
}

// prepare builds the parts once.
func (d *Daemon) prepare() {
	d.once.Do(func() {
		d.permits = &permit.Coordinator{Host: d.Host, LoadsPerSecond: d.LoadsPerSecond, MaxInFlight: d.MaxLoadsInFlight, Choose: d.ChooseLoad}
		d.node = d.newNode()
		d.feeds = &feeds.Feeds{
			Host: d.Host, Name: d.Name, Peers: d.others, LoadsPerSecond: d.LoadsPerSecond,
			ReplicaID: func() uint64 { return d.node.Status().ID }, MemberIDs: d.members,
			Addresses: d.addresses,
			Machine:   &d.machine, Roster: &d.roster,
			Propose: d.propose, Barrier: d.barrier, OpenStream: d.node.Open,
		}
		d.machine.OnChange = d.feeds.StateChanged
		d.quota = &quota.Owner{
			Host: d.Host, Config: d.config, CommittedHorizon: d.machine.Reservation, Propose: d.reserve,
			BootTime: d.BootTime, RetryLimit: cmp.Or(d.RetryBudget, budget.Default),
		}
	})
}

// newNode returns the replicated log, which drives the machine.
func (d *Daemon) newNode() *node.Node {
	n := &node.Node{
		Host: d.Host, Name: d.Name, Address: d.Address, DataDir: d.DataDir, Disk: d.Disk, Seed: d.Seed,
		Voters: d.Voters, NoBootstrap: d.JoinOnly, ReplaceAfter: d.DeadAfter,
		Apply: func(entry node.Entry) []byte {
			return d.machine.Apply(entry.Time, entry.Term, entry.AppendedBy, entry.Data)
		},
		Snapshot:     d.machine.Snapshot,
		Restore:      d.machine.Restore,
		OnLeadership: d.lead,
	}
	for _, peer := range d.Peers {
		n.Peers = append(n.Peers, node.Peer(peer))
	}
	return n
}

// members returns the IDs of all replicas.
func (d *Daemon) members() []uint64 {
	var ids []uint64
	for _, member := range d.node.Status().Members {
		ids = append(ids, member.Replica)
	}
	return ids
}

func (d *Daemon) barrier(ctx context.Context) error {
	_, err := d.node.Barrier(ctx)
	return err
}

// others returns the names of the other replicas: the peers, or the members
// of a group that any replica may join.
func (d *Daemon) others() []string {
	var names []string
	if d.Voters > 0 {
		for _, member := range d.node.Status().Members {
			names = append(names, member.Name)
		}
	} else {
		for _, peer := range d.Peers {
			names = append(names, peer.Name)
		}
	}
	names = slices.DeleteFunc(names, func(name string) bool { return name == d.Name })
	slices.Sort(names)
	return slices.Compact(names)
}

// addresses returns where daemons reach the replicas that vote.
func (d *Daemon) addresses() []string {
	var addresses []string
	for _, member := range d.node.Status().Members {
		if member.Voter {
			addresses = append(addresses, member.Address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// lead follows the leadership of this replica. A replica that lost it ends the
// permit streams, so that agents find the next leader and only one coordinator
// spends the load budget.
func (d *Daemon) lead(term uint64, leading bool) {
	d.quota.SetLeadership(term, leading)
	d.permits.Reset(term)
	d.store.Reset()
}

// Run serves until ctx ends. Then it closes the daemons' feeds, gives the
// reserved tokens back, hands the leadership over and stops.
func (d *Daemon) Run(ctx context.Context) error {
	d.prepare()
	listener, err := d.Host.Listen(d.Address)
	if err != nil {
		return &Error{Op: "listen on " + d.Address, Kind: KindListen, Err: err}
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	working, stopWorking := context.WithCancel(ctx)
	defer stopWorking()
	leading, handOver := context.WithCancel(context.WithoutCancel(ctx))
	defer handOver()
	var servers, workers tasks.Group
	servers.Go(func() { _ = link.Serve(serving, listener, d.handlers()) })
	workers.Go(func() { d.feeds.Run(working) })
	workers.Go(func() {
		defer handOver()
		d.quota.Run(working)
	})
	workers.Go(func() { d.permits.Run(working) })
	workers.Go(func() { d.expire(working) })
	workers.Go(func() { d.watch(working) })
	err = d.node.Run(leading)
	stopWorking()
	workers.Wait()
	stopServing()
	servers.Wait()
	if err != nil && ctx.Err() == nil {
		return &Error{Op: "run replica", Kind: KindNode, Err: err}
	}
	return nil
}

func (d *Daemon) watch(ctx context.Context) {
	if d.Watch == nil {
		return
	}
	if err := d.Watch(ctx); err != nil && ctx.Err() == nil {
		d.Host.Log.Write("watch-ended", "err", err)
	}
}

// expire moves committed time on while something is due to expire.
func (d *Daemon) expire(ctx context.Context) {
	pause.Every(ctx, expireInterval, func() {
		claims, size := d.machine.Claims()
		d.Host.Meter.Set("claims", int64(claims))
		d.Host.Meter.Set("claims_bytes", size)
		if !d.node.Status().Leading || !d.machine.Due(d.node.Now()) {
			return
		}
		if _, err := d.propose(ctx, &state.Command{}); err != nil {
			d.Host.Log.Write("expiry-not-committed", "err", err)
		}
	})
}

// Status returns this replica's view.
func (d *Daemon) Status() *plane.Status {
	d.prepare()
	now := d.node.Status()
	list, _ := d.machine.Bans()
	return &plane.Status{
		Replica: now.ID, Name: d.Name, Leader: now.Leader, Term: now.Term, Commit: now.Commit,
		ConfigNumber: d.machine.Number(), Members: now.Members, Endpoints: d.roster.All(), Bans: list,
		Burn: d.feeds.BurnWindows(), Entries: d.feeds.Entries(),
	}
}
