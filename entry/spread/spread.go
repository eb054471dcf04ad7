// Package spread implements the load balancing of an entry: it chooses the
// endpoint of a request.
//
// For plain services it sends a request to the least loaded endpoint, so that a
// burst does not overload a few endpoints with few request slots. For engines
// it balances skewed demand for many adapters over few adapter slots: each
// adapter has a preferred engine, so that it is loaded once, and a popular
// adapter has several, so that no engine receives all its requests.
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
	// remoteCost is the cost of an endpoint in another data centre, as a
	// fraction of an endpoint's capacity: it decides only between nearly equal
	// endpoints.
	remoteCost = 0.05
	// latencyCost is the cost of an endpoint per unit of its excess latency.
	latencyCost = 0.5
	// failureCost is the cost of an endpoint that fails every request.
	failureCost = 4.0
	// preferredShare is the part of an engine's fair share of all requests that
	// one adapter may take there.
	preferredShare = 0.5
	// loadJitter is the difference in load, as a fraction of an engine's
	// capacity, below which chance decides between preferred engines. Known
	// loads are slightly out of date, and without it all entries would choose
	// the same engine.
	loadJitter = 0.06
	// overload is the load, as a fraction of an engine's capacity, from which
	// an engine counts as overloaded. It is above 1 since known loads are
	// slightly out of date.
	overload = 1.25
)

// Candidate is an endpoint among which a choice is made.
type Candidate struct {
	Name string
	// Load is the work at the endpoint as a fraction of its capacity.
	Load float64
	// Remote reports that the endpoint is in another data centre.
	Remote bool
	// ExcessLatency is the endpoint's recent latency, as a multiple of the
	// other endpoints' latency, beyond the tolerated multiple. ExcessFailures
	// is its recent failure rate beyond the tolerated difference to the others.
	// Negative values count as 0.
	ExcessLatency, ExcessFailures float64
	// Unreachable reports that a recent connection to the endpoint failed.
	Unreachable bool
}

// ChoosePlain returns the index of the endpoint of a plain service to use, or
// -1 when there is none. An unreachable endpoint is used when there is no
// other. random is between 0 and 1 and decides between endpoints of equal cost.
func ChoosePlain(candidates []Candidate, random float64) int {
	chosen, lowest := -1, math.Inf(1)
	for i := range candidates {
		at := (i + int(random*float64(len(candidates)))) % len(candidates)
		if cost := candidates[at].cost(); cost < lowest {
			chosen, lowest = at, cost
		}
	}
	return chosen
}

func (c *Candidate) cost() float64 {
	cost := c.Load + latencyCost*max(c.ExcessLatency, 0) + failureCost*max(c.ExcessFailures, 0)
	if c.Remote {
		cost += remoteCost
	}
	if c.Unreachable {
		cost += 1000
	}
	return cost
}

// PreferredCount returns the number of preferred engines of an adapter that
// receives a share of all requests.
func PreferredCount(share float64, engines int) int {
	count := int(math.Ceil(share * float64(engines) / preferredShare))
	return max(1, min(count, engines))
}

// addPreferred returns the number of preferred engines of an adapter: the given
// count, and while all of those are overloaded as many more as it takes until
// one is not. This handles a sudden demand for an adapter, which its share of
// all requests shows only seconds later, and a preferred engine overloaded by
// other adapters. All entries add the same engines, so that each of those
// fetches the adapter once.
func addPreferred(order []rankedEngine, count int, candidates []Candidate) int {
	for count < len(order) && allOverloaded(order[:count], candidates) {
		count++
	}
	return count
}

func allOverloaded(order []rankedEngine, candidates []Candidate) bool {
	for _, r := range order {
		if candidates[r.index].Load < overload {
			return false
		}
	}
	return true
}

// rankedEngine is an engine with its rendezvous hash for a key. load includes
// the random part.
type rankedEngine struct {
	index int
	hash  uint64
	load  float64
}

// rendezvousOrder returns the engines in the order of their rendezvous hashes
// for a key, unreachable engines last. The first ones are the preferred engines
// of the key.
func rendezvousOrder(key string, candidates []Candidate) []rankedEngine {
	order := make([]rankedEngine, len(candidates))
	for i := range candidates {
		order[i] = rankedEngine{index: i, hash: xxhash.Sum64String(key + "\x00" + candidates[i].Name)}
	}
	slices.SortFunc(order, func(a, b rankedEngine) int {
		return cmp.Or(compareUnreachable(&candidates[a.index], &candidates[b.index]), cmp.Compare(a.hash, b.hash))
	})
	return order
}

// RankEngines returns the indices of the engines in the order in which a
// request for a key should be sent to them: the preferred engines by load, then
// the others by load, unreachable engines last. random is between 0 and 1.
// preferred is the number of preferred engines, which is count or, while all of
// those are overloaded, more.
func RankEngines(key string, count int, candidates []Candidate, random float64) (indices []int, preferred int) {
	order := rendezvousOrder(key, candidates)
	preferred = addPreferred(order, count, candidates)
	for i := range order {
		order[i].load = candidates[order[i].index].Load + loadJitter*jitter(order[i].hash, random)
	}
	count = min(preferred, len(order))
	byLoad := func(a, b rankedEngine) int {
		x, y := &candidates[a.index], &candidates[b.index]
		return cmp.Or(compareUnreachable(x, y), cmp.Compare(a.load, b.load))
	}
	slices.SortFunc(order[:count], byLoad)
	slices.SortFunc(order[count:], byLoad)
	indices = make([]int, len(order))
	for i, r := range order {
		indices[i] = r.index
	}
	return indices, preferred
}

// jitter returns a number between 0 and 1 that depends on the engine's hash and
// a random number.
func jitter(hash uint64, random float64) float64 {
	// The multiplier is that of splitmix64; it mixes the bits of the random
	// number.
	mixed := (hash ^ math.Float64bits(random)) * 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 31
	return float64(mixed>>11) / (1 << 53)
}

// compareUnreachable orders unreachable engines after the others.
func compareUnreachable(a, b *Candidate) int {
	switch {
	case a.Unreachable == b.Unreachable:
		return 0
	case a.Unreachable:
		return 1
	}
	return -1
}
