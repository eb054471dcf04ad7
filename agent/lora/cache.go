// Package lora plans which LoRA adapters one engine holds. The engine loads and unloads
// adapters one order after another and reports which adapters it holds.
//
// Demand is skewed and adapter slots are few, so the package works like a cache: popular
// adapters stay, and an adapter that requests wait for replaces the least popular one. An
// adapter in use is never unloaded. The engine's report is authoritative. An order whose
// effect has not been reported counts as executed or as not executed, whichever occupies more
// adapter slots.
package lora

import (
	"cmp"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// MaxInFlight is how many adapters an engine can load at once; the engine sets this limit.
	MaxInFlight = maxWindow
	// orderExpiry is how long an order counts as pending while no report shows its effect. A
	// load takes 250 ms, and longer when many loads run at once.
	orderExpiry = 3 * time.Second
)

// Key identifies an adapter of a base model.
type Key struct{ Model, Adapter string }

// Status is the state of an adapter at the engine, as the engine reports it.
type Status struct {
	Key Key
	// Version is the adapter version.
	Version int64
	// Loading is set while the engine loads the adapter.
	Loading bool
}

// Order tells the engine to load or unload an adapter.
type Order struct {
	Key Key
	// Load is false for an unload.
	Load bool
	// Version is the version to load; 0 loads the newest.
	Version int64
}

// resident is an adapter that the engine holds or loads.
type resident struct {
	// version is 0 until the engine reports a loaded version.
	version   int64
	isLoading bool
	// blocked is set while an order to unload or replace the adapter is pending: no further
	// request may use it.
	blocked bool
}

// Cache plans the loads and unloads of one engine's adapters. The keeper passes it the
// engine's reports and sends the engine the orders that Next returns. Exported fields may
// change between calls. A Cache is not safe for concurrent use.
type Cache struct {
	// Capacity is how many adapters the engine holds at once.
	Capacity  int
	residents map[Key]*resident
	// unconfirmed holds the orders whose effect has not been reported.
	unconfirmed map[Key]pendingOrder
	// pins counts the running requests of each adapter.
	pins       map[Key]int
	popularity map[Key]*popularity
	// minVersions holds the lowest version of each adapter that new requests accept.
	minVersions map[Key]int64
	window      window
}

// pendingOrder is an order whose effect has not been reported.
type pendingOrder struct {
	order Order
	sent  time.Time
	// expires is when the order no longer counts as pending.
	expires time.Time
	// unanswered is set when the engine did not answer the order: the engine may still execute
	// the order at any time until it accepts another one.
	unanswered bool
}

// Sync applies a report of the adapters that the engine holds.
func (c *Cache) Sync(report []Status, now time.Time) {
	c.prepare()
	residents := make(map[Key]*resident, len(report))
	for _, status := range report {
		adapter := residents[status.Key]
		if adapter == nil {
			adapter = &resident{}
			residents[status.Key] = adapter
		}
		if status.Loading {
			adapter.isLoading = true
			continue
		}
		adapter.version = status.Version
	}
	c.residents = residents
	c.recordLoads(now)
	for key, p := range c.unconfirmed {
		if c.hasTakenEffect(p.order) || !now.Before(p.expires) {
			delete(c.unconfirmed, key)
			if p.order.Load && !p.unanswered {
				c.trackLoad(key, p.sent)
			}
			continue
		}
		if held := residents[key]; held != nil {
			held.blocked = true
		}
	}
}

// hasTakenEffect reports whether the last report shows the effect of an order.
func (c *Cache) hasTakenEffect(order Order) bool {
	held := c.residents[order.Key]
	if !order.Load {
		return held == nil
	}
	return held != nil && (held.isLoading || held.version >= max(order.Version, 1))
}

func (c *Cache) prepare() {
	if c.pins == nil {
		c.residents, c.unconfirmed = map[Key]*resident{}, map[Key]pendingOrder{}
		c.pins, c.popularity, c.minVersions = map[Key]int{}, map[Key]*popularity{}, map[Key]int64{}
	}
}

// Clear removes all adapters and pending orders after the engine was restarted or lost.
func (c *Cache) Clear() {
	c.prepare()
	c.residents, c.unconfirmed = map[Key]*resident{}, map[Key]pendingOrder{}
}

// Skip excludes a time without reports that has just ended: the loads under way meanwhile are
// not measured, and the pending orders expire later.
func (c *Cache) Skip(silence time.Duration, now time.Time) {
	c.window.forgetLoads()
	for key, p := range c.unconfirmed {
		p.sent, p.expires = now, p.expires.Add(silence)
		c.unconfirmed[key] = p
	}
}

// RequireVersion raises the lowest version of an adapter that new requests accept.
func (c *Cache) RequireVersion(key Key, version int64) {
	c.prepare()
	c.minVersions[key] = max(c.minVersions[key], version)
}

// Ready returns the version of an adapter that the engine holds, if a request that needs at
// least the given version may use it now.
func (c *Cache) Ready(key Key, version int64) (loaded int64, ok bool) {
	adapter := c.residents[key]
	if adapter == nil || adapter.blocked || adapter.version == 0 || adapter.version < max(version, c.minVersions[key]) {
		return 0, false
	}
	return adapter.version, true
}

// Pin protects an adapter from being unloaded while a request uses it. Each Pin is reverted by
// one Unpin.
func (c *Cache) Pin(key Key) {
	c.prepare()
	c.pins[key]++
}

// Unpin reverts one Pin.
func (c *Cache) Unpin(key Key) {
	c.pins[key]--
	if c.pins[key] <= 0 {
		delete(c.pins, key)
	}
}

// Has reports whether the engine holds or loads an adapter in any version.
func (c *Cache) Has(key Key) bool { return c.residents[key] != nil || c.unconfirmed[key].order.Load }

// LoadsInFlight returns how many adapters are being loaded. An unanswered load does not count:
// either a report shows it, or the next order that the engine accepts makes it void.
func (c *Cache) LoadsInFlight() int { return len(c.loadingKeys()) }

// loadingKeys returns the adapters that are being loaded.
func (c *Cache) loadingKeys() []Key {
	var keys []Key
	for key, held := range c.residents {
		if held.isLoading && !c.unconfirmed[key].order.Load {
			keys = append(keys, key)
		}
	}
	for key, p := range c.unconfirmed {
		if p.order.Load && !p.unanswered {
			keys = append(keys, key)
		}
	}
	return keys
}

// occupied returns the highest number of adapter slots that may be in use, counting every
// pending load.
func (c *Cache) occupied() int {
	count := len(c.residents)
	for key, p := range c.unconfirmed {
		if p.order.Load && c.residents[key] == nil {
			count++
		}
	}
	return count
}

// Next returns the next order for the engine, if any. wanted lists the adapters that requests
// wait for, the most urgent first, including adapters that the engine already holds.
func (c *Cache) Next(wanted []Key, now time.Time) (Order, bool) {
	c.prepare()
	if c.LoadsInFlight() >= c.window.limit() {
		return Order{}, false
	}
	unloading := c.pendingUnloads()
	for _, key := range wanted {
		if p, sent := c.unconfirmed[key]; sent && !p.unanswered {
			continue
		}
		load := Order{Key: key, Load: true, Version: c.minVersions[key]}
		if held := c.residents[key]; held != nil {
			if c.replaceable(key, held) {
				return load, true
			}
			continue
		}
		if c.occupied() < c.Capacity || c.unconfirmed[key].unanswered && c.unconfirmed[key].order.Load {
			// A slot is free, or reserved for this adapter by an unanswered load.
			return load, true
		}
		if unloading > 0 {
			// A pending unload frees a slot for this adapter.
			unloading--
			continue
		}
		if victim, ok := c.victim(wanted, now); ok {
			return Order{Key: victim}, true
		}
		if again, ok := c.unansweredLoad(); ok {
			return again, true
		}
	}
	return c.replacement()
}

// unansweredLoad returns a load that the engine did not answer. The load reserves a slot until
// its outcome is known; sending it again settles the outcome.
func (c *Cache) unansweredLoad() (Order, bool) {
	for _, p := range c.unconfirmed {
		if p.unanswered && p.order.Load {
			return p.order, true
		}
	}
	return Order{}, false
}

// pendingUnloads returns how many slots are being freed.
func (c *Cache) pendingUnloads() int {
	count := 0
	for _, p := range c.unconfirmed {
		if !p.order.Load && !p.unanswered {
			count++
		}
	}
	return count
}

// victim returns the least popular adapter that is neither in use nor wanted.
func (c *Cache) victim(wanted []Key, now time.Time) (Key, bool) {
	var chosen Key
	lowest, found := 0.0, false
	for key, held := range c.residents {
		if held.isLoading || held.blocked || c.pins[key] > 0 || slices.Contains(wanted, key) {
			continue
		}
		weight := c.popularity[key].weightAt(now)
		if !found || weight < lowest || weight == lowest && key.compare(chosen) < 0 {
			chosen, lowest, found = key, weight, true
		}
	}
	return chosen, found
}

// replaceable reports whether an adapter is outdated and may be replaced now. While a
// replacement waits for running requests to end, the engine accepts no other order, so the
// replacement is ordered only after the last of these requests has ended.
func (c *Cache) replaceable(key Key, held *resident) bool {
	return !held.isLoading && held.version < c.minVersions[key] && c.pins[key] == 0
}

// Retiring reports whether an outdated adapter waits for its last running request to end
// before it is replaced.
func (c *Cache) Retiring(key Key) bool {
	held := c.residents[key]
	return held != nil && c.pins[key] > 0 && held.version < c.minVersions[key]
}

// replacement returns an order that replaces an outdated adapter.
func (c *Cache) replacement() (Order, bool) {
	var chosen Key
	found := false
	for key := range c.minVersions {
		held := c.residents[key]
		p, sent := c.unconfirmed[key]
		if held == nil || sent && !p.unanswered || !c.replaceable(key, held) {
			continue
		}
		if !found || key.compare(chosen) < 0 {
			chosen, found = key, true
		}
	}
	return Order{Key: chosen, Load: true, Version: c.minVersions[chosen]}, found
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Model, other.Model), cmp.Compare(k.Adapter, other.Adapter))
}

// Sent records that an order may have reached the engine.
func (c *Cache) Sent(order Order, now time.Time) {
	c.prepare()
	c.unconfirmed[order.Key] = pendingOrder{order: order, sent: now, expires: now.Add(orderExpiry)}
	if held := c.residents[order.Key]; held != nil {
		held.blocked = true
	}
}

// Unanswered records that the engine did not answer an order. The order may be sent again: the
// engine executes only one of the two.
func (c *Cache) Unanswered(order Order) {
	if p, ok := c.unconfirmed[order.Key]; ok {
		p.unanswered = true
		c.unconfirmed[order.Key] = p
	}
}

// Accepted records that the engine accepted an order. The engine then refuses all earlier
// orders that it left unanswered.
func (c *Cache) Accepted(order Order) {
	for key, p := range c.unconfirmed {
		if p.unanswered && key != order.Key {
			c.Refused(p.order)
		}
	}
}

// Refused records that the engine did not execute an order.
func (c *Cache) Refused(order Order) {
	delete(c.unconfirmed, order.Key)
	if held := c.residents[order.Key]; held != nil {
		held.blocked = false
	}
}
