package node

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/tanagerspindle/tanagerspindle/ctrl/member"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

// joinInterval is the time between two join requests of a replica that is not a
// member.
const joinInterval = 500 * time.Millisecond

// firstJoinInterval is joinInterval of a replica that was never part of a group.
const firstJoinInterval = 100 * time.Millisecond

// leaderlessRounds is the number of intervals without a leader after which a member
// checks whether it is still one. It exceeds an election, which takes half a second.
const leaderlessRounds = 3

// runJoin sends join requests to the peers while this replica is not a member. A
// member that has known no leader for leaderlessRounds also sends them, to find out
// whether it has been replaced.
func (n *Node) runJoin(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	answered, leaderless, interval := -1, 0, joinInterval
	for {
		status := n.status.Load()
		next := joinInterval
		if status.Empty {
			next = firstJoinInterval
		}
		if next != interval {
			interval = next
			ticker.Reset(interval)
		}
		leaderless++
		if status.Leader != 0 {
			leaderless = 0
		}
		if !isMember(*status, status.ID) || leaderless > leaderlessRounds {
			answers := n.queryReplicas(ctx, *status)
			if len(answers) != answered {
				answered = len(answers)
				n.Host.Log.Write("peers-asked", "answered", answered, "of", len(n.Peers)-1)
			}
			_ = n.call(ctx, func(l *loop) { l.handleJoinAnswers(answers) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// handleJoinAnswers bootstraps a group if this replica has to, and stops the
// replica if it was replaced.
func (l *loop) handleJoinAnswers(answers []joinAnswer) {
	var fromPeers []member.JoinResponse
	for _, answer := range answers {
		if answer.fromPeer {
			fromPeers = append(fromPeers, answer.JoinResponse)
		}
	}
	members, ok := member.Bootstrap(l.describe(l.core.Status()), fromPeers)
	if ok && !l.node.NoBootstrap {
		l.step(raft.Input{Bootstrap: members})
	}
	for _, answer := range answers {
		if answer.Removed && l.failure == nil {
			l.failure = &Error{Op: "ask " + answer.Name, Kind: KindRemoved}
		}
	}
}

// joinAnswer is the answer to a join request.
type joinAnswer struct {
	member.JoinResponse
	// fromPeer means that one of Node.Peers was asked. Only their answers count for a
	// new group.
	fromPeer bool
}

// queryReplicas returns the answers that arrived in time.
func (n *Node) queryReplicas(ctx context.Context, status raft.Status) []joinAnswer {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	request := member.JoinRequest{ID: status.ID, Name: n.Name, Address: n.Address, Empty: status.Empty}
	calls := pool.NewWithResults[*joinAnswer]()
	for _, address := range n.joinAddresses(status) {
		conn := n.conns.connTo(address)
		if conn == nil {
			continue
		}
		fromPeer := slices.ContainsFunc(n.Peers, func(peer Peer) bool { return peer.Address == address })
		calls.Go(func() *joinAnswer {
			session, err := conn.waitSession(ctx)
			if err != nil {
				return nil
			}
			answer := joinAnswer{fromPeer: fromPeer}
			if err := call(ctx, session, MethodJoin, &request, &answer.JoinResponse); err != nil {
				n.Host.Log.Write("peer-silent", "address", address, "err", err)
				return nil
			}
			n.conns.setLeader(answer.Leader)
			return &answer
		})
	}
	var answers []joinAnswer
	for _, answer := range calls.Wait() {
		if answer != nil {
			answers = append(answers, *answer)
		}
	}
	return answers
}

// joinAddresses returns the addresses to send join requests to: the peers, the
// known members, the leader that peers reported, the located replicas, and those that
// connect to this one: they take it for the former replica at its address, whose disk
// was lost.
func (n *Node) joinAddresses(status raft.Status) []string {
	var addresses []string
	for _, peer := range n.Peers {
		addresses = append(addresses, peer.Address)
	}
	for _, m := range status.Members {
		addresses = append(addresses, n.conns.currentAddress(m.ID, m.Address))
	}
	addresses = append(addresses, n.conns.leaderAddresses()...)
	addresses = append(addresses, n.conns.senderAddresses()...)
	if n.Located != nil {
		addresses = append(addresses, n.Located()...)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
