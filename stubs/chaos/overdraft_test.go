package chaos_test

import (
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
	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/limit"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// The platform's bound: in any window of length platformWindow, a workspace
	// gets at most platformFactor times its rate and burst plus platformSlack
	// tokens.
	platformWindow = 8 * time.Second
	platformFactor = 1.1
	platformSlack  = 11_000
	// groupEntries is the number of entries, requestTokens the cost of a request.
	groupEntries  = 8
	requestTokens = 1500
	// workspaceRate is the rate of a large workspace in tokens per second.
	workspaceRate = 60_000
)

// groupLimits are the burst of an entryGroup's workspace and its quota window.
type groupLimits struct {
	burst  int64
	window time.Duration
}

// allGroupLimits are a burst of one second's rate, which is granted once, and one of three
// seconds' that is granted again in each window.
var allGroupLimits = []groupLimits{{burst: workspaceRate}, {burst: 3 * workspaceRate, window: platformWindow}}

// maxWindowTokens is the maximum number of tokens that the platform allows the workspace in a
// window.
func (g groupLimits) maxWindowTokens() int {
	return int(platformFactor*(workspaceRate*platformWindow.Seconds()+float64(g.burst))) + platformSlack
}

// entryGroup is a group of entry limiters that get their tokens from one quota
// owner. Each entry can be isolated from the owner.
type entryGroup struct {
	owner    quota.Owner
	isolated [groupEntries]atomic.Bool
	// start starts the process of an entry, after stopping the previous one.
	start func(entry int)

	mutex    sync.Mutex
	limiters [groupEntries]*limit.Limiter
	stop     [groupEntries]func()
	// spentAt holds the time of each admitted request.
	spentAt []time.Time
}

// withEntryGroup runs a test with a started group inside a synctest bubble.
func withEntryGroup(t *testing.T, limits groupLimits, test func(g *entryGroup)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		config := &conf.Config{Number: 1, Workspaces: map[string]conf.Workspace{"w": {Rate: workspaceRate, Burst: limits.burst}}}
		g := &entryGroup{}
		var machine state.Machine
		g.owner.Host = host.Host{Meter: meter.New()}
		g.owner.QuotaWindow = limits.window
		g.owner.Config = func() *conf.Config { return config }
		g.owner.CommittedReservation = machine.Reservation
		g.owner.Propose = func(_ context.Context, term uint64, horizons []state.Reservation) error {
			data, err := codec.Encode(&state.Command{Reservations: horizons, ReservationTerm: term})
			machine.Apply(0, term, time.Now(), data)
			return err
		}
		g.owner.SetLeadership(1, true)
		var processes sync.WaitGroup
		processes.Go(func() { g.owner.Run(ctx) })
		g.start = func(entry int) {
			running, stop := context.WithCancel(ctx)
			l := &limit.Limiter{
				Host: host.Host{VM: fmt.Sprint("e", entry), Meter: meter.New()}, Incarnation: rand.Uint64() | 1,
				Config: func() *conf.Config { return config }, EntryCount: func() int { return groupEntries }, QuotaWindow: limits.window,
			}
			l.Grant = func(ctx context.Context, request *plane.GrantRequest, reply *plane.GrantReply) error {
				if g.isolated[entry].Load() || running.Err() != nil {
					<-ctx.Done()
					return ctx.Err()
				}
				*reply = *g.owner.Grant(ctx, request)
				return nil
			}
			g.mutex.Lock()
			defer g.mutex.Unlock()
			if g.stop[entry] != nil {
				g.stop[entry]()
			}
			g.limiters[entry], g.stop[entry] = l, stop
			processes.Go(func() { l.Run(running) })
		}
		for i := range g.limiters {
			g.start(i)
		}
		time.Sleep(10 * time.Second)
		test(g)
		cancel()
		processes.Wait()
		time.Sleep(10 * time.Minute)
	})
}

// sendLoad sends a workspace's requests evenly to all entries for the given time. The
// demand is a multiple of the workspace's rate.
func (g *entryGroup) sendLoad(multiple float64, length time.Duration) {
	gap := time.Duration(float64(time.Second) * groupEntries * requestTokens / (multiple * workspaceRate))
	var callers sync.WaitGroup
	for i := range g.limiters {
		callers.Go(func() {
			var requests sync.WaitGroup
			for start := time.Now(); time.Since(start) < length; time.Sleep(gap) {
				g.mutex.Lock()
				l := g.limiters[i]
				g.mutex.Unlock()
				requests.Go(func() { g.spend(l) })
			}
			requests.Wait()
		})
	}
	callers.Wait()
}

// spend sends one request through a limiter and records it if it is admitted.
func (g *entryGroup) spend(l *limit.Limiter) {
	r := &chain.Request{
		Workspace: "w", QuotaTokens: requestTokens, Start: time.Now(), MaxWait: 500 * time.Millisecond,
		Route: conf.Route{Kind: conf.RouteOpaque}, Write: func(*call.Frame) error { return nil },
	}
	_ = l.Do(context.Background(), r, func(ctx context.Context, r *chain.Request) error {
		if r.TakeTokens != nil {
			if _, err := r.TakeTokens(ctx); err != nil {
				return err
			}
		}
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.spentAt = append(g.spentAt, time.Now())
		return nil
	})
}

// maxSpent returns the largest number of tokens spent in any window.
func (g *entryGroup) maxSpent() int {
	slices.SortFunc(g.spentAt, time.Time.Compare)
	maxCount, first := 0, 0
	for last, at := range g.spentAt {
		for at.Sub(g.spentAt[first]) >= platformWindow {
			first++
		}
		maxCount = max(maxCount, last-first+1)
	}
	return maxCount * requestTokens
}

// Entries that are isolated from control continue at a part of the rate, while the
// connected ones may use all of it. The sum must stay within the platform's bound
// for any number of isolated entries, duration of isolation and demand.
func TestOverdraftsOfIsolatedEntriesStayWithinBound(t *testing.T) {
	for _, limits := range allGroupLimits {
		for _, multiple := range []float64{1, 1.7, 3, 6} {
			for cut := range groupEntries + 1 {
				for _, gap := range []time.Duration{0, 1300 * time.Millisecond} {
					withEntryGroup(t, limits, func(g *entryGroup) {
						go func() {
							time.Sleep(3 * time.Second)
							g.isolate(cut, gap)
						}()
						g.sendLoad(multiple, 15*time.Second)
						require.LessOrEqual(t, g.maxSpent(), limits.maxWindowTokens(), "%v times the rate, %d entries isolated, connected again after %v", multiple, cut, gap)
					})
				}
			}
		}
	}
}

// isolate isolates the first count entries for one window if gap is 0. Otherwise it
// isolates them repeatedly during that time, each time for gap, with 200 ms of
// connection between.
func (g *entryGroup) isolate(count int, gap time.Duration) {
	for start := time.Now(); time.Since(start) < platformWindow; {
		for i := range count {
			g.isolated[i].Store(true)
		}
		if gap == 0 {
			time.Sleep(platformWindow)
		}
		time.Sleep(gap)
		for i := range count {
			g.isolated[i].Store(false)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Isolated entries whose processes restart repeatedly must not spend overdrafts in
// addition to the tokens that control grants the connected entries.
func TestOverdraftsOfRestartedEntriesStayWithinBound(t *testing.T) {
	for _, limits := range allGroupLimits {
		withEntryGroup(t, limits, func(g *entryGroup) {
			for i := range groupEntries - 1 {
				g.isolated[i].Store(true)
			}
			go func() {
				for range 8 {
					time.Sleep(1500 * time.Millisecond)
					for i := range groupEntries - 1 {
						g.start(i)
					}
				}
			}()
			g.sendLoad(12, 16*time.Second)
			require.LessOrEqual(t, g.maxSpent(), limits.maxWindowTokens())
		})
	}
}
