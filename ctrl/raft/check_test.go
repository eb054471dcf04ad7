package raft_test

import (
	"fmt"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
)

func decodeMembers(s *sim, entry raft.Entry) []raft.Member {
	var members raft.Membership
	s.must(codec.Decode(entry.Data, &members))
	return members.Members
}

// note returns entries with the terms of their predecessors.
func note(core *raft.Core, entries []raft.Entry) map[place]string {
	last := core.Status().Last
	log := core.Log()
	noted := map[place]string{}
	for _, entry := range entries {
		before := len(log) - 2 - int(last-entry.Index)
		if before >= 0 {
			noted[place{entry.Index, entry.Term}] = fmt.Sprint(log[before].Term, entry.Time, string(entry.Data))
		}
	}
	return noted
}

// checkEntries compares synced entries with all that were ever synced in the
// same place.
func (s *sim) checkEntries(noted map[place]string) {
	for at, content := range noted {
		if known, ok := s.truth.entries[at]; ok && known != content {
			s.t.Fatalf("log matching: entry %d of term %d differs", at.index, at.term)
		}
		s.truth.entries[at] = content
	}
}

// checkStep checks what every step must keep: one leader for each term,
// leaders that have all that is committed, and one membership change at a
// time.
func (s *sim) checkStep(r *replica) {
	status := r.core.Status()
	log := r.core.Log()
	r.group = nil
	for _, standing := range status.Members {
		r.group = append(r.group, standing.Member)
	}
	if !status.Leading {
		return
	}
	leader, known := s.truth.leaders[status.Term]
	if known && leader != r.id {
		s.t.Fatalf("election safety: %d and %d lead in term %d", leader, r.id, status.Term)
	}
	if !known {
		s.truth.leaders[status.Term] = r.id
		s.checkComplete(r, status, log)
	}
	s.checkChanges(status, log)
}

// checkComplete is called for a new leader.
func (s *sim) checkComplete(r *replica, status raft.Status, log []raft.Entry) {
	first := status.Last + 1 - uint64(len(log))
	if status.Last < s.truth.commit {
		s.t.Fatalf("leader completeness: %d leads with %d entries, committed are %d", r.id, status.Last, s.truth.commit)
	}
	for index := first; index <= s.truth.commit; index++ {
		if log[index-first].Term != s.truth.terms[index] {
			s.t.Fatalf("leader completeness: %d lacks entry %d", r.id, index)
		}
	}
}

func (s *sim) checkChanges(status raft.Status, log []raft.Entry) {
	flying := 0
	for _, entry := range log {
		if entry.Kind == raft.EntryMembership && entry.Index > status.Commit && entry.Term == status.Term {
			flying++
		}
	}
	if flying > 1 {
		s.t.Fatalf("%d membership changes of term %d in flight", flying, status.Term)
	}
}

// checkApplied compares a replica's state with the others' at this index.
func (s *sim) checkApplied(r *replica) {
	index := r.at.Index
	if known, ok := s.truth.chain[index]; ok && known != r.state {
		s.t.Fatalf("state machine safety: replica %d differs at entry %d", r.id, index)
	}
	s.truth.chain[index] = r.state
	s.truth.terms[index] = r.at.Term
	s.truth.commit = max(s.truth.commit, index)
}

// expendable reports whether every membership that is or was lately in force
// anywhere keeps a majority of disks without this replica's, and the group is
// begun.
func (s *sim) expendable(id uint64) bool {
	if s.truth.commit == 0 {
		return false
	}
	for _, other := range s.replicas {
		groups := [][]raft.Member{other.at.Members, other.group}
		for _, group := range groups {
			if !s.survives(group, id, 0) {
				return false
			}
		}
	}
	return true
}

// removable reports whether the voters but one keep a majority of disks.
func (s *sim) removable(r *replica, id uint64) bool {
	return s.survives(r.group, 0, id)
}

// survives reports whether a majority of the voters, one of them removed, has
// its disk although another one's is lost too.
func (s *sim) survives(group []raft.Member, lost, removed uint64) bool {
	voters, living := 0, 0
	for _, member := range group {
		if !member.Voter || member.ID == removed {
			continue
		}
		voters++
		if member.ID != lost && !s.truth.lost[member.ID] {
			living++
		}
	}
	return voters == 0 || living > voters/2
}
