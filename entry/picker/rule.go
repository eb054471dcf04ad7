package picker

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// fullLoad is the load, as a multiple of an endpoint's places, up to
	// which a home takes new adapters before the next home does.
	fullLoad = 1.25
	// spillLoad is the load of the least loaded resident endpoint from which
	// a further copy is worth a load of its weights.
	spillLoad = 2.0
	// spillShare is how small the next home's load must be against it.
	spillShare = 0.5
	// evenLoad is the difference of load below which two endpoints count as
	// equal, and data centre and prefix decide.
	evenLoad = 0.15
	// mostHomes bounds the homes of one adapter that are looked at.
	mostHomes = 4
)

func (p *Picker) choose(want *Requirements) *endpoint {
	list := p.pools[pool(want.Model, want.Service)]
	if p.Choose != nil || want.Service != "" {
		return p.chooseAny(allowed(list, want), want)
	}
	residents := allowed(p.resident[slot(want.Adapter, want.Version)], want)
	if len(residents) == 0 {
		return p.home(homes(list, want), want)
	}
	best := p.better(residents, want)
	if best.load(want.Class) < spillLoad {
		return best
	}
	return p.spill(best, residents, homes(list, want), want)
}

// chooseAny picks among endpoints that are alike, or by the baseline's rule.
func (p *Picker) chooseAny(list []*endpoint, want *Requirements) *endpoint {
	if len(list) == 0 {
		return nil
	}
	if p.Choose != nil {
		return list[p.Choose(p.candidates(list, want))]
	}
	return p.better(list, want)
}

// allowed leaves out the endpoints that may not get the attempt.
func allowed(list []*endpoint, want *Requirements) []*endpoint {
	kept := make([]*endpoint, 0, len(list))
	for _, e := range list {
		if e.takes(want) {
			kept = append(kept, e)
		}
	}
	return kept
}

// takes reports whether the endpoint takes work, was not tried, and holds no
// other suspect.
func (e *endpoint) takes(want *Requirements) bool {
	if !e.ready() || slices.Contains(want.Excluded, e.record.Agent) {
		return false
	}
	return !want.Suspect || e.suspects == 0
}

func (p *Picker) candidates(list []*endpoint, want *Requirements) []Candidate {
	candidates := make([]Candidate, len(list))
	for i, e := range list {
		candidates[i] = p.candidate(e, want)
	}
	return candidates
}

func (p *Picker) candidate(e *endpoint, want *Requirements) Candidate {
	_, resident := slices.BinarySearchFunc(p.resident[slot(want.Adapter, want.Version)], e.record.Agent, byAgent)
	return Candidate{
		Agent:        e.record.Agent,
		Load:         e.load(want.Class),
		Resident:     resident,
		Near:         e.record.DataCentre == p.DataCentre,
		PrefixBlocks: p.prefixes.match(want.Prefix, e.record.Agent),
	}
}

// better draws two endpoints and returns the one with less load; between
// equals the one with more of the prompt, then the nearer one.
func (p *Picker) better(list []*endpoint, want *Requirements) *endpoint {
	if len(list) == 1 {
		return list[0]
	}
	first := p.random(len(list))
	second := p.random(len(list) - 1)
	if second >= first {
		second++
	}
	a := p.candidate(list[first], want)
	b := p.candidate(list[second], want)
	if less(b, a) {
		return list[second]
	}
	return list[first]
}

func less(a, b Candidate) bool {
	if math.Abs(a.Load-b.Load) >= evenLoad {
		return a.Load < b.Load
	}
	if a.PrefixBlocks != b.PrefixBlocks {
		return a.PrefixBlocks > b.PrefixBlocks
	}
	if a.Near != b.Near {
		return a.Near
	}
	return a.Load < b.Load
}

// home returns the first home that is not full, else the least loaded one.
func (p *Picker) home(homes []*endpoint, want *Requirements) *endpoint {
	if len(homes) == 0 {
		return nil
	}
	best := homes[0]
	for _, e := range homes {
		if e.load(want.Class) < fullLoad {
			return e
		}
		if e.load(want.Class) < best.load(want.Class) {
			best = e
		}
	}
	return best
}

// spill returns the next home that has no copy yet, when the copies are so
// busy that loading another one is worth it.
func (p *Picker) spill(best *endpoint, residents, homes []*endpoint, want *Requirements) *endpoint {
	for _, e := range residents {
		if e.load(want.Class) < best.load(want.Class) {
			best = e
		}
	}
	if best.load(want.Class) < spillLoad {
		return best
	}
	for _, e := range homes {
		if slices.Contains(residents, e) {
			continue
		}
		if e.load(want.Class) < spillShare*best.load(want.Class) {
			return e
		}
		break
	}
	return best
}

// homes returns the first endpoints of an adapter's weighted rendezvous order
// that take the attempt.
func homes(list []*endpoint, want *Requirements) []*endpoint {
	hash := xxhash.Sum64String(want.Adapter)
	found := make([]*endpoint, 0, mostHomes+1)
	var scores [mostHomes + 1]float64
	for _, e := range list {
		if !e.takes(want) {
			continue
		}
		s := score(hash^e.hash, e.record.AdapterSlots)
		at := len(found)
		for at > 0 && scores[at-1] < s {
			at--
		}
		if at == mostHomes {
			continue
		}
		copy(scores[at+1:], scores[at:])
		scores[at] = s
		found = slices.Insert(found, at, e)
		found = found[:min(len(found), mostHomes)]
	}
	return found
}

// score is the weighted rendezvous score: -weight/ln(u), with u uniform
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
