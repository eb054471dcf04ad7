package daemon_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

func TestNumberedSubmissions(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		follower := c.follower()
		submit := func(config *conf.Config) *plane.SubmitReply {
			reply, err := c.submit(follower, config, "ann", 0)
			require.NoError(c.t, err)
			return reply
		}
		first := config(1, 10)
		require.Equal(c.t, plane.KindNone, submit(first).Refused)
		require.Equal(c.t, plane.KindNone, submit(first).Refused, "a resend gets the same answer")
		other := submit(config(1, 11))
		require.Equal(c.t, plane.KindConflict, other.Refused)
		require.Equal(c.t, "ann", other.Winner)
		require.Equal(c.t, plane.KindInvalid, submit(config(3, 10)).Refused)
		require.Equal(c.t, plane.KindInvalid, submit(config(2, 0)).Refused, "faults are found before the log")
		for number := uint64(2); number <= 400; number++ {
			require.Equal(c.t, plane.KindNone, submit(config(number, int64(number))).Refused)
		}
		c.crash(c.leader())
		follower = c.leader()
		again := submit(first)
		require.Equal(c.t, plane.KindNone, again.Refused, "a resend after hundreds of changes and a crash")
		require.Equal(c.t, uint64(400), again.ConfigNumber)
		require.Equal(c.t, plane.KindConflict, submit(config(1, 11)).Refused)
	})
}

// A submission is in force when every holder of a lease has it, or holds none.
func TestSubmissionWaitsForLeaseHolders(t *testing.T) {
	inCluster(t, 2, func(c *cluster) {
		leader := c.leader()
		near := c.connect(leader, entryHello("near"))
		far := c.connect(c.follower(), agentHello("far", 1))
		time.Sleep(2 * time.Second)
		start := time.Now()
		reply, err := c.submit(leader, config(1, 10), "ann", 5*time.Second)
		require.NoError(c.t, err)
		require.True(c.t, reply.InForce)
		require.Equal(c.t, []uint64{1, 1}, []uint64{near.number(), far.number()})
		require.Less(c.t, time.Since(start), 2*time.Second)

		far.set(func() { far.deaf = true })
		reply, err = c.submit(leader, config(2, 10), "ann", 4*time.Second)
		require.NoError(c.t, err)
		require.False(c.t, reply.InForce)
		require.Equal(c.t, []string{"agent far"}, reply.Lagging)
	})
}

// A replica that is cut off with its daemons cannot hold up a configuration
// for more than five seconds, and none of its daemons acts on an old one then.
func TestConfigurationUnderACutOffReplica(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		cut := c.follower()
		near := c.connect(c.leader(), entryHello("near"))
		behind := c.connect(cut, entryHello("behind"))
		reply, err := c.submit(c.leader(), config(1, 10), "ann", 5*time.Second)
		require.NoError(c.t, err)
		require.True(c.t, reply.InForce)
		c.network.Isolate(cut, c.others(cut)...)
		start := time.Now()
		reply, err = c.submit(c.leader2(cut), config(2, 20), "ann", 10*time.Second)
		require.NoError(c.t, err)
		require.True(c.t, reply.InForce, "lagging: %v", reply.Lagging)
		require.Less(c.t, time.Since(start), 5*time.Second)
		require.False(c.t, behind.lease.Valid() && behind.number() < 2, "a holder of the old configuration still has a lease")
		require.True(c.t, near.lease.Valid())
		<-behind.ended
		require.NoError(c.t, behind.join(c.leader2(cut)))
		time.Sleep(time.Second)
		require.True(c.t, behind.lease.Valid(), "the daemon finds another replica")
		require.Equal(c.t, uint64(2), behind.number())
		c.network.Rejoin(cut, c.others(cut)...)
	})
}

// leader2 returns the leader that the replicas other than cut agree on.
func (c *cluster) leader2(cut string) string {
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

// Daemons get deltas, and the whole configuration only at joining.
func TestDaemonsGetDeltas(t *testing.T) {
	inCluster(t, 4, func(c *cluster) {
		entry := c.connect(c.follower(), entryHello("entry"))
		for number := uint64(1); number <= 30; number++ {
			_, err := c.submit(c.leader(), config(number, int64(number)), "ann", 0)
			require.NoError(c.t, err)
		}
		time.Sleep(2 * time.Second)
		require.Equal(c.t, uint64(30), entry.number())
		require.Equal(c.t, int64(30), entry.now().config.Workspaces["w"].Rate)
		entry.leave()
		for number := uint64(31); number <= 33; number++ {
			_, err := c.submit(c.leader(), config(number, int64(number)), "ann", 0)
			require.NoError(c.t, err)
		}
		require.NoError(c.t, entry.join(c.leader()))
		time.Sleep(2 * time.Second)
		require.Equal(c.t, uint64(33), entry.number(), "a daemon that returns is brought up to date")
	})
}
