package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/retry"
)

// Entries that all see every request fail never repeat more, in any window,
// than the fleet may.
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
	for first := range events {
		requests, repeats := 0.0, 0.0
		for _, e := range events[first:] {
			if e.at.Sub(events[first].at) > length {
				break
			}
			if e.repeat {
				repeats++
			} else {
				requests++
			}
		}
		require.LessOrEqual(t, repeats, ratio*requests+slack+ratio*50, "the first request of a window may be just outside")
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
