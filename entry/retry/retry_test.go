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

// fleet is a number of entries and the pool from which they lease retries.
type fleet struct {
	bound   budget.Limit
	entries []*retry.Budget
	pool    *bucket.Bucket
	// now is the current time; disconnected are the entries that cannot reach
	// control.
	now          time.Duration
	disconnected map[int]bool
	// requests and retries are the times of requests and retries, in order.
	requests, retries []time.Duration
}

func newFleet(bound budget.Limit, entries int) *fleet {
	pool := bound.Pool()
	f := &fleet{bound: bound, disconnected: map[int]bool{}, pool: bucket.New(pool.Rate, pool.Burst, 0, time.Unix(0, 0))}
	for i := range entries {
		f.entries = append(f.entries, nil)
		f.start(i)
	}
	return f
}

// start starts a new process of an entry.
func (f *fleet) start(entry int) {
	f.entries[entry] = &retry.Budget{
		Limit: f.bound, EntryCount: func() int { return len(f.entries) },
		Report: func(string) bool {
			if !f.disconnected[entry] {
				f.pool.Refund(f.bound.Credit(1))
			}
			return !f.disconnected[entry]
		},
		Lease: func(context.Context, string) func(bool) {
			f.pool.Advance(time.Unix(0, 0).Add(f.now), 0)
			if f.disconnected[entry] || f.pool.Level() < budget.TokensPerRetry || f.pool.Take(budget.TokensPerRetry) != budget.TokensPerRetry {
				return nil
			}
			return func(bool) {}
		},
	}
}

func (f *fleet) request(entry int) {
	f.entries[entry].RecordRequest("s")
	f.requests = append(f.requests, f.now)
}

func (f *fleet) sendRetry(entry int) {
	if f.entries[entry].Spend(context.Background(), "s") != retry.SourceNone {
		f.retries = append(f.retries, f.now)
	}
}

// excess returns by how many retries the worst window exceeds the bound.
// Requests are counted in the retries' window, the one before it or the one
// half a window earlier, whichever has the most.
func (f *fleet) excess() float64 {
	worst := -f.bound.Slack
	for _, from := range f.retries {
		requests := max(f.within(f.requests, from), f.within(f.requests, from-f.bound.Window/2), f.within(f.requests, from-f.bound.Window))
		worst = max(worst, f.within(f.retries, from)-f.bound.Ratio*requests-f.bound.Slack)
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

// Entries at which every request fails never send more retries in any window
// than the fleet's bound allows, even when processes restart, callers move
// between entries, or some entries cannot reach control.
func TestFailingFleetStaysWithinTheBound(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(testBound, 4)
		busiest := 0
		for step := range 3000 {
			f.now = time.Duration(step) * 20 * time.Millisecond
			switch random.IntN(300) {
			case 0:
				f.start(random.IntN(4))
			case 1:
				busiest = random.IntN(4)
			case 2:
				f.disconnected[random.IntN(4)] = true
			case 3, 4:
				clear(f.disconnected)
			}
			entry := busiest
			if random.IntN(3) == 0 {
				entry = random.IntN(4)
			}
			if step < 1000 || step > 2000 {
				f.request(entry)
			}
			f.sendRetry(entry)
		}
		require.NotEmpty(t, f.retries)
		require.LessOrEqual(t, f.excess(), 0.0, "seed %d", seed)
	}
}

// Entries at which every request fails may retry the full share of their
// requests.
func TestFailingFleetMayRetryItsShare(t *testing.T) {
	f := newFleet(testBound, 4)
	for step := range 3000 {
		f.now = time.Duration(step) * 20 * time.Millisecond
		f.request(step % 4)
		f.sendRetry(step % 4)
	}
	require.GreaterOrEqual(t, float64(len(f.retries)), testBound.Ratio*float64(len(f.requests)))
}

// Requests before a window allow no more retries in it than the pool holds.
func TestRequestsBeforeTheWindowAllowNoRetries(t *testing.T) {
	bound := budget.Limit{Ratio: 0.2, Slack: 0, Window: 10 * time.Second}
	f := newFleet(bound, 1)
	for range 100 {
		f.request(0)
	}
	f.now = 10*time.Second + time.Millisecond
	f.sendRetry(0)
	require.Empty(t, f.retries)
}

// A restarted process knows neither the retries of its predecessor nor the
// number of other entries.
func TestRestartedProcessesStayWithinTheBound(t *testing.T) {
	f := newFleet(testBound, 4)
	for life := range 3 {
		for entry := range 4 {
			f.start(entry)
			f.disconnected[entry] = life == 1
			for step := range 100 {
				f.now = time.Duration(400*life+100*entry+step) * 7500 * time.Microsecond
				f.sendRetry(entry)
			}
		}
	}
	require.LessOrEqual(t, len(f.retries), int(testBound.Slack), "in 9 s")
}

// An entry without control may retry its share of its own requests, and nothing
// while the number of entries is unknown or too large.
func TestEntryWithoutControl(t *testing.T) {
	for entries, allowed := range map[int]int{0: 0, 4: 10, 500: 0} {
		budget := &retry.Budget{
			Limit: testBound, Report: func(string) bool { return false }, Lease: func(context.Context, string) func(bool) { return nil },
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
		require.Equal(t, retry.SourceNone, budget.Spend(t.Context(), "s"), "at most one retry is accumulated")
	}
}

// A hedge is taken from the pool at control or not at all. A hedge from the entry's own
// share would use up what a failure needs while control is away.
func TestHedgesHaveNoLocalBudget(t *testing.T) {
	b := &retry.Budget{
		Limit: budget.Default, Report: func(string) bool { return false }, Lease: func(context.Context, string) func(bool) { return nil },
		EntryCount: func() int { return 1 },
	}
	settle, reached := func(bool) {}, true
	spend := func() retry.Source {
		source, settle := b.SpendHedge(t.Context(), "s")
		require.Equal(t, source == retry.SourcePool, settle != nil)
		return source
	}
	for range 100 {
		b.RecordRequest("s")
	}
	require.Equal(t, retry.SourceUnreachable, spend())
	b.LeaseHedge = func(context.Context, string) (func(bool), bool) { return settle, reached }
	require.Equal(t, retry.SourcePool, spend())
	settle = nil
	require.Equal(t, retry.SourceNone, spend())
	reached = false
	require.Equal(t, retry.SourceUnreachable, spend())
	require.Equal(t, retry.SourceLocal, b.Spend(t.Context(), "s"), "a retry is still there")
}

// A retry that is not sent goes back to where it came from.
func TestUnsentRetryIsReturned(t *testing.T) {
	inPool := 1
	b := &retry.Budget{
		Limit: budget.Default, Report: func(string) bool { return false }, EntryCount: func() int { return 1 },
		Lease: func(context.Context, string) func(bool) {
			if inPool == 0 {
				return nil
			}
			inPool--
			return func(sent bool) {
				if !sent {
					inPool++
				}
			}
		},
	}
	spend := func() (retry.Source, func(bool)) { return b.SpendReturnable(t.Context(), "s") }
	source, settle := spend()
	require.Equal(t, retry.SourcePool, source)
	settle(false)
	require.Equal(t, 1, inPool)
	_, settle = spend()
	settle(true)
	source, settle = spend()
	require.Equal(t, retry.SourceNone, source)
	require.Nil(t, settle)

	for range 100 {
		b.RecordRequest("s")
	}
	source, settle = spend()
	require.Equal(t, retry.SourceLocal, source)
	settle(false)
	source, settle = spend()
	require.Equal(t, retry.SourceLocal, source)
	settle(true)
	source, _ = spend()
	require.Equal(t, retry.SourceNone, source)
}
