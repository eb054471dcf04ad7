package lora

import (
	"slices"
	"time"
)

const (
	// mostWindow and leastWindow bound how many adapters are on their way to
	// one engine.
	mostWindow  = 4
	leastWindow = 1
	// quickLoad is the time below which an adapter came from the engine's own
	// memory, in a tenth of a load from the weight store.
	quickLoad = 120 * time.Millisecond
	// slowLoad is the time above which the weight store is taken to be
	// overloaded: one and a half times a load at full speed, 250 ms.
	slowLoad = 375 * time.Millisecond
	// usualLoad is a load at full speed, from the users' sheets.
	usualLoad = 250 * time.Millisecond
	// tookWeight is the part, as a divisor, that the last load has in the mean:
	// the last four loads of a full window count for most of it.
	tookWeight = 4
	// leastRest is the part of a load, as a divisor, that is always taken to be
	// left: reports come once in a tenth of a load, and some loads take longer.
	leastRest = 4
	// windowCut is what the window shrinks to after a slow load, and
	// windowStep what it grows by in as many loads as it allows.
	windowCut  = 0.7
	windowStep = 0.5
)

// window bounds the loads on their way by how long they take. It answers many
// engines that fetch rare adapters at once: the store serves all of them in the
// same time, however many, so that more of them only wait for longer, and no
// longer in the order of their urgency.
type window struct {
	size float64
	// began holds when the loads under way were ordered.
	began map[Key]time.Time
	// took is the mean time of the last loads from the weight store.
	took time.Duration
}

func (w *window) most() int {
	if w.size == 0 {
		return mostWindow / 2
	}
	return int(w.size)
}

// loading notes that a load has begun.
func (s *Cache) loading(key Key, sent time.Time) {
	if s.window.began == nil {
		s.window.began = map[Key]time.Time{}
	}
	s.window.began[key] = sent
}

// arrived measures the loads that have ended.
func (s *Cache) arrived(now time.Time) {
	for key, sent := range s.window.began {
		held := s.items[key]
		if held != nil && held.coming {
			continue
		}
		delete(s.window.began, key)
		if held != nil {
			s.window.note(now.Sub(sent))
		}
	}
}

// EstimateWait estimates how long an adapter takes to come that others are wanted
// before: as many at a time as the window allows.
func (s *Cache) EstimateWait(key Key, before []Key, now time.Time) time.Duration {
	took := max(s.window.took, usualLoad)
	if s.Has(key) {
		return s.rest(key, took, now)
	}
	lanes := make([]time.Duration, max(s.window.most(), 1))
	for _, flying := range slices.SortedFunc(slices.Values(s.flying()), Key.compare) {
		lanes[soonest(lanes)] += s.rest(flying, took, now)
	}
	seen := map[Key]bool{key: true}
	for _, other := range before {
		if seen[other] || s.Has(other) {
			continue
		}
		seen[other] = true
		lanes[soonest(lanes)] += took
	}
	return lanes[soonest(lanes)] + took
}

// rest estimates how long a load under way still takes.
func (s *Cache) rest(key Key, took time.Duration, now time.Time) time.Duration {
	began, known := s.window.began[key]
	if !known {
		return took
	}
	return max(took-now.Sub(began), took/leastRest)
}

// soonest returns the lane that is free first.
func soonest(lanes []time.Duration) int {
	at := 0
	for i, lane := range lanes {
		if lane < lanes[at] {
			at = i
		}
	}
	return at
}

func (w *window) note(took time.Duration) {
	if took >= quickLoad {
		w.took += (took - w.took) / tookWeight
	}
	if w.size == 0 {
		w.size = mostWindow / 2
	}
	switch {
	case took < quickLoad:
	case took > slowLoad:
		w.size = max(w.size*windowCut, leastWindow)
	default:
		w.size = min(w.size+windowStep/w.size, mostWindow)
	}
}
