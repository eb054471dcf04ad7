package spread_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/spread"
)

func TestPlainChoice(t *testing.T) {
	for name, test := range map[string]struct {
		candidates []spread.Candidate
		want       int
	}{
		"none":                       {nil, -1},
		"least loaded":               {[]spread.Candidate{{Load: 0.5}, {Load: 0.2}, {Load: 0.9}}, 1},
		"near among equals":          {[]spread.Candidate{{Remote: true}, {}, {Remote: true}}, 1},
		"far when near is busier":    {[]spread.Candidate{{Load: 0.3}, {Remote: true}}, 1},
		"slow one is left out":       {[]spread.Candidate{{ExcessLatency: 6}, {Load: 0.9}}, 1},
		"failing one is left out":    {[]spread.Candidate{{ExcessFailures: 0.4}, {Load: 0.9}}, 1},
		"down one is left out":       {[]spread.Candidate{{Unreachable: true}, {Load: 2, ExcessFailures: 1}}, 1},
		"down one if there is no up": {[]spread.Candidate{{Unreachable: true}}, 0},
	} {
		require.Equal(t, test.want, spread.ChoosePlain(test.candidates, 0.7), name)
	}
}

func engines(count int) []spread.Candidate {
	candidates := make([]spread.Candidate, count)
	for i := range candidates {
		candidates[i].Name = fmt.Sprint("e", i)
	}
	return candidates
}

func engineOrder(key string, homes int, all []spread.Candidate, random float64) []int {
	order, _ := spread.RankEngines(key, homes, all, random)
	return order
}

func wideHomes(homes int, all []spread.Candidate) int {
	_, wide := spread.RankEngines("a", homes, all, 0.5)
	return wide
}

// An adapter keeps its home while engines come and go.
func TestPreferredEngineIsStable(t *testing.T) {
	all := engines(9)
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint("a", i)
		before := all[engineOrder(key, 1, all, 0.3)[0]].Name
		fewer := all[:8]
		after := fewer[engineOrder(key, 1, fewer, 0.8)[0]].Name
		if before != all[8].Name {
			require.Equal(t, before, after)
		} else {
			moved++
		}
	}
	require.InDelta(t, 1000/9, moved, 40)
}

func TestPopularAdapterIsSpreadByLoad(t *testing.T) {
	require.Equal(t, 1, spread.PreferredCount(0.001, 9))
	require.Equal(t, 4, spread.PreferredCount(0.22, 9))
	require.Equal(t, 9, spread.PreferredCount(0.9, 9))
	all := engines(9)
	order := engineOrder("a", 4, all, 0.3)
	all[order[0]].Load = 1
	again := engineOrder("a", 4, all, 0.3)
	require.Equal(t, order[1], again[0])
	require.Equal(t, order[0], again[3])
	require.ElementsMatch(t, order[:4], again[:4], "the homes stay the homes")
	all[order[1]].Unreachable = true
	require.Equal(t, order[1], engineOrder("a", 4, all, 0.3)[8])
}

// An adapter whose homes are all overloaded gets one more, the same for every
// entry, and no more than it needs.
func TestOverloadAddsPreferredEngines(t *testing.T) {
	all := engines(9)
	order := engineOrder("a", 9, all, 0.3)
	require.Equal(t, 2, wideHomes(2, all))
	first := engineOrder("a", 1, all, 0.3)[0]
	all[first].Load = 2
	require.Equal(t, 2, wideHomes(1, all))
	require.Equal(t, 2, wideHomes(2, all), "one of the two has room")
	second := engineOrder("a", 2, all, 0.9)[0]
	require.NotEqual(t, first, second)
	for range 3 {
		require.Equal(t, second, engineOrder("a", wideHomes(1, all), all, 0.1)[0])
	}
	for _, at := range order {
		all[at].Load = 2
	}
	require.Equal(t, 9, wideHomes(1, all))
}

// Requests that any engine can serve are spread although all report no load.
func TestIdleEnginesShareTheWork(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	all, work := engines(9), make([]int, 9)
	for range 9000 {
		work[engineOrder("", 9, all, random.Float64())[0]]++
	}
	for _, count := range work {
		require.InDelta(t, 1000, count, 900)
	}
}

// Skewed demand leaves no engine with more than twice its share.
func TestSkewedDemandIsSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(random, 1.2, 1, 2999)
	all := engines(9)
	shares, work := map[uint64]float64{}, make([]float64, len(all))
	const requests = 20_000
	for range requests {
		shares[zipf.Uint64()]++
	}
	for range requests {
		adapter := zipf.Uint64()
		homes := spread.PreferredCount(shares[adapter]/requests, len(all))
		chosen := engineOrder(fmt.Sprint(adapter), homes, all, random.Float64())[0]
		work[chosen]++
		all[chosen].Load = work[chosen] / requests * float64(len(all))
	}
	for i := range work {
		require.Less(t, work[i], 2.0*requests/float64(len(all)))
	}
}
