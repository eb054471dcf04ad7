package node

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// pollInterval is the time between two looks at an order's progress.
const pollInterval = 50 * time.Millisecond

// Status is one replica's view of the group.
type Status struct {
	ID uint64
	// Leader is the leader's name, empty when none is known.
	Leader string
	Term   uint64
	// Commit is the last entry known to be committed, Applied the last one
	// applied.
	Commit, Applied uint64
	// Members has lag and silence only at the leader.
	Members []plane.Member
	Leading bool
}

// Status returns the replica's present view.
func (n *Node) Status() Status {
	n.setUp()
	view := n.status.Load()
	if view == nil {
		return Status{}
	}
	applied, _ := n.applier.progress()
	s := Status{ID: view.ID, Term: view.Term, Commit: view.Commit, Applied: applied, Leading: view.Leading}
	for _, m := range view.Members {
		if m.ID == view.Leader {
			s.Leader = m.Name
		}
		shown := plane.Member{Replica: m.ID, Name: m.Name, Address: n.outlets.present(m.ID, m.Address), Voter: m.Voter}
		if view.Leading {
			shown.LagEntries = view.Commit - min(m.Match, view.Commit)
			shown.SilentFor = span.Duration(time.Duration(m.SilentTicks) * tick)
		}
		s.Members = append(s.Members, shown)
	}
	return s
}

// Open starts a stream to another replica by name. It waits for a session
// until ctx ends.
func (n *Node) Open(ctx context.Context, replica, method string) (*wire.Stream, error) {
	n.setUp()
	out := n.outlets.to(n.addressOf(replica))
	if out == nil {
		return nil, &Error{Op: "open stream to " + replica, Kind: KindNoReplica}
	}
	session, err := out.get(ctx)
	if err != nil {
		return nil, err
	}
	return session.Open(method)
}

// addressOf prefers the leader's and then a voter's address among members of
// one name.
func (n *Node) addressOf(name string) string {
	address := ""
	if view := n.status.Load(); view != nil {
		voter := false
		for _, m := range view.Members {
			if m.Name != name {
				continue
			}
			if m.ID == view.Leader {
				return n.outlets.present(m.ID, m.Address)
			}
			if address == "" || (m.Voter && !voter) {
				address, voter = n.outlets.present(m.ID, m.Address), m.Voter
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

// TransferLeadership hands the leadership to the named voter and returns once it is gone
// from here.
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

// Replace lets the learner of this name take the place of the voter that it
// succeeds without waiting for proof that the voter is dead, and returns when
// that is committed. Only the leader can.
func (n *Node) Replace(ctx context.Context, name string) error {
	leading := false
	if err := n.call(ctx, func(l *loop) {
		leading = l.leading != 0
		l.wanted[name] = leading
	}); err != nil {
		return err
	}
	if !leading {
		return &Error{Op: "replace", Kind: KindNotLeader}
	}
	defer func() { _ = n.post(ctx, event{run: func(l *loop) { delete(l.wanted, name) }}) }()
	first := n.Status()
	return n.poll(ctx, "replace "+name, func(s Status) (bool, Kind) {
		if !s.Leading {
			return false, KindNotLeader
		}
		return replaced(first, s, name), ""
	})
}

// replaced reports whether the only member of a name is a voter that was none
// before and that has synced all that is committed.
func replaced(before, after Status, name string) bool {
	old := map[uint64]bool{}
	for _, m := range before.Members {
		old[m.Replica] = m.Voter
	}
	done := false
	for _, m := range after.Members {
		if m.Name != name {
			continue
		}
		if !m.Voter || old[m.Replica] || m.LagEntries > 0 {
			return false
		}
		done = true
	}
	return done
}

// poll waits until a condition holds.
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
