package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
)

// For any number of entries, the retries of the pool and of the entries together
// stay within Slack.
func TestPoolAndEntriesStayWithinSlack(t *testing.T) {
	for _, slack := range []float64{0, 1, 7, 62, 86, 98, 180} {
		limit := budget.Limit{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}
		pool := limit.Pool()
		poolTokens := float64(pool.Rate)*limit.Window.Seconds() + float64(pool.Burst)
		for entries := range 500 {
			localRetries := 0
			if limit.AllowsLocal(entries) {
				localRetries = entries
			}
			require.LessOrEqual(t, int64(poolTokens/budget.TokensPerRetry)+int64(localRetries), int64(slack), "whole retries in a window")
		}
	}
	limit := budget.Limit{Ratio: 0.2, Slack: 62, Window: 10 * time.Second}
	require.False(t, limit.AllowsLocal(0), "number of entries unknown")
	require.True(t, limit.AllowsLocal(8))
	require.False(t, limit.AllowsLocal(60))
	require.EqualValues(t, 5*budget.TokensPerRetry, limit.Credit(25))
}

func TestAccounts(t *testing.T) {
	service, ok := budget.Service(budget.Account("desk"))
	require.True(t, ok)
	require.Equal(t, "desk", service)
	_, ok = budget.Service("desk")
	require.False(t, ok)
}
