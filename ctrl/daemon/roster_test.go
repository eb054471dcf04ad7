package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

// until waits up to a limit for a condition and returns how long it took.
func (c *cluster) until(limit time.Duration, holds func() bool, message string) time.Duration {
	start := time.Now()
	for !holds() {
		require.Less(c.t, time.Since(start), limit, message)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func (d *client) hasAgent(agent string) bool {
	_, ok := d.roster.Get(agent)
	return ok
}

// An agent lost together with its VM leaves the entries' rosters within four seconds, and a
// killed agent within two seconds. An agent that reconnects in time stays.
func TestDeadAgentsLeaveTheRoster(t *testing.T) {
	withCluster(t, 11, func(c *cluster) {
		entry := c.connect(c.leader(), entryHello("entry"))
		followers := c.others(c.leader())
		lost := c.connect(followers[0], agentHello("lost", 1))
		killed := c.connect(followers[1], agentHello("killed", 1))
		c.until(2*time.Second, func() bool { return entry.hasAgent("lost") && entry.hasAgent("killed") }, "join")
		time.Sleep(5 * time.Second)
		require.True(c.t, entry.hasAgent("lost") && entry.hasAgent("killed"), "an agent with an unchanged report stays")

		c.network.Silence("lost", followers[0])
		c.until(4*time.Second, func() bool { return !entry.hasAgent("lost") }, "lost with its VM")
		c.network.Crash("killed")
		c.until(2*time.Second, func() bool { return !entry.hasAgent("killed") }, "killed")
		<-killed.ended
		lost.disconnect()
		again := c.connect(followers[0], agentHello("lost", 2))
		c.until(time.Second, func() bool { return entry.hasAgent("lost") }, "started again")
		again.disconnect()
		require.NoError(c.t, again.join(followers[0]))
		for range 100 {
			require.True(c.t, entry.hasAgent("lost"), "the agent stays while it reconnects")
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// Agents stay in the roster while they move to another replica after a crash of the leader, and
// while their replica restarts, even if they reconnect later than the time after which an
// unresponsive agent is removed.
func TestRosterSurvivesControlRestarts(t *testing.T) {
	withCluster(t, 12, func(c *cluster) {
		leader := c.leader()
		entry := c.connect(c.others(leader)[0], entryHello("entry"))
		agents := map[string]*client{}
		for _, name := range []string{"a", "b", "c"} {
			agents[name] = c.connect(leader, agentHello(name, 1))
		}
		c.until(2*time.Second, func() bool { return len(entry.roster.All()) == 3 }, "join")
		missing := 0
		watch := func(limit time.Duration) {
			for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if len(entry.roster.All()) < 3 {
					missing++
				}
			}
		}
		c.crash(leader)
		admitted := rejoinAll(agents, c.others(leader)[1])
		watch(8 * time.Second)
		admitted()
		c.start(leader)
		watch(20 * time.Second)
		second := c.others(leader)[1]
		c.crash(second)
		watch(time.Second)
		c.start(second)
		watch(2500 * time.Millisecond)
		admitted = rejoinAll(agents, second)
		watch(10 * time.Second)
		admitted()
		require.Zero(c.t, missing)
		require.Zero(c.t, entry.snapshot().completeRosters)
	})
}

// When all replicas restart at once, entries keep their endpoints while these reconnect, and
// remove an endpoint that crashed in the meantime only after the replicas have waited for its
// heartbeats. Committed state is kept.
func TestAllOfControlRestarts(t *testing.T) {
	withCluster(t, 18, func(c *cluster) {
		entry := c.connect("c1", entryHello("entry"))
		agents := []*client{c.connect("c1", agentHello("a", 1)), c.connect("c2", agentHello("b", 1)), c.connect("c3", agentHello("dead", 1))}
		_, err := c.submit("c1", config(1, 10), "ann", 5*time.Second)
		require.NoError(c.t, err)
		for _, peer := range c.peers {
			c.crash(peer.Name)
		}
		time.Sleep(2 * time.Second)
		for _, peer := range c.peers {
			c.start(peer.Name)
		}
		c.leader()
		<-entry.ended
		require.NoError(c.t, entry.join("c2"))
		time.Sleep(2 * time.Second)
		for _, agent := range agents[:2] {
			<-agent.ended
			require.NoError(c.t, agent.join("c1"))
		}
		for range 30 {
			require.True(c.t, entry.hasAgent("a") && entry.hasAgent("b"))
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(c.t, 3, len(entry.roster.All()), "no replica has waited long enough to remove the crashed endpoint")
		time.Sleep(10 * time.Second)
		require.True(c.t, entry.hasAgent("a") && entry.hasAgent("b") && !entry.hasAgent("dead"))
		require.True(c.t, entry.lease.Valid())
		require.Equal(c.t, uint64(1), c.running["c3"].Status().ConfigNumber)
	})
}

// Agents that are lost together with their replica are taken over by another replica, and expire
// there.
func TestAgentsLostWithTheirReplica(t *testing.T) {
	withCluster(t, 13, func(c *cluster) {
		leader := c.leader()
		entry := c.connect(c.others(leader)[0], entryHello("entry"))
		agent := c.connect(leader, agentHello("agent", 1))
		c.until(2*time.Second, func() bool { return entry.hasAgent("agent") }, "join")
		c.network.Silence("agent", leader)
		c.network.Isolate(leader, append(c.others(leader), "agent")...)
		c.until(8*time.Second, func() bool { return !entry.hasAgent("agent") }, "removed after the loss of its replica")
		agent.disconnect()
	})
}

// A new incarnation of an agent gets its fencing number only after the lease of the former one
// must have expired, unless the engine enforces fencing numbers or the former incarnation reported
// its departure. The former incarnation learns from any replica that it is superseded.
func TestFencing(t *testing.T) {
	cases := map[string]struct {
		enforced, departed bool
		minWait, maxWait   time.Duration
	}{
		"engine ignores numbers":  {minWait: 3 * time.Second, maxWait: 4 * time.Second},
		"engine enforces numbers": {enforced: true, maxWait: time.Second},
		"former departed":         {departed: true, maxWait: time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 14, func(c *cluster) {
				former := c.connect(c.others(c.leader())[0], agentHello("agent", 9))
				c.until(time.Second, func() bool { return former.snapshot().fencingNumber != 0 }, "the first incarnation has none to wait for")
				time.Sleep(2 * time.Second)
				if test.departed {
					require.NoError(c.t, former.stream.Send(&plane.Heartbeat{Seq: 1000, Departing: true}))
					<-former.ended
				}
				hello := agentHello("agent", 4)
				hello.EnforcesFencing = test.enforced
				next := c.connect(c.leader(), hello)
				took := c.until(test.maxWait, func() bool { return next.snapshot().fencingNumber != 0 }, "fencing number")
				require.GreaterOrEqual(c.t, took, test.minWait)
				require.Greater(c.t, next.snapshot().fencingNumber, former.snapshot().fencingNumber)
				require.False(c.t, former.lease.Valid() && !test.enforced && !test.departed, "both incarnations may control the engine")
				if !test.departed {
					c.until(2*time.Second, func() bool { return former.snapshot().superseded }, "told")
					require.NoError(c.t, former.join(c.leader()))
					<-former.ended
					require.Equal(c.t, uint64(4), next.hello.Incarnation)
				}
			})
		})
	}
}

// The requests in flight at a crashed endpoint become suspects. A request that is a suspect of a
// second crash is quarantined at every entry until an operator lifts the quarantine.
func TestCrashingRequestIsQuarantinedBeforeAThirdCrash(t *testing.T) {
	withCluster(t, 15, func(c *cluster) {
		entry := c.connect(c.leader(), entryHello("entry"))
		first := c.connect(c.others(c.leader())[0], agentHello("first", 1))
		second := c.connect(c.others(c.leader())[1], agentHello("second", 1))
		time.Sleep(time.Second)
		crash := []plane.Crash{{Source: "first", Incarnation: 1, Count: 1, Digests: [][]byte{[]byte("poison"), []byte("other")}}}
		first.update(func() { first.crashes = crash })
		c.until(time.Second, func() bool { return len(entry.snapshot().bans) == 2 }, "the entry receives the suspects")
		time.Sleep(3 * time.Second)
		require.True(c.t, entry.snapshot().bans[0].Suspect, "a repeated report counts once")
		second.update(func() {
			second.record = &roster.Record{Agent: "second", Incarnation: 1, ReportSeq: 2, Digests: [][]byte{[]byte("poison")}}
		})
		time.Sleep(100 * time.Millisecond)
		c.network.Crash("second")
		c.until(2*time.Second, func() bool {
			bans := entry.snapshot().bans
			return len(bans) == 2 && string(bans[1].Digest) == "poison" && !bans[1].Suspect
		}, "quarantined by the last report of the crashed agent")
		reply := &plane.AdminReply{}
		require.NoError(c.t, c.call("operator", c.follower(), plane.MethodAdmin, &plane.AdminRequest{Order: plane.OrderLift, Digest: []byte("poison")}, reply))
		require.Equal(c.t, plane.KindNone, reply.Refused)
		c.until(time.Second, func() bool { return len(entry.snapshot().bans) == 1 }, "lifted")
		first.update(func() {
			first.crashes = []plane.Crash{{Source: "first", Incarnation: 1, Count: 2, Digests: [][]byte{[]byte("bystander")}}}
		})
		c.until(time.Second, func() bool { return len(entry.snapshot().bans) == 2 }, "another suspect")
		require.NoError(c.t, first.stream.Send(&plane.Heartbeat{Seq: 1000, ClearedSuspects: [][]byte{[]byte("bystander")}}))
		c.until(time.Second, func() bool { return len(entry.snapshot().bans) == 1 }, "cleared by a completion at another endpoint")
		first.update(func() { first.crashes = nil })
		time.Sleep(2*time.Minute + 3*time.Second)
		require.Empty(c.t, entry.snapshot().bans, "lifted, and the other suspect has expired")
	})
}

// Entries report the requests of opaque routes that were in flight at crashed endpoints without
// an agent. An entry can report only under its own name.
func TestEntriesReportCrashSuspects(t *testing.T) {
	withCluster(t, 18, func(c *cluster) {
		entry := c.connect(c.leader(), entryHello("entry"))
		other := c.connect(c.follower(), entryHello("other"))
		time.Sleep(time.Second)
		report := func(d *client, name, endpoint string, digest string) {
			crash := plane.Crash{Source: plane.CrashSource(name, endpoint), Incarnation: 7, Count: 1, Digests: [][]byte{[]byte(digest)}}
			require.NoError(c.t, d.stream.Send(&plane.Heartbeat{Seq: 1000, Crashes: []plane.Crash{crash}}))
		}
		report(entry, "other", "e1", "forged")
		report(entry, "entry", "e1", "poison")
		report(other, "other", "e1", "bystander")
		c.until(time.Second, func() bool { return len(entry.snapshot().bans) == 2 }, "suspects of one crash")
		require.True(c.t, entry.snapshot().bans[1].Suspect)
		report(other, "other", "e2", "poison")
		c.until(time.Second, func() bool {
			bans := entry.snapshot().bans
			return string(bans[1].Digest) == "poison" && !bans[1].Suspect
		}, "quarantined at the second crash")
		require.NoError(c.t, other.stream.Send(&plane.Heartbeat{Seq: 1001, ClearedSuspects: [][]byte{[]byte("bystander"), []byte("poison")}}))
		c.until(time.Second, func() bool { return len(entry.snapshot().bans) == 1 }, "a quarantine stays")
	})
}

// A crashing request takes down one endpoint after another, whereas a partition makes several
// unresponsive within one heartbeat interval, which makes no suspects.
func TestPartitionMakesNoSuspects(t *testing.T) {
	for _, unresponsive := range []int{2, 3} {
		withCluster(t, 17, func(c *cluster) {
			entry := c.connect(c.leader(), entryHello("entry"))
			for i := range unresponsive {
				agent := c.connect(c.follower(), agentHello(fmt.Sprint("agent", i), 1))
				agent.update(func() {
					agent.record = &roster.Record{Agent: agent.hello.Name, Incarnation: 1, ReportSeq: 2, Digests: [][]byte{{byte(i)}}}
				})
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			for i := range unresponsive {
				c.network.Silence(fmt.Sprint("agent", i), c.follower())
			}
			c.until(4*time.Second, func() bool { return len(entry.roster.All()) == 0 }, "gone")
			time.Sleep(2 * time.Second)
			require.Equal(c.t, unresponsive <= 2, len(entry.snapshot().bans) > 0)
		})
	}
}

// Every replica reports the sum of the objective counts of all entries.
func TestBurnCountsAreAggregated(t *testing.T) {
	withCluster(t, 16, func(c *cluster) {
		_, err := c.submit(c.leader(), config(1, 10), "ann", 0)
		require.NoError(c.t, err)
		entry := c.connect(c.leader(), entryHello("entry"))
		other := c.connect(c.follower(), entryHello("other"))
		for _, d := range []*client{entry, other} {
			require.NoError(c.t, d.stream.Send(&plane.Heartbeat{Seq: 1, BurnCounts: []plane.BurnCount{{Workspace: "w", Route: "r", Good: 3, Bad: 1}}}))
		}
		time.Sleep(time.Second)
		for _, r := range c.running {
			burn := r.Status().Burn
			require.Len(c.t, burn, 3)
			require.Equal(c.t, plane.BurnWindow{Workspace: "w", Route: "r", Length: burn[0].Length, Good: 6, Bad: 2, Share: 0.9}, burn[0])
			require.Equal(c.t, []string{"entry", "other"}, r.Status().Entries)
		}
	})
}
