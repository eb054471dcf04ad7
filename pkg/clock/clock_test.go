package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/clock"
)

func TestNowAdvances(t *testing.T) {
	before, start := clock.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed := clock.Now().Sub(before)
	require.GreaterOrEqual(t, passed, 20*time.Millisecond)
	require.Less(t, passed, time.Since(start)+time.Second)
}

func TestSuspendedReturnsTheSuspension(t *testing.T) {
	boot, own := time.Unix(1000, 0), time.Unix(5000, 0)
	w := &clock.SuspendDetector{BootTime: func() time.Time { return boot }}
	require.Zero(t, w.Suspended(own))
	pass := func(both, suspended time.Duration) time.Duration {
		boot, own = boot.Add(both+suspended), own.Add(both)
		return w.Suspended(own)
	}
	require.Zero(t, pass(time.Hour, 0))
	require.Zero(t, pass(time.Second, 20*time.Millisecond))
	require.Equal(t, 4*time.Second, pass(time.Millisecond, 4*time.Second))
	require.Zero(t, pass(time.Second, 0), "each suspension is returned once")
	require.Zero(t, (&clock.SuspendDetector{}).Suspended(own))
}
