// Package spread chooses among endpoints.
//
// For plain services it answers a burst on few endpoints with few places: work
// goes where least of it is under way. For engines it answers skewed demand for
// many adapters on few places: each adapter has a home, so that it is loaded
// once, and a popular one has several, so that no engine gets all its requests.
package spread

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// farCost is what another data centre counts, as a share of an endpoint's
	// places: it decides only between endpoints that are nearly alike.
	farCost = 0.05
	// slowCost is what an endpoint counts that takes twice the usual time.
	slowCost = 0.5
	// failCost is what an endpoint counts that fails every request.
	failCost = 4.0
	// homeShare is the part of an engine's fair share of all requests that one
	// adapter may take there.
	homeShare = 0.5
	// loadStep is the difference in load, as a share of what an engine can
	// do, below which chance decides between homes: the loads known are some
	// time old, and all entries would go to the same one.
	loadStep = 0.06
	// fullLoad is the load, as a share of what an engine can do, from which an
	// adapter's homes count as overloaded; a little more than all of it, since
	// the loads known are those of the last moments.
	fullLoad = 1.25
)

// Candidate is an endpoint to choose from.
type Candidate struct {
	Name string
	// Load is the work there as a share of what it can do.
	Load float64
	// Remote says that it stands in another data centre.
	Remote bool
	// ExcessLatency is its recent time for an answer over that of its kind, less 1;
	// ExcessFailures the recent share of failed requests beyond that of its kind.
	ExcessLatency, ExcessFailures float64
	// Unreachable says that it was found unreachable lately.
	Unreachable bool
}

// ChoosePlain returns the index of the endpoint of a plain service to use, -1 when
// there is none. One that is down is used when there is no other. random is
// between 0 and 1 and decides between equals.
func ChoosePlain(candidates []Candidate, random float64) int {
	chosen, least := -1, math.Inf(1)
	for i := range candidates {
		at := (i + int(random*float64(len(candidates)))) % len(candidates)
		if cost := candidates[at].cost(); cost < least {
			chosen, least = at, cost
		}
	}
	return chosen
}

func (c *Candidate) cost() float64 {
	cost := c.Load + slowCost*max(c.ExcessLatency, 0) + failCost*max(c.ExcessFailures, 0)
	if c.Remote {
		cost += farCost
	}
	if c.Unreachable {
		cost += 1000
	}
	return cost
}

// PreferredCount returns how many of a number of engines an adapter should be spread
// over that gets a share of all requests.
func PreferredCount(share float64, engines int) int {
	homes := int(math.Ceil(share * float64(engines) / homeShare))
	return max(1, min(homes, engines))
}

// widen returns how many homes an adapter has while all of the given number are
// overloaded: one more after the other until one of them is not. It answers a
// sudden demand for an adapter, which its share of all requests shows only
// seconds later, and a home that others' adapters overload. The further homes
// are the same for all entries, so that each fetches the adapter once.
func widen(order []ranked, homes int, candidates []Candidate) int {
	for homes < len(order) && allFull(order[:homes], candidates) {
		homes++
	}
	return homes
}

func allFull(order []ranked, candidates []Candidate) bool {
	for _, r := range order {
		if candidates[r.index].Load < fullLoad {
			return false
		}
	}
	return true
}

// ranked is an engine with its place for a key.
type ranked struct {
	index int
	place uint64
	load  float64
}

// byPlace returns the engines in the order in which they become homes of a key,
// those that are down last.
func byPlace(key string, candidates []Candidate) []ranked {
	order := make([]ranked, len(candidates))
	for i := range candidates {
		order[i] = ranked{index: i, place: xxhash.Sum64String(key + "\x00" + candidates[i].Name)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(compareDown(&candidates[a.index], &candidates[b.index]), cmp.Compare(a.place, b.place))
	})
	return order
}

// RankEngines returns the indices of the engines in the order in which a request
// for a key should be offered to them: its homes by their load, then the others
// by theirs. RankEngines that are down come last. random is between 0 and 1. It
// returns how many of the first are homes: homes, or more while all of those are
// overloaded.
func RankEngines(key string, homes int, candidates []Candidate, random float64) (indices []int, wide int) {
	order := byPlace(key, candidates)
	wide = widen(order, homes, candidates)
	for i := range order {
		order[i].load = candidates[order[i].index].Load + loadStep*chance(order[i].place, random)
	}
	homes = min(wide, len(order))
	byLoad := func(a, b ranked) int {
		x, y := &candidates[a.index], &candidates[b.index]
		return cmp.Or(compareDown(x, y), cmp.Compare(a.load, b.load))
	}
	slices.SortFunc(order[:homes], byLoad)
	slices.SortFunc(order[homes:], byLoad)
	indices = make([]int, len(order))
	for i, r := range order {
		indices[i] = r.index
	}
	return indices, wide
}

// chance returns a number between 0 and 1 for an engine and a draw.
func chance(place uint64, random float64) float64 {
	// The multiplier is that of splitmix64; it spreads the bits of the draw.
	mixed := (place ^ math.Float64bits(random)) * 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 31
	return float64(mixed>>11) / (1 << 53)
}

func compareDown(a, b *Candidate) int {
	switch {
	case a.Unreachable == b.Unreachable:
		return 0
	case a.Unreachable:
		return 1
	}
	return -1
}
