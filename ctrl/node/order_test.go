package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/node"
	"github.com/tanagerspindle/tanagerspindle/ctrl/wlog"
)

func TestStopHandsTheLeadershipOver(t *testing.T) {
	inBubble(t, 11, 3, func(g *group) {
		g.fill(0, 3)
		name := g.leader().name
		start := time.Now()
		g.stop(name)
		g.leader()
		require.Less(t, time.Since(start), 100*time.Millisecond)
		g.fill(3, 5)
		require.NoError(t, g.replicas[g.others(name)[0]].err)
	})
}

func TestLoneReplicaStopsAtOnce(t *testing.T) {
	inBubble(t, 24, 1, func(g *group) {
		g.fill(0, 1)
		start := time.Now()
		g.stop("c1")
		require.Less(t, time.Since(start), 10*time.Millisecond)
	})
}

func TestMoveNamesTheLeader(t *testing.T) {
	inBubble(t, 12, 3, func(g *group) {
		g.fill(0, 3)
		leader := g.leader()
		target := g.others(leader.name)[1]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.ErrorIs(t, g.replicas[target].TransferLeadership(ctx, target), &node.Error{Kind: node.KindNotLeader})
		require.ErrorIs(t, leader.TransferLeadership(ctx, "c9"), &node.Error{Kind: node.KindNoReplica})
		require.NoError(t, leader.TransferLeadership(ctx, target))
		require.Equal(t, target, g.leader().name)
		g.fill(3, 5)
		require.Equal(t, target, g.replicas[leader.name].Status().Leader)
	})
}

func TestDamagedLogIsRefused(t *testing.T) {
	inBubble(t, 13, 3, func(g *group) {
		g.fill(0, 20)
		name := g.others(g.leader().name)[0]
		g.crash(name)
		g.disks[name].Modify("0000000000000001.log", func(data []byte) []byte {
			data[len(data)/2] ^= 1
			return data
		})
		r := g.start(name)
		<-r.ended
		require.ErrorIs(t, r.err, &wlog.Error{Kind: wlog.KindDamaged})
		g.fill(20, 25)
	})
}

func TestReplicaWithAForeignNameIsNotAdmitted(t *testing.T) {
	inBubble(t, 14, 3, func(g *group) {
		g.fill(0, 2)
		g.disks["c9"] = &disk.Memory{}
		g.start("c9")
		time.Sleep(5 * time.Second)
		names, learners := voters(g.leader())
		require.Len(t, names, 3)
		require.Empty(t, learners)
	})
}

func TestLargeChangeBetweenRegionsKeepsItsLeader(t *testing.T) {
	inBubble(t, 19, 3, func(g *group) {
		g.latency.Store(int64(75 * time.Millisecond))
		time.Sleep(2 * time.Second)
		leader := g.leader()
		term := leader.Status().Term
		sent := g.sent.Load()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_, err := leader.Propose(ctx, append([]byte("big="), make([]byte, node.MaxProposalBytes-4)...))
		require.NoError(t, err)
		for _, name := range sorted(g.replicas) {
			require.Len(t, g.read(name, "big"), node.MaxProposalBytes-4)
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, term, g.leader().Status().Term)
		require.Less(t, g.sent.Load()-sent, int64(3*node.MaxProposalBytes))
	})
}

func TestGroupGrowsOneOrderAfterTheOther(t *testing.T) {
	inBubble(t, 20, 3, func(g *group) {
		g.fill(0, 5)
		for _, name := range []string{"c4", "c5"} {
			g.peers = append(g.peers, node.Peer{Name: name, Address: name + ":1"})
			g.disks[name] = &disk.Memory{}
			g.start(name)
			time.Sleep(3 * time.Second)
			_, learners := voters(g.leader())
			require.Empty(t, learners)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			require.NoError(t, g.leader().Replace(ctx, name))
			cancel()
		}
		// Two of five may go at the same time, as with a rack.
		g.crash("c1")
		g.crash("c2")
		g.fill(5, 10)
		g.check(10)
	})
}

func TestReplicaComesBackUnderAnotherAddress(t *testing.T) {
	inBubble(t, 21, 3, func(g *group) {
		g.fill(0, 5)
		name := g.others(g.leader().name)[0]
		g.crash(name)
		g.moved = map[string]string{name: name + ":2"}
		g.start(name)
		g.fill(5, 10)
		g.check(10)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		require.NoError(t, g.leader().TransferLeadership(ctx, name))
		g.check(10)
	})
}

func TestReplacedReplicaComesBack(t *testing.T) {
	for _, successor := range []string{"alive", "lost"} {
		t.Run(successor, func(t *testing.T) {
			inBubble(t, 22, 3, func(g *group) {
				g.fill(0, 5)
				name := g.others(g.leader().name)[0]
				old := g.disks[name]
				g.crash(name)
				g.disks[name] = &disk.Memory{}
				g.start(name)
				time.Sleep(15 * time.Second)
				if successor == "lost" {
					g.crash(name)
				}
				present := g.take(name)
				g.disks[name] = old
				g.moved = map[string]string{name: name + ":2"}
				r := g.start(name)
				time.Sleep(40 * time.Second)
				if successor == "alive" {
					<-r.ended
					require.ErrorIs(t, r.err, &node.Error{Kind: node.KindRemoved})
					g.replicas[name] = present
				}
				names, learners := voters(g.leader())
				require.Len(t, names, 3)
				require.Empty(t, learners)
				g.fill(5, 10)
				g.check(10)
			})
		})
	}
}

func TestLargeChangeIsSentAgainWhenItsSessionEnds(t *testing.T) {
	inBubble(t, 23, 3, func(g *group) {
		g.latency.Store(int64(40 * time.Millisecond))
		time.Sleep(2 * time.Second)
		leader := g.leader()
		term := leader.Status().Term
		g.crash(g.others(leader.name)[0])
		other := g.others(leader.name)[1]
		go func() {
			time.Sleep(time.Second)
			g.crash(other)
			g.start(other)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := leader.Propose(ctx, append([]byte("big="), make([]byte, node.MaxProposalBytes-4)...))
		require.NoError(t, err)
		require.Equal(t, term, leader.Status().Term)
	})
}
