package raft

import "slices"

// Status is a replica's view of the group.
type Status struct {
	ID, Leader, Term      uint64
	Commit, Applied, Last uint64
	Leading               bool
	// Settled says that the replica leads and the membership is committed.
	Settled bool
	// Empty says that the replica never took part in any group.
	Empty   bool
	Members []MemberStatus
}

// MemberStatus is one member as the leader sees it.
type MemberStatus struct {
	Member
	// Match is the last entry known to be synced there, Silent the number
	// of ticks since the member was heard; both only at the leader.
	Match       uint64
	SilentTicks int
}

// Status returns the replica's view.
func (c *Core) Status() Status {
	s := Status{
		ID: c.config.ID, Leader: c.leader, Term: c.hard.Term,
		Commit: c.commit, Applied: c.applied, Last: c.log.last(),
		Leading: c.role == roleLeader,
		Settled: c.role == roleLeader && c.knowsCommit() && c.groups[len(c.groups)-1].index <= c.commit,
		Empty:   c.hard.Term == 0 && c.log.last() == 0,
	}
	for _, member := range c.members() {
		standing := MemberStatus{Member: member}
		if peer := c.peers[member.ID]; peer != nil && member.ID != c.config.ID {
			standing.Match, standing.SilentTicks = peer.match, peer.heard
		} else if member.ID == c.config.ID {
			standing.Match = c.log.last()
		}
		s.Members = append(s.Members, standing)
	}
	return s
}

// Successor returns the voter that is best prepared to lead, 0 if there is
// none.
func (c *Core) Successor() uint64 {
	if c.role != roleLeader {
		return 0
	}
	var best uint64
	for _, member := range c.members() {
		if !member.Voter || member.ID == c.config.ID || c.peers[member.ID].heard >= c.config.ElectionTicks {
			continue
		}
		if best == 0 || c.peers[member.ID].match > c.peers[best].match {
			best = member.ID
		}
	}
	return best
}

// Log returns the entries that the replica still holds, for checks.
func (c *Core) Log() []Entry { return slices.Clone(c.log.entries) }
