package raft

import "slices"

// Status is a replica's view of the group.
type Status struct {
	ID, Leader, Term      uint64
	Commit, Applied, Last uint64
	Leading               bool
	// Settled reports that the replica leads, has committed an entry of its term
	// and has no uncommitted membership change.
	Settled bool
	// Empty reports that the replica was never part of a group.
	Empty   bool
	Members []MemberStatus
	// MembersIndex is the index of the entry that set the membership, or of the
	// snapshot that contains it.
	MembersIndex uint64
}

// MemberStatus is the state of one member as known to this replica.
type MemberStatus struct {
	Member
	// Match is the last entry known to be synced at the member, and SilentTicks
	// the number of ticks since its last message. Only the leader knows both.
	Match       uint64
	SilentTicks int
}

// Status returns the replica's view.
func (c *Core) Status() Status {
	membership := c.memberships[len(c.memberships)-1]
	s := Status{
		MembersIndex: membership.index,
		ID:           c.config.ID, Leader: c.leader, Term: c.hard.Term,
		Commit: c.commit, Applied: c.applied, Last: c.log.last(),
		Leading: c.role == roleLeader,
		Settled: c.role == roleLeader && c.hasCommittedInTerm() && membership.index <= c.commit,
		Empty:   c.hard.Term == 0 && c.log.last() == 0,
	}
	for _, member := range membership.members {
		seen := MemberStatus{Member: member}
		if peer := c.peers[member.ID]; peer != nil && member.ID != c.config.ID {
			seen.Match, seen.SilentTicks = peer.match, peer.ticksSinceHeard
		} else if member.ID == c.config.ID {
			seen.Match = c.log.last()
		}
		s.Members = append(s.Members, seen)
	}
	return s
}

// Successor returns the responsive voter with the most complete log, which is the
// best target of a leadership transfer; 0 if there is none.
func (c *Core) Successor() uint64 {
	if c.role != roleLeader {
		return 0
	}
	var best uint64
	for _, member := range c.members() {
		if !member.Voter || member.ID == c.config.ID || c.peers[member.ID].ticksSinceHeard >= c.config.ElectionTicks {
			continue
		}
		if best == 0 || c.peers[member.ID].match > c.peers[best].match {
			best = member.ID
		}
	}
	return best
}

// Log returns the entries that are not compacted. Tests use it.
func (c *Core) Log() []Entry { return slices.Clone(c.log.entries) }
