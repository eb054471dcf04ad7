package daemon_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

func TestNumberedSubmissions(t *testing.T) {
	withCluster(t, 1, func(c *cluster) {
		follower := c.follower()
		submit := func(config *conf.Config) *plane.SubmitReply {
			reply, err := c.submit(follower, config, "ann", 0)
			require.NoError(c.t, err)
			return reply
		}
		first := config(1, 10)
		require.Equal(c.t, plane.KindNone, submit(first).Refused)
		require.Equal(c.t, plane.KindNone, submit(first).Refused, "a resent submission gets the same reply")
		other := submit(config(1, 11))
		require.Equal(c.t, plane.KindConflict, other.Refused)
		require.Equal(c.t, "ann", other.Winner)
		require.Equal(c.t, plane.KindInvalid, submit(config(3, 10)).Refused)
		require.Equal(c.t, plane.KindInvalid, submit(config(2, 0)).Refused, "an invalid configuration is refused before it reaches the log")
		for number := uint64(2); number <= 400; number++ {
			require.Equal(c.t, plane.KindNone, submit(config(number, int64(number))).Refused)
		}
		c.crash(c.leader())
		follower = c.leader()
		again := submit(first)
		require.Equal(c.t, plane.KindNone, again.Refused, "a resent submission after hundreds of changes and a crash")
		require.Equal(c.t, uint64(400), again.ConfigNumber)
		require.Equal(c.t, plane.KindConflict, submit(config(1, 11)).Refused)
	})
}

// A submission is in force when every lease holder has applied it or its lease has expired.
func TestSubmissionWaitsForLeaseHolders(t *testing.T) {
	withCluster(t, 2, func(c *cluster) {
		leader := c.leader()
		near := c.connect(leader, entryHello("near"))
		far := c.connect(c.follower(), agentHello("far", 1))
		time.Sleep(2 * time.Second)
		start := time.Now()
		reply, err := c.submit(leader, config(1, 10), "ann", 5*time.Second)
		require.NoError(c.t, err)
		require.True(c.t, reply.InForce)
		require.Equal(c.t, []uint64{1, 1}, []uint64{near.configNumber(), far.configNumber()})
		require.Less(c.t, time.Since(start), 2*time.Second)

		far.update(func() { far.ignoresConfig = true })
		reply, err = c.submit(leader, config(2, 10), "ann", 4*time.Second)
		require.NoError(c.t, err)
		require.False(c.t, reply.InForce)
		require.Equal(c.t, []string{"agent far"}, reply.Lagging)
	})
}

// A replica partitioned together with its daemons delays a configuration by less than five
// seconds, and none of its daemons holds a lease with an old configuration after that.
func TestConfigurationWithPartitionedReplica(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		cut := c.follower()
		near := c.connect(c.leader(), entryHello("near"))
		behind := c.connect(cut, entryHello("behind"))
		reply, err := c.submit(c.leader(), config(1, 10), "ann", 5*time.Second)
		require.NoError(c.t, err)
		require.True(c.t, reply.InForce)
		c.network.Isolate(cut, c.others(cut)...)
		start := time.Now()
		reply, err = c.submit(c.leaderWithout(cut), config(2, 20), "ann", 10*time.Second)
		require.NoError(c.t, err)
		require.True(c.t, reply.InForce, "lagging: %v", reply.Lagging)
		require.Less(c.t, time.Since(start), 5*time.Second)
		require.False(c.t, behind.lease.Valid() && behind.configNumber() < 2, "a daemon with the old configuration still has a lease")
		require.True(c.t, near.lease.Valid())
		<-behind.ended
		require.NoError(c.t, behind.join(c.leaderWithout(cut)))
		time.Sleep(time.Second)
		require.True(c.t, behind.lease.Valid(), "the daemon has a lease from another replica")
		require.Equal(c.t, uint64(2), behind.configNumber())
		c.network.Rejoin(cut, c.others(cut)...)
	})
}

// leaderWithout returns the leader that the replicas other than cut agree on, or an empty name
// after ten seconds.
func (c *cluster) leaderWithout(cut string) string {
	for range 200 {
		names := c.others(cut)
		leader := c.running[names[0]].Status().Leader
		if leader != cut && leader != "" && leader == c.running[names[1]].Status().Leader {
			return leader
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ""
}

// A connected daemon follows the configuration by deltas; one that reconnects catches up.
func TestDaemonsReceiveConfigurationDeltas(t *testing.T) {
	withCluster(t, 4, func(c *cluster) {
		entry := c.connect(c.follower(), entryHello("entry"))
		for number := uint64(1); number <= 30; number++ {
			_, err := c.submit(c.leader(), config(number, int64(number)), "ann", 0)
			require.NoError(c.t, err)
		}
		time.Sleep(2 * time.Second)
		require.Equal(c.t, uint64(30), entry.configNumber())
		require.Equal(c.t, int64(30), entry.snapshot().config.Workspaces["w"].Rate)
		entry.disconnect()
		for number := uint64(31); number <= 33; number++ {
			_, err := c.submit(c.leader(), config(number, int64(number)), "ann", 0)
			require.NoError(c.t, err)
		}
		require.NoError(c.t, entry.join(c.leader()))
		time.Sleep(2 * time.Second)
		require.Equal(c.t, uint64(33), entry.configNumber(), "a daemon that reconnects is brought up to date")
	})
}
