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

// describeEntries returns each entry's content and the term of its predecessor.
func describeEntries(core *raft.Core, entries []raft.Entry) map[entryID]string {
	last := core.Status().Last
	log := core.Log()
	noted := map[entryID]string{}
	for _, entry := range entries {
		before := len(log) - 2 - int(last-entry.Index)
		if before >= 0 {
			noted[entryID{entry.Index, entry.Term}] = fmt.Sprint(log[before].Term, entry.Time, string(entry.Data))
		}
	}
	return noted
}

// checkEntries checks the log matching property: an entry with the same index and
// term has the same content at all replicas, at all times.
func (s *sim) checkEntries(noted map[entryID]string) {
	for at, content := range noted {
		if known, ok := s.history.entries[at]; ok && known != content {
			s.t.Fatalf("log matching: entry %d of term %d differs", at.index, at.term)
		}
		s.history.entries[at] = content
	}
}

// checkStep checks the invariants of every step: one leader per term, leaders that
// have all committed entries, and one membership change at a time.
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
	leader, known := s.history.leaders[status.Term]
	if known && leader != r.id {
		s.t.Fatalf("election safety: %d and %d lead in term %d", leader, r.id, status.Term)
	}
	if !known {
		s.history.leaders[status.Term] = r.id
		s.checkComplete(r, status, log)
	}
	s.checkChanges(status, log)
}

// checkComplete checks that a new leader has all committed entries.
func (s *sim) checkComplete(r *replica, status raft.Status, log []raft.Entry) {
	first := status.Last + 1 - uint64(len(log))
	if status.Last < s.history.commit {
		s.t.Fatalf("leader completeness: %d leads with %d entries, committed are %d", r.id, status.Last, s.history.commit)
	}
	for index := first; index <= s.history.commit; index++ {
		if log[index-first].Term != s.history.terms[index] {
			s.t.Fatalf("leader completeness: %d lacks entry %d", r.id, index)
		}
	}
}

func (s *sim) checkChanges(status raft.Status, log []raft.Entry) {
	inflight := 0
	for _, entry := range log {
		if entry.Kind == raft.EntryMembership && entry.Index > status.Commit && entry.Term == status.Term {
			inflight++
		}
	}
	if inflight > 1 {
		s.t.Fatalf("%d membership changes of term %d in flight", inflight, status.Term)
	}
}

// checkApplied compares a replica's state with the state of other replicas at the
// same index.
func (s *sim) checkApplied(r *replica) {
	index := r.at.Index
	if known, ok := s.history.states[index]; ok && known != r.state {
		s.t.Fatalf("state machine safety: replica %d differs at entry %d", r.id, index)
	}
	s.history.states[index] = r.state
	s.history.terms[index] = r.at.Term
	s.history.commit = max(s.history.commit, index)
}

// expendable reports whether this replica's disk may be lost: the group has
// committed entries, and every membership that a replica has applied or last used
// keeps a majority of intact disks.
func (s *sim) expendable(id uint64) bool {
	if s.history.commit == 0 {
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

// removable reports whether the voters without id have a majority of intact disks.
func (s *sim) removable(r *replica, id uint64) bool {
	return s.survives(r.group, 0, id)
}

// replaceable reports whether majorities before, during and after a replacement have
// intact disks.
func (s *sim) replaceable(r *replica, id, replaced uint64) bool {
	var group []raft.Member
	for _, member := range r.group {
		if member.ID == id {
			member.Voter = true
		}
		group = append(group, member)
	}
	return s.survives(r.group, 0, 0) && s.survives(group, 0, replaced)
}

// survives reports whether a majority of the voters other than removed has an
// intact disk when the disk of lost fails. During a replacement, it reports so for
// the voters before and after it.
func (s *sim) survives(group []raft.Member, lost, removed uint64) bool {
	return s.survivesWithout(raft.TransitionJoining, group, lost, removed) &&
		s.survivesWithout(raft.TransitionLeaving, group, lost, removed)
}

func (s *sim) survivesWithout(excluded raft.Transition, group []raft.Member, lost, removed uint64) bool {
	voters, intact := 0, 0
	for _, member := range group {
		if !member.Voter || member.ID == removed || member.Transition == excluded {
			continue
		}
		voters++
		if member.ID != lost && !s.history.lost[member.ID] {
			intact++
		}
	}
	return voters == 0 || intact > voters/2
}
