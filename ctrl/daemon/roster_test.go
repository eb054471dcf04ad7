package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

// until waits for a condition and returns how long that took.
func (c *cluster) until(limit time.Duration, holds func() bool, what string) time.Duration {
	start := time.Now()
	for !holds() {
		require.Less(c.t, time.Since(start), limit, what)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func (d *client) knows(agent string) bool {
	_, ok := d.roster.Get(agent)
	return ok
}

// An agent that is lost with its VM is out of every entry's roster within four
// seconds, one that was killed within two, and one that said goodbye at once.
func TestDeadAgentsLeaveTheRoster(t *testing.T) {
	inCluster(t, 11, func(c *cluster) {
		entry := c.connect(c.leader(), entryHello("entry"))
		far := c.others(c.leader())
		lost := c.connect(far[0], agentHello("lost", 1))
		killed := c.connect(far[1], agentHello("killed", 1))
		c.until(2*time.Second, func() bool { return entry.knows("lost") && entry.knows("killed") }, "join")
		time.Sleep(5 * time.Second)
		require.True(c.t, entry.knows("lost") && entry.knows("killed"), "a report without change keeps an agent")

		c.network.Silence("lost", far[0])
		c.until(4*time.Second, func() bool { return !entry.knows("lost") }, "lost with its VM")
		c.network.Crash("killed")
		c.until(2*time.Second, func() bool { return !entry.knows("killed") }, "killed")
		<-killed.ended
		lost.leave()
		again := c.connect(far[0], agentHello("lost", 2))
		c.until(time.Second, func() bool { return entry.knows("lost") }, "started again")
		again.leave()
		require.NoError(c.t, again.join(far[0]))
		for range 100 {
			require.True(c.t, entry.knows("lost"), "its connection broke and it came back")
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// An agent that moves to another replica stays in the roster, and so do all
// agents when the leader crashes and when their replica restarts, which they
// reach again only after the time in which a silent agent is gone.
func TestControlRestartsEmptyNoRoster(t *testing.T) {
	inCluster(t, 12, func(c *cluster) {
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
		require.Zero(c.t, entry.now().whole)
	})
}

// When all of control restarts at once, entries keep their endpoints while
// these come back, and lose the one that died meanwhile once the replicas have
// listened for a while. Nothing committed is lost.
func TestAllOfControlRestarts(t *testing.T) {
	inCluster(t, 18, func(c *cluster) {
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
			require.True(c.t, entry.knows("a") && entry.knows("b"))
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(c.t, 3, len(entry.roster.All()), "nobody has listened long enough to speak for the dead")
		time.Sleep(10 * time.Second)
		require.True(c.t, entry.knows("a") && entry.knows("b") && !entry.knows("dead"))
		require.True(c.t, entry.lease.Valid())
		require.Equal(c.t, uint64(1), c.running["c3"].Status().ConfigNumber)
	})
}

// The agents of a replica that dies together with them are adopted, and
// expire.
func TestAgentsLostWithTheirReplica(t *testing.T) {
	inCluster(t, 13, func(c *cluster) {
		leader := c.leader()
		entry := c.connect(c.others(leader)[0], entryHello("entry"))
		agent := c.connect(leader, agentHello("agent", 1))
		c.until(2*time.Second, func() bool { return entry.knows("agent") }, "join")
		c.network.Silence("agent", leader)
		c.network.Isolate(leader, append(c.others(leader), "agent")...)
		c.until(8*time.Second, func() bool { return !entry.knows("agent") }, "gone with its replica")
		agent.leave()
	})
}

// A new incarnation gets its fencing number only when the former one can hold
// no lease, unless the engine checks numbers or the former said goodbye. The
// former is told, wherever it is connected.
func TestFencing(t *testing.T) {
	cases := map[string]struct {
		fenced, bye bool
		least, most time.Duration
	}{
		"engine ignores numbers": {least: 3 * time.Second, most: 4 * time.Second},
		"engine checks numbers":  {fenced: true, most: time.Second},
		"former said goodbye":    {bye: true, most: time.Second},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 14, func(c *cluster) {
				former := c.connect(c.others(c.leader())[0], agentHello("agent", 9))
				c.until(time.Second, func() bool { return former.now().fence != 0 }, "the first incarnation waits for nobody")
				time.Sleep(2 * time.Second)
				if one.bye {
					require.NoError(c.t, former.stream.Send(&plane.Heartbeat{Seq: 1000, Departing: true}))
					<-former.ended
				}
				hello := agentHello("agent", 4)
				hello.EnforcesFencing = one.fenced
				next := c.connect(c.leader(), hello)
				took := c.until(one.most, func() bool { return next.now().fence != 0 }, "fencing number")
				require.GreaterOrEqual(c.t, took, one.least)
				require.Greater(c.t, next.now().fence, former.now().fence)
				require.False(c.t, former.lease.Valid() && !one.fenced && !one.bye, "both may order the engine")
				if !one.bye {
					c.until(2*time.Second, func() bool { return former.now().superseded }, "told")
					require.NoError(c.t, former.join(c.leader()))
					<-former.ended
					require.Equal(c.t, uint64(4), next.hello.Incarnation)
				}
			})
		})
	}
}

// Requests of endpoints that died are suspected, quarantined at the second
// death, and the quarantine reaches every entry; operators lift it.
func TestPoisonIsQuarantinedBeforeAThirdDeath(t *testing.T) {
	inCluster(t, 15, func(c *cluster) {
		entry := c.connect(c.leader(), entryHello("entry"))
		first := c.connect(c.others(c.leader())[0], agentHello("first", 1))
		second := c.connect(c.others(c.leader())[1], agentHello("second", 1))
		time.Sleep(time.Second)
		crash := []plane.Crash{{Agent: "first", Incarnation: 1, Count: 1, Digests: [][]byte{[]byte("poison"), []byte("other")}}}
		first.set(func() { first.crash = crash })
		c.until(time.Second, func() bool { return len(entry.now().bans) == 2 }, "suspects spread")
		time.Sleep(3 * time.Second)
		require.True(c.t, entry.now().bans[0].Suspect, "a report that is repeated counts once")
		second.set(func() {
			second.record = &roster.Record{Agent: "second", Incarnation: 1, ReportSeq: 2, Digests: [][]byte{[]byte("poison")}}
		})
		time.Sleep(100 * time.Millisecond)
		c.network.Crash("second")
		c.until(2*time.Second, func() bool {
			bans := entry.now().bans
			return len(bans) == 2 && string(bans[1].Digest) == "poison" && !bans[1].Suspect
		}, "quarantined by the last report of the agent that died")
		reply := &plane.AdminReply{}
		require.NoError(c.t, c.call("operator", c.follower(), plane.MethodAdmin, &plane.AdminRequest{Order: plane.OrderLift, Digest: []byte("poison")}, reply))
		require.Equal(c.t, plane.KindNone, reply.Refused)
		c.until(time.Second, func() bool { return len(entry.now().bans) == 1 }, "lifted")
		first.set(func() {
			first.crash = []plane.Crash{{Agent: "first", Incarnation: 1, Count: 2, Digests: [][]byte{[]byte("bystander")}}}
		})
		c.until(time.Second, func() bool { return len(entry.now().bans) == 2 }, "another suspect")
		require.NoError(c.t, first.stream.Send(&plane.Heartbeat{Seq: 1000, ClearedSuspects: [][]byte{[]byte("bystander")}}))
		c.until(time.Second, func() bool { return len(entry.now().bans) == 1 }, "it ended well elsewhere")
		first.set(func() { first.crash = nil })
		time.Sleep(2*time.Minute + 3*time.Second)
		require.Empty(c.t, entry.now().bans, "lifted, and the bystander's suspicion expired")
	})
}

// Entries report the requests of opaque routes, each under its own name, which
// endpoints beside no agent died of.
func TestEntriesReportWhatEndpointsDiedOf(t *testing.T) {
	inCluster(t, 18, func(c *cluster) {
		entry := c.connect(c.leader(), entryHello("entry"))
		other := c.connect(c.follower(), entryHello("other"))
		time.Sleep(time.Second)
		report := func(d *client, name, endpoint string, digest string) {
			crash := plane.Crash{Agent: plane.CrashSource(name, endpoint), Incarnation: 7, Count: 1, Digests: [][]byte{[]byte(digest)}}
			require.NoError(c.t, d.stream.Send(&plane.Heartbeat{Seq: 1000, Crashes: []plane.Crash{crash}}))
		}
		report(entry, "other", "e1", "forged")
		report(entry, "entry", "e1", "poison")
		report(other, "other", "e1", "bystander")
		c.until(time.Second, func() bool { return len(entry.now().bans) == 2 }, "suspects of one death")
		require.True(c.t, entry.now().bans[1].Suspect)
		report(other, "other", "e2", "poison")
		c.until(time.Second, func() bool {
			bans := entry.now().bans
			return string(bans[1].Digest) == "poison" && !bans[1].Suspect
		}, "quarantined at the second death")
		require.NoError(c.t, other.stream.Send(&plane.Heartbeat{Seq: 1001, ClearedSuspects: [][]byte{[]byte("bystander"), []byte("poison")}}))
		c.until(time.Second, func() bool { return len(entry.now().bans) == 1 }, "a quarantine stays")
	})
}

// A request crashes one endpoint after another; a partition silences many
// together, within the time between two beats, and makes no suspects.
func TestPartitionMakesNoSuspects(t *testing.T) {
	for _, silent := range []int{2, 3} {
		inCluster(t, 17, func(c *cluster) {
			entry := c.connect(c.leader(), entryHello("entry"))
			for i := range silent {
				agent := c.connect(c.follower(), agentHello(fmt.Sprint("agent", i), 1))
				agent.set(func() {
					agent.record = &roster.Record{Agent: agent.hello.Name, Incarnation: 1, ReportSeq: 2, Digests: [][]byte{{byte(i)}}}
				})
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			for i := range silent {
				c.network.Silence(fmt.Sprint("agent", i), c.follower())
			}
			c.until(4*time.Second, func() bool { return len(entry.roster.All()) == 0 }, "gone")
			time.Sleep(2 * time.Second)
			require.Equal(c.t, silent <= 2, len(entry.now().bans) > 0)
		})
	}
}

// Counts of any entry are in every replica's report.
func TestBurnIsAddedUp(t *testing.T) {
	inCluster(t, 16, func(c *cluster) {
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
