package prove_test

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
	// The platform's bound: in any window of platformWindow a workspace gets at
	// most platformOver times its rate and burst, and platformSlack tokens.
	platformWindow = 8 * time.Second
	platformOver   = 1.1
	platformSlack  = 11_000
	// cutEntries is the number of entries, cutTokens the size of a request.
	cutEntries = 8
	cutTokens  = 1500
	// cutRate is the rate of a large workspace, with a second's burst.
	cutRate = 60_000
	// platformBound is the most tokens of that workspace in a window.
	platformBound = int(platformOver*cutRate*(float64(platformWindow/time.Second)+1)) + platformSlack
)

// cuttable is a fleet of entries that one owner grants tokens to, some of which
// it cannot be reached from.
type cuttable struct {
	owner quota.Owner
	cut   [cutEntries]atomic.Bool
	// start starts an entry's process anew.
	start func(entry int)

	mutex  sync.Mutex
	limits [cutEntries]*limit.Limiter
	kill   [cutEntries]func()
	spent  []time.Time
}

func inFleet(t *testing.T, test func(f *cuttable)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		config := &conf.Config{Number: 1, Workspaces: map[string]conf.Workspace{"w": {Rate: cutRate, Burst: cutRate}}}
		f := &cuttable{}
		var machine state.Machine
		f.owner.Host = host.Host{Meter: meter.New()}
		f.owner.Config = func() *conf.Config { return config }
		f.owner.CommittedHorizon = machine.Reservation
		f.owner.Propose = func(_ context.Context, term uint64, horizons []state.Reservation) error {
			data, err := codec.Encode(&state.Command{Reservations: horizons, ReservationTerm: term})
			machine.Apply(0, term, time.Now(), data)
			return err
		}
		f.owner.SetLeadership(1, true)
		var parts sync.WaitGroup
		parts.Go(func() { f.owner.Run(ctx) })
		f.start = func(entry int) {
			running, stop := context.WithCancel(ctx)
			l := &limit.Limiter{
				Host: host.Host{VM: fmt.Sprint("e", entry), Meter: meter.New()}, Incarnation: rand.Uint64() | 1,
				Config: func() *conf.Config { return config }, EntryCount: func() int { return cutEntries },
			}
			l.Grant = func(ctx context.Context, ask *plane.GrantRequest, reply *plane.GrantReply) error {
				if f.cut[entry].Load() || running.Err() != nil {
					<-ctx.Done()
					return ctx.Err()
				}
				*reply = *f.owner.Grant(ctx, ask)
				return nil
			}
			f.mutex.Lock()
			defer f.mutex.Unlock()
			if f.kill[entry] != nil {
				f.kill[entry]()
			}
			f.limits[entry], f.kill[entry] = l, stop
			parts.Go(func() { l.Run(running) })
		}
		for i := range f.limits {
			f.start(i)
		}
		time.Sleep(10 * time.Second)
		test(f)
		cancel()
		parts.Wait()
		time.Sleep(10 * time.Minute)
	})
}

// offer sends a workspace's requests to all entries alike, in multiples of its
// rate, until the time is over.
func (f *cuttable) offer(multiple float64, length time.Duration) {
	gap := time.Duration(float64(time.Second) * cutEntries * cutTokens / (multiple * cutRate))
	var callers sync.WaitGroup
	for i := range f.limits {
		callers.Go(func() {
			var requests sync.WaitGroup
			for start := time.Now(); time.Since(start) < length; time.Sleep(gap) {
				f.mutex.Lock()
				l := f.limits[i]
				f.mutex.Unlock()
				requests.Go(func() { f.pay(l) })
			}
			requests.Wait()
		})
	}
	callers.Wait()
}

func (f *cuttable) pay(l *limit.Limiter) {
	r := &chain.Request{
		Workspace: "w", QuotaTokens: cutTokens, Start: time.Now(), MaxWait: 500 * time.Millisecond,
		Route: conf.Route{Kind: conf.RouteOpaque}, Write: func(*call.Frame) error { return nil },
	}
	_ = l.Do(context.Background(), r, func(context.Context, *chain.Request) error {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.spent = append(f.spent, time.Now())
		return nil
	})
}

// most returns the largest number of tokens spent in a window.
func (f *cuttable) most() int {
	slices.SortFunc(f.spent, time.Time.Compare)
	most, first := 0, 0
	for last, at := range f.spent {
		for at.Sub(f.spent[first]) >= platformWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most * cutTokens
}

// Entries that control does not reach go on at a part of the rate, while those
// that it reaches may use all of it. However many are cut off, for however
// long, and however much the workspace sends, the sum stays within the bound.
func TestOverdraftsOfSeveralEntriesStayWithinTheBound(t *testing.T) {
	for _, multiple := range []float64{1, 1.7, 3, 6} {
		for cut := range cutEntries + 1 {
			for _, gap := range []time.Duration{0, 1300 * time.Millisecond} {
				inFleet(t, func(f *cuttable) {
					go func() {
						time.Sleep(3 * time.Second)
						f.cutOff(cut, gap)
					}()
					f.offer(multiple, 15*time.Second)
					require.LessOrEqual(t, f.most(), platformBound, "%v times the rate, %d entries cut off, with breaks after %v", multiple, cut, gap)
				})
			}
		}
	}
}

// cutOff cuts the first entries off for a window, or again and again for a gap
// with a moment between.
func (f *cuttable) cutOff(count int, gap time.Duration) {
	for start := time.Now(); time.Since(start) < platformWindow; {
		for i := range count {
			f.cut[i].Store(true)
		}
		if gap == 0 {
			time.Sleep(platformWindow)
		}
		time.Sleep(gap)
		for i := range count {
			f.cut[i].Store(false)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Entries that control does not reach, and whose processes start anew again and
// again, do not spend beside what the others get from control.
func TestOverdraftsOfEntriesThatStartAnewStayWithinTheBound(t *testing.T) {
	inFleet(t, func(f *cuttable) {
		for i := range cutEntries - 1 {
			f.cut[i].Store(true)
		}
		go func() {
			for range 8 {
				time.Sleep(1500 * time.Millisecond)
				for i := range cutEntries - 1 {
					f.start(i)
				}
			}
		}()
		f.offer(12, 16*time.Second)
		require.LessOrEqual(t, f.most(), platformBound)
	})
}
