package member

import (
	"slices"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

// RepairPolicy says when replicas are replaced. All fields count the core's ticks.
type RepairPolicy struct {
	// Names are those that the group should have, unless Voters is set.
	Names []string
	// DeadTicks is how long a voter must have been silent before a learner of the
	// same name takes its place without being asked for.
	DeadTicks int
	// AliveTicks is how long a replica that counts as alive may be silent.
	AliveTicks int
	// TargetVoters is how many voters a group should have that any replica may
	// join; 0 keeps the group to Names.
	TargetVoters int
}

// Next returns the next membership change that the leader should make, if
// any. Wanted names are replaced without waiting.
//
// The old replica is removed before the new one becomes a voter. The other
// order raises the majority of three to three of four while one is known to
// be dead, so that the loss of the new replica would stop two healthy ones;
// this order never needs more of them than before.
func (r RepairPolicy) Next(status raft.Status, wanted map[string]bool) (raft.Change, bool) {
	for _, learner := range status.Members {
		if learner.Voter || learner.Match < status.Commit || learner.SilentTicks > r.AliveTicks {
			continue
		}
		if change, ok := r.admit(status, learner, wanted); ok {
			return change, true
		}
	}
	return raft.Change{}, false
}

// admit returns the next step of a learner that is ready on its way to be a
// voter.
func (r RepairPolicy) admit(status raft.Status, learner raft.MemberStatus, wanted map[string]bool) (raft.Change, bool) {
	promote := raft.Change{Operation: raft.OperationPromote, Member: learner.Member}
	old, found := voterNamed(status, learner.Name)
	if !found && r.TargetVoters > 0 {
		if voters(status) < r.TargetVoters {
			return promote, true
		}
		old, found = r.deadVoter(status)
		if !found {
			return raft.Change{}, false
		}
		return raft.Change{Operation: raft.OperationRemove, Member: old.Member}, r.holdsWithout(status, old.ID)
	}
	if !found {
		return promote, wanted[learner.Name] || slices.Contains(r.Names, learner.Name)
	}
	if old.ID == status.ID || (!wanted[learner.Name] && old.SilentTicks < r.DeadTicks) {
		return raft.Change{}, false
	}
	return raft.Change{Operation: raft.OperationRemove, Member: old.Member}, r.holdsWithout(status, old.ID)
}

func voters(status raft.Status) int {
	count := 0
	for _, member := range status.Members {
		if member.Voter {
			count++
		}
	}
	return count
}

// deadVoter returns the voter that has been silent for longest, if it counts
// as dead.
func (r RepairPolicy) deadVoter(status raft.Status) (raft.MemberStatus, bool) {
	var dead raft.MemberStatus
	for _, member := range status.Members {
		if member.Voter && member.ID != status.ID && member.SilentTicks >= max(r.DeadTicks, dead.SilentTicks) {
			dead = member
		}
	}
	return dead, dead.ID != 0
}

func voterNamed(status raft.Status, name string) (raft.MemberStatus, bool) {
	for _, member := range status.Members {
		if member.Voter && member.Name == name {
			return member, true
		}
	}
	return raft.MemberStatus{}, false
}

// holdsWithout reports whether the voters but one, by themselves, have a
// majority that is alive.
func (r RepairPolicy) holdsWithout(status raft.Status, id uint64) bool {
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
