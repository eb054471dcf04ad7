package shares_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/shares"
)

func TestSharesFollowTheDemand(t *testing.T) {
	e, now := &shares.Estimator{}, time.Unix(1000, 0)
	record := func(name string, times int) (share float64) {
		for i := range times {
			now = now.Add(20 * time.Millisecond)
			e.Record(fmt.Sprint("rare", i, now.UnixNano()), now)
			share = e.Record(name, now)
		}
		return share
	}
	require.Less(t, e.Record("hot", now), 0.01, "no requests have been counted yet")
	require.InDelta(t, 0.5, record("hot", 3000), 0.06)
	require.InDelta(t, 0.5, record("next", 3000), 0.06)
	require.Less(t, e.Record("hot", now), 0.01, "the demand has shifted")
}

func TestNumberOfNamesIsBounded(t *testing.T) {
	e, now := &shares.Estimator{}, time.Unix(1000, 0)
	for i := range 30_000 {
		now = now.Add(time.Millisecond)
		e.Record(fmt.Sprint(i), now)
	}
	require.Less(t, e.Record("1", now), 0.01)
}
