package picker

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// overload is the load, as a multiple of an endpoint's request slots, from
	// which an adapter without resident copy is loaded at its next preferred
	// endpoint.
	overload = 1.25
	// copyLoad is the load of the least loaded resident endpoint from which an
	// additional copy of the adapter justifies loading its weights.
	copyLoad = 2.0
	// copyShare is the maximum load of the endpoint of an additional copy, as a
	// fraction of the load of the least loaded resident endpoint.
	copyShare = 0.5
	// equalLoad is the difference in load below which two endpoints count as
	// equally loaded, so that prompt prefix and data centre decide.
	equalLoad = 0.15
	// maxPreferred bounds the preferred endpoints of one adapter.
	maxPreferred = 4
)

// choose returns the endpoint of an attempt, or nil when none accepts it. An
// adapter is served where it is resident; otherwise, or when all its copies are
// overloaded, at one of its preferred endpoints.
func (p *Picker) choose(req *Requirements) *endpoint {
	list := p.pools[poolKey(req.Model, req.Service)]
	if p.Choose != nil || req.Service != "" {
		return p.chooseAny(accepting(list, req), req)
	}
	residents := accepting(p.resident[adapterKey(req.Adapter, req.Version)], req)
	if len(residents) == 0 {
		return p.choosePreferred(preferredEndpoints(list, req), req)
	}
	best := p.betterOfTwo(residents, req)
	if best.load(req.Class) < copyLoad {
		return best
	}
	return p.chooseWithCopy(best, residents, preferredEndpoints(list, req), req)
}

// chooseAny chooses among equivalent endpoints, or by Picker.Choose.
func (p *Picker) chooseAny(list []*endpoint, req *Requirements) *endpoint {
	if len(list) == 0 {
		return nil
	}
	if p.Choose != nil {
		return list[p.Choose(p.candidates(list, req))]
	}
	return p.betterOfTwo(list, req)
}

// accepting returns the endpoints that accept the attempt.
func accepting(list []*endpoint, req *Requirements) []*endpoint {
	accepted := make([]*endpoint, 0, len(list))
	for _, e := range list {
		if e.accepts(req) {
			accepted = append(accepted, e)
		}
	}
	return accepted
}

// accepts reports whether the endpoint is ready, is not excluded, and runs no
// other suspected request if the attempt is one.
func (e *endpoint) accepts(req *Requirements) bool {
	if !e.ready() || slices.Contains(req.Excluded, e.record.Agent) {
		return false
	}
	return !req.Suspect || e.suspects == 0
}

func (p *Picker) candidates(list []*endpoint, req *Requirements) []Candidate {
	candidates := make([]Candidate, len(list))
	for i, e := range list {
		candidates[i] = p.candidate(e, req)
	}
	return candidates
}

func (p *Picker) candidate(e *endpoint, req *Requirements) Candidate {
	_, resident := slices.BinarySearchFunc(p.resident[adapterKey(req.Adapter, req.Version)], e.record.Agent, compareAgent)
	return Candidate{
		Agent:        e.record.Agent,
		Load:         e.load(req.Class),
		Resident:     resident,
		Local:        e.record.DataCentre == p.DataCentre,
		PrefixBlocks: p.prefixes.match(req.Prefix, e.record.Agent),
	}
}

// betterOfTwo draws two endpoints at random and returns the less loaded one; of
// equally loaded ones the one that was sent more of the prompt, then the one in
// the entry's data centre.
func (p *Picker) betterOfTwo(list []*endpoint, req *Requirements) *endpoint {
	if len(list) == 1 {
		return list[0]
	}
	first := p.random(len(list))
	second := p.random(len(list) - 1)
	if second >= first {
		second++
	}
	a := p.candidate(list[first], req)
	b := p.candidate(list[second], req)
	if less(b, a) {
		return list[second]
	}
	return list[first]
}

// less reports whether a is a better choice than b.
func less(a, b Candidate) bool {
	if math.Abs(a.Load-b.Load) >= equalLoad {
		return a.Load < b.Load
	}
	if a.PrefixBlocks != b.PrefixBlocks {
		return a.PrefixBlocks > b.PrefixBlocks
	}
	if a.Local != b.Local {
		return a.Local
	}
	return a.Load < b.Load
}

// choosePreferred returns the first preferred endpoint that is not overloaded,
// otherwise the least loaded one.
func (p *Picker) choosePreferred(preferred []*endpoint, req *Requirements) *endpoint {
	if len(preferred) == 0 {
		return nil
	}
	best := preferred[0]
	for _, e := range preferred {
		if e.load(req.Class) < overload {
			return e
		}
		if e.load(req.Class) < best.load(req.Class) {
			best = e
		}
	}
	return best
}

// chooseWithCopy returns the least loaded resident endpoint, or the next
// preferred endpoint without a copy when all copies are so busy that another
// one justifies loading it.
func (p *Picker) chooseWithCopy(best *endpoint, residents, preferred []*endpoint, req *Requirements) *endpoint {
	for _, e := range residents {
		if e.load(req.Class) < best.load(req.Class) {
			best = e
		}
	}
	if best.load(req.Class) < copyLoad {
		return best
	}
	for _, e := range preferred {
		if slices.Contains(residents, e) {
			continue
		}
		if e.load(req.Class) < copyShare*best.load(req.Class) {
			return e
		}
		break
	}
	return best
}

// preferredEndpoints returns the first endpoints that accept the attempt in the
// weighted rendezvous order of the adapter.
func preferredEndpoints(list []*endpoint, req *Requirements) []*endpoint {
	hash := xxhash.Sum64String(req.Adapter)
	preferred := make([]*endpoint, 0, maxPreferred+1)
	var scores [maxPreferred + 1]float64
	for _, e := range list {
		if !e.accepts(req) {
			continue
		}
		s := score(hash^e.hash, e.record.AdapterSlots)
		at := len(preferred)
		for at > 0 && scores[at-1] < s {
			at--
		}
		if at == maxPreferred {
			continue
		}
		copy(scores[at+1:], scores[at:])
		scores[at] = s
		preferred = slices.Insert(preferred, at, e)
		preferred = preferred[:min(len(preferred), maxPreferred)]
	}
	return preferred
}

// score is the weighted rendezvous score -weight/ln(u), where u is uniform
// between 0 and 1 for the pair of adapter and endpoint.
func score(hash uint64, slots int32) float64 {
	u := (float64(mix(hash)>>11) + 0.5) / (1 << 53)
	return -float64(max(slots, 1)) / math.Log(u)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
