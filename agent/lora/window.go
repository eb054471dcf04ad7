package lora

import (
	"slices"
	"time"
)

const (
	// maxWindow and leastWindow bound how many adapters are on their way to
	// one engine.
	maxWindow = 4
	minWindow = 1
	// minStoreLoad is the time below which an adapter came from the engine's own
	// memory, in a tenth of a load from the weight store.
	minStoreLoad = 120 * time.Millisecond
	// overloadedLoad is the time above which the weight store is taken to be
	// overloaded: one and a half times a load at full speed, 250 ms.
	overloadedLoad = 375 * time.Millisecond
	// typicalLoad is a load at full speed, from the users' sheets.
	typicalLoad = 250 * time.Millisecond
	// meanLoadDivisor is the part, as a divisor, that the last load has in the mean:
	// the last four loads of a full window count for most of it.
	meanLoadDivisor = 4
	// minRemainingDivisor is the part of a load, as a divisor, that is always taken to be
	// left: reports come once in a tenth of a load, and some loads take longer.
	minRemainingDivisor = 4
	// windowDecrease is what the window shrinks to after a slow load, and
	// windowStep what it grows by in as many loads as it allows.
	windowDecrease = 0.7
	windowIncrease = 0.5
)

// window bounds the loads on their way by how long they take. It answers many
// engines that fetch rare adapters at once: the store serves all of them in the
// same time, however many, so that more of them only wait for longer, and no
// longer in the order of their urgency.
type window struct {
	size float64
	// started holds when the loads under way were ordered.
	started map[Key]time.Time
	// meanLoad is the mean time of the last loads from the weight store.
	meanLoad time.Duration
}

func (w *window) limit() int {
	if w.size == 0 {
		return maxWindow / 2
	}
	return int(w.size)
}

// trackLoad notes that a load has begun.
func (s *Cache) trackLoad(key Key, sent time.Time) {
	if s.window.started == nil {
		s.window.started = map[Key]time.Time{}
	}
	s.window.started[key] = sent
}

// recordLoads measures the loads that have ended.
func (s *Cache) recordLoads(now time.Time) {
	for key, sent := range s.window.started {
		held := s.residents[key]
		if held != nil && held.isLoading {
			continue
		}
		delete(s.window.started, key)
		if held != nil {
			s.window.record(now.Sub(sent))
		}
	}
}

// EstimateWait estimates how long an adapter takes to come that others are wanted
// before: as many at a time as the window allows.
func (s *Cache) EstimateWait(key Key, before []Key, now time.Time) time.Duration {
	took := max(s.window.meanLoad, typicalLoad)
	if s.Has(key) {
		return s.remaining(key, took, now)
	}
	lanes := make([]time.Duration, max(s.window.limit(), 1))
	for _, flying := range slices.SortedFunc(slices.Values(s.loadingKeys()), Key.compare) {
		lanes[earliest(lanes)] += s.remaining(flying, took, now)
	}
	seen := map[Key]bool{key: true}
	for _, other := range before {
		if seen[other] || s.Has(other) {
			continue
		}
		seen[other] = true
		lanes[earliest(lanes)] += took
	}
	return lanes[earliest(lanes)] + took
}

// remaining estimates how long a load under way still takes.
func (s *Cache) remaining(key Key, took time.Duration, now time.Time) time.Duration {
	began, known := s.window.started[key]
	if !known {
		return took
	}
	return max(took-now.Sub(began), took/minRemainingDivisor)
}

// earliest returns the lane that is free first.
func earliest(lanes []time.Duration) int {
	at := 0
	for i, lane := range lanes {
		if lane < lanes[at] {
			at = i
		}
	}
	return at
}

func (w *window) record(took time.Duration) {
	if took >= minStoreLoad {
		w.meanLoad += (took - w.meanLoad) / meanLoadDivisor
	}
	if w.size == 0 {
		w.size = maxWindow / 2
	}
	switch {
	case took < minStoreLoad:
	case took > overloadedLoad:
		w.size = max(w.size*windowDecrease, minWindow)
	default:
		w.size = min(w.size+windowIncrease/w.size, maxWindow)
	}
}
