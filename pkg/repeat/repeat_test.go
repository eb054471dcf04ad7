package repeat_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/repeat"
)

// Whatever entries there are, pool and entries together stay within the slack.
func TestPoolAndEntriesAreWithinTheSlack(t *testing.T) {
	for _, slack := range []float64{0, 1, 7, 62, 86, 98, 180} {
		bound := repeat.Bound{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}
		pool := bound.Pool()
		most := float64(pool.Rate)*bound.Window.Seconds() + float64(pool.Burst)
		for entries := range 500 {
			alone := 0
			if bound.Alone(entries) {
				alone = entries
			}
			require.LessOrEqual(t, int64(most/repeat.Unit)+int64(alone), int64(slack), "whole repeats in a window")
		}
	}
	bound := repeat.Bound{Ratio: 0.2, Slack: 62, Window: 10 * time.Second}
	require.False(t, bound.Alone(0), "not known")
	require.True(t, bound.Alone(8))
	require.False(t, bound.Alone(60))
	require.EqualValues(t, 5*repeat.Unit, bound.Credit(25))
}

func TestAccounts(t *testing.T) {
	service, ok := repeat.Service(repeat.Account("desk"))
	require.True(t, ok)
	require.Equal(t, "desk", service)
	_, ok = repeat.Service("desk")
	require.False(t, ok)
}
