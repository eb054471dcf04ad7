package node

import (
	"context"
	"maps"
	"slices"

	"github.com/tanagerspindle/tanagerspindle/ctrl/member"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// Methods of the streams between replicas.
const (
	methodRaft    = "raft"
	methodBarrier = "barrier"
	// MethodJoin exchanges one member.JoinRequest for one member.JoinResponse.
	MethodJoin = "join"
)

// maxWaitingJoins limits the join requests that wait for the end of a membership change.
const maxWaitingJoins = 64

// barrierRequest requests a read round from the leader.
type barrierRequest struct {
	Replica uint64 `protobuf:"varint,1,opt"`
}

// barrierReply is the reply to a barrierRequest.
type barrierReply struct {
	// Index is the entry that must be applied before the read; 0 means that the
	// replica does not lead.
	Index uint64 `protobuf:"varint,1,opt"`
}

// Handlers returns the handlers for calls from other replicas. The listener that
// serves them must stay open until Run returns, because the leadership transfer
// uses it.
func (n *Node) Handlers() map[string]link.Handler {
	n.initialize()
	return map[string]link.Handler{
		methodRaft:    n.serveRaft,
		MethodJoin:    n.serveJoin,
		methodBarrier: n.serveBarrier,
	}
}

func (n *Node) serveRaft(ctx context.Context, stream *wire.Stream) error {
	var sender senderInfo
	if err := stream.Receive(&sender); err != nil {
		return err
	}
	n.conns.setReportedAddress(sender)
	for {
		var received messageBatch
		if err := stream.Receive(&received); err != nil {
			return err
		}
		for i := range received.Messages {
			if err := n.post(ctx, event{message: &received.Messages[i]}); err != nil {
				return err
			}
		}
	}
}

func (n *Node) serveBarrier(ctx context.Context, stream *wire.Stream) error {
	var request barrierRequest
	if err := stream.Receive(&request); err != nil {
		return err
	}
	index, err := n.localReadIndex(ctx)
	if err != nil {
		return err
	}
	return stream.Send(&barrierReply{Index: index})
}

func (n *Node) serveJoin(ctx context.Context, stream *wire.Stream) error {
	var request member.JoinRequest
	if err := stream.Receive(&request); err != nil {
		return err
	}
	var answer member.JoinResponse
	if err := n.call(ctx, func(l *loop) { answer = l.joinAnswer(request) }); err != nil {
		return err
	}
	if answer.Removed {
		// A former leader may not know its successor's members, so the leadership
		// is confirmed by a read round.
		index, err := n.localReadIndex(ctx)
		answer.Removed = err == nil && index != 0
	}
	return stream.Send(&answer)
}

// joinAnswer returns this replica's identity and status. A leader also admits the
// requesting replica if it is empty, or if the group has no live member of its
// name: then its join was interrupted, or its replacement is lost too. Admitting it
// is safe, because a replica that kept its ID kept its votes and log. Any other
// replica outside the membership has been replaced.
func (l *loop) joinAnswer(request member.JoinRequest) member.JoinResponse {
	status := l.core.Status()
	answer := l.describe(status)
	if !status.Leading || isMember(status, request.ID) {
		return answer
	}
	if request.Empty || !l.hasLiveMember(status, request.Name) {
		if status.Settled || len(l.joins) >= maxWaitingJoins {
			l.admit(status, request)
		} else {
			l.joins[request.ID] = request
		}
		return answer
	}
	// A new leader needs time to detect which members are unresponsive.
	answer.Removed = status.Settled && l.ticks-l.leadingSinceTick > 2*aliveTicks
	return answer
}

// admitWaiting admits one of the replicas that asked during another membership change.
func (l *loop) admitWaiting() {
	if len(l.joins) == 0 {
		return
	}
	status := l.core.Status()
	if !status.Settled {
		return
	}
	id := slices.Min(slices.Collect(maps.Keys(l.joins)))
	request := l.joins[id]
	delete(l.joins, id)
	if !isMember(status, id) && (request.Empty || !l.hasLiveMember(status, request.Name)) {
		l.admit(status, request)
	}
}

// hasLiveMember reports whether a member of this name is this replica or was heard
// from recently.
func (l *loop) hasLiveMember(status raft.Status, name string) bool {
	for _, m := range status.Members {
		if m.Name == name && (m.ID == status.ID || m.SilentTicks <= aliveTicks) {
			return true
		}
	}
	return false
}

// describe returns this replica's identity and status.
func (l *loop) describe(status raft.Status) member.JoinResponse {
	return member.JoinResponse{
		ID: status.ID, Name: l.node.Name, Address: l.node.Address, Empty: status.Empty, Peers: l.peerList,
		Leader: l.leaderAddress(status),
	}
}

// leaderAddress returns the leader's address, or an empty string if no leader is
// known.
func (l *loop) leaderAddress(status raft.Status) string {
	for _, m := range status.Members {
		if m.ID == status.Leader {
			return l.node.conns.currentAddress(m.ID, m.Address)
		}
	}
	return ""
}

// admit adds a replica to the group as a learner, if the group is open or expects a
// replica of that name.
func (l *loop) admit(status raft.Status, request member.JoinRequest) {
	expected := l.replaceNow[request.Name] || l.node.Voters > 0
	for _, name := range l.repair.Names {
		expected = expected || name == request.Name
	}
	for _, m := range status.Members {
		expected = expected || m.Name == request.Name
	}
	if !expected {
		l.node.Host.Log.Write("join-refused", "name", request.Name, "replica", request.ID)
		return
	}
	l.changeMembership(raft.Change{
		Operation: raft.OperationLearn,
		Member:    raft.Member{ID: request.ID, Name: request.Name, Address: request.Address},
	})
}

// isMember reports whether a replica ID belongs to the membership.
func isMember(status raft.Status, id uint64) bool {
	for _, m := range status.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}
