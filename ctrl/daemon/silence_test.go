package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An agent whose heartbeats are up to two seconds late, because its VM is cut off or suspended,
// stays in the rosters of the entries. Its removal would end the requests there.
func TestAgentWithLateHeartbeatsStays(t *testing.T) {
	withCluster(t, 19, func(c *cluster) {
		entry := c.connect(c.leader(), entryHello("entry"))
		follower := c.others(c.leader())[0]
		c.connect(follower, agentHello("late", 1))
		c.until(2*time.Second, func() bool { return entry.hasAgent("late") }, "join")
		for _, late := range []time.Duration{900 * time.Millisecond, 1300 * time.Millisecond, 1700 * time.Millisecond} {
			for phase := time.Duration(0); phase < time.Second; phase += 200 * time.Millisecond {
				time.Sleep(3*time.Second + phase)
				c.network.Isolate("late", "c1", "c2", "c3")
				present := func(limit time.Duration) {
					for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
						require.True(t, entry.hasAgent("late"), fmt.Sprint(late, " phase ", phase))
					}
				}
				present(late)
				c.network.Rejoin("late", "c1", "c2", "c3")
				present(2 * time.Second)
			}
		}
	})
}
