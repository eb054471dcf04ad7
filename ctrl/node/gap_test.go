package node_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTimeWithoutALeaderAfterACrash(t *testing.T) {
	const runs = 40
	var gaps []time.Duration
	for seed := range uint64(runs) {
		inBubble(t, 1000+10*seed, 3, func(g *group) {
			g.fill(0, 2)
			time.Sleep(time.Duration(seed) * 7 * time.Millisecond)
			g.crash(g.leader().name)
			start := time.Now()
			g.put("after", "1")
			gaps = append(gaps, time.Since(start))
		})
	}
	slices.SortFunc(gaps, cmp.Compare)
	t.Logf("from the crash to the next commit, %d runs: minimum %v, median %v, 90th percentile %v, maximum %v",
		runs, gaps[0], gaps[runs/2], gaps[runs*9/10], gaps[runs-1])
	require.Less(t, gaps[runs-1], 2*time.Second)
}
