package retry_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/retry"
	"github.com/tanagerspindle/tanagerspindle/pkg/bucket"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
)

// fleet is a number of entries and the pool that they lease repeats from.
type fleet struct {
	bound   budget.Limit
	entries []*retry.Budget
	pool    *bucket.Bucket
	// at is the present time, and out the entries that do not reach control.
	at  time.Duration
	out map[int]bool
	// requests and repeats are when they came, in order.
	requests, repeats []time.Duration
}

func newFleet(bound budget.Limit, entries int) *fleet {
	pool := bound.Pool()
	f := &fleet{bound: bound, out: map[int]bool{}, pool: bucket.New(pool.Rate, pool.Burst, 0, time.Unix(0, 0))}
	for i := range entries {
		f.entries = append(f.entries, nil)
		f.start(i)
	}
	return f
}

// start starts an entry's process anew.
func (f *fleet) start(entry int) {
	f.entries[entry] = &retry.Budget{
		Bound: f.bound, EntryCount: func() int { return len(f.entries) },
		Report: func(string) bool {
			if !f.out[entry] {
				f.pool.Refund(f.bound.Credit(1))
			}
			return !f.out[entry]
		},
		Lease: func(context.Context, string) bool {
			f.pool.Advance(time.Unix(0, 0).Add(f.at), 0)
			if f.out[entry] || f.pool.Level() < budget.TokensPerRetry {
				return false
			}
			return f.pool.Take(budget.TokensPerRetry) == budget.TokensPerRetry
		},
	}
}

func (f *fleet) request(entry int) {
	f.entries[entry].RecordRequest("s")
	f.requests = append(f.requests, f.at)
}

func (f *fleet) repeat(entry int) {
	if f.entries[entry].Spend(context.Background(), "s") != retry.SourceNone {
		f.repeats = append(f.repeats, f.at)
	}
}

// excess returns by how many repeats the worst window is over the bound. The
// requests are counted in that window, the one before it or the one half a
// window before it, whichever has most.
func (f *fleet) excess() float64 {
	worst := -f.bound.Slack
	for _, from := range f.repeats {
		requests := max(f.within(f.requests, from), f.within(f.requests, from-f.bound.Window/2), f.within(f.requests, from-f.bound.Window))
		worst = max(worst, f.within(f.repeats, from)-f.bound.Ratio*requests-f.bound.Slack)
	}
	return worst
}

func (f *fleet) within(times []time.Duration, from time.Duration) float64 {
	count := 0.0
	for _, at := range times {
		if at >= from && at-from <= f.bound.Window {
			count++
		}
	}
	return count
}

var testBound = budget.Limit{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}

// Entries that see every request fail never repeat more, in any window, than the
// fleet may: not when processes start anew, callers move from one entry to
// another, or control is out of reach of some entries.
func TestFailingFleetStaysWithinTheBound(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(testBound, 4)
		busiest := 0
		for step := range 3000 {
			f.at = time.Duration(step) * 20 * time.Millisecond
			switch random.IntN(300) {
			case 0:
				f.start(random.IntN(4))
			case 1:
				busiest = random.IntN(4)
			case 2:
				f.out[random.IntN(4)] = true
			case 3, 4:
				clear(f.out)
			}
			entry := busiest
			if random.IntN(3) == 0 {
				entry = random.IntN(4)
			}
			if step < 1000 || step > 2000 {
				f.request(entry)
			}
			f.repeat(entry)
		}
		require.NotEmpty(t, f.repeats)
		require.LessOrEqual(t, f.excess(), 0.0, "seed %d", seed)
	}
}

// Entries that fail all along have the whole share of their requests.
func TestFailingFleetMayRetryItsShare(t *testing.T) {
	f := newFleet(testBound, 4)
	for step := range 3000 {
		f.at = time.Duration(step) * 20 * time.Millisecond
		f.request(step % 4)
		f.repeat(step % 4)
	}
	require.GreaterOrEqual(t, float64(len(f.repeats)), testBound.Ratio*float64(len(f.requests)))
}

// Requests from before a window allow no more repeats in it than the pool holds.
func TestRequestsBeforeTheWindowAllowNoRetries(t *testing.T) {
	bound := budget.Limit{Ratio: 0.2, Slack: 0, Window: 10 * time.Second}
	f := newFleet(bound, 1)
	for range 100 {
		f.request(0)
	}
	f.at = 10*time.Second + time.Millisecond
	f.repeat(0)
	require.Empty(t, f.repeats)
}

// A process that starts anew knows neither what the one before it has repeated
// nor how many others there are.
func TestRestartedProcessesStayWithinTheBound(t *testing.T) {
	f := newFleet(testBound, 4)
	for life := range 3 {
		for entry := range 4 {
			f.start(entry)
			f.out[entry] = life == 1
			for step := range 100 {
				f.at = time.Duration(400*life+100*entry+step) * 7500 * time.Microsecond
				f.repeat(entry)
			}
		}
	}
	require.LessOrEqual(t, len(f.repeats), int(testBound.Slack), "in 9 s")
}

// Without control an entry repeats the share of its own requests, and nothing
// while it does not know how many others there are, or there are too many.
func TestEntryWithoutControl(t *testing.T) {
	for entries, allowed := range map[int]int{0: 0, 4: 10, 500: 0} {
		budget := &retry.Budget{
			Bound: testBound, Report: func(string) bool { return false }, Lease: func(context.Context, string) bool { return false },
			EntryCount: func() int { return entries },
		}
		sent := 0
		for range 50 {
			budget.RecordRequest("s")
			if budget.Spend(t.Context(), "s") == retry.SourceLocal {
				sent++
			}
		}
		require.Equal(t, allowed, sent, "%d entries", entries)
		for range 50 {
			budget.RecordRequest("s")
		}
		require.Equal(t, allowed > 0, budget.Spend(t.Context(), "s") == retry.SourceLocal)
		require.Equal(t, retry.SourceNone, budget.Spend(t.Context(), "s"), "one is gathered at most")
	}
}
