package lora

import (
	"slices"
	"time"
)

const (
	// maxWindow and minWindow bound how many adapters one engine loads at once; maxWindow is
	// the engine's own limit.
	maxWindow = 4
	minWindow = 1
	// minStoreLoad is the duration below which a load was served from the engine's own memory,
	// which takes a tenth of the time of a load from the weight store.
	minStoreLoad = 120 * time.Millisecond
	// overloadedLoad is the duration of a load above which the weight store counts as
	// overloaded: one and a half times a load at full speed, 250 ms.
	overloadedLoad = 375 * time.Millisecond
	// typicalLoad is the duration of a load at full speed, from the engines' data sheets.
	typicalLoad = 250 * time.Millisecond
	// meanLoadDivisor is the inverse weight of the last load in the moving average, so that
	// the last four loads, a full window, account for most of it.
	meanLoadDivisor = 4
	// minRemainingDivisor is the inverse of the part of a load that is always assumed to
	// remain: reports arrive once in a tenth of a load, and some loads take longer than the
	// average.
	minRemainingDivisor = 4
	// windowDecrease is the factor by which a slow load shrinks the window. windowIncrease is
	// the growth after as many loads at full speed as the window allows at once.
	windowDecrease = 0.7
	windowIncrease = 0.5
)

// window limits the concurrent loads of one engine by additive increase and multiplicative
// decrease, driven by their duration. Many engines may fetch rare adapters at once. The weight
// store then shares its throughput among all loads, so that more concurrent loads only take
// longer and no longer end in the order of their urgency.
type window struct {
	// size is 0 until the first load has ended; until then limit returns a default.
	size float64
	// started holds when each load in progress was ordered.
	started map[Key]time.Time
	// meanLoad is the moving average duration of loads from the weight store.
	meanLoad time.Duration
}

// limit returns how many loads may run at once.
func (w *window) limit() int {
	if w.size == 0 {
		return maxWindow / 2
	}
	return int(w.size)
}

// forgetLoads ends the measurement of the loads in progress.
func (w *window) forgetLoads() { clear(w.started) }

// trackLoad records the start of a load.
func (c *Cache) trackLoad(key Key, sent time.Time) {
	if c.window.started == nil {
		c.window.started = map[Key]time.Time{}
	}
	c.window.started[key] = sent
}

// recordLoads records the duration of the loads that have ended.
func (c *Cache) recordLoads(now time.Time) {
	for key, sent := range c.window.started {
		held := c.residents[key]
		if held != nil && held.isLoading {
			continue
		}
		delete(c.window.started, key)
		if held != nil {
			c.window.record(now.Sub(sent))
		}
	}
}

// EstimateWait estimates how long it takes until an adapter is loaded. before lists the
// adapters that are loaded first. As many loads run at a time as the window allows; each of
// these lanes takes one load after another.
func (c *Cache) EstimateWait(key Key, before []Key, now time.Time) time.Duration {
	loadTime := max(c.window.meanLoad, typicalLoad)
	if c.Has(key) {
		return c.remaining(key, loadTime, now)
	}
	lanes := make([]time.Duration, max(c.window.limit(), 1))
	for _, loading := range slices.SortedFunc(slices.Values(c.loadingKeys()), Key.compare) {
		lanes[earliest(lanes)] += c.remaining(loading, loadTime, now)
	}
	seen := map[Key]bool{key: true}
	for _, other := range before {
		if seen[other] || c.Has(other) {
			continue
		}
		seen[other] = true
		lanes[earliest(lanes)] += loadTime
	}
	return lanes[earliest(lanes)] + loadTime
}

// remaining estimates how long a load in progress still takes.
func (c *Cache) remaining(key Key, loadTime time.Duration, now time.Time) time.Duration {
	began, known := c.window.started[key]
	if !known {
		return loadTime
	}
	return max(loadTime-now.Sub(began), loadTime/minRemainingDivisor)
}

// earliest returns the index of the lane that is free first.
func earliest(lanes []time.Duration) int {
	at := 0
	for i, lane := range lanes {
		if lane < lanes[at] {
			at = i
		}
	}
	return at
}

// record applies the duration of one load.
func (w *window) record(loadTime time.Duration) {
	if loadTime >= minStoreLoad {
		w.meanLoad += (loadTime - w.meanLoad) / meanLoadDivisor
	}
	if w.size == 0 {
		w.size = maxWindow / 2
	}
	switch {
	case loadTime < minStoreLoad:
	case loadTime > overloadedLoad:
		w.size = max(w.size*windowDecrease, minWindow)
	default:
		w.size = min(w.size+windowIncrease/w.size, maxWindow)
	}
}
