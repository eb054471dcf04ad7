package node

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/tanagerspindle/tanagerspindle/ctrl/member"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

// joinInterval is the time between two rounds of questions of a replica that
// belongs to no group.
const joinInterval = 500 * time.Millisecond

// leaderlessRounds is the number of intervals without a leader after which a
// member asks whether it still is one: 10 s.
const leaderlessRounds = 20

// runJoin asks the peers while this replica is no member, to become one, and
// when it has heard of no leader for long, to learn whether it still is one.
func (n *Node) runJoin(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	answered, lonely := -1, 0
	for {
		status := n.status.Load()
		lonely++
		if status.Leader != 0 {
			lonely = 0
		}
		if !isMember(*status, status.ID) || lonely > leaderlessRounds {
			answers := n.askPeers(ctx, *status)
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

// handleJoinAnswers begins a group if this replica has to, or ends it if it was replaced.
func (l *loop) handleJoinAnswers(answers []member.Answer) {
	members, ok := member.Bootstrap(l.describe(l.core.Status()), answers)
	if ok && !l.node.NoBootstrap {
		l.step(raft.Input{Bootstrap: members})
	}
	for _, answer := range answers {
		if answer.Removed && l.failure == nil {
			l.failure = &Error{Op: "ask " + answer.Name, Kind: KindRemoved}
		}
	}
}

// askPeers returns the answers of those peers that gave one in time.
func (n *Node) askPeers(ctx context.Context, status raft.Status) []member.Answer {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	ask := member.Ask{ID: status.ID, Name: n.Name, Address: n.Address, Empty: status.Empty}
	asked := pool.NewWithResults[*member.Answer]()
	for _, address := range n.joinAddresses(status) {
		out := n.conns.connTo(address)
		if out == nil {
			continue
		}
		asked.Go(func() *member.Answer {
			session, err := out.waitSession(ctx)
			if err != nil {
				return nil
			}
			var answer member.Answer
			if err := call(ctx, session, MethodJoin, &ask, &answer); err != nil {
				n.Host.Log.Write("peer-silent", "address", address, "err", err)
				return nil
			}
			n.conns.setLeader(answer.Leader)
			return &answer
		})
	}
	var answers []member.Answer
	for _, answer := range asked.Wait() {
		if answer != nil {
			answers = append(answers, *answer)
		}
	}
	return answers
}

// joinAddresses returns whom to ask: the peers, the members known, and the
// leaders that answers have named.
func (n *Node) joinAddresses(status raft.Status) []string {
	var addresses []string
	for _, peer := range n.Peers {
		addresses = append(addresses, peer.Address)
	}
	for _, m := range status.Members {
		addresses = append(addresses, n.conns.currentAddress(m.ID, m.Address))
	}
	addresses = append(addresses, n.conns.leaderAddresses()...)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
