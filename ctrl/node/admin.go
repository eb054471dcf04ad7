package node

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// pollInterval is the time between two checks of an operator command's progress.
const pollInterval = 50 * time.Millisecond

// Status is one replica's view of the group.
type Status struct {
	ID uint64
	// Leader is the leader's name; empty if no leader is known.
	Leader string
	Term   uint64
	// Commit is the index of the last entry known to be committed, Applied that of
	// the last applied one.
	Commit, Applied uint64
	// Members are the replicas of the group. Their LagEntries and SilentFor are set
	// only at the leader.
	Members []plane.Member
	// MembersIndex is the index of the log entry that set the membership.
	MembersIndex uint64
	// WantedVoters is the number of voters that the tolerated failures need.
	WantedVoters int
	Leading      bool
}

// Status returns the replica's current view. It is empty before Run has opened the
// data folder.
func (n *Node) Status() Status {
	n.initialize()
	view := n.status.Load()
	if view == nil {
		return Status{}
	}
	applied, _ := n.applier.progress()
	s := Status{ID: view.ID, Term: view.Term, Commit: view.Commit, Applied: applied, MembersIndex: view.MembersIndex, WantedVoters: n.wantedVoters(), Leading: view.Leading}
	for _, m := range view.Members {
		if m.ID == view.Leader {
			s.Leader = m.Name
		}
		member := plane.Member{Replica: m.ID, Name: m.Name, Address: n.conns.currentAddress(m.ID, m.Address), Voter: m.Voter}
		if view.Leading {
			member.LagEntries = view.Commit - min(m.Match, view.Commit)
			member.SilentFor = span.Duration(time.Duration(m.SilentTicks) * tickInterval)
		}
		s.Members = append(s.Members, member)
	}
	return s
}

// IsMember reports whether this replica belongs to the group, to the best of its knowledge.
func (n *Node) IsMember() bool {
	view := n.status.Load()
	return view != nil && isMember(*view, view.ID)
}

// Open opens a stream to another replica by name. It waits for a session until ctx
// ends.
func (n *Node) Open(ctx context.Context, replica, method string) (*wire.Stream, error) {
	n.initialize()
	conn := n.conns.connTo(n.addressOf(replica))
	if conn == nil {
		return nil, &Error{Op: "open stream to " + replica, Kind: KindNoReplica}
	}
	session, err := conn.waitSession(ctx)
	if err != nil {
		return nil, err
	}
	return session.Open(method)
}

// addressOf returns the address of a replica by name. If several members have the
// name, it prefers the leader, then a voter. Configured peers that are no members
// are used last.
func (n *Node) addressOf(name string) string {
	address := ""
	if view := n.status.Load(); view != nil {
		voter := false
		for _, m := range view.Members {
			if m.Name != name {
				continue
			}
			if m.ID == view.Leader {
				return n.conns.currentAddress(m.ID, m.Address)
			}
			if address == "" || (m.Voter && !voter) {
				address, voter = n.conns.currentAddress(m.ID, m.Address), m.Voter
			}
		}
	}
	for _, peer := range n.Peers {
		if address == "" && peer.Name == name {
			address = peer.Address
		}
	}
	return address
}

// TransferLeadership transfers the leadership to the named voter and returns once
// this replica no longer leads.
func (n *Node) TransferLeadership(ctx context.Context, name string) error {
	var refused raft.Kind
	err := n.call(ctx, func(l *loop) {
		refused = raft.KindInvalidMember
		for _, m := range l.core.Status().Members {
			if m.Voter && m.Name == name {
				refused = l.step(raft.Input{Transfer: m.ID})
			}
		}
	})
	if err != nil {
		return err
	}
	switch refused {
	case raft.KindNotLeader:
		return &Error{Op: "move", Kind: KindNotLeader}
	case raft.KindInvalidMember:
		return &Error{Op: "move to " + name, Kind: KindNoReplica}
	}
	return n.poll(ctx, "move to "+name, func(s Status) (bool, Kind) { return !s.Leading, "" })
}

// Replace promotes the learner of this name without waiting for proof that the
// voter it replaces is dead. It returns once the change is committed. Only the
// leader can do it.
func (n *Node) Replace(ctx context.Context, name string) error {
	leading := false
	if err := n.call(ctx, func(l *loop) {
		leading = l.leadingTerm != 0
		l.replaceNow[name] = leading
	}); err != nil {
		return err
	}
	if !leading {
		return &Error{Op: "replace", Kind: KindNotLeader}
	}
	defer func() { _ = n.post(ctx, event{run: func(l *loop) { delete(l.replaceNow, name) }}) }()
	before := n.Status()
	return n.poll(ctx, "replace "+name, func(s Status) (bool, Kind) {
		if !s.Leading {
			return false, KindNotLeader
		}
		return replacementDone(before, s, name), ""
	})
}

// replacementDone reports whether all members of a name are voters that were not
// voters before, and have synced everything committed. It is false if there is no
// such member.
func replacementDone(before, after Status, name string) bool {
	wasVoter := map[uint64]bool{}
	for _, m := range before.Members {
		wasVoter[m.Replica] = m.Voter
	}
	done := false
	for _, m := range after.Members {
		if m.Name != name {
			continue
		}
		if !m.Voter || wasVoter[m.Replica] || m.LagEntries > 0 {
			return false
		}
		done = true
	}
	return done
}

// poll waits until a condition holds or returns a kind of failure.
func (n *Node) poll(ctx context.Context, op string, holds func(Status) (bool, Kind)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		done, kind := holds(n.Status())
		if kind != "" {
			return &Error{Op: op, Kind: kind}
		}
		if done {
			return nil
		}
		select {
		case <-ticker.C:
		case <-n.done:
			return &Error{Op: op, Kind: KindStopped}
		case <-ctx.Done():
			return &Error{Op: op, Kind: KindTimeout, Err: ctx.Err()}
		}
	}
}
