package node_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/node"
)

const (
	// openDead is how long a voter of an open group is silent before another
	// takes its place.
	openDead = 1500 * time.Millisecond
	// repaired is the time in which a new replica must count.
	repaired = 4 * time.Second
)

// add starts a replica that the seeds were not told of.
func (g *group) add(name string, late bool) {
	g.disks[name] = &disk.Memory{}
	if g.late == nil {
		g.late = map[string]bool{}
	}
	g.late[name] = late
	g.start(name)
}

// voting returns the names of the voters as the leader sees them.
func (g *group) voting() []string {
	for _, r := range g.replicas {
		status := r.Status()
		if !status.Leading {
			continue
		}
		var names []string
		for _, m := range status.Members {
			if m.Voter {
				names = append(names, m.Name)
			}
		}
		slices.Sort(names)
		return names
	}
	return nil
}

// inOpenGroup starts a group that any replica may join, from three seeds.
func inOpenGroup(t *testing.T, seed uint64, voters int, test func(g *group)) {
	inBubble(t, seed, 0, func(g *group) {
		g.voters = voters
		for _, name := range []string{"c1", "c2", "c3"} {
			g.peers = append(g.peers, node.Peer{Name: name, Address: name + ":1"})
			g.disks[name] = &disk.Memory{}
		}
		for _, peer := range g.peers {
			g.start(peer.Name)
		}
		test(g)
	})
}

func TestOpenGroupGrowsToItsVoters(t *testing.T) {
	inOpenGroup(t, 31, 5, func(g *group) {
		g.add("c4", false)
		g.add("c5", false)
		g.add("c6", false)
		g.put("a", "1")
		time.Sleep(2 * repaired)
		require.Len(t, g.voting(), 5)
		g.put("a", "2")
		for _, name := range slices.Sorted(maps.Keys(g.replicas)) {
			require.Equal(t, "2", g.read(name, "a"), name)
		}
	})
}

// A replica that is gone for good is replaced by an empty one at another
// address, and then a second one is lost.
func TestEmptyReplicaTakesADeadOnesPlace(t *testing.T) {
	for _, leader := range []bool{true, false} {
		inOpenGroup(t, 32, 3, func(g *group) {
			g.put("a", "1")
			lost := "c2"
			for name, r := range g.replicas {
				if r.Status().Leading == leader {
					lost = name
				}
			}
			g.crash(lost)
			time.Sleep(time.Second)
			g.add("c9", true)
			time.Sleep(repaired)
			require.Contains(t, g.voting(), "c9")
			require.NotContains(t, g.voting(), lost)
			for name := range maps.Clone(g.replicas) {
				if name != "c9" {
					g.crash(name)
					break
				}
			}
			g.put("b", "2")
			require.Equal(t, "1", g.read("c9", "a"))
		})
	}
}

// A replica that lost its disk comes back at its address, with nothing to vote
// by; soon after, another one is lost.
func TestLostDiskIsReplacedAtItsAddress(t *testing.T) {
	inOpenGroup(t, 33, 3, func(g *group) {
		g.put("a", "1")
		g.crash("c2")
		g.disks["c2"].Wipe()
		g.late = map[string]bool{"c2": true}
		time.Sleep(time.Second)
		g.start("c2")
		time.Sleep(repaired)
		require.Equal(t, []string{"c1", "c2", "c3"}, g.voting())
		g.crash("c1")
		g.put("b", "2")
		require.Equal(t, "1", g.read("c2", "a"))
	})
}

// The seeds of a new replica are followers; it finds the leader through them.
func TestNewReplicaFindsTheLeaderThroughAFollower(t *testing.T) {
	inOpenGroup(t, 34, 5, func(g *group) {
		g.add("c4", false)
		g.put("a", "1")
		time.Sleep(repaired)
		require.Len(t, g.voting(), 4)
		ctx, cancel := context.WithTimeout(context.Background(), repaired)
		defer cancel()
		require.NoError(t, g.leader().TransferLeadership(ctx, "c4"))
		g.add("c5", true)
		time.Sleep(repaired)
		require.Contains(t, g.voting(), "c5")
	})
}

// Empty replicas that are told of a group which has begun never begin another.
func TestLateReplicasBeginNoGroup(t *testing.T) {
	inBubble(t, 35, 0, func(g *group) {
		g.voters, g.late = 3, map[string]bool{"c1": true, "c2": true, "c3": true}
		for _, name := range []string{"c1", "c2", "c3"} {
			g.peers = append(g.peers, node.Peer{Name: name, Address: name + ":1"})
			g.disks[name] = &disk.Memory{}
		}
		for _, peer := range g.peers {
			g.start(peer.Name)
		}
		time.Sleep(time.Minute)
		require.Empty(t, g.voting())
	})
}
