package raft

import (
	"slices"

	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
)

// group is the membership in force from an index on.
type group struct {
	index   uint64
	members []Member
}

// members returns the membership in force: that of the newest entry in the
// log, committed or not.
func (c *Core) members() []Member { return c.groups[len(c.groups)-1].members }

func (c *Core) member(id uint64) (Member, bool) {
	for _, member := range c.members() {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func (c *Core) isVoter(id uint64) bool {
	member, ok := c.member(id)
	return ok && member.Voter
}

// majority reports whether more than half of the voters satisfy holds.
func (c *Core) majority(holds func(id uint64) bool) bool {
	voters, yes := 0, 0
	for _, member := range c.members() {
		if !member.Voter {
			continue
		}
		voters++
		if holds(member.ID) {
			yes++
		}
	}
	return yes > voters/2
}

// noteMembers puts the membership of an appended entry in force.
func (c *Core) noteMembers(entry Entry) error {
	if entry.Kind != EntryMembership {
		return nil
	}
	var members Membership
	if err := codec.Decode(entry.Data, &members); err != nil {
		return err
	}
	c.groups = append(c.groups, group{index: entry.Index, members: members.Members})
	return nil
}

// forgetMembers undoes the memberships of entries from index on.
func (c *Core) forgetMembers(index uint64) {
	for len(c.groups) > 1 && c.groups[len(c.groups)-1].index >= index {
		c.groups = c.groups[:len(c.groups)-1]
	}
}

// change appends a membership change if it is safe now.
func (c *Core) change(change Change) {
	members, kind := c.planChange(change)
	if kind != KindNone {
		c.out.Rejection = kind
		return
	}
	c.appendMembers(members)
	c.replicate()
}

func (c *Core) planChange(change Change) ([]Member, Kind) {
	if c.role != roleLeader {
		return nil, KindNotLeader
	}
	if c.transfer != 0 {
		return nil, KindTransferring
	}
	// Without an entry of its own term committed, the leader may not know
	// of a change that a former leader committed or still has in flight.
	if !c.knowsCommit() {
		return nil, KindNotReady
	}
	if c.groups[len(c.groups)-1].index > c.commit {
		return nil, KindPending
	}
	return c.changed(change)
}

// changed returns the membership after the change.
func (c *Core) changed(change Change) ([]Member, Kind) {
	members := slices.Clone(c.members())
	at := slices.IndexFunc(members, func(m Member) bool { return m.ID == change.Member.ID })
	switch change.Operation {
	case OperationLearn:
		if at >= 0 || change.Member.ID == 0 {
			return nil, KindInvalidMember
		}
		members = slices.DeleteFunc(members, func(m Member) bool { return !m.Voter && m.Name == change.Member.Name })
		if len(members) >= MaxMembers {
			return nil, KindFull
		}
		learner := change.Member
		learner.Voter = false
		members = append(members, learner)
	case OperationPromote:
		if at < 0 || members[at].Voter {
			return nil, KindInvalidMember
		}
		if c.peers[change.Member.ID].match < c.commit {
			return nil, KindBehind
		}
		members[at].Voter = true
	case OperationRemove:
		if at < 0 || change.Member.ID == c.config.ID {
			return nil, KindInvalidMember
		}
		members = slices.Delete(members, at, at+1)
	default:
		return nil, KindInvalidMember
	}
	slices.SortFunc(members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return members, KindNone
}

func (c *Core) appendMembers(members []Member) {
	data, err := codec.Encode(&Membership{Members: members})
	if err != nil {
		c.out.Err = err
		return
	}
	c.appendOwn(EntryMembership, data)
	c.refreshPeers(c.log.last())
}

// refreshPeers makes the progress records match the membership in force. New
// ones begin with the entry next, which must be in the log soon, or nothing
// would be sent.
func (c *Core) refreshPeers(next uint64) {
	if c.role != roleLeader {
		return
	}
	old := c.peers
	c.peers = map[uint64]*progress{}
	for _, member := range c.members() {
		c.peers[member.ID] = old[member.ID]
		if old[member.ID] == nil {
			c.peers[member.ID] = &progress{next: next}
		}
	}
}

// bootstrap makes the first entry of a new group. Only one replica may do so,
// and only after all members said that they are empty.
func (c *Core) bootstrap(members []Member) {
	if c.log.last() != 0 || c.hard.Term != 0 {
		c.out.Rejection = KindConflict
		return
	}
	c.hard = HardState{Term: 1}
	data, err := codec.Encode(&Membership{Members: members})
	if err != nil {
		c.out.Err = err
		return
	}
	entry := Entry{Index: 1, Term: 1, Time: c.now, Kind: EntryMembership, Data: data}
	c.appendEntries([]Entry{entry})
	// The first election need not wait for a timeout.
	c.elapsed = c.timeout
}
