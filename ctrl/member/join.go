package member

import (
	"slices"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

// JoinRequest is sent by a replica outside a group to each peer. It asks for the
// peer's state and, if the peer leads, for admission as a learner. A member that has
// seen no leader for long sends it to find out whether it was replaced.
type JoinRequest struct {
	ID      uint64 `protobuf:"varint,1,opt"`
	Name    string `protobuf:"bytes,2,opt"`
	Address string `protobuf:"bytes,3,opt"`
	// Empty reports that the replica was never part of a group.
	Empty bool `protobuf:"varint,4,opt"`
}

// Check reports the first invalid field.
func (a *JoinRequest) Check() error {
	if a.ID == 0 || a.Name == "" || a.Address == "" {
		return &Error{Op: "check join request", Kind: KindRequest}
	}
	return nil
}

// JoinResponse is a peer's state, in reply to a JoinRequest.
type JoinResponse struct {
	ID      uint64 `protobuf:"varint,1,opt"`
	Name    string `protobuf:"bytes,2,opt"`
	Address string `protobuf:"bytes,3,opt"`
	Empty   bool   `protobuf:"varint,4,opt"`
	// Peers are the configured names and addresses of the peer's group, in order, each
	// followed by a comma.
	Peers string `protobuf:"bytes,5,opt"`
	// Removed reports that the peer leads and that a live replica of the same name has
	// replaced the one that sent the request.
	Removed bool `protobuf:"varint,6,opt"`
	// Absent reports that the VM at the peer's address runs no replica and never will.
	Absent bool `protobuf:"varint,8,opt"`
	// Leader is the address of the leader that the peer follows; empty if it knows
	// none.
	Leader string `protobuf:"bytes,7,opt"`
	// Nominated is the ID of the first empty replica that sent an absent peer a
	// request, if the deployment starts for the first time.
	Nominated uint64 `protobuf:"varint,9,opt"`
}

// Bootstrap returns the first membership of a new group if self has to create the
// group: self is one of the peers, every other peer has answered, all are empty and
// configured with the same group, and self has the first name in ascending order.
// Only this replica may decide, because two replicas that each collect the IDs of all
// peers could collect different IDs while a disk is being replaced. If no peer runs a
// replica, a nominated one creates the group.
func Bootstrap(self JoinResponse, answers []JoinResponse) ([]raft.Member, bool) {
	if isNominated(self, answers) {
		return []raft.Member{voter(self)}, true
	}
	isPeer := strings.Contains(","+self.Peers, ","+self.Name+"=")
	if !self.Empty || !isPeer || len(answers)+1 != strings.Count(self.Peers, ",") {
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

// voter returns the peer as a voting member.
// isNominated reports whether self has to create the group alone, because no peer runs a
// replica: all peers have answered, and the one with the first name has nominated self. It
// nominates once, and not after a restart, so that no two replicas create a group.
func isNominated(self JoinResponse, answers []JoinResponse) bool {
	if !self.Empty || len(answers) == 0 || len(answers) != strings.Count(self.Peers, ",") {
		return false
	}
	first := answers[0]
	for _, answer := range answers {
		if !answer.Absent {
			return false
		}
		if answer.Name < first.Name {
			first = answer
		}
	}
	return first.Nominated == self.ID
}

func voter(a JoinResponse) raft.Member {
	return raft.Member{ID: a.ID, Name: a.Name, Address: a.Address, Voter: true}
}
