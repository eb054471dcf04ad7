package feeds

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

func TestBurnCountsExpireWithTheirWindows(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		counts := &burnCounter{}
		for range 10 {
			counts.add([]plane.BurnCount{{Workspace: "w", Route: "r", Good: 2, Bad: 1}})
			time.Sleep(time.Minute)
		}
		good := func() (sums []int64) {
			for _, window := range counts.list(nil) {
				sums = append(sums, window.Good)
			}
			return sums
		}
		require.Equal(t, []int64{8, 20, 20}, good())
		time.Sleep(time.Hour)
		require.Equal(t, []int64{0, 0, 20}, good())
		time.Sleep(6 * time.Hour)
		require.Equal(t, []int64{0, 0, 0}, good())
	})
}
