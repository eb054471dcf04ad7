package permit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/permit"
)

// Fifty engines that start empty together load no faster than the store.
func TestEmptyEnginesLoadAtTheStoresRate(t *testing.T) {
	const rate = 2.2
	s, start := &permit.BaseModelLimiter{}, time.Unix(1000, 0)
	var loads []time.Time
	next := make([]time.Time, 50)
	for i := range next {
		next[i] = start
	}
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for i := range next {
			if next[i].IsZero() || now.Before(next[i]) {
				continue
			}
			wait := s.Allow("s", rate, now)
			if wait == 0 {
				loads = append(loads, now)
				next[i] = time.Time{}
				continue
			}
			next[i] = now.Add(wait)
		}
	}
	for first := range loads {
		within := 0
		for _, at := range loads[first:] {
			if at.Sub(loads[first]) <= 5*time.Second {
				within++
			}
		}
		require.LessOrEqual(t, float64(within), rate*5*1.1+3)
	}
	require.Greater(t, len(loads), 40)
	require.Zero(t, s.Allow("other", 0, start), "no bound is known")
	s.Reset()
	require.Positive(t, s.Allow("s", rate, start), "a new leader starts with nothing")
}
