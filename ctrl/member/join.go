package member

import (
	"slices"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

// JoinRequest is a replica's question to a peer, and its request to be admitted as a
// learner if the peer leads.
type JoinRequest struct {
	ID      uint64 `protobuf:"varint,1,opt"`
	Name    string `protobuf:"bytes,2,opt"`
	Address string `protobuf:"bytes,3,opt"`
	// Empty says that the replica never took part in a group.
	Empty bool `protobuf:"varint,4,opt"`
}

// Check reports the first invalid field.
func (a *JoinRequest) Check() error {
	if a.ID == 0 || a.Name == "" || a.Address == "" {
		return &Error{Op: "check ask", Kind: KindRequest}
	}
	return nil
}

// JoinResponse is what a peer says of itself.
type JoinResponse struct {
	ID      uint64 `protobuf:"varint,1,opt"`
	Name    string `protobuf:"bytes,2,opt"`
	Address string `protobuf:"bytes,3,opt"`
	Empty   bool   `protobuf:"varint,4,opt"`
	// Peers are the names and addresses of the group that the peer was told
	// of, in order, with a comma behind each.
	Peers string `protobuf:"bytes,5,opt"`
	// Removed says that the peer leads and that a living replica of the same
	// name took the place of the one that asked.
	Removed bool `protobuf:"varint,6,opt"`
	// Absent says that there is no replica at the peer's address, and never will
	// be one.
	Absent bool `protobuf:"varint,8,opt"`
	// Leader is the address of the leader that the peer follows; empty when it
	// knows none.
	Leader string `protobuf:"bytes,7,opt"`
}

// Bootstrap returns the first membership of a new group, if self has to make
// it: every peer has answered, all are empty and were told of the same group,
// and self has the first name. One replica decides alone, since two that each
// gathered the IDs could gather different ones while a disk is replaced.
func Bootstrap(self JoinResponse, answers []JoinResponse) ([]raft.Member, bool) {
	if !self.Empty || len(answers)+1 != strings.Count(self.Peers, ",") {
		return nil, false
	}
	members := []raft.Member{voter(self)}
	for _, answer := range answers {
		if answer.Absent {
			continue
		}
		if !answer.Empty || answer.Name <= self.Name || answer.Peers != self.Peers {
			return nil, false
		}
		members = append(members, voter(answer))
	}
	slices.SortFunc(members, func(a, b raft.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for i := 1; i < len(members); i++ {
		if members[i].ID == members[i-1].ID {
			return nil, false
		}
	}
	return members, true
}

func voter(a JoinResponse) raft.Member {
	return raft.Member{ID: a.ID, Name: a.Name, Address: a.Address, Voter: true}
}
