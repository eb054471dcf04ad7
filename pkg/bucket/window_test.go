package bucket_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerspindle/tanagerspindle/pkg/bucket"
)

// A bucket by WindowLimits must not grant more than rate x window + burst in a window, and
// must grant nearly all of it; rate and burst stay as they are where the burst is small.
func TestWindowLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(1, 1<<40).Draw(t, "rate")
		burst := rapid.Int64Range(1, 1<<40).Draw(t, "burst")
		largest := rapid.Int64Range(0, 1<<41).Draw(t, "largest")
		seconds := rapid.Int64Range(1, 3600).Draw(t, "seconds")
		accrual, capacity := bucket.WindowLimits(rate, burst, largest, time.Duration(seconds)*time.Second)
		require.LessOrEqual(t, capacity+accrual*seconds, burst+rate*seconds)
		require.Greater(t, capacity+accrual*seconds, burst+(rate-1)*seconds, "no more than the rounding is lost")
		require.GreaterOrEqual(t, capacity, min(largest, burst), "the largest request fits")
		require.LessOrEqual(t, capacity, burst)
		if burst <= rate || burst <= bucket.MinWindowCapacity {
			require.Equal(t, []int64{rate, burst}, []int64{accrual, capacity})
		}
	})
}

// Values beyond the arithmetic, and no window, leave rate and burst as they are.
func TestWindowLimitsOutOfRange(t *testing.T) {
	for _, window := range []time.Duration{0, -time.Second, time.Nanosecond} {
		accrual, capacity := bucket.WindowLimits(5, math.MaxInt64, 0, window)
		require.Equal(t, []int64{5, math.MaxInt64}, []int64{accrual, capacity})
	}
	accrual, capacity := bucket.WindowLimits(math.MaxInt64-1, math.MaxInt64, 0, time.Nanosecond)
	require.Positive(t, accrual)
	require.Positive(t, capacity)
}
