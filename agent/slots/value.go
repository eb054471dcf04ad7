package slots

import (
	"math"
	"sort"
	"time"
)

const (
	// halfLife is the time in which the weight of a past request halves.
	halfLife = time.Minute
	// horizon is the period ahead whose expected requests count towards a key's value.
	horizon = 30 * time.Second
	// waitingWeight is the number of expected requests that a waiting request of urgency 1
	// counts as.
	waitingWeight = 10
	// minTrackedRate is the rate, in requests per second, below which a key's rate is dropped
	// when the limit maxTracked is reached.
	minTrackedRate = 1e-5
	// maxDraining bounds the slots that drain at a time. Loads are permitted too rarely to fill
	// more drained slots soon.
	maxDraining = 1
	// prefetchRate is the rate, in requests per second, from which a key is loaded into an
	// empty slot before a request waits for it.
	prefetchRate = 0.02
	// maxTracked bounds the number of keys whose request rate is tracked.
	maxTracked = 20_000
)

// requestRate is the exponentially decayed rate of the requests for one key.
type requestRate struct {
	// rate is in requests per second, as of last.
	rate float64
	// last is when the last request arrived.
	last time.Time
}

// KeyStats describes the requests for a key. The key's value is computed from it.
type KeyStats struct {
	// Rate is the exponentially decayed rate of requests, per second.
	Rate float64
	// Last is when the last request arrived; zero means never.
	Last time.Time
	// Urgency is the sum of the urgency of the requests that wait now.
	Urgency float64
}

// ByExpectedDemand is the default of Slots.Value: the number of requests expected within the
// horizon, plus the weighted urgency of the waiting ones.
func ByExpectedDemand(k KeyStats) float64 {
	return k.Rate*horizon.Seconds() + k.Urgency*waitingWeight
}

// ByRecency values keys by their last use, which results in least-recently-used eviction.
func ByRecency(k KeyStats) float64 { return float64(k.Last.UnixNano()) }

// Touch counts one request for a key.
func (s *Slots) Touch(key Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.rates == nil {
		s.rates = map[Key]*requestRate{}
	}
	entry := s.rates[key]
	if entry == nil {
		s.trimRates()
		entry = &requestRate{}
		s.rates[key] = entry
	}
	now := time.Now()
	entry.rate = entry.rateAt(now) + math.Ln2/halfLife.Seconds()
	entry.last = now
}

// rateAt returns the rate decayed to a time.
func (u *requestRate) rateAt(now time.Time) float64 {
	return u.rate * math.Exp2(-float64(now.Sub(u.last))/float64(halfLife))
}

// trimRates makes room for one more key. It drops keys below minTrackedRate first and then
// arbitrary ones.
func (s *Slots) trimRates() {
	if len(s.rates) < maxTracked {
		return
	}
	now := time.Now()
	for key, entry := range s.rates {
		if entry.rateAt(now) < minTrackedRate {
			delete(s.rates, key)
		}
	}
	for key := range s.rates {
		if len(s.rates) < maxTracked {
			return
		}
		delete(s.rates, key)
	}
}

// valueOf returns the value of a key, given the urgency of its waiting requests.
func (s *Slots) valueOf(key Key, urgency float64, now time.Time) float64 {
	input := KeyStats{Urgency: urgency}
	if entry := s.rates[key]; entry != nil {
		input.Rate = entry.rateAt(now)
		input.Last = entry.last
	}
	if s.Value == nil {
		return ByExpectedDemand(input)
	}
	return s.Value(input)
}

// WaitingKey is a key that requests wait for.
type WaitingKey struct {
	Key Key
	// Urgency is the sum of the urgency of these requests.
	Urgency float64
}

// valuedKey is a key with its value, and its slot if it has one.
type valuedKey struct {
	key   Key
	slot  *slot
	value float64
	// wasDraining is set if the slot was draining before the current plan.
	wasDraining bool
}

// Plan returns the wanted keys that can be loaded at once, the most valuable first. urgency
// holds the urgency of waiting requests for keys that have a slot. If only a pinned slot could
// serve a key, Plan marks that slot as draining.
func (s *Slots) Plan(wanted []WaitingKey, urgency map[Key]float64) []Key {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.mayOrder() {
		return nil
	}
	now := time.Now()
	candidates := s.loadCandidates(wanted, now)
	residents := s.residents(urgency, now)
	empty := s.capacity - len(s.occupied)
	draining := 0
	var planned []Key
	for _, candidate := range candidates {
		if empty > 0 {
			empty--
			planned = append(planned, candidate.key)
			continue
		}
		victim := takeVictim(&residents, candidate.value)
		if victim == nil || (victim.slot.isPinned() && draining >= maxDraining) {
			break
		}
		if victim.slot.isPinned() {
			victim.slot.draining = true
			draining++
			continue
		}
		// A drained slot accepts no new pin before the load for which it was drained.
		if victim.wasDraining && draining < maxDraining {
			victim.slot.draining = true
			draining++
		}
		planned = append(planned, candidate.key)
	}
	return planned
}

// loadCandidates returns the wanted keys that have no slot and do not back off, the most
// valuable first.
func (s *Slots) loadCandidates(wanted []WaitingKey, now time.Time) []valuedKey {
	var candidates []valuedKey
	for _, waiting := range wanted {
		blocked := s.failures[waiting.Key].until.After(now)
		if s.occupied[waiting.Key] == nil && !blocked {
			candidates = append(candidates, valuedKey{key: waiting.Key, value: s.valueOf(waiting.Key, waiting.Urgency, now)})
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].value > candidates[j].value })
	return candidates
}

// residents returns the resident slots, the least valuable first, and ends their draining.
func (s *Slots) residents(urgency map[Key]float64, now time.Time) []valuedKey {
	var residents []valuedKey
	for key, held := range s.occupied {
		if held.state == stateResident {
			residents = append(residents, valuedKey{key: key, slot: held, value: s.valueOf(key, urgency[key], now), wasDraining: held.draining})
		}
		held.draining = false
	}
	sort.Slice(residents, func(i, j int) bool {
		if residents[i].value != residents[j].value {
			return residents[i].value < residents[j].value
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

// takeVictim removes and returns the least valuable of the slots whose value is lower than the
// given one, an unpinned slot if there is any.
func takeVictim(residents *[]valuedKey, value float64) *valuedKey {
	chosen := -1
	for index, resident := range *residents {
		if resident.value >= value {
			break
		}
		if chosen < 0 {
			chosen = index
		}
		if !resident.slot.isPinned() {
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

// PlanPrefetch returns the keys without a slot that are popular enough to fill the empty
// slots, the most popular first. planned is the number of empty slots reserved for other keys.
func (s *Slots) PlanPrefetch(planned int) []Key {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	free := s.capacity - len(s.occupied) - planned
	if free <= 0 || !s.mayOrder() {
		return nil
	}
	now := time.Now()
	var popular []valuedKey
	for key, used := range s.rates {
		blocked := s.failures[key].until.After(now)
		if rate := used.rateAt(now); rate >= prefetchRate && s.occupied[key] == nil && !blocked {
			popular = append(popular, valuedKey{key: key, value: rate})
		}
	}
	sort.Slice(popular, func(i, j int) bool {
		if popular[i].value != popular[j].value {
			return popular[i].value > popular[j].value
		}
		return popular[i].key.less(popular[j].key)
	})
	var keys []Key
	for _, entry := range popular[:min(free, len(popular))] {
		keys = append(keys, entry.key)
	}
	return keys
}
