package slots

import (
	"math"
	"sort"
	"time"
)

const (
	// halfLife is the time in which the weight of a past request halves.
	halfLife = time.Minute
	// horizon is the time ahead for which the demand counts.
	horizon = 30 * time.Second
	// waitingWorth is how many expected requests one waiting person counts.
	waitingWorth = 10
	// forgetBelow is the rate, in requests per second, under which the demand
	// of a key is forgotten.
	forgetBelow = 1e-5
	// maxDraining bounds the slots that wait for a newcomer; loads are too few
	// for more to be filled soon.
	maxDraining = 1
	// popularRate is the rate, in requests per second, from which a key is
	// loaded into an empty slot before a request waits for it.
	popularRate = 0.02
	// maxUses bounds the keys whose demand is known.
	maxUses = 20_000
)

// use is the demand for one key.
type use struct {
	rate float64
	last time.Time
}

// Usage is what a key is valued by.
type Usage struct {
	// Rate is the decayed rate of requests, per second.
	Rate float64
	// Last is when the last request came; zero means never.
	Last time.Time
	// Urgency is the urgency of the requests that wait for it now.
	Urgency float64
}

// ByExpectedDemand is the default of Slots.Worth: the requests expected within the
// horizon and those that wait.
func ByExpectedDemand(u Usage) float64 {
	return u.Rate*horizon.Seconds() + u.Urgency*waitingWorth
}

// ByRecency values keys by their last use, as least-recently-used eviction does.
func ByRecency(u Usage) float64 { return float64(u.Last.UnixNano()) }

// Touch counts one request for a key.
func (s *Slots) Touch(key Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.uses == nil {
		s.uses = map[Key]*use{}
	}
	known := s.uses[key]
	if known == nil {
		s.trim()
		known = &use{}
		s.uses[key] = known
	}
	now := time.Now()
	known.rate = known.decayed(now) + math.Ln2/halfLife.Seconds()
	known.last = now
}

func (u *use) decayed(now time.Time) float64 {
	return u.rate * math.Exp2(-float64(now.Sub(u.last))/float64(halfLife))
}

// trim forgets keys without demand when there are many.
func (s *Slots) trim() {
	if len(s.uses) < maxUses {
		return
	}
	now := time.Now()
	for key, known := range s.uses {
		if known.decayed(now) < forgetBelow {
			delete(s.uses, key)
		}
	}
	for key := range s.uses {
		if len(s.uses) < maxUses {
			return
		}
		delete(s.uses, key)
	}
}

func (s *Slots) worth(key Key, waiting float64, now time.Time) float64 {
	valued := Usage{Urgency: waiting}
	if known := s.uses[key]; known != nil {
		valued.Rate = known.decayed(now)
		valued.Last = known.last
	}
	if s.Value == nil {
		return ByExpectedDemand(valued)
	}
	return s.Value(valued)
}

// Demand is a key that requests wait for.
type Demand struct {
	Key Key
	// Urgency is their urgency.
	Urgency float64
}

// valued is a key with its worth.
type valued struct {
	key   Key
	slot  *slot
	worth float64
	// drained says that the slot was draining before.
	drained bool
}

// Plan returns those of the wanted keys for which a slot can be had at once,
// the most valuable first. waiting holds the urgency for keys with a slot. A
// key that only a pinned slot could serve makes that slot draining.
func (s *Slots) Plan(wanted []Demand, waiting map[Key]float64) []Key {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.mayOrder() {
		return nil
	}
	now := time.Now()
	newcomers := s.newcomers(wanted, now)
	residents := s.residents(waiting, now)
	empty := s.limit - len(s.held)
	draining := 0
	var planned []Key
	for _, newcomer := range newcomers {
		if empty > 0 {
			empty--
			planned = append(planned, newcomer.key)
			continue
		}
		victim := takeVictim(&residents, newcomer.worth)
		if victim == nil || (victim.slot.pinned() && draining >= maxDraining) {
			break
		}
		if victim.slot.pinned() {
			victim.slot.draining = true
			draining++
			continue
		}
		// A slot that was emptied for a newcomer stays reserved for it.
		if victim.drained && draining < maxDraining {
			victim.slot.draining = true
			draining++
		}
		planned = append(planned, newcomer.key)
	}
	return planned
}

func (s *Slots) newcomers(wanted []Demand, now time.Time) []valued {
	var newcomers []valued
	for _, demand := range wanted {
		blocked := s.failures[demand.Key].until.After(now)
		if s.held[demand.Key] == nil && !blocked {
			newcomers = append(newcomers, valued{key: demand.Key, worth: s.worth(demand.Key, demand.Urgency, now)})
		}
	}
	sort.SliceStable(newcomers, func(i, j int) bool { return newcomers[i].worth > newcomers[j].worth })
	return newcomers
}

// residents returns the resident slots, those to go first in front, and ends
// their draining.
func (s *Slots) residents(waiting map[Key]float64, now time.Time) []valued {
	var residents []valued
	for key, held := range s.held {
		if held.state == stateResident {
			residents = append(residents, valued{key: key, slot: held, worth: s.worth(key, waiting[key], now), drained: held.draining})
		}
		held.draining = false
	}
	sort.Slice(residents, func(i, j int) bool {
		if residents[i].worth != residents[j].worth {
			return residents[i].worth < residents[j].worth
		}
		return residents[i].key.less(residents[j].key)
	})
	return residents
}

func (k Key) less(other Key) bool {
	if k.Adapter != other.Adapter {
		return k.Adapter < other.Adapter
	}
	return k.Version < other.Version
}

// takeVictim removes and returns the least valuable slot that is worth less,
// one without pins if there is any.
func takeVictim(residents *[]valued, worth float64) *valued {
	chosen := -1
	for index, resident := range *residents {
		if resident.worth >= worth {
			break
		}
		if chosen < 0 {
			chosen = index
		}
		if !resident.slot.pinned() {
			chosen = index
			break
		}
	}
	if chosen < 0 {
		return nil
	}
	victim := (*residents)[chosen]
	*residents = append((*residents)[:chosen], (*residents)[chosen+1:]...)
	return &victim
}

// PlanPrefetch returns the keys without a slot that would fill the empty slots, in
// order of their demand, after planned of the empty ones are spoken for.
func (s *Slots) PlanPrefetch(planned int) []Key {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	most := s.limit - len(s.held) - planned
	if most <= 0 || !s.mayOrder() {
		return nil
	}
	now := time.Now()
	var known []valued
	for key, used := range s.uses {
		blocked := s.failures[key].until.After(now)
		if rate := used.decayed(now); rate >= popularRate && s.held[key] == nil && !blocked {
			known = append(known, valued{key: key, worth: rate})
		}
	}
	sort.Slice(known, func(i, j int) bool {
		if known[i].worth != known[j].worth {
			return known[i].worth > known[j].worth
		}
		return known[i].key.less(known[j].key)
	})
	var keys []Key
	for _, entry := range known[:min(most, len(known))] {
		keys = append(keys, entry.key)
	}
	return keys
}
