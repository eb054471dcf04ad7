package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/retry"
)

// Entries that all see every request fail never repeat more, in any window,
// than the fleet may. The requests are counted in that window, the one before
// it or the one half a window before it, whichever has most.
func TestFailingFleetStaysWithinTheBound(t *testing.T) {
	const entries, ratio, slack, length = 4, 0.2, 20.0, 10 * time.Second
	var budgets [entries]*retry.Budget
	for i := range budgets {
		budgets[i] = &retry.Budget{Ratio: ratio, Slack: slack, Window: length, Entries: func() int { return entries }}
	}
	type event struct {
		at     time.Time
		repeat bool
	}
	var events []event
	start := time.Unix(1000, 0)
	for step := range 6000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		budget := budgets[step%entries]
		if step < 2000 || step > 4000 {
			budget.Request("s", now)
			events = append(events, event{at: now})
		}
		if budget.Spend("s", now).Allowed {
			events = append(events, event{at: now, repeat: true})
		}
	}
	count := func(from time.Time, repeats bool) float64 {
		sum := 0.0
		for _, e := range events {
			if e.repeat == repeats && !e.at.Before(from) && e.at.Sub(from) <= length {
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
		requests := max(count(from, false), count(from.Add(-length/2), false), count(from.Add(-length), false))
		require.LessOrEqual(t, count(from, true), ratio*requests+slack, "in the window from %s", from.Sub(start))
	}
}

func TestUnusedBudgetIsThere(t *testing.T) {
	budget := &retry.Budget{Ratio: 0.2, Slack: 8, Window: 10 * time.Second, Entries: func() int { return 4 }}
	now := time.Unix(1000, 0)
	require.True(t, budget.Spend("s", now).Allowed)
	require.True(t, budget.Spend("s", now).Allowed)
	require.False(t, budget.Spend("s", now).Allowed)
	require.True(t, budget.Spend("other", now).Allowed)
	for range 5 {
		budget.Request("s", now)
	}
	require.True(t, budget.Spend("s", now).Allowed)
	require.False(t, budget.Spend("s", now).Allowed)
	require.True(t, budget.Spend("s", now.Add(11*time.Second)).Allowed)
}

// A window of the bound that ends with a repeat holds none of the requests from
// before it.
func TestRequestsOlderThanTheWindowAllowNoRepeats(t *testing.T) {
	budget := &retry.Budget{Ratio: 0.2, Window: 10 * time.Second, Entries: func() int { return 4 }}
	now := time.Unix(1000, 0)
	for range 100 {
		budget.Request("s", now)
	}
	require.True(t, budget.Spend("s", now.Add(9*time.Second)).Allowed)
	require.False(t, budget.Spend("s", now.Add(10*time.Second+time.Millisecond)).Allowed)
}

// A process that starts anew knows neither what the one before it has repeated
// nor how many others there are.
func TestProcessesThatStartAnewStayWithinTheBound(t *testing.T) {
	const entries, slack = 4, 20.0
	start := time.Unix(1000, 0)
	sent := 0
	for life := range 3 {
		for range entries {
			known := 1
			budget := &retry.Budget{Slack: slack, Window: 10 * time.Second, Entries: func() int { return known }}
			for step := range 100 {
				if budget.Spend("s", start.Add(time.Duration(100*life+step)*30*time.Millisecond)).Allowed {
					sent++
				}
				known = entries
			}
		}
	}
	require.LessOrEqual(t, sent, int(slack), "in 9 s")
}

// The time of day steps while requests and repeats go on.
func TestClockStepsGiveNoRepeats(t *testing.T) {
	for _, step := range []time.Duration{20 * time.Second, -20 * time.Second} {
		budget := &retry.Budget{Slack: 20, Window: 10 * time.Second, Entries: func() int { return 1 }}
		now, sent := time.Unix(1000, 0), 0
		for range 3 {
			for range 100 {
				if budget.Spend("s", now).Allowed {
					sent++
				}
			}
			now = now.Add(step)
		}
		require.LessOrEqual(t, sent, 20, "a step of %s", step)
	}
}
