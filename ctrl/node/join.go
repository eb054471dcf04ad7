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

// lonelyRounds is the number of intervals without a leader after which a
// member asks whether it still is one: 10 s.
const lonelyRounds = 20

// join asks the peers while this replica is no member, to become one, and
// when it has heard of no leader for long, to learn whether it still is one.
func (n *Node) join(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	answered, lonely := -1, 0
	for {
		status := n.status.Load()
		lonely++
		if status.Leader != 0 {
			lonely = 0
		}
		if !known(*status, status.ID) || lonely > lonelyRounds {
			answers := n.askPeers(ctx, *status)
			if len(answers) != answered {
				answered = len(answers)
				n.Host.Log.Write("peers-asked", "answered", answered, "of", len(n.Peers)-1)
			}
			_ = n.call(ctx, func(l *loop) { l.hear(answers) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// hear begins a group if this replica has to, or ends it if it was replaced.
func (l *loop) hear(answers []member.JoinResponse) {
	members, ok := member.Bootstrap(l.describe(l.core.Status()), answers)
	if ok && !l.node.NoBootstrap {
		l.step(raft.Input{Bootstrap: members})
	}
	for _, answer := range answers {
		if answer.Removed && l.failed == nil {
			l.failed = &Error{Op: "ask " + answer.Name, Kind: KindRemoved}
		}
	}
}

// askPeers returns the answers of those peers that gave one in time.
func (n *Node) askPeers(ctx context.Context, status raft.Status) []member.JoinResponse {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	ask := member.JoinRequest{ID: status.ID, Name: n.Name, Address: n.Address, Empty: status.Empty}
	asked := pool.NewWithResults[*member.JoinResponse]()
	for _, address := range n.askAddresses(status) {
		out := n.outlets.to(address)
		if out == nil {
			continue
		}
		asked.Go(func() *member.JoinResponse {
			session, err := out.get(ctx)
			if err != nil {
				return nil
			}
			var answer member.JoinResponse
			if err := call(ctx, session, MethodJoin, &ask, &answer); err != nil {
				n.Host.Log.Write("peer-silent", "address", address, "err", err)
				return nil
			}
			n.outlets.heardLeader(answer.Leader)
			return &answer
		})
	}
	var answers []member.JoinResponse
	for _, answer := range asked.Wait() {
		if answer != nil {
			answers = append(answers, *answer)
		}
	}
	return answers
}

// askAddresses returns whom to ask: the peers, the members known, and the
// leaders that answers have named.
func (n *Node) askAddresses(status raft.Status) []string {
	var addresses []string
	for _, peer := range n.Peers {
		addresses = append(addresses, peer.Address)
	}
	for _, m := range status.Members {
		addresses = append(addresses, n.outlets.present(m.ID, m.Address))
	}
	addresses = append(addresses, n.outlets.leaders()...)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
