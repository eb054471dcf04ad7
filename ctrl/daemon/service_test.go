package daemon_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// spentTokens is a number of tokens and the time at which an entry spends them.
type spentTokens struct {
	at     time.Time
	tokens int64
}

// Entries request more tokens than the allowance through all replicas while leaders crash and are
// partitioned: over any period the tokens spent stay within rate * time + burst, and most of the
// allowance is used.
func TestAllowanceHoldsAcrossLeaderChanges(t *testing.T) {
	limits := conf.Workspace{Rate: 500, Burst: 1000}
	var mutex sync.Mutex
	var spent []spentTokens
	withCluster(t, 40, func(c *cluster) {
		_, err := c.submit(c.leader(), &conf.Config{Number: 1, Workspaces: map[string]conf.Workspace{"w": limits}}, "ann", 0)
		require.NoError(c.t, err)
		end := time.Now().Add(historyDuration)
		var group sync.WaitGroup
		for entry := range 4 {
			source := rand.New(rand.NewPCG(40, uint64(entry)))
			group.Go(func() {
				for seq := uint64(1); time.Now().Before(end); seq++ {
					sent := time.Now()
					wanted := int64(10 + source.IntN(200))
					request := &plane.GrantRequest{Entry: fmt.Sprint(entry), Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{{Workspace: "w", WantedTokens: wanted, MinTokens: wanted / 4}}}
					reply := &plane.GrantReply{}
					err := c.call(fmt.Sprint("entry", entry), fmt.Sprintf("c%d", 1+source.IntN(3)), plane.MethodGrant, request, reply)
					if err != nil || reply.Refused != plane.KindNone {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					grant := reply.Grants[0]
					at := sent.Add(time.Duration(source.Int64N(int64(grant.Lifetime))))
					if grant.Tokens > 0 {
						mutex.Lock()
						spent = append(spent, spentTokens{at: at, tokens: grant.Tokens})
						mutex.Unlock()
					}
					time.Sleep(max(grant.Wait.Std(), 20*time.Millisecond))
				}
			})
		}
		c.injectFaults(rand.New(rand.NewPCG(40, 100)), end)
		group.Wait()
	})
	slices.SortFunc(spent, func(a, b spentTokens) int { return a.at.Compare(b.at) })
	total := int64(0)
	for i, first := range spent {
		sum := int64(0)
		for _, last := range spent[i:] {
			sum += last.tokens
			allowed := float64(limits.Burst) + float64(limits.Rate)*last.at.Sub(first.at).Seconds()
			require.LessOrEqual(t, float64(sum), allowed)
		}
		total += first.tokens
	}
	share := float64(total) / (historyDuration.Seconds() * float64(limits.Rate))
	t.Logf("%d grants, %.0f%% of the allowance", len(spent), 100*share)
	require.Greater(t, share, 0.5)
}

// After a graceful stop of the leader its daemons keep valid leases while they reconnect, and a new
// leader commits within five seconds.
func TestPlannedStopOfTheLeader(t *testing.T) {
	withCluster(t, 41, func(c *cluster) {
		leader := c.leader()
		entry := c.connect(leader, entryHello("entry"))
		agent := c.connect(leader, agentHello("agent", 1))
		_, err := c.submit(leader, config(1, 10), "ann", 5*time.Second)
		require.NoError(c.t, err)
		time.Sleep(2 * time.Second)
		start := time.Now()
		c.stop(leader)
		require.Less(c.t, time.Since(start), 2*time.Second)
		others := c.others(leader)
		<-entry.ended
		<-agent.ended
		require.NoError(c.t, entry.join(others[0]))
		require.NoError(c.t, agent.join(others[1]))
		reply, err := c.submit(others[0], config(2, 20), "ann", 5*time.Second)
		require.NoError(c.t, err)
		require.True(c.t, reply.InForce)
		require.Less(c.t, time.Since(start), 5*time.Second)
		for range 100 {
			require.True(c.t, entry.lease.Valid() && agent.lease.Valid())
			require.True(c.t, entry.hasAgent("agent"))
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// A replica that lost the leadership grants no more permits: its permit streams end, both those
// of directly connected agents and those that a follower relays.
func TestPermitStreamsEndWithTheLeadership(t *testing.T) {
	withCluster(t, 42, func(c *cluster) {
		leader := c.leader()
		ended := make(chan error, 2)
		for _, to := range []string{leader, c.others(leader)[0]} {
			session, err := link.Dial(c.ctx, c.network.Dialer("agent"), to+":1")
			require.NoError(c.t, err)
			defer func() { _ = session.Close() }()
			stream, err := session.Open(plane.MethodPermit)
			require.NoError(c.t, err)
			require.NoError(c.t, stream.Send(&plane.PermitRequest{Agent: "agent " + to, Incarnation: 1}))
			go func() {
				for {
					if err := stream.Receive(&plane.Permit{}); err != nil {
						ended <- err
						return
					}
				}
			}()
		}
		time.Sleep(5 * time.Second)
		require.Empty(c.t, ended)
		c.network.Isolate(leader, c.others(leader)...)
		start := time.Now()
		<-ended
		require.Less(c.t, time.Since(start), time.Second, "the stream to the partitioned leader")
		<-ended
		require.Less(c.t, time.Since(start), 5*time.Second, "the stream that a follower relays")
		c.network.Rejoin(leader, c.others(leader)...)
	})
}
