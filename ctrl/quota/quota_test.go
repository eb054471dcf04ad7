package quota_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/quota"
	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// testRetryLimit lets each service's pool accrue 0.6 retries per second and hold six.
var testRetryLimit = budget.Limit{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}

// cluster is a log shared by three replicas without consensus: only the leader appends,
// and the others apply its entries when the test calls catchUp.
type cluster struct {
	t        *testing.T
	ctx      context.Context
	mutex    sync.Mutex
	log      []logEntry
	replicas [3]*replica
	leader   int
	term     uint64
	config   atomic.Pointer[conf.Config]
	spent    []usage
	// account is the name of the account that runRandom requests tokens of; empty means
	// w0.
	account string
	// credited are the tokens added to a pool for reported requests.
	credited []usage
}

// logEntry is a record with the term in which it was appended.
type logEntry struct {
	term uint64
	data []byte
}

type replica struct {
	quota.Owner
	machine state.Machine
	applied int
	// stop ends Run and waits for its end.
	stop func()
}

// start runs the replica's owner like a newly started process.
func (r *replica) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	r.stop = func() {
		cancel()
		<-done
	}
}

type usage struct {
	at     time.Time
	tokens int64
}

func runCluster(t *testing.T, limits conf.Workspace, workspaces int, run func(c *cluster)) {
	runWindowCluster(t, limits, workspaces, 0, run)
}

// runWindowCluster is runCluster with quota.Owner.QuotaWindow.
func runWindowCluster(t *testing.T, limits conf.Workspace, workspaces int, window time.Duration, run func(c *cluster)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, ctx: ctx}
		config := &conf.Config{Number: 1, Workspaces: map[string]conf.Workspace{}, Services: map[string]conf.Service{"desk": {}}}
		for i := range workspaces {
			config.Workspaces[fmt.Sprintf("w%d", i)] = limits
		}
		c.config.Store(config)
		for i := range c.replicas {
			r := &replica{Owner: quota.Owner{Host: host.Host{Meter: meter.New()}, RetryLimit: testRetryLimit, QuotaWindow: window}}
			r.Config = c.config.Load
			r.CommittedReservation = r.machine.Reservation
			r.Propose = func(ctx context.Context, term uint64, reservations []state.Reservation) error {
				return c.propose(ctx, i, term, reservations)
			}
			c.replicas[i] = r
			r.start(ctx)
		}
		c.elect(0)
		run(c)
		cancel()
		time.Sleep(time.Second)
	})
}

// propose appends a record if the replica leads when the record reaches the other
// replicas, even if the replica was elected again in a later term.
func (c *cluster) propose(ctx context.Context, from int, term uint64, reservations []state.Reservation) error {
	data, err := codec.Encode(&state.Command{Reservations: reservations, ReservationTerm: term})
	require.NoError(c.t, err)
	time.Sleep(2 * time.Millisecond)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader != from || ctx.Err() != nil {
		return fmt.Errorf("not the leader")
	}
	c.log = append(c.log, logEntry{term: c.term, data: data})
	c.catchUp(from)
	if c.term != term {
		return fmt.Errorf("term %d is over", term)
	}
	return nil
}

func (c *cluster) catchUp(to int) {
	r := c.replicas[to]
	for ; r.applied < len(c.log); r.applied++ {
		r.machine.Apply(0, c.log[r.applied].term, time.Now(), c.log[r.applied].data)
	}
}

// elect makes a replica the leader without notifying the previous one.
func (c *cluster) elect(next int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leader = next
	c.term++
	c.catchUp(next)
	c.replicas[next].SetLeadership(c.term, true)
}

// handOver restarts the leader in the way of a planned restart.
func (c *cluster) handOver(next int) {
	former := c.replicas[c.leader]
	former.stop()
	if c.leader != next {
		former.SetLeadership(c.term, false)
	}
	c.elect(next)
	former.start(c.ctx)
}

// runRandom performs random steps: entries request tokens from any replica, spend them
// late and return some, and the leadership changes.
func (c *cluster) runRandom(source *rand.Rand, steps int, seq *uint64) {
	for range steps {
		time.Sleep(time.Duration(source.IntN(120)) * time.Millisecond)
		if source.IntN(10) == 0 {
			time.Sleep(time.Duration(source.Int64N(int64(4 * time.Second))))
		}
		switch source.IntN(13) {
		case 0:
			c.elect(source.IntN(3))
		case 12:
			c.handOver(source.IntN(3))
		case 1:
			c.mutex.Lock()
			c.catchUp(source.IntN(3))
			c.mutex.Unlock()
		default:
			c.requestTokens(source, c.replicas[source.IntN(3)], seq)
		}
	}
}

func (c *cluster) requestTokens(source *rand.Rand, r *replica, seq *uint64) {
	*seq++
	wanted := int64(source.IntN(150))
	request := &plane.GrantRequest{Entry: fmt.Sprint("e", source.IntN(3)), Incarnation: 1, Seq: *seq, TokenRequests: []plane.TokenRequest{{Workspace: cmp.Or(c.account, "w0"), WantedTokens: wanted, MinTokens: wanted / 3}}}
	if c.account != "" && source.IntN(2) == 0 {
		requests := int64(source.IntN(3))
		request.TokenRequests = append(request.TokenRequests, plane.TokenRequest{Workspace: c.account, ServiceRequests: requests})
		c.credited = append(c.credited, usage{at: time.Now(), tokens: testRetryLimit.Credit(requests)})
	}
	sent := time.Now()
	reply := r.Grant(c.t.Context(), request)
	if len(reply.Grants) == 0 || reply.Grants[0].Tokens == 0 {
		return
	}
	given := reply.Grants[0]
	if source.IntN(4) == 0 {
		*seq++
		unused := request.TokenRequests[0]
		unused.WantedTokens, unused.MinTokens, unused.UnusedTokens, unused.LeaseID = 0, 0, given.Tokens/2, given.LeaseID
		r.Grant(c.t.Context(), &plane.GrantRequest{Entry: request.Entry, Incarnation: 1, Seq: *seq, TokenRequests: []plane.TokenRequest{unused}})
		given.Tokens -= given.Tokens / 2
	}
	at := sent.Add(time.Duration(source.Int64N(int64(given.Lifetime))))
	if source.IntN(2) == 0 {
		at = sent.Add(given.Lifetime.Std() - 1)
	}
	c.spent = append(c.spent, usage{at: at, tokens: given.Tokens})
}

// maxExcess returns the largest excess of spent tokens over rate * time + burst, plus the
// credited tokens, in any window.
func (c *cluster) maxExcess(limits conf.Workspace) float64 {
	slices.SortFunc(c.spent, func(a, b usage) int { return a.at.Compare(b.at) })
	worst := -float64(limits.Burst)
	for i, first := range c.spent {
		sum, added := 0.0, 0
		for _, last := range c.spent[i:] {
			sum += float64(last.tokens)
			for ; added < len(c.credited) && !c.credited[added].at.After(last.at); added++ {
				if !c.credited[added].at.Before(first.at) {
					sum -= float64(c.credited[added].tokens)
				}
			}
			worst = max(worst, sum-float64(limits.Burst)-float64(limits.Rate)*last.at.Sub(first.at).Seconds())
		}
	}
	return worst
}

// In no window may entries spend more than rate times time plus burst, even if leaders
// crash or a previous leader does not know of its successor.
func TestFleetNeverExceedsRateAndBurst(t *testing.T) {
	for seed := range uint64(300) {
		limits := conf.Workspace{Rate: 100, Burst: 200 + 50*int64(seed%4)}
		runCluster(t, limits, 1, func(c *cluster) {
			seq := uint64(0)
			c.runRandom(rand.New(rand.NewPCG(seed, 1)), 150, &seq)
			require.LessOrEqual(c.t, c.maxExcess(limits), 0.0, "seed %d", seed)
			require.NotEmpty(c.t, c.spent)
		})
	}
}

// The same limit holds for the retries to a service, even if the first use of its pool
// follows a change of leader and no record of the pool was committed.
func TestFleetNeverExceedsTheRetryBudget(t *testing.T) {
	pool := testRetryLimit.Pool()
	for seed := range uint64(100) {
		runCluster(t, conf.Workspace{Rate: 100, Burst: 200}, 1, func(c *cluster) {
			c.account = budget.Account("desk")
			seq := uint64(0)
			c.runRandom(rand.New(rand.NewPCG(seed, 2)), 150, &seq)
			require.LessOrEqual(c.t, c.maxExcess(pool), 0.0, "seed %d", seed)
			require.NotEmpty(c.t, c.spent)
		})
	}
}

// The stated free share is that of the tokens that no entry holds. Hedges stop by it before
// the pool is empty.
func TestGrantStatesTheFreeShare(t *testing.T) {
	runCluster(t, conf.Workspace{Rate: 100, Burst: 200}, 1, func(c *cluster) {
		seq := uint64(0)
		request := func(tokens int64) plane.Grant {
			seq++
			tokenRequest := plane.TokenRequest{Workspace: budget.Account("desk"), WantedTokens: tokens, MinTokens: tokens}
			return c.replicas[c.leader].Grant(c.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{tokenRequest}}).Grants[0]
		}
		require.Zero(c.t, request(1000).FreeShare, "a pool starts empty")
		time.Sleep(20 * time.Second)
		for taken := 1; taken <= 6; taken++ {
			require.InDelta(c.t, 1-float64(taken)/6, request(1000).FreeShare, 0.02)
		}
	})
}

// A retry pool accrues before its first use, starts empty unless a record shows its level,
// and is removed with its service.
func TestRetryBudgetPools(t *testing.T) {
	runCluster(t, conf.Workspace{Rate: 100, Burst: 200}, 1, func(c *cluster) {
		seq := uint64(0)
		requestTokens := func(service string, tokens int64) plane.Grant {
			seq++
			tokenRequest := plane.TokenRequest{Workspace: budget.Account(service), WantedTokens: tokens, MinTokens: tokens}
			return c.replicas[c.leader].Grant(c.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{tokenRequest}}).Grants[0]
		}
		report := func(requests int64) {
			seq++
			tokenRequest := plane.TokenRequest{Workspace: budget.Account("desk"), ServiceRequests: requests}
			request := &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{tokenRequest}}
			c.replicas[c.leader].Grant(c.t.Context(), request)
			c.replicas[c.leader].Grant(c.t.Context(), request)
		}
		require.Zero(c.t, requestTokens("desk", 1000).Tokens)
		time.Sleep(10 * time.Second)
		require.EqualValues(c.t, 5500, requestTokens("desk", 5500).Tokens, "accrued without requests")
		require.Zero(c.t, requestTokens("desk", 1000).Tokens)
		time.Sleep(500 * time.Millisecond)
		report(10)
		require.EqualValues(c.t, 2000, requestTokens("desk", 2000).Tokens, "a resend counts once")
		require.Zero(c.t, requestTokens("desk", 1000).Tokens)
		time.Sleep(time.Second)
		report(1000)
		require.True(c.t, requestTokens("desk", 6001).ExceedsBurst, "a pool holds no more than its burst")
		require.EqualValues(c.t, 6000, requestTokens("desk", 6000).Tokens)
		c.elect(1)
		require.Zero(c.t, requestTokens("desk", 1000).Tokens, "the successor counts the tokens granted by its predecessor")
		require.True(c.t, requestTokens("nobody", 1000).UnknownWorkspace)
		c.config.Store(&conf.Config{Number: 2})
		require.True(c.t, requestTokens("desk", 1).UnknownWorkspace)
	})
}

// Entries that always request more, and report what they spent, together receive all of
// rate times time plus burst, except for what the first waiters still wait for. An entry
// with large requests must not be starved by entries with smaller ones.
func TestScarceTokensAreSharedAndNotWasted(t *testing.T) {
	const seconds = 20
	limits := conf.Workspace{Rate: 200, Burst: 1000}
	runCluster(t, limits, 1, func(c *cluster) {
		var group sync.WaitGroup
		got := [3]int64{}
		minTokens := [3]int64{400, 100, 10}
		end := time.Now().Add(seconds * time.Second)
		for entry := range got {
			group.Go(func() {
				last := plane.Grant{}
				for seq := uint64(1); time.Now().Before(end); seq++ {
					request := &plane.GrantRequest{Entry: fmt.Sprint(entry), Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{{
						Workspace: "w0", WantedTokens: minTokens[entry], MinTokens: minTokens[entry], LeaseID: last.LeaseID, SpentTokens: last.Tokens,
					}}}
					last = c.replicas[0].Grant(c.t.Context(), request).Grants[0]
					got[entry] += last.Tokens
					time.Sleep(max(last.Wait.Std(), 10*time.Millisecond))
				}
			})
		}
		group.Wait()
		require.GreaterOrEqual(c.t, got[0]+got[1]+got[2], limits.Burst+seconds*limits.Rate-minTokens[0]-minTokens[1])
		for entry, tokens := range got {
			require.GreaterOrEqual(c.t, tokens, 8*minTokens[entry], "entry %d must not be starved", entry)
		}
	})
}

// A planned restart of the leader must cost entries no more tokens than they hold unspent.
// Tokens are spent as soon as they are granted, at slightly less than the rate, as a burst
// of one second allows.
func TestHandOverKeepsTheRate(t *testing.T) {
	limits := conf.Workspace{Rate: 1000, Burst: 1000}
	runCluster(t, limits, 1, func(c *cluster) {
		last, seq := plane.Grant{}, uint64(0)
		spend := func(span time.Duration) (got int64) {
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				seq++
				tokenRequest := plane.TokenRequest{Workspace: "w0", WantedTokens: 20, MinTokens: 20, LeaseID: last.LeaseID, SpentTokens: last.Tokens}
				reply := c.replicas[c.leader].Grant(c.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{tokenRequest}})
				require.Empty(c.t, reply.Refused)
				last = reply.Grants[0]
				got += last.Tokens
			}
			return got
		}
		spend(3 * time.Second)
		for next := range 3 {
			c.handOver((next + 1) % 3)
			require.GreaterOrEqual(c.t, spend(time.Second), limits.Rate*3/4, "the first second after the hand-over")
			spend(2 * time.Second)
		}
	})
}

// A leader crashes right after it has granted the whole burst; entries then request 0.6 of
// the rate. The successor, elected half a second later, must grant most of that in its
// first second. Reserves of 1 s and grants of 0.5 s would keep it from granting anything
// for a second.
func TestLeaderCrashKeepsTheRate(t *testing.T) {
	const election, pause = 500 * time.Millisecond, 50 * time.Millisecond
	limits := conf.Workspace{Rate: 60_000, Burst: 60_000}
	runCluster(t, limits, 1, func(c *cluster) {
		seq := uint64(0)
		requestTokens := func(tokens int64) int64 {
			seq++
			tokenRequest := plane.TokenRequest{Workspace: "w0", WantedTokens: tokens, MinTokens: tokens}
			reply := c.replicas[c.leader].Grant(c.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{tokenRequest}})
			require.Empty(c.t, reply.Refused)
			return reply.Grants[0].Tokens
		}
		for next := range 3 {
			time.Sleep(5 * time.Second)
			require.Equal(c.t, limits.Burst, requestTokens(limits.Burst))
			time.Sleep(election)
			c.elect((next + 1) % 3)
			got := int64(0)
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(pause) {
				got += requestTokens(int64(0.6 * float64(limits.Rate) * pause.Seconds()))
			}
			require.GreaterOrEqual(c.t, got, limits.Rate*4/10, "the first second after the election")
		}
	})
}

func TestGrantHints(t *testing.T) {
	limits := conf.Workspace{Rate: 100, Burst: 300}
	runCluster(t, limits, 1, func(c *cluster) {
		leader := c.replicas[0]
		requestTokens := func(seq uint64, workspace string, wanted, minTokens int64) plane.Grant {
			return leader.Grant(c.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{{Workspace: workspace, WantedTokens: wanted, MinTokens: minTokens}}}).Grants[0]
		}
		first := requestTokens(1, "w0", 300, 100)
		require.Equal(c.t, int64(300), first.Tokens)
		require.Equal(c.t, first, requestTokens(1, "w0", 300, 100), "a resend gets the same grant")
		require.True(c.t, requestTokens(2, "nobody", 1, 1).UnknownWorkspace)
		require.True(c.t, requestTokens(3, "w0", 400, 301).ExceedsBurst)
		late := requestTokens(4, "w0", 50, 50)
		require.Zero(c.t, late.Tokens)
		require.Greater(c.t, late.DemandRatio, 0.4)
		time.Sleep(late.Wait.Std())
		for seq := uint64(5); late.Tokens == 0; seq++ {
			require.Less(c.t, seq, uint64(9), "the waiting time must be close to the actual one")
			late = requestTokens(seq, "w0", 50, 50)
			time.Sleep(late.Wait.Std())
		}
		require.Equal(c.t, plane.KindNoLeader, c.replicas[1].Grant(c.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1}).Refused)
	})
}

// A request must wait for the record in flight if it will provide the tokens. An entry
// that was told to retry instead received its tokens seconds later.
func TestGrantWaitsForThePendingRecord(t *testing.T) {
	runCluster(t, conf.Workspace{Rate: 100, Burst: 300}, 1, func(c *cluster) {
		requestTokens := func(entry string, wanted, minTokens int64) int64 {
			tokenRequest := plane.TokenRequest{Workspace: "w0", WantedTokens: wanted, MinTokens: minTokens}
			return c.replicas[0].Grant(c.t.Context(), &plane.GrantRequest{Entry: entry, Incarnation: 1, Seq: 1, TokenRequests: []plane.TokenRequest{tokenRequest}}).Grants[0].Tokens
		}
		var group sync.WaitGroup
		first := int64(0)
		group.Go(func() { first = requestTokens("a", 300, 100) })
		time.Sleep(time.Millisecond)
		second := requestTokens("b", 100, 100)
		group.Wait()
		require.Positive(c.t, first)
		require.Positive(c.t, second)
	})
}

// Tokens that may still be spent occupy capacity in which nothing accrues. A report that
// they are spent, or the expiry of the grant, frees the capacity from then on.
func TestUnspentTokensKeepTheirCapacity(t *testing.T) {
	for _, spent := range []int64{0, 300} {
		runCluster(t, conf.Workspace{Rate: 100, Burst: 300}, 1, func(c *cluster) {
			leader, seq := c.replicas[0], uint64(0)
			requestTokens := func(tokenRequest plane.TokenRequest) plane.Grant {
				seq++
				tokenRequest.Workspace = "w0"
				return leader.Grant(c.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{tokenRequest}}).Grants[0]
			}
			time.Sleep(200 * time.Millisecond)
			first := requestTokens(plane.TokenRequest{WantedTokens: 300, MinTokens: 300})
			require.Equal(c.t, int64(300), first.Tokens)
			requestTokens(plane.TokenRequest{LeaseID: first.LeaseID, SpentTokens: spent})
			time.Sleep(first.Lifetime.Std() + 60*time.Millisecond)
			accrued := int64(first.Lifetime.Std().Seconds() * 100)
			require.Equal(c.t, spent > 0, requestTokens(plane.TokenRequest{WantedTokens: accrued, MinTokens: accrued}).Tokens > 0)
			require.Zero(c.t, requestTokens(plane.TokenRequest{WantedTokens: 10, MinTokens: 10}).Tokens)
		})
	}
}

// BenchmarkRecord reports the log bytes of one tick against the number of
// active workspaces among 5,000.
func BenchmarkRecord(b *testing.B) {
	for _, active := range []int{1, 10, 100, 1000, 5000} {
		b.Run(fmt.Sprintf("active=%d", active), func(b *testing.B) {
			size := 0
			for b.Loop() {
				command := &state.Command{}
				for i := range active {
					command.Reservations = append(command.Reservations, state.Reservation{Workspace: fmt.Sprintf("workspace-%05d", i), Level: 123_456, Held: 2_345})
				}
				data, err := codec.Encode(command)
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/record")
		})
	}
}
