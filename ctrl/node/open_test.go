package node_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/node"
)

const (
	// openReplaceAfter is Node.ReplaceAfter in open groups.
	openReplaceAfter = 1500 * time.Millisecond
	// repairTime is the time within which a new replica must have become a voter.
	repairTime = 4 * time.Second
)

// add starts a replica that is not among the seeds' peers.
func (g *group) add(name string, late bool) {
	g.disks[name] = &disk.Memory{}
	if g.noBootstrap == nil {
		g.noBootstrap = map[string]bool{}
	}
	g.noBootstrap[name] = late
	g.start(name)
}

// voterNames returns the sorted names of the voters as the leader sees them.
func (g *group) voterNames() []string {
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

// inOpenGroup runs a test on a group of three seeds that any replica may join.
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

func TestOpenGroupGrowsToItsVoterLimit(t *testing.T) {
	inOpenGroup(t, 31, 5, func(g *group) {
		g.add("c4", false)
		g.add("c5", false)
		g.add("c6", false)
		g.put("a", "1")
		time.Sleep(2 * repairTime)
		require.Len(t, g.voterNames(), 5)
		g.put("a", "2")
		for _, name := range slices.Sorted(maps.Keys(g.replicas)) {
			require.Equal(t, "2", g.read(name, "a"), name)
		}
	})
}

// A group that tolerates five losses has eleven voters. Dead ones must be replaced by
// its spare replicas.
func TestLargeGroupReplacesDeadVoters(t *testing.T) {
	inOpenGroup(t, 37, 11, func(g *group) {
		for i := range 11 {
			g.add(fmt.Sprint("c", i+4), false)
		}
		g.put("a", "1")
		time.Sleep(3 * repairTime)
		require.Len(t, g.voterNames(), 11)
		dead := g.others(g.leader().name)
		for _, name := range append(dead, "c4") {
			if g.replicas[name].Status().Leading {
				continue
			}
			g.crash(name)
			g.disks[name].Wipe()
		}
		time.Sleep(2 * repairTime)
		g.put("a", "2")
		names := g.voterNames()
		require.Len(t, names, 11)
		for _, name := range names {
			require.NotNil(t, g.replicas[name], "voter %s is dead", name)
		}
	})
}

// Replicas of a group that is smaller than wanted are lost one after the other, and an empty one
// comes for each. The group stood still after the second loss: the first replacement had become
// a voter beside the lost one, so that three of four voters were needed.
func TestSmallGroupSurvivesLossesOneAfterTheOther(t *testing.T) {
	for seed := range uint64(8) {
		inOpenGroup(t, 410+10*seed, 5, func(g *group) {
			g.fill(0, 5)
			for i, lost := range []string{"c1", "c3", "c11"} {
				g.crash(lost)
				time.Sleep(time.Second)
				added := fmt.Sprint("c", 11+i)
				g.add(added, true)
				time.Sleep(repairTime)
				require.Contains(t, g.voterNames(), added)
				require.NotContains(t, g.voterNames(), lost)
				g.fill(5*i+5, 5*i+10)
			}
			g.requireFilled(20)
		})
	}
}

// A group with fewer voters than the tolerated failures need told so only once, at its
// beginning, in one line among thousands.
func TestGroupWithTooFewVotersIsReported(t *testing.T) {
	var events eventBuffer
	inBubble(t, 33, 0, func(g *group) {
		g.events = &events
		startNewGroup(g, 3, 2, 3)
		requireVoters := func(voters, answering int64) {
			meter := g.leader().Host.Meter
			require.Equal(t, []int64{voters, answering, 5}, []int64{
				meter.Value("control_voters"), meter.Value("control_voters_answering"), meter.Value("control_voters_wanted"),
			})
		}
		g.put("a", "1")
		time.Sleep(repairTime)
		requireVoters(3, 3)
		require.Contains(t, events.String(), "event=group-too-small voters=3 answering=3 of=5")
		require.Equal(t, 5, g.leader().Status().WantedVoters)
		lost := g.others(g.leader().name)[0]
		g.crash(lost)
		time.Sleep(repairTime)
		requireVoters(3, 2)
		g.start(lost)
		former := g.leader()
		require.NoError(t, former.TransferLeadership(context.Background(), g.others(former.name)[0]))
		time.Sleep(repairTime)
		require.Zero(t, former.Host.Meter.Value("control_voters"), "its view is not current")
		requireVoters(3, 3)
		require.NotContains(t, events.String(), "group-complete")
		g.add("c4", true)
		g.add("c5", true)
		time.Sleep(repairTime)
		requireVoters(5, 5)
		require.Contains(t, events.String(), "event=group-complete voters=5 of=5")
	})
}

// A permanently lost replica is replaced by an empty one at another address. The
// group must then survive the loss of a second replica.
func TestEmptyReplicaReplacesADeadVoter(t *testing.T) {
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
			time.Sleep(repairTime)
			require.Contains(t, g.voterNames(), "c9")
			require.NotContains(t, g.voterNames(), lost)
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

// A replica restarts at its address with an empty disk, so its former votes are
// lost. Soon after it is replaced, a second replica is lost.
func TestLostDiskIsReplacedAtItsAddress(t *testing.T) {
	inOpenGroup(t, 33, 3, func(g *group) {
		g.put("a", "1")
		g.crash("c2")
		g.disks["c2"].Wipe()
		g.noBootstrap = map[string]bool{"c2": true}
		time.Sleep(time.Second)
		g.start("c2")
		time.Sleep(repairTime)
		require.Equal(t, []string{"c1", "c2", "c3"}, g.voterNames())
		g.crash("c1")
		g.put("b", "2")
		require.Equal(t, "1", g.read("c2", "a"))
	})
}

// The peers that a new replica knows are followers. It must find the leader through
// them.
func TestNewReplicaFindsTheLeaderThroughAFollower(t *testing.T) {
	inOpenGroup(t, 34, 5, func(g *group) {
		g.add("c4", false)
		g.put("a", "1")
		time.Sleep(repairTime)
		require.Len(t, g.voterNames(), 4)
		ctx, cancel := context.WithTimeout(context.Background(), repairTime)
		defer cancel()
		require.NoError(t, g.leader().TransferLeadership(ctx, "c4"))
		g.add("c5", true)
		time.Sleep(repairTime)
		require.Contains(t, g.voterNames(), "c5")
	})
}

// Empty replicas configured for an existing group must never bootstrap another one.
func TestReplicasWithoutBootstrapBeginNoGroup(t *testing.T) {
	inBubble(t, 35, 0, func(g *group) {
		g.voters, g.noBootstrap = 3, map[string]bool{"c1": true, "c2": true, "c3": true}
		for _, name := range []string{"c1", "c2", "c3"} {
			g.peers = append(g.peers, node.Peer{Name: name, Address: name + ":1"})
			g.disks[name] = &disk.Memory{}
		}
		for _, peer := range g.peers {
			g.start(peer.Name)
		}
		time.Sleep(time.Minute)
		require.Empty(t, g.voterNames())
	})
}
