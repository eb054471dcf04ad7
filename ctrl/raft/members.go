package raft

import (
	"slices"

	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
)

// membershipAt is a membership and the index of the entry that set it.
type membershipAt struct {
	index   uint64
	members []Member
}

// members returns the membership in force: that of the newest entry in the
// log, committed or not.
func (c *Core) members() []Member { return c.memberships[len(c.memberships)-1].members }

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

// majority reports whether holds is true for more than half of the voters, during a
// replacement for more than half of the voters before and after it.
func (c *Core) majority(holds func(id uint64) bool) bool {
	return c.majorityWithout(TransitionJoining, holds) && c.majorityWithout(TransitionLeaving, holds)
}

// majorityWithout is majority without the voters in a transition.
func (c *Core) majorityWithout(excluded Transition, holds func(id uint64) bool) bool {
	voters, yes := 0, 0
	for _, member := range c.members() {
		if !member.Voter || member.Transition == excluded {
			continue
		}
		voters++
		if holds(member.ID) {
			yes++
		}
	}
	return yes > voters/2
}

// completeReplacement ends a committed replacement. A leader that is to be replaced
// undoes it instead: it is alive.
func (c *Core) completeReplacement() {
	if !c.hasCommittedInTerm() || c.memberships[len(c.memberships)-1].index > c.commit {
		return
	}
	own, _ := c.member(c.config.ID)
	var members []Member
	for _, member := range c.members() {
		switch {
		case member.Transition == TransitionLeaving && own.Transition != TransitionLeaving:
			continue
		case member.Transition == TransitionJoining && own.Transition == TransitionLeaving:
			member.Voter = false
		}
		member.Transition = TransitionNone
		members = append(members, member)
	}
	if slices.Equal(members, c.members()) {
		return
	}
	c.appendMembers(members)
	c.replicate()
}

// applyMembership makes the membership of an appended entry the current one.
func (c *Core) applyMembership(entry Entry) error {
	if entry.Kind != EntryMembership {
		return nil
	}
	var members Membership
	if err := codec.Decode(entry.Data, &members); err != nil {
		return err
	}
	c.memberships = append(c.memberships, membershipAt{index: entry.Index, members: members.Members})
	return nil
}

// revertMemberships drops the memberships set by index and later entries.
func (c *Core) revertMemberships(index uint64) {
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// changeMembership appends a membership change, or rejects it while it is unsafe.
func (c *Core) changeMembership(change Change) {
	members, kind := c.checkedChange(change)
	if kind != KindNone {
		c.out.Rejection = kind
		return
	}
	c.appendMembers(members)
	c.replicate()
}

// checkedChange returns the membership after the change, or the reason to reject
// the change.
func (c *Core) checkedChange(change Change) ([]Member, Kind) {
	if c.role != roleLeader {
		return nil, KindNotLeader
	}
	if c.transferTarget != 0 {
		return nil, KindTransferring
	}
	// Until an entry of its own term is committed, the leader may not know of a
	// change that an earlier leader committed or has in flight.
	if !c.hasCommittedInTerm() {
		return nil, KindNotReady
	}
	if c.memberships[len(c.memberships)-1].index > c.commit {
		return nil, KindPending
	}
	return c.membershipAfter(change)
}

// membershipAfter returns the membership after the change.
func (c *Core) membershipAfter(change Change) ([]Member, Kind) {
	members := slices.Clone(c.members())
	at := slices.IndexFunc(members, func(m Member) bool { return m.ID == change.Member.ID })
	switch change.Operation {
	case OperationLearn:
		if at >= 0 || change.Member.ID == 0 {
			return nil, KindInvalidMember
		}
		members = slices.DeleteFunc(members, func(m Member) bool { return !m.Voter && m.Name == change.Member.Name })
		if len(members) >= max(MaxMembers, countVoters(members)+MinLearners) {
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
	case OperationReplace:
		old := slices.IndexFunc(members, func(m Member) bool { return m.ID == change.ReplacedID })
		if at < 0 || members[at].Voter || old < 0 || !members[old].Voter || change.ReplacedID == c.config.ID {
			return nil, KindInvalidMember
		}
		if c.peers[change.Member.ID].match < c.commit {
			return nil, KindBehind
		}
		members[at].Voter, members[at].Transition = true, TransitionJoining
		members[old].Transition = TransitionLeaving
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

func countVoters(members []Member) int {
	count := 0
	for _, member := range members {
		if member.Voter {
			count++
		}
	}
	return count
}

// appendMembers appends an entry with the new membership.
func (c *Core) appendMembers(members []Member) {
	data, err := codec.Encode(&Membership{Members: members})
	if err != nil {
		c.out.Err = err
		return
	}
	c.appendOwn(EntryMembership, data)
	c.refreshPeers(c.log.last())
}

// refreshPeers makes the progress records match the current membership. New
// records start at the entry next, which the caller must have appended or must
// append at once; otherwise nothing is sent to the new members.
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

// bootstrap appends the first entry of a new group. Only one replica may do so,
// and only after all members reported that they are empty.
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
	// The first election starts at the next tick, without waiting for a timeout.
	c.elapsed = c.electionTimeout
}
