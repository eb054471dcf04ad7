package member

import (
	"slices"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

// RepairPolicy decides when replicas are replaced. Its durations are in ticks of
// raft.Core.
type RepairPolicy struct {
	// Names are the members that the group should have, unless TargetVoters is set.
	Names []string
	// DeadTicks is the silence after which a voter counts as dead. A learner of the
	// same name then replaces it without an operator's request; if TargetVoters is
	// set, any learner does.
	DeadTicks int
	// AliveTicks is the maximum silence of a replica that counts as alive.
	AliveTicks int
	// PromptTicks is the maximum silence of the voters beside which an odd number of
	// voters gets one more.
	PromptTicks int
	// TargetVoters is the number of voters of a group that any replica may join; 0
	// limits the group to Names.
	TargetVoters int
}

// Next returns the next membership change that the leader should make, if any.
// Replicas whose names are in requested are replaced without waiting for DeadTicks.
//
// The new replica takes the place of the old one in one change. If the old one were
// removed first, the group could lose one disk less until the new one is a voter. If it
// were removed last, the loss of the new one could stop the others.
func (r RepairPolicy) Next(status raft.Status, requested map[string]bool) (raft.Change, bool) {
	for _, learner := range status.Members {
		if learner.Voter || learner.Match < status.Commit || learner.SilentTicks > r.AliveTicks {
			continue
		}
		if change, ok := r.nextStep(status, learner, requested); ok {
			return change, true
		}
	}
	return raft.Change{}, false
}

// nextStep returns the next step towards making an up-to-date learner a voter: the
// replacement of a dead voter, or its promotion. A group with more voters than
// TargetVoters only loses the dead one.
func (r RepairPolicy) nextStep(status raft.Status, learner raft.MemberStatus, requested map[string]bool) (raft.Change, bool) {
	promote := raft.Change{Operation: raft.OperationPromote, Member: learner.Member}
	old, found := voterNamed(status, learner.Name)
	if !found && r.TargetVoters > 0 {
		old, found = r.deadVoter(status)
		if !found {
			if countVoters(status) >= r.TargetVoters || !r.mayPromote(status) {
				return raft.Change{}, false
			}
			return promote, true
		}
		if countVoters(status) > r.TargetVoters {
			return raft.Change{Operation: raft.OperationRemove, Member: old.Member}, r.hasMajorityWithout(status, old.ID)
		}
	}
	if !found {
		return promote, requested[learner.Name] || slices.Contains(r.Names, learner.Name)
	}
	if old.ID == status.ID || (!requested[learner.Name] && old.SilentTicks < r.DeadTicks) {
		return raft.Change{}, false
	}
	replace := raft.Change{Operation: raft.OperationReplace, Member: learner.Member, ReplacedID: old.ID}
	return replace, r.hasMajorityWithout(status, old.ID)
}

// mayPromote reports whether the group bears the loss of any voter after a promotion that it
// bears before. One more voter raises the majority of an odd number of voters, which must
// then all be alive: {a, b, c} without c goes on, {a, b, c, d} without c and d stands still.
func (r RepairPolicy) mayPromote(status raft.Status) bool {
	if countVoters(status)%2 == 0 {
		return true
	}
	return !slices.ContainsFunc(status.Members, func(member raft.MemberStatus) bool {
		// A member without a match has not answered this leader yet.
		return member.Voter && member.ID != status.ID && (member.SilentTicks > r.PromptTicks || member.Match == 0)
	})
}

func countVoters(status raft.Status) int {
	count := 0
	for _, member := range status.Members {
		if member.Voter {
			count++
		}
	}
	return count
}

// deadVoter returns the voter with the longest silence, if the voter counts as dead.
func (r RepairPolicy) deadVoter(status raft.Status) (raft.MemberStatus, bool) {
	var dead raft.MemberStatus
	for _, member := range status.Members {
		if member.Voter && member.ID != status.ID && member.SilentTicks >= max(r.DeadTicks, dead.SilentTicks) {
			dead = member
		}
	}
	return dead, dead.ID != 0
}

// voterNamed returns the voter with this name.
func voterNamed(status raft.Status, name string) (raft.MemberStatus, bool) {
	for _, member := range status.Members {
		if member.Voter && member.Name == name {
			return member, true
		}
	}
	return raft.MemberStatus{}, false
}

// hasMajorityWithout reports whether a majority of the voters that remain without the
// voter id is alive.
func (r RepairPolicy) hasMajorityWithout(status raft.Status, id uint64) bool {
	voters, alive := 0, 0
	for _, member := range status.Members {
		if !member.Voter || member.ID == id {
			continue
		}
		voters++
		if member.ID == status.ID || member.SilentTicks <= r.AliveTicks {
			alive++
		}
	}
	return alive > voters/2
}
