package shares_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/shares"
)

func TestSharesFollowTheDemand(t *testing.T) {
	f, now := &shares.Estimator{}, time.Unix(1000, 0)
	ask := func(name string, times int) (share float64) {
		for i := range times {
			now = now.Add(20 * time.Millisecond)
			f.Record(fmt.Sprint("rare", i, now.UnixNano()), now)
			share = f.Record(name, now)
		}
		return share
	}
	require.Less(t, f.Record("hot", now), 0.01, "nothing is known yet")
	require.InDelta(t, 0.5, ask("hot", 3000), 0.06)
	require.InDelta(t, 0.5, ask("next", 3000), 0.06)
	require.Less(t, f.Record("hot", now), 0.01, "the demand has moved on")
}

func TestNumberOfNamesIsBounded(t *testing.T) {
	f, now := &shares.Estimator{}, time.Unix(1000, 0)
	for i := range 30_000 {
		now = now.Add(time.Millisecond)
		f.Record(fmt.Sprint(i), now)
	}
	require.Less(t, f.Record("1", now), 0.01)
}
