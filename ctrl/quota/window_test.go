package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// quotaWindow is the window of the rule QUOTA.
const quotaWindow = 8 * time.Second

// limitChange is a configuration's limits and the time from which they hold.
type limitChange struct {
	at     time.Time
	limits conf.Workspace
}

// maxWindowExcess returns the largest excess, in any window of up to quotaWindow, of the
// tokens spent over rate x time + burst. In a window that a change of limits falls into, or
// that begins within quotaWindow after one, the greater of both limits holds.
func maxWindowExcess(spent []usage, changes []limitChange) float64 {
	slices.SortFunc(spent, func(a, b usage) int { return a.at.Compare(b.at) })
	worst := float64(-1 << 62)
	for i, first := range spent {
		sum := 0.0
		for _, last := range spent[i:] {
			if last.at.Sub(first.at) >= quotaWindow {
				break
			}
			sum += float64(last.tokens)
			rate, burst := int64(0), int64(0)
			for n, change := range changes {
				if change.at.After(last.at) || n+1 < len(changes) && changes[n+1].at.Add(quotaWindow).Before(first.at) {
					continue
				}
				rate, burst = max(rate, change.limits.Rate), max(burst, change.limits.Burst)
			}
			worst = max(worst, sum-float64(burst)-float64(rate)*quotaWindow.Seconds())
		}
	}
	return worst
}

// windowLoad performs random steps in which entries request tokens of any size up to the
// burst, spend them at any time of the lease, or return some. Leaders crash, hand over, or
// do not learn of their successor, and the limits change.
func (c *cluster) windowLoad(source *rand.Rand, steps int, changes *[]limitChange, mayChange bool) {
	limits := (*changes)[0].limits
	for seq := range uint64(steps) {
		time.Sleep(time.Duration(source.IntN(150)) * time.Millisecond)
		switch source.IntN(40) {
		case 0:
			c.elect(source.IntN(3))
			continue
		case 1:
			c.handOver(source.IntN(3))
			continue
		case 2:
			time.Sleep(time.Duration(source.Int64N(int64(10 * time.Second))))
			continue
		case 3:
			if mayChange {
				limits = conf.Workspace{Rate: 1 + source.Int64N(20_000), Burst: 1 + source.Int64N(80_000)}
				*changes = append(*changes, limitChange{at: time.Now(), limits: limits})
				c.config.Store(&conf.Config{Number: uint64(len(*changes)), Workspaces: map[string]conf.Workspace{"w0": limits}})
			}
		}
		size := 1 + source.Int64N(3000)
		switch source.IntN(12) {
		case 0:
			size = 1 + source.Int64N(limits.Burst)
		case 1:
			size = limits.Burst
		}
		c.spendLease(source, seq+1, size)
	}
}

// spendLease requests tokens at a random replica and spends what it gets.
func (c *cluster) spendLease(source *rand.Rand, seq uint64, size int64) {
	entry := fmt.Sprint("e", source.IntN(3))
	send := func(request plane.TokenRequest) *plane.GrantReply {
		request.Workspace = "w0"
		replica := c.leader
		if source.IntN(4) == 0 {
			replica = source.IntN(3)
		}
		return c.replicas[replica].Grant(c.t.Context(), &plane.GrantRequest{
			Entry: entry, Incarnation: 1, Seq: source.Uint64(), TokenRequests: []plane.TokenRequest{request},
		})
	}
	sent := time.Now()
	reply := send(plane.TokenRequest{MinTokens: size, WantedTokens: size * (1 + source.Int64N(3))})
	if len(reply.Grants) == 0 || reply.Grants[0].Tokens == 0 {
		return
	}
	given := reply.Grants[0]
	at := sent.Add(time.Duration(source.Int64N(int64(given.Lifetime))))
	switch source.IntN(4) {
	case 0:
		at = sent.Add(given.Lifetime.Std() - 1)
	case 1:
		at = time.Now()
		send(plane.TokenRequest{LeaseID: given.LeaseID, SpentTokens: given.Tokens})
	case 2:
		returned := source.Int64N(given.Tokens + 1)
		given.Tokens -= returned
		send(plane.TokenRequest{LeaseID: given.LeaseID, UnusedTokens: returned})
	}
	c.spent = append(c.spent, usage{at: at, tokens: given.Tokens})
}

// No window of the rule may exceed rate x window + burst, for any load, sizes of requests
// and changes of leader, although the burst is granted again in each window.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	for seed := range uint64(150) {
		source := rand.New(rand.NewPCG(seed, 11))
		limits := conf.Workspace{Rate: 500 + source.Int64N(12_000), Burst: 10_000 + source.Int64N(70_000)}
		runWindowCluster(t, limits, 1, quotaWindow, func(c *cluster) {
			changes := []limitChange{{at: time.Now(), limits: limits}}
			c.windowLoad(source, 250, &changes, false)
			require.LessOrEqual(c.t, maxWindowExcess(c.spent, changes), 0.0, "seed %d", seed)
		})
	}
}

// The same holds while the limits change, with the greater limits until one window after a
// change.
func TestNoWindowExceedsChangingLimits(t *testing.T) {
	for seed := range uint64(150) {
		source := rand.New(rand.NewPCG(seed, 12))
		limits := conf.Workspace{Rate: 500 + source.Int64N(12_000), Burst: 10_000 + source.Int64N(70_000)}
		runWindowCluster(t, limits, 1, quotaWindow, func(c *cluster) {
			changes := []limitChange{{at: time.Now(), limits: limits}}
			c.windowLoad(source, 250, &changes, true)
			require.LessOrEqual(c.t, maxWindowExcess(c.spent, changes), 0.0, "seed %d", seed)
		})
	}
}

// take requests tokens once, spends them and reports those of the last lease as spent.
func (c *cluster) take(last *plane.Grant, tokens int64) int64 {
	request := plane.TokenRequest{Workspace: "w0", WantedTokens: tokens, MinTokens: tokens, LeaseID: last.LeaseID, SpentTokens: last.Tokens}
	reply := c.replicas[c.leader].Grant(c.t.Context(), &plane.GrantRequest{
		Entry: "e", Incarnation: 1, Seq: uint64(time.Now().UnixNano()), TokenRequests: []plane.TokenRequest{request},
	})
	if len(reply.Grants) == 0 {
		return 0
	}
	*last = reply.Grants[0]
	c.spent = append(c.spent, usage{at: time.Now(), tokens: last.Tokens})
	return last.Tokens
}

// drain requests tokens in pieces of the given size for a time and returns what it got.
func (c *cluster) drain(piece int64, length time.Duration) (got int64) {
	last := plane.Grant{}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		got += c.take(&last, piece)
	}
	return got
}

// A workspace that sends without end must get the part of its burst beyond one second's rate
// again in each window, also from successors: it got it once in all.
func TestBurstIsGrantedAgainInEachWindow(t *testing.T) {
	limits := conf.Workspace{Rate: 10_000, Burst: 40_000}
	runWindowCluster(t, limits, 1, quotaWindow, func(c *cluster) {
		c.drain(500, 10*time.Second)
		for next := range 3 {
			got := c.drain(500, quotaWindow)
			require.GreaterOrEqual(c.t, got, int64(0.98*110_000), "rate x window + burst - one second's rate")
			c.handOver(next)
		}
		require.LessOrEqual(c.t, maxWindowExcess(c.spent, []limitChange{{limits: limits}}), 0.0)
	})
}

// A request of the whole burst must be granted although the capacity is less at first, and a
// successor must not grant its own capacity and rate on top of it: neither at once, nor where
// large requests raise its capacity as well, nor some time later.
func TestSuccessorCountsLargeRequests(t *testing.T) {
	limits := conf.Workspace{Rate: 10_000, Burst: 60_000}
	for _, test := range []struct {
		name string
		// first is the leader's large request and pause the time until the leadership
		// changes. largest is the first request at the successor.
		first, largest int64
		pause          time.Duration
		planned        bool
		least          int64
	}{
		{"crash at once", limits.Burst, 500, 0, false, 40_000},
		{"hand-over at once", limits.Burst, 500, 0, true, 40_000},
		{"crash, large requests", limits.Burst, 50_000, 0, false, 40_000},
		{"hand-over, large requests", limits.Burst, 50_000, 0, true, 40_000},
		{"crash later", 50_000, 500, 14 * time.Second, false, 30_000},
		{"hand-over later", 50_000, 500, 14 * time.Second, true, 30_000},
	} {
		runWindowCluster(t, limits, 1, quotaWindow, func(c *cluster) {
			last := plane.Grant{}
			c.take(&last, limits.Burst)
			time.Sleep(time.Minute)
			require.Equal(c.t, test.first, c.take(&last, test.first), "the capacity has grown; %s", test.name)
			time.Sleep(test.pause)
			c.take(&last, 100)
			if test.planned {
				c.handOver(1)
			} else {
				c.elect(1)
			}
			record, _, _ := c.replicas[1].machine.Reservation("w0")
			require.LessOrEqual(c.t, record.Level, limits.Rate, "a successor has room for one second's rate; %s", test.name)
			c.take(&last, test.largest)
			got := c.drain(500, max(quotaWindow-test.pause, 3*time.Second)-200*time.Millisecond)
			require.LessOrEqual(c.t, maxWindowExcess(c.spent, []limitChange{{limits: limits}}), 0.0, test.name)
			require.GreaterOrEqual(c.t, got, test.least, "the successor goes on after the debt; %s", test.name)
		})
	}
}

// Without the setting a burst is granted once, as before.
func TestWithoutWindowBurstIsGrantedOnce(t *testing.T) {
	limits := conf.Workspace{Rate: 10_000, Burst: 40_000}
	runCluster(t, limits, 1, func(c *cluster) {
		c.drain(500, 10*time.Second)
		require.InDelta(c.t, 80_000, c.drain(500, quotaWindow), 2000)
	})
}

// ask requests tokens for an entry at the leader.
func (c *cluster) ask(entry string, tokens int64) plane.Grant {
	request := plane.TokenRequest{Workspace: "w0", WantedTokens: tokens, MinTokens: tokens}
	return c.replicas[c.leader].Grant(c.t.Context(), &plane.GrantRequest{
		Entry: entry, Incarnation: 1, Seq: uint64(time.Now().UnixNano()), TokenRequests: []plane.TokenRequest{request},
	}).Grants[0]
}

// Positions of entries whose requests had been refused meanwhile, or of killed entries, kept
// the others from getting tokens: at 380 entries and four times the rate, nine tenths of a
// window's tokens were not granted.
func TestUnusedPositionsEnd(t *testing.T) {
	for _, withdrawn := range []bool{true, false} {
		runWindowCluster(t, conf.Workspace{Rate: 1000, Burst: 9000}, 1, quotaWindow, func(c *cluster) {
			c.drain(100, 12*time.Second)
			require.Positive(c.t, c.ask("a", 8000).Wait)
			time.Sleep(time.Millisecond)
			require.Greater(c.t, c.ask("b", 200).Wait.Std(), 5*time.Second, "behind the first entry")
			started := time.Now()
			if withdrawn {
				none := c.ask("a", 0)
				require.Zero(c.t, none.Tokens)
			}
			for c.ask("b", 200).Tokens == 0 {
				require.Less(c.t, time.Since(started), 10*time.Second)
				time.Sleep(50 * time.Millisecond)
			}
			limit := 1700 * time.Millisecond
			if withdrawn {
				limit = 500 * time.Millisecond
			}
			require.Less(c.t, time.Since(started), limit, "withdrawn: %v", withdrawn)
		})
	}
}

// Entries estimate their waits by the demand, which must not contain what they were granted.
func TestDemandIsWhatEntriesLack(t *testing.T) {
	runWindowCluster(t, conf.Workspace{Rate: 10_000, Burst: 20_000}, 1, quotaWindow, func(c *cluster) {
		require.EqualValues(c.t, 5000, c.ask("a", 5000).Tokens)
		time.Sleep(time.Millisecond)
		require.InDelta(c.t, 0.01, c.ask("b", 100).DemandRatio, 0.01)
	})
}

// A leader says for some time that it has just begun to lead, and without a window never.
func TestNewLeaderSaysSo(t *testing.T) {
	for _, window := range []time.Duration{0, quotaWindow} {
		runWindowCluster(t, conf.Workspace{Rate: 10_000, Burst: 20_000}, 1, window, func(c *cluster) {
			require.Equal(c.t, window > 0, c.ask("a", 10).Recovering)
			time.Sleep(20 * time.Second)
			require.False(c.t, c.ask("a", 10).Recovering)
			c.elect(1)
			require.Equal(c.t, window > 0, c.ask("a", 10).Recovering)
		})
	}
}
