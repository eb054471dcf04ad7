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

// testRepeats lets each service's pool accrue 0.6 repeats a second and hold six.
var testRepeats = budget.Limit{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}

// world is a log shared by three replicas, without consensus: only the leader
// appends, and the others apply whenever the test lets them.
type world struct {
	t        *testing.T
	ctx      context.Context
	mutex    sync.Mutex
	log      []entry
	replicas [3]*replica
	leader   int
	term     uint64
	config   atomic.Pointer[conf.Config]
	spent    []spending
	// account is what random asks for; empty means w0.
	account string
	// reported are the tokens that requests have added to a pool.
	reported []spending
}

// entry is a record with the term in which it was appended.
type entry struct {
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

// start runs the replica's owner, as a process does that starts anew.
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

type spending struct {
	at     time.Time
	tokens int64
}

func inWorld(t *testing.T, limits conf.Workspace, workspaces int, run func(w *world)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{t: t, ctx: ctx}
		config := &conf.Config{Number: 1, Workspaces: map[string]conf.Workspace{}, Services: map[string]conf.Service{"desk": {}}}
		for i := range workspaces {
			config.Workspaces[fmt.Sprintf("w%d", i)] = limits
		}
		w.config.Store(config)
		for i := range w.replicas {
			r := &replica{Owner: quota.Owner{Host: host.Host{Meter: meter.New()}, RetryLimit: testRepeats}}
			r.Config = w.config.Load
			r.CommittedHorizon = r.machine.Reservation
			r.Propose = func(ctx context.Context, term uint64, horizons []state.Reservation) error {
				return w.propose(ctx, i, term, horizons)
			}
			w.replicas[i] = r
			r.start(ctx)
		}
		w.lead(0)
		run(w)
		cancel()
		time.Sleep(time.Second)
	})
}

// propose commits a record if the replica leads when it reaches the others,
// perhaps in a later term.
func (w *world) propose(ctx context.Context, from int, term uint64, horizons []state.Reservation) error {
	data, err := codec.Encode(&state.Command{Reservations: horizons, ReservationTerm: term})
	require.NoError(w.t, err)
	time.Sleep(2 * time.Millisecond)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.leader != from || ctx.Err() != nil {
		return fmt.Errorf("not the leader")
	}
	w.log = append(w.log, entry{term: w.term, data: data})
	w.catchUp(from)
	if w.term != term {
		return fmt.Errorf("term %d is over", term)
	}
	return nil
}

func (w *world) catchUp(to int) {
	r := w.replicas[to]
	for ; r.applied < len(w.log); r.applied++ {
		r.machine.Apply(0, w.log[r.applied].term, time.Now(), w.log[r.applied].data)
	}
}

// lead elects a replica. The former leader does not hear of it.
func (w *world) lead(next int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.leader = next
	w.term++
	w.catchUp(next)
	w.replicas[next].SetLeadership(w.term, true)
}

// handOver stops the leader's process as a planned restart does.
func (w *world) handOver(next int) {
	former := w.replicas[w.leader]
	former.stop()
	if w.leader != next {
		former.SetLeadership(w.term, false)
	}
	w.lead(next)
	former.start(w.ctx)
}

// random lets entries ask replicas that lead or believe so, spend late, give
// back, and lets the leadership move.
func (w *world) random(source *rand.Rand, steps int, seq *uint64) {
	for range steps {
		time.Sleep(time.Duration(source.IntN(120)) * time.Millisecond)
		if source.IntN(10) == 0 {
			time.Sleep(time.Duration(source.Int64N(int64(4 * time.Second))))
		}
		switch source.IntN(13) {
		case 0:
			w.lead(source.IntN(3))
		case 12:
			w.handOver(source.IntN(3))
		case 1:
			w.mutex.Lock()
			w.catchUp(source.IntN(3))
			w.mutex.Unlock()
		default:
			w.ask(source, w.replicas[source.IntN(3)], seq)
		}
	}
}

func (w *world) ask(source *rand.Rand, r *replica, seq *uint64) {
	*seq++
	want := int64(source.IntN(150))
	ask := &plane.GrantRequest{Entry: fmt.Sprint("e", source.IntN(3)), Incarnation: 1, Seq: *seq, TokenRequests: []plane.TokenRequest{{Workspace: cmp.Or(w.account, "w0"), WantedTokens: want, MinTokens: want / 3}}}
	if w.account != "" && source.IntN(2) == 0 {
		told := int64(source.IntN(3))
		ask.TokenRequests = append(ask.TokenRequests, plane.TokenRequest{Workspace: w.account, ServiceRequests: told})
		w.reported = append(w.reported, spending{at: time.Now(), tokens: testRepeats.Credit(told)})
	}
	sent := time.Now()
	reply := r.Grant(w.t.Context(), ask)
	if len(reply.Grants) == 0 || reply.Grants[0].Tokens == 0 {
		return
	}
	given := reply.Grants[0]
	if source.IntN(4) == 0 {
		*seq++
		back := ask.TokenRequests[0]
		back.WantedTokens, back.MinTokens, back.UnusedTokens, back.LeaseID = 0, 0, given.Tokens/2, given.LeaseID
		r.Grant(w.t.Context(), &plane.GrantRequest{Entry: ask.Entry, Incarnation: 1, Seq: *seq, TokenRequests: []plane.TokenRequest{back}})
		given.Tokens -= given.Tokens / 2
	}
	at := sent.Add(time.Duration(source.Int64N(int64(given.Lifetime))))
	if source.IntN(2) == 0 {
		at = sent.Add(given.Lifetime.Std() - 1)
	}
	w.spent = append(w.spent, spending{at: at, tokens: given.Tokens})
}

// overrun returns the largest excess over rate * time + burst, and what requests
// have added, in any window.
func (w *world) overrun(limits conf.Workspace) float64 {
	slices.SortFunc(w.spent, func(a, b spending) int { return a.at.Compare(b.at) })
	worst := -float64(limits.Burst)
	for i, first := range w.spent {
		sum, added := 0.0, 0
		for _, last := range w.spent[i:] {
			sum += float64(last.tokens)
			for ; added < len(w.reported) && !w.reported[added].at.After(last.at); added++ {
				if !w.reported[added].at.Before(first.at) {
					sum -= float64(w.reported[added].tokens)
				}
			}
			worst = max(worst, sum-float64(limits.Burst)-float64(limits.Rate)*last.at.Sub(first.at).Seconds())
		}
	}
	return worst
}

// Whatever entries, crashes of leaders and leaders that do not know of their
// successor do, no window sees more than rate times time plus burst.
func TestFleetNeverExceedsRateAndBurst(t *testing.T) {
	for seed := range uint64(300) {
		limits := conf.Workspace{Rate: 100, Burst: 200 + 50*int64(seed%4)}
		inWorld(t, limits, 1, func(w *world) {
			seq := uint64(0)
			w.random(rand.New(rand.NewPCG(seed, 1)), 150, &seq)
			require.LessOrEqual(w.t, w.overrun(limits), 0.0, "seed %d", seed)
			require.NotEmpty(w.t, w.spent)
		})
	}
}

// The same holds for the repeats to a service, also when its pool is asked for
// first after a change of the leader, of which no record tells.
func TestFleetNeverExceedsThePoolOfRepeats(t *testing.T) {
	pool := testRepeats.Pool()
	for seed := range uint64(100) {
		inWorld(t, conf.Workspace{Rate: 100, Burst: 200}, 1, func(w *world) {
			w.account = budget.Account("desk")
			seq := uint64(0)
			w.random(rand.New(rand.NewPCG(seed, 2)), 150, &seq)
			require.LessOrEqual(w.t, w.overrun(pool), 0.0, "seed %d", seed)
			require.NotEmpty(w.t, w.spent)
		})
	}
}

// A pool accrues before it is asked for, begins empty where nothing tells that
// it was not used, and ends with its service.
func TestPoolsOfRepeats(t *testing.T) {
	inWorld(t, conf.Workspace{Rate: 100, Burst: 200}, 1, func(w *world) {
		seq := uint64(0)
		ask := func(service string, tokens int64) plane.Grant {
			seq++
			wish := plane.TokenRequest{Workspace: budget.Account(service), WantedTokens: tokens, MinTokens: tokens}
			return w.replicas[w.leader].Grant(w.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{wish}}).Grants[0]
		}
		report := func(requests int64) {
			seq++
			told := plane.TokenRequest{Workspace: budget.Account("desk"), ServiceRequests: requests}
			ask := &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{told}}
			w.replicas[w.leader].Grant(w.t.Context(), ask)
			w.replicas[w.leader].Grant(w.t.Context(), ask)
		}
		require.Zero(w.t, ask("desk", 1000).Tokens)
		time.Sleep(10 * time.Second)
		require.EqualValues(w.t, 5500, ask("desk", 5500).Tokens, "accrued without requests")
		require.Zero(w.t, ask("desk", 1000).Tokens)
		time.Sleep(500 * time.Millisecond)
		report(10)
		require.EqualValues(w.t, 2000, ask("desk", 2000).Tokens, "a resend counts once")
		require.Zero(w.t, ask("desk", 1000).Tokens)
		time.Sleep(time.Second)
		report(1000)
		require.True(w.t, ask("desk", 6001).ExceedsBurst, "a pool holds no more than its burst")
		require.EqualValues(w.t, 6000, ask("desk", 6000).Tokens)
		w.lead(1)
		require.Zero(w.t, ask("desk", 1000).Tokens, "the successor knows what was granted")
		require.True(w.t, ask("nobody", 1000).UnknownWorkspace)
		w.config.Store(&conf.Config{Number: 2})
		require.True(w.t, ask("desk", 1).UnknownWorkspace)
	})
}

// Entries that always want more, and report what they spent, get all of rate
// times time plus burst but for what the first in line still waits for; and
// nobody is passed over because others ask for less.
func TestScarceTokensAreSharedAndNotWasted(t *testing.T) {
	const seconds = 20
	limits := conf.Workspace{Rate: 200, Burst: 1000}
	inWorld(t, limits, 1, func(w *world) {
		var group sync.WaitGroup
		got := [3]int64{}
		least := [3]int64{400, 100, 10}
		end := time.Now().Add(seconds * time.Second)
		for entry := range got {
			group.Go(func() {
				last := plane.Grant{}
				for seq := uint64(1); time.Now().Before(end); seq++ {
					ask := &plane.GrantRequest{Entry: fmt.Sprint(entry), Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{{
						Workspace: "w0", WantedTokens: least[entry], MinTokens: least[entry], LeaseID: last.LeaseID, SpentTokens: last.Tokens,
					}}}
					last = w.replicas[0].Grant(w.t.Context(), ask).Grants[0]
					got[entry] += last.Tokens
					time.Sleep(max(last.Wait.Std(), 10*time.Millisecond))
				}
			})
		}
		group.Wait()
		require.GreaterOrEqual(w.t, got[0]+got[1]+got[2], limits.Burst+seconds*limits.Rate-least[0]-least[1])
		for entry, tokens := range got {
			require.GreaterOrEqual(w.t, tokens, 8*least[entry], "entry %d must get its turns", entry)
		}
	})
}

// A planned restart of the leader costs entries no more of the rate than what
// they hold unspent. The load is a little under the rate, as one second's
// burst allows, spent as soon as it is granted.
func TestHandOverKeepsTheRate(t *testing.T) {
	limits := conf.Workspace{Rate: 1000, Burst: 1000}
	inWorld(t, limits, 1, func(w *world) {
		last, seq := plane.Grant{}, uint64(0)
		spend := func(span time.Duration) (got int64) {
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				seq++
				wish := plane.TokenRequest{Workspace: "w0", WantedTokens: 20, MinTokens: 20, LeaseID: last.LeaseID, SpentTokens: last.Tokens}
				reply := w.replicas[w.leader].Grant(w.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{wish}})
				require.Empty(w.t, reply.Refused)
				last = reply.Grants[0]
				got += last.Tokens
			}
			return got
		}
		spend(3 * time.Second)
		for next := range 3 {
			w.handOver((next + 1) % 3)
			require.GreaterOrEqual(w.t, spend(time.Second), limits.Rate*3/4, "the second after the hand-over")
			spend(2 * time.Second)
		}
	})
}

// A leader crashes just after it has granted all of the burst; then entries ask
// for 0.6 of the rate. The successor, elected half a second later, grants most
// of that in the first second. With reserves of a second and leases of half of
// one it granted nothing for a second.
func TestCrashOfTheLeaderKeepsTheRate(t *testing.T) {
	const election, pause = 500 * time.Millisecond, 50 * time.Millisecond
	limits := conf.Workspace{Rate: 60_000, Burst: 60_000}
	inWorld(t, limits, 1, func(w *world) {
		seq := uint64(0)
		ask := func(tokens int64) int64 {
			seq++
			wish := plane.TokenRequest{Workspace: "w0", WantedTokens: tokens, MinTokens: tokens}
			reply := w.replicas[w.leader].Grant(w.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{wish}})
			require.Empty(w.t, reply.Refused)
			return reply.Grants[0].Tokens
		}
		for next := range 3 {
			time.Sleep(5 * time.Second)
			require.Equal(w.t, limits.Burst, ask(limits.Burst))
			time.Sleep(election)
			w.lead((next + 1) % 3)
			got := int64(0)
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(pause) {
				got += ask(int64(0.6 * float64(limits.Rate) * pause.Seconds()))
			}
			require.GreaterOrEqual(w.t, got, limits.Rate*4/10, "the second after the election")
		}
	})
}

func TestGrantHints(t *testing.T) {
	limits := conf.Workspace{Rate: 100, Burst: 300}
	inWorld(t, limits, 1, func(w *world) {
		leader := w.replicas[0]
		ask := func(seq uint64, workspace string, want, least int64) plane.Grant {
			return leader.Grant(w.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{{Workspace: workspace, WantedTokens: want, MinTokens: least}}}).Grants[0]
		}
		first := ask(1, "w0", 300, 100)
		require.Equal(w.t, int64(300), first.Tokens)
		require.Equal(w.t, first, ask(1, "w0", 300, 100), "a resend gets the same grant")
		require.True(w.t, ask(2, "nobody", 1, 1).UnknownWorkspace)
		require.True(w.t, ask(3, "w0", 400, 301).ExceedsBurst)
		late := ask(4, "w0", 50, 50)
		require.Zero(w.t, late.Tokens)
		require.Greater(w.t, late.DemandRatio, 0.4)
		time.Sleep(late.Wait.Std())
		for seq := uint64(5); late.Tokens == 0; seq++ {
			require.Less(w.t, seq, uint64(9), "the hint must be near the truth")
			late = ask(seq, "w0", 50, 50)
			time.Sleep(late.Wait.Std())
		}
		require.Equal(w.t, plane.KindNoLeader, w.replicas[1].Grant(w.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1}).Refused)
	})
}

// Tokens that a record under way will bring are waited for: who was told to come
// back for them instead had them seconds later.
func TestTokensOfARecordUnderWayAreWaitedFor(t *testing.T) {
	inWorld(t, conf.Workspace{Rate: 100, Burst: 300}, 1, func(w *world) {
		ask := func(entry string, want, least int64) int64 {
			wish := plane.TokenRequest{Workspace: "w0", WantedTokens: want, MinTokens: least}
			return w.replicas[0].Grant(w.t.Context(), &plane.GrantRequest{Entry: entry, Incarnation: 1, Seq: 1, TokenRequests: []plane.TokenRequest{wish}}).Grants[0].Tokens
		}
		var group sync.WaitGroup
		first := int64(0)
		group.Go(func() { first = ask("a", 300, 100) })
		time.Sleep(time.Millisecond)
		second := ask("b", 100, 100)
		group.Wait()
		require.Positive(w.t, first)
		require.Positive(w.t, second)
	})
}

// Nothing accrues in the room of tokens that may still be spent; a report that
// they are spent, or the end of the lease, frees the room from then on.
func TestRoomOfUnspentTokens(t *testing.T) {
	for _, spent := range []int64{0, 300} {
		inWorld(t, conf.Workspace{Rate: 100, Burst: 300}, 1, func(w *world) {
			leader, seq := w.replicas[0], uint64(0)
			ask := func(wish plane.TokenRequest) plane.Grant {
				seq++
				wish.Workspace = "w0"
				return leader.Grant(w.t.Context(), &plane.GrantRequest{Entry: "e", Incarnation: 1, Seq: seq, TokenRequests: []plane.TokenRequest{wish}}).Grants[0]
			}
			time.Sleep(200 * time.Millisecond)
			first := ask(plane.TokenRequest{WantedTokens: 300, MinTokens: 300})
			require.Equal(w.t, int64(300), first.Tokens)
			ask(plane.TokenRequest{LeaseID: first.LeaseID, SpentTokens: spent})
			time.Sleep(first.Lifetime.Std() + 60*time.Millisecond)
			accrued := int64(first.Lifetime.Std().Seconds() * 100)
			require.Equal(w.t, spent > 0, ask(plane.TokenRequest{WantedTokens: accrued, MinTokens: accrued}).Tokens > 0)
			require.Zero(w.t, ask(plane.TokenRequest{WantedTokens: 10, MinTokens: 10}).Tokens)
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
