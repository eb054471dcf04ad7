package node

import (
	"context"

	"github.com/tanagerspindle/tanagerspindle/ctrl/member"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// The methods of the streams between replicas.
const (
	methodRaft    = "raft"
	methodBarrier = "barrier"
	// MethodJoin exchanges one member.Ask for one member.Answer.
	MethodJoin = "join"
)

// barrierAsk asks the leader for a read round.
type barrierAsk struct {
	Replica uint64 `protobuf:"varint,1,opt"`
}

// barrierReply answers it.
type barrierReply struct {
	// Index must be applied before the read; 0 says that the replica does
	// not lead.
	Index uint64 `protobuf:"varint,1,opt"`
}

// Handlers returns what the other replicas call. The listener that serves
// them must outlive Run by the time of the hand-over.
func (n *Node) Handlers() map[string]link.Handler {
	n.setUp()
	return map[string]link.Handler{
		methodRaft:    n.serveRaft,
		MethodJoin:    n.serveJoin,
		methodBarrier: n.serveBarrier,
	}
}

func (n *Node) serveRaft(ctx context.Context, stream *wire.Stream) error {
	var sender hello
	if err := stream.Receive(&sender); err != nil {
		return err
	}
	n.outlets.learn(sender)
	for {
		var received batch
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
	var ask barrierAsk
	if err := stream.Receive(&ask); err != nil {
		return err
	}
	index, err := n.localRound(ctx)
	if err != nil {
		return err
	}
	return stream.Send(&barrierReply{Index: index})
}

func (n *Node) serveJoin(ctx context.Context, stream *wire.Stream) error {
	var ask member.JoinRequest
	if err := stream.Receive(&ask); err != nil {
		return err
	}
	var answer member.JoinResponse
	if err := n.call(ctx, func(l *loop) { answer = l.answer(ask) }); err != nil {
		return err
	}
	if answer.Removed {
		// Only a leader that still is one may say so.
		index, err := n.localRound(ctx)
		answer.Removed = err == nil && index != 0
	}
	return stream.Send(&answer)
}

// answer says who this replica is. A leader admits a replica that is empty,
// or that has no living namesake in the group: its joining was cut short, or
// its successor is lost too. Its ID has forgotten nothing. Else it was
// replaced.
func (l *loop) answer(ask member.JoinRequest) member.JoinResponse {
	status := l.core.Status()
	answer := l.describe(status)
	if !status.Leading || known(status, ask.ID) {
		return answer
	}
	if ask.Empty || !l.lives(status, ask.Name) {
		l.admit(status, ask)
		return answer
	}
	// A new leader has not had the time to miss anybody.
	answer.Removed = status.Settled && l.ticks-l.leadingSince > 2*aliveTicks
	return answer
}

// lives reports whether a member of this name was heard lately.
func (l *loop) lives(status raft.Status, name string) bool {
	for _, m := range status.Members {
		if m.Name == name && (m.ID == status.ID || m.SilentTicks <= aliveTicks) {
			return true
		}
	}
	return false
}

func (l *loop) describe(status raft.Status) member.JoinResponse {
	return member.JoinResponse{
		ID: status.ID, Name: l.node.Name, Address: l.node.Address, Empty: status.Empty, Peers: l.peers,
		Leader: l.leaderAddress(status),
	}
}

// leaderAddress returns where the leader is, empty when none is known.
func (l *loop) leaderAddress(status raft.Status) string {
	for _, m := range status.Members {
		if m.ID == status.Leader {
			return l.node.outlets.present(m.ID, m.Address)
		}
	}
	return ""
}

func (l *loop) admit(status raft.Status, ask member.JoinRequest) {
	expected := l.wanted[ask.Name] || l.node.Voters > 0
	for _, name := range l.repair.Names {
		expected = expected || name == ask.Name
	}
	for _, m := range status.Members {
		expected = expected || m.Name == ask.Name
	}
	if !expected {
		l.node.Host.Log.Write("join-refused", "name", ask.Name, "replica", ask.ID)
		return
	}
	l.change(raft.Change{
		Operation: raft.OperationLearn,
		Member:    raft.Member{ID: ask.ID, Name: ask.Name, Address: ask.Address},
	})
}

func known(status raft.Status, id uint64) bool {
	for _, m := range status.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}
