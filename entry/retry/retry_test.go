package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/retry"
)

// hands is a clock that tests set.
type hands struct{ at time.Duration }

func (h *hands) now() time.Duration { return h.at }

// Entries that all see every request fail never repeat more, in any window,
// than the fleet may. The requests are counted in that window, the one before
// it or the one half a window before it, whichever has most.
func TestFailingFleetStaysWithinTheBound(t *testing.T) {
	const entries, ratio, slack, length = 4, 0.2, 20.0, 10 * time.Second
	var clock hands
	var budgets [entries]*retry.Budget
	for i := range budgets {
		budgets[i] = &retry.Budget{Ratio: ratio, Slack: slack, Window: length, Entries: func() int { return entries }, Clock: clock.now}
	}
	type event struct {
		at     time.Duration
		repeat bool
	}
	var events []event
	for step := range 6000 {
		clock.at = time.Duration(step) * 10 * time.Millisecond
		budget := budgets[step%entries]
		if step < 2000 || step > 4000 {
			budget.Request("s")
			events = append(events, event{at: clock.at})
		}
		if budget.Spend("s").Allowed {
			events = append(events, event{at: clock.at, repeat: true})
		}
	}
	count := func(from time.Duration, repeats bool) float64 {
		sum := 0.0
		for _, e := range events {
			if e.repeat == repeats && e.at >= from && e.at-from <= length {
				sum++
			}
		}
		return sum
	}
	for first := range events {
		if !events[first].repeat {
			continue
		}
		from := events[first].at
		requests := max(count(from, false), count(from-length/2, false), count(from-length, false))
		require.LessOrEqual(t, count(from, true), ratio*requests+slack, "in the window from %s", from)
	}
}

func TestUnusedBudgetIsThere(t *testing.T) {
	var clock hands
	budget := &retry.Budget{Ratio: 0.2, Slack: 8, Window: 10 * time.Second, Entries: func() int { return 4 }, Clock: clock.now}
	require.True(t, budget.Spend("s").Allowed)
	require.True(t, budget.Spend("s").Allowed)
	require.False(t, budget.Spend("s").Allowed)
	require.True(t, budget.Spend("other").Allowed)
	for range 5 {
		budget.Request("s")
	}
	require.True(t, budget.Spend("s").Allowed)
	require.False(t, budget.Spend("s").Allowed)
	clock.at = 11 * time.Second
	require.True(t, budget.Spend("s").Allowed)
}

// A window of the bound that ends with a repeat holds none of the requests from
// before it.
func TestRequestsOlderThanTheWindowAllowNoRepeats(t *testing.T) {
	var clock hands
	budget := &retry.Budget{Ratio: 0.2, Window: 10 * time.Second, Entries: func() int { return 4 }, Clock: clock.now}
	for range 100 {
		budget.Request("s")
	}
	clock.at = 9 * time.Second
	require.True(t, budget.Spend("s").Allowed)
	clock.at = 10*time.Second + time.Millisecond
	require.False(t, budget.Spend("s").Allowed)
}

// A process that starts anew knows neither what the one before it has repeated
// nor how many others there are.
func TestProcessesThatStartAnewStayWithinTheBound(t *testing.T) {
	const entries, slack = 4, 20.0
	var clock hands
	sent := 0
	for life := range 3 {
		for range entries {
			known := 1
			budget := &retry.Budget{Slack: slack, Window: 10 * time.Second, Entries: func() int { return known }, Clock: clock.now}
			for step := range 100 {
				clock.at = time.Duration(100*life+step) * 30 * time.Millisecond
				if budget.Spend("s").Allowed {
					sent++
				}
				known = entries
			}
		}
	}
	require.LessOrEqual(t, sent, int(slack), "in 9 s")
}

// A clock that goes back keeps the counts.
func TestClockThatGoesBackGivesNoRepeats(t *testing.T) {
	clock, sent := hands{at: time.Minute}, 0
	budget := &retry.Budget{Slack: 20, Window: 10 * time.Second, Entries: func() int { return 1 }, Clock: clock.now}
	for range 3 {
		for range 100 {
			if budget.Spend("s").Allowed {
				sent++
			}
		}
		clock.at -= 20 * time.Second
	}
	require.LessOrEqual(t, sent, 20)
}
