// Package daemon assembles a control replica from its parts: the replicated log, the state
// machine, the daemons' feeds, the quota owner and the load coordinator.
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
	"github.com/tanagerspindle/tanagerspindle/pkg/locate"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
)

const (
	// commitTimeout limits one commit or quorum round.
	commitTimeout = 3 * time.Second
	// adminTimeout limits an operator's command, which may wait for a replica to catch up.
	adminTimeout = 30 * time.Second
	// leaderTimeout is how long a stream for the leader waits until a leader is known.
	leaderTimeout = 3 * time.Second
	// leaderPollInterval is the time between two checks for a known leader.
	leaderPollInterval = 50 * time.Millisecond
	// expiryInterval is the time between two checks for expired state.
	expiryInterval = time.Second
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindListen Kind = "cannot listen"
	KindNode   Kind = "replica stopped"
	KindLeader Kind = "no leader"
	KindState  Kind = "bad result"
	// KindInvalid means that the submitted data can never be accepted.
	KindInvalid Kind = "invalid"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Peer is the name and address of one control replica.
type Peer struct {
	Name    string
	Address string
}

// Daemon is one control replica. Its fields are set before Run.
type Daemon struct {
	// Host provides the log, the metrics and the network.
	Host host.Host
	// Name identifies the replica; it is unique among the control replicas.
	Name string
	// Address is the IP:port that peers and daemons connect to.
	Address string
	// Peers lists all replicas, including this one.
	Peers []Peer
	// Voters, FirstVoters, JoinOnly and DeadAfter are Voters, FirstVoters, NoBootstrap and
	// ReplaceAfter of node.Node.
	// Voters above zero lets any replica join, up to that number of voters. JoinOnly means that
	// the group exists already, so this replica never bootstraps one. DeadAfter is how long a
	// voter must be unresponsive before another replica replaces it without an operator's
	// command; zero means ten seconds.
	Voters      int
	FirstVoters int
	JoinOnly    bool
	DeadAfter   time.Duration
	// DataDir is the directory of the replica's data.
	DataDir string
	// Disk replaces DataDir, and Seed makes IDs and timeouts reproducible, in tests.
	Disk *disk.Disk
	Seed uint64
	// LoadsPerSecond is the fleet's budget of adapter loads, and MaxLoadsInFlight the maximum
	// number of adapter loads in progress at once.
	LoadsPerSecond   float64
	MaxLoadsInFlight int
	// BootTime returns a time that advances while the VM is suspended, such as clock.Now, so that
	// the quota owner detects suspensions (clock.SuspendDetector). Nil detects none.
	BootTime func() time.Time
	// RetryBudget limits the retries to each service over all entries, which use the same
	// limit; the zero value means budget.Default.
	RetryBudget budget.Limit
	// QuotaWindow is quota.Owner.QuotaWindow; zero grants a burst once.
	QuotaWindow time.Duration
	// Directory holds the replicas that this and other control processes know; nil means one of
	// the replica's own.
	Directory *locate.Directory
	// Watch runs alongside the replica and submits the content of the operators' folder with
	// Fetch and Submit. It must return when ctx ends. Nil disables it.
	Watch func(ctx context.Context) error
	// ChooseLoad replaces the load coordinator's selection among the candidates; nil keeps the
	// default.
	ChooseLoad func(now time.Time, candidates []permit.Candidate) int

	once    sync.Once
	node    *node.Node
	permits *permit.Coordinator
	// weightStore limits the loads of base models from the weight store.
	weightStore permit.BaseModelLimiter
	machine     state.Machine
	roster      roster.Roster
	feeds       *feeds.Feeds
	quota       *quota.Owner
}

// prepare builds the replica's parts on the first call.
func (d *Daemon) prepare() {
	d.once.Do(func() {
		if d.Directory == nil {
			d.Directory = &locate.Directory{}
		}
		d.permits = &permit.Coordinator{Host: d.Host, LoadsPerSecond: d.LoadsPerSecond, MaxInFlight: d.MaxLoadsInFlight, Choose: d.ChooseLoad}
		d.node = d.newNode()
		d.feeds = &feeds.Feeds{
			Host: d.Host, Name: d.Name, Peers: d.otherReplicas, LoadsPerSecond: d.LoadsPerSecond,
			ReplicaID: func() uint64 { return d.node.Status().ID }, MemberIDs: d.memberIDs,
			Replicas: d.replicaList,
			Machine:  &d.machine, Roster: &d.roster,
			Propose: d.propose, Barrier: d.barrier, OpenStream: d.node.Open,
		}
		d.machine.OnChange = d.feeds.StateChanged
		d.quota = &quota.Owner{
			Host: d.Host, Config: d.committedConfig, CommittedReservation: d.machine.Reservation, Propose: d.commitReservations,
			BootTime: d.BootTime, RetryLimit: cmp.Or(d.RetryBudget, budget.Default), QuotaWindow: d.QuotaWindow,
		}
	})
}

// newNode returns the replicated log, which applies committed commands to the state machine.
func (d *Daemon) newNode() *node.Node {
	n := &node.Node{
		Host: d.Host, Name: d.Name, Address: d.Address, DataDir: d.DataDir, Disk: d.Disk, Seed: d.Seed,
		Voters: d.Voters, FirstVoters: d.FirstVoters, NoBootstrap: d.JoinOnly, ReplaceAfter: d.DeadAfter,
		Apply: func(entry node.Entry) []byte {
			return d.machine.Apply(entry.Time, entry.Term, entry.AppendedBy, entry.Data)
		},
		Snapshot:     d.machine.Snapshot,
		Restore:      d.machine.Restore,
		OnLeadership: d.onLeadershipChange,
		Located:      func() []string { return d.Directory.Known().Addresses },
	}
	for _, peer := range d.Peers {
		n.Peers = append(n.Peers, node.Peer(peer))
	}
	return n
}

// memberIDs returns the IDs of all replicas.
func (d *Daemon) memberIDs() []uint64 {
	var ids []uint64
	for _, member := range d.node.Status().Members {
		ids = append(ids, member.Replica)
	}
	return ids
}

// barrier completes a quorum round, after which the state machine holds every command committed
// before the call.
func (d *Daemon) barrier(ctx context.Context) error {
	_, err := d.node.Barrier(ctx)
	return err
}

// otherReplicas returns the names of the other replicas. With Voters set any replica may join,
// so these are the members of the group; otherwise they are the configured peers.
func (d *Daemon) otherReplicas() []string {
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

// replicaList returns the voting replicas, which daemons connect to.
func (d *Daemon) replicaList() plane.ReplicaList {
	status := d.node.Status()
	list := plane.ReplicaList{Index: status.MembersIndex}
	for _, member := range status.Members {
		if member.Voter {
			list.Addresses = append(list.Addresses, member.Address)
		}
	}
	slices.Sort(list.Addresses)
	list.Addresses = slices.Compact(list.Addresses)
	return list
}

// serves reports whether this replica belongs to the group. One that was replaced while it was
// down does not know it, but may have heard of a newer membership.
func (d *Daemon) serves() bool {
	own, known := d.replicaList(), d.Directory.Known()
	return d.node.IsMember() && (own.Index >= known.Index || slices.Contains(known.Addresses, d.Address))
}

// onLeadershipChange starts or ends this replica's grants of tokens and loads. A replica that
// lost the leadership ends its permit streams, so that agents find the next leader and only one
// coordinator spends the load budget.
func (d *Daemon) onLeadershipChange(term uint64, leading bool) {
	d.quota.SetLeadership(term, leading)
	d.permits.Reset(term)
	d.weightStore.Reset()
}

// Run serves until ctx ends. Then it closes the daemons' feeds, returns the reserved tokens,
// hands the leadership over and stops.
func (d *Daemon) Run(ctx context.Context) error {
	d.prepare()
	listener, err := d.Host.Listen(d.Address)
	if err != nil {
		return &Error{Op: "listen on " + d.Address, Kind: KindListen, Err: err}
	}
	d.Directory.SetReplica(d.replicaList)
	defer d.Directory.SetReplica(nil)
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
	workers.Go(func() { d.commitExpiries(working) })
	workers.Go(func() { d.runWatch(working) })
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

// runWatch runs Watch, if it is set, until ctx ends.
func (d *Daemon) runWatch(ctx context.Context) {
	if d.Watch == nil {
		return
	}
	if err := d.Watch(ctx); err != nil && ctx.Err() == nil {
		d.Host.Log.Write("watch-ended", "err", err)
	}
}

// commitExpiries commits a command whenever a claim or ban is due to expire: the commit advances
// the committed time, by which the state machine expires them. The same command tells a later
// leader, which cannot know it, which changes of endpoints are too old to matter to streams. It
// also reports the size of the claim ledger.
func (d *Daemon) commitExpiries(ctx context.Context) {
	pause.Every(ctx, expiryInterval, func() {
		claims, size := d.machine.Claims()
		d.Host.Meter.Set("claims", int64(claims))
		d.Host.Meter.Set("claims_bytes", size)
		if !d.node.Status().Leading {
			return
		}
		aged, due := d.machine.AgedEndpoints(time.Now())
		if !due && !d.machine.Due(d.node.Now()) {
			return
		}
		if _, err := d.propose(ctx, &state.Command{AgedRevision: aged}); err != nil {
			d.Host.Log.Write("expiry-not-committed", "err", err)
		}
	})
}

// Status returns this replica's view of the group, the endpoints and the entries.
func (d *Daemon) Status() *plane.Status {
	d.prepare()
	status := d.node.Status()
	bans, _ := d.machine.Bans()
	return &plane.Status{
		Replica: status.ID, Name: d.Name, Leader: status.Leader, Term: status.Term, Commit: status.Commit,
		ConfigNumber: d.machine.Number(), Members: status.Members, Endpoints: d.roster.All(), Bans: bans,
		Burn: d.feeds.BurnWindows(), Entries: d.feeds.Entries(), WantedVoters: int32(status.WantedVoters),
	}
}
