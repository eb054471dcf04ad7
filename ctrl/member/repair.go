package member

import (
	"slices"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

// Repair says when replicas are replaced. All fields count the core's ticks.
type Repair struct {
	// Names are those that the group should have.
	Names []string
	// Dead is how long a voter must have been silent before a learner of the
	// same name takes its place without being asked for.
	Dead int
	// Alive is how long a replica that counts as alive may be silent.
	Alive int
}

// Next returns the next membership change that the leader should make, if
// any. Wanted names are replaced without waiting.
//
// The old replica is removed before the new one becomes a voter. The other
// order raises the majority of three to three of four while one is known to
// be dead, so that the loss of the new replica would stop two healthy ones;
// this order never needs more of them than before.
func (r Repair) Next(status raft.Status, wanted map[string]bool) (raft.Change, bool) {
	for _, learner := range status.Members {
		if learner.Voter || learner.Match < status.Commit || learner.Silent > r.Alive {
			continue
		}
		old, found := voterNamed(status, learner.Name)
		if !found {
			if wanted[learner.Name] || slices.Contains(r.Names, learner.Name) {
				return raft.Change{Operation: raft.OperationPromote, Member: learner.Member}, true
			}
			continue
		}
		if old.ID == status.ID || (!wanted[learner.Name] && old.Silent < r.Dead) {
			continue
		}
		if r.holdsWithout(status, old.ID) {
			return raft.Change{Operation: raft.OperationRemove, Member: old.Member}, true
		}
	}
	return raft.Change{}, false
}

func voterNamed(status raft.Status, name string) (raft.Standing, bool) {
	for _, member := range status.Members {
		if member.Voter && member.Name == name {
			return member, true
		}
	}
	return raft.Standing{}, false
}

// holdsWithout reports whether the voters but one, by themselves, have a
// majority that is alive.
func (r Repair) holdsWithout(status raft.Status, id uint64) bool {
	voters, alive := 0, 0
	for _, member := range status.Members {
		if !member.Voter || member.ID == id {
			continue
		}
		voters++
		if member.ID == status.ID || member.Silent <= r.Alive {
			alive++
		}
	}
	return alive > voters/2
}
