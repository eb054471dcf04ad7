package bucket_test

import (
	"flag"
	"math/big"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerspindle/tanagerspindle/pkg/bucket"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// In every time window the tokens taken are at most burst plus rate times the
// window's length.
func TestTakenTokensStayWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(1, 1<<40).Draw(t, "rate")
		burst := rapid.Int64Range(1, 1<<40).Draw(t, "burst")
		now := time.Unix(0, 0)
		b := bucket.New(rate, burst, burst, now)
		starts, sums := []time.Time{now}, []int64{0}
		taken := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "gap")))
			b.Advance(now, 0)
			for i, start := range starts {
				require.LessOrEqual(t, taken-sums[i]+b.Level(), ceiling(rate, burst, now.Sub(start)))
			}
			starts, sums = append(starts, now), append(sums, taken)
			taken += b.Take(rapid.Int64Range(0, burst).Draw(t, "take"))
		}
	})
}

// ceiling returns burst plus the tokens that accrue in gap, computed without overflow.
func ceiling(rate, burst int64, gap time.Duration) int64 {
	earned := new(big.Int).Mul(big.NewInt(rate), big.NewInt(int64(gap)))
	earned.Div(earned, big.NewInt(int64(time.Second)))
	earned.Add(earned, big.NewInt(burst))
	if !earned.IsInt64() {
		return 1<<63 - 1
	}
	return earned.Int64()
}

// Frequent calls of Advance lose less than one token to rounding.
func TestFrequentAdvanceLosesNoTokens(t *testing.T) {
	start := time.Unix(0, 0)
	b := bucket.New(3, 1000, 0, start)
	for i := range 100_000 {
		b.Advance(start.Add(time.Duration(i)*time.Millisecond), 0)
	}
	require.Equal(t, int64(299), b.Level())
	require.Equal(t, 333*time.Millisecond, b.Wait(300).Round(time.Millisecond))
}

func TestBucketKeepsRoomForHeldTokens(t *testing.T) {
	start := time.Unix(0, 0)
	b := bucket.New(10, 100, 100, start)
	require.Equal(t, int64(60), b.Take(60))
	b.Advance(start.Add(time.Minute), 60)
	require.Equal(t, int64(40), b.Level())
	b.Advance(start.Add(time.Minute+time.Second), 0)
	require.Equal(t, int64(50), b.Level())
}
