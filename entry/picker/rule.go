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

func (p *Picker) choose(want *Want) *endpoint {
	all := p.allowed(p.pools[pool(want.Model, want.Service)], want)
	if len(all) == 0 {
		return nil
	}
	if p.Choose != nil {
		return all[p.Choose(p.candidates(all, want))]
	}
	if want.Service != "" {
		return p.better(all, want)
	}
	residents := p.allowed(p.resident[slot(want.Adapter, want.Version)], want)
	homes := homes(want.Adapter, all)
	if len(residents) == 0 {
		return p.home(homes, want)
	}
	best := p.better(residents, want)
	if best.load(want.Class) < spillLoad {
		return best
	}
	return p.spill(best, residents, homes, want)
}

// allowed leaves out endpoints that take no work, were tried, or hold another
// suspect.
func (p *Picker) allowed(list []*endpoint, want *Want) []*endpoint {
	var kept []*endpoint
	for _, e := range list {
		if !e.ready() || slices.Contains(want.Tried, e.record.Agent) {
			continue
		}
		if want.Suspect && e.suspects > 0 {
			continue
		}
		kept = append(kept, e)
	}
	return kept
}

func (p *Picker) candidates(list []*endpoint, want *Want) []Candidate {
	candidates := make([]Candidate, len(list))
	for i, e := range list {
		candidates[i] = p.candidate(e, want)
	}
	return candidates
}

func (p *Picker) candidate(e *endpoint, want *Want) Candidate {
	_, resident := slices.BinarySearchFunc(p.resident[slot(want.Adapter, want.Version)], e.record.Agent, byAgent)
	return Candidate{
		Agent:    e.record.Agent,
		Load:     e.load(want.Class),
		Resident: resident,
		Near:     e.record.DataCentre == p.Near,
		Prefix:   p.prefixes.match(want.Prefix, e.record.Agent),
	}
}

// better draws two endpoints and returns the one with less load; between
// equals the one with more of the prompt, then the nearer one.
func (p *Picker) better(list []*endpoint, want *Want) *endpoint {
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
	if a.Prefix != b.Prefix {
		return a.Prefix > b.Prefix
	}
	if a.Near != b.Near {
		return a.Near
	}
	return a.Load < b.Load
}

// home returns the first home that is not full, else the least loaded one.
func (p *Picker) home(homes []*endpoint, want *Want) *endpoint {
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
func (p *Picker) spill(best *endpoint, residents, homes []*endpoint, want *Want) *endpoint {
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

// homes returns the first endpoints of an adapter's weighted rendezvous order.
func homes(adapter string, list []*endpoint) []*endpoint {
	type scored struct {
		e     *endpoint
		score float64
	}
	hash := xxhash.Sum64String(adapter)
	top := make([]scored, 0, mostHomes+1)
	for _, e := range list {
		s := scored{e, score(hash^e.hash, e.record.Slots)}
		at := len(top)
		for at > 0 && top[at-1].score < s.score {
			at--
		}
		if at == mostHomes {
			continue
		}
		top = slices.Insert(top, at, s)
		if len(top) > mostHomes {
			top = top[:mostHomes]
		}
	}
	found := make([]*endpoint, len(top))
	for i, s := range top {
		found[i] = s.e
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
