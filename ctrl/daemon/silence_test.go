package daemon_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/feed"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
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

// connectFeed runs an entry's feed until the test ends.
func (c *cluster) connectFeed(name string, replicas []string) *feed.Feed {
	h := host.Host{VM: name, Meter: meter.New(), Dial: c.network.Dialer(name)}
	up := &uplink.Uplink{Host: h}
	for _, replica := range replicas {
		up.Replicas = append(up.Replicas, replica+":1")
	}
	f := &feed.Feed{Host: h, Incarnation: 1, Uplink: up}
	go up.Run(c.ctx)
	go func() { _ = f.Run(c.ctx) }()
	return f
}

// requireLeases checks for a time that the entries may serve requests.
func (c *cluster) requireLeases(entries map[string]*feed.Feed, during time.Duration, message string) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for name, entry := range entries {
			require.True(c.t, entry.Valid(), "%s has no lease, %s", name, message)
		}
	}
}

// A replica says nothing for up to 1.7 seconds, in any phase of the heartbeats, and then continues.
// Entries whose feed or whose leader it is would refuse their callers if the lease expired. They
// have a second silence as soon as they may have changed to another replica.
func TestLeaseExpiresWhileAReplicaIsSilent(t *testing.T) {
	const heartbeatInterval, phaseStep = time.Second, 100 * time.Millisecond
	for _, test := range []struct {
		name     string
		isLeader bool
		again    time.Duration
	}{
		{"follower", false, 0},
		{"leader", true, 0},
		{"leader, then its successor", true, 1500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, 20, func(c *cluster) {
				_, err := c.submit(c.leader(), config(1, 10), "ann", 0)
				require.NoError(c.t, err)
				entries := map[string]*feed.Feed{}
				for _, name := range []string{"entry1", "entry2", "entry3", "entry4", "entry5", "entry6"} {
					entries[name] = c.connectFeed(name, []string{"c1", "c2", "c3"})
				}
				everyone := func(silent string) []string {
					others := c.others(silent)
					for name := range entries {
						others = append(others, name)
					}
					return others
				}
				time.Sleep(2 * time.Second)
				for _, length := range []time.Duration{1300 * time.Millisecond, 1700 * time.Millisecond} {
					for phase := time.Duration(0); phase < heartbeatInterval; phase += phaseStep {
						message := fmt.Sprint(length, " in phase ", phase)
						c.requireLeases(entries, 5*time.Second+phase, "before a silence of "+message)
						silent := c.leader()
						if !test.isLeader {
							silent = c.follower()
						}
						c.network.Isolate(silent, everyone(silent)...)
						c.requireLeases(entries, length, "in a silence of "+message)
						c.network.Rejoin(silent, everyone(silent)...)
						if test.again == 0 {
							continue
						}
						c.requireLeases(entries, test.again, "between silences of "+message)
						silent = c.leader()
						c.network.Isolate(silent, everyone(silent)...)
						c.requireLeases(entries, length, "in a second silence of "+message)
						c.network.Rejoin(silent, everyone(silent)...)
					}
				}
			})
		})
	}
}

// The leader says nothing for 1.3 seconds, and calls go to another replica as the silence begins. It
// waited for the silent leader, in the call itself or in a quorum round, until after the time in which
// the platform's callers give up, although a successor is elected in 0.6 s.
func TestCallWaitsForASilentLeader(t *testing.T) {
	const silence, callTimeout, retryDelay = 1300 * time.Millisecond, 850 * time.Millisecond, 50 * time.Millisecond
	withCluster(t, 21, func(c *cluster) {
		_, err := c.submit(c.leader(), config(1, 10), "ann", 0)
		require.NoError(c.t, err)
		grant := func(to string, number uint64) bool {
			reply := &plane.GrantReply{}
			request := &plane.GrantRequest{Entry: "entry", Incarnation: 1, Seq: number, TokenRequests: []plane.TokenRequest{{Workspace: "w", WantedTokens: 1, MinTokens: 1}}}
			return c.call("entry", to, plane.MethodGrant, request, reply) == nil && reply.Refused == plane.KindNone
		}
		for number := uint64(2); number < 12; number++ {
			for name, call := range map[string]func(ctx context.Context, to string) bool{
				"replace": func(ctx context.Context, to string) bool {
					newest, err := c.running[to].Replace(ctx, config(number, 10))
					return err == nil && newest == number
				},
				"fetch": func(ctx context.Context, to string) bool {
					_, _, err := c.running[to].Fetch(ctx)
					return err == nil
				},
				"grant": func(_ context.Context, to string) bool { return grant(to, number) },
			} {
				time.Sleep(5*time.Second + time.Duration(number)*37*time.Millisecond)
				leader := c.leader()
				others := append(c.others(leader), "operator", "entry")
				c.network.Isolate(leader, others...)
				began := time.Now()
				ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
				for !call(ctx, c.others(leader)[0]) && time.Since(began) < silence {
					time.Sleep(retryDelay)
				}
				cancel()
				require.Less(c.t, time.Since(began), callTimeout, "%s %d", name, number)
				time.Sleep(silence - time.Since(began))
				c.network.Rejoin(leader, others...)
			}
		}
	})
}
