// Package lora decides which adapters an engine holds that loads them in
// order and reports what it holds.
//
// It answers skewed demand on few places: popular adapters stay, rare ones take
// turns in the places of those that are used least. An adapter in use is never
// unloaded. What the engine reports is the truth; orders that are under way
// count as carried out and as not, whichever is worse.
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
	// MaxInFlight is how many adapters may be on their way to one engine at
	// once; a bound of the users' engines.
	MaxInFlight = maxWindow
	// orderExpiry is how long an order without an effect is believed to be under
	// way. A load takes 250 ms, longer when many run at once.
	orderExpiry = 3 * time.Second
)

// Key names an adapter of a base model.
type Key struct{ Model, Adapter string }

// Status is an adapter at the engine, as the engine reports it.
type Status struct {
	Key     Key
	Version int64
	// Loading says that it is on its way.
	Loading bool
}

// Order is what the engine should do next.
type Order struct {
	Key  Key
	Load bool
	// Version is the one to load; 0 loads the newest.
	Version int64
}

// resident is an adapter at the engine.
type resident struct {
	version   int64
	isLoading bool
	// leaving says that it is to be unloaded or replaced: it is no longer
	// given out.
	leaving bool
}

// Cache holds the places of one engine. Its exported fields may change between
// calls; it is used by one goroutine at a time.
type Cache struct {
	// Capacity is how many adapters the engine holds at once.
	Capacity  int
	residents map[Key]*resident
	// unconfirmed are the orders whose effect has not been reported.
	unconfirmed map[Key]pendingOrder
	pins        map[Key]int
	popularity  map[Key]*popularity
	// newest are the versions that new requests need.
	newest map[Key]int64
	window window
}

// pendingOrder is an order whose effect has not been reported.
type pendingOrder struct {
	order   Order
	sent    time.Time
	expires time.Time
	// unanswered says that the engine did not answer: it may carry the order out
	// at any time until it takes another one.
	unanswered bool
}

// Sync takes what the engine reports to hold.
func (s *Cache) Sync(report []Status, now time.Time) {
	s.prepare()
	items := make(map[Key]*resident, len(report))
	for _, held := range report {
		known := items[held.Key]
		if known == nil {
			known = &resident{}
			items[held.Key] = known
		}
		if held.Loading {
			known.isLoading = true
			continue
		}
		known.version = held.Version
	}
	s.residents = items
	s.recordLoads(now)
	for key, p := range s.unconfirmed {
		if s.hasTakenEffect(p.order) || !now.Before(p.expires) {
			delete(s.unconfirmed, key)
			if p.order.Load && !p.unanswered {
				s.trackLoad(key, p.sent)
			}
			continue
		}
		if held := items[key]; held != nil {
			held.leaving = true
		}
	}
}

// hasTakenEffect reports whether an order has had its effect.
func (s *Cache) hasTakenEffect(order Order) bool {
	held := s.residents[order.Key]
	if !order.Load {
		return held == nil
	}
	return held != nil && (held.isLoading || held.version >= max(order.Version, 1))
}

func (s *Cache) prepare() {
	if s.pins == nil {
		s.residents, s.unconfirmed = map[Key]*resident{}, map[Key]pendingOrder{}
		s.pins, s.popularity, s.newest = map[Key]int{}, map[Key]*popularity{}, map[Key]int64{}
	}
}

// Clear forgets what an engine held that has started anew.
func (s *Cache) Clear() {
	s.prepare()
	s.residents, s.unconfirmed = map[Key]*resident{}, map[Key]pendingOrder{}
}

// RequireVersion notes that new requests need a version of an adapter.
func (s *Cache) RequireVersion(key Key, version int64) {
	s.prepare()
	s.newest[key] = max(s.newest[key], version)
}

// Ready returns the version that the engine holds of an adapter, if a request
// that needs at least the given one may use it now.
func (s *Cache) Ready(key Key, version int64) (held int64, ok bool) {
	known := s.residents[key]
	if known == nil || known.leaving || known.version == 0 || known.version < max(version, s.newest[key]) {
		return 0, false
	}
	return known.version, true
}

// Pin keeps an adapter while a request uses it; Unpin ends that.
func (s *Cache) Pin(key Key) {
	s.prepare()
	s.pins[key]++
}

// Unpin ends one Pin.
func (s *Cache) Unpin(key Key) {
	s.pins[key]--
	if s.pins[key] <= 0 {
		delete(s.pins, key)
	}
}

// Has reports whether the engine holds or awaits an adapter in any version.
func (s *Cache) Has(key Key) bool { return s.residents[key] != nil || s.unconfirmed[key].order.Load }

// InFlight returns how many adapters are on their way. A load without an answer
// is none of them: either a report shows it, or the next order that the engine
// takes voids it.
func (s *Cache) InFlight() int { return len(s.loadingKeys()) }

// loadingKeys returns the adapters on their way.
func (s *Cache) loadingKeys() []Key {
	var keys []Key
	for key, held := range s.residents {
		if held.isLoading && !s.unconfirmed[key].order.Load {
			keys = append(keys, key)
		}
	}
	for key, p := range s.unconfirmed {
		if p.order.Load && !p.unanswered {
			keys = append(keys, key)
		}
	}
	return keys
}

// occupied returns how many places are occupied at most.
func (s *Cache) occupied() int {
	count := len(s.residents)
	for key, p := range s.unconfirmed {
		if p.order.Load && s.residents[key] == nil {
			count++
		}
	}
	return count
}

// Next returns the order that the engine should get now. wanted are the
// adapters that requests wait for, the most urgent first, those that are there
// already included.
func (s *Cache) Next(wanted []Key, now time.Time) (Order, bool) {
	s.prepare()
	if s.InFlight() >= s.window.limit() {
		return Order{}, false
	}
	freeing := s.pendingUnloads()
	for _, key := range wanted {
		if p, under := s.unconfirmed[key]; under && !p.unanswered {
			continue
		}
		load := Order{Key: key, Load: true, Version: s.newest[key]}
		if held := s.residents[key]; held != nil {
			if s.replaceable(key, held) {
				return load, true
			}
			continue
		}
		if s.occupied() < s.Capacity || s.unconfirmed[key].unanswered && s.unconfirmed[key].order.Load {
			// A place is free, or counted for this very adapter.
			return load, true
		}
		if freeing > 0 {
			// A place is being freed for this one already.
			freeing--
			continue
		}
		if victim, ok := s.victim(wanted, now); ok {
			return Order{Key: victim}, true
		}
		if again, ok := s.unansweredLoad(); ok {
			return again, true
		}
	}
	return s.replacement()
}

// unansweredLoad returns a load that got no answer and that keeps a place from others
// until it is known what became of it.
func (s *Cache) unansweredLoad() (Order, bool) {
	for _, p := range s.unconfirmed {
		if p.unanswered && p.order.Load {
			return p.order, true
		}
	}
	return Order{}, false
}

// pendingUnloads returns how many places are being freed.
func (s *Cache) pendingUnloads() int {
	count := 0
	for _, p := range s.unconfirmed {
		if !p.order.Load && !p.unanswered {
			count++
		}
	}
	return count
}

// victim returns the adapter that is used least and that nobody needs now.
func (s *Cache) victim(wanted []Key, now time.Time) (Key, bool) {
	var chosen Key
	least, found := 0.0, false
	for key, held := range s.residents {
		if held.isLoading || held.leaving || s.pins[key] > 0 || slices.Contains(wanted, key) {
			continue
		}
		worth := s.popularity[key].weightAt(now)
		if !found || worth < least || worth == least && key.compare(chosen) < 0 {
			chosen, least, found = key, worth, true
		}
	}
	return chosen, found
}

// replaceable reports whether an adapter's version is old and may be replaced
// now. An engine takes no other order while a replacement waits for runs to
// end; so it is given only after the last one has.
func (s *Cache) replaceable(key Key, held *resident) bool {
	return !held.isLoading && held.version < s.newest[key] && s.pins[key] == 0
}

// Retiring reports whether an adapter waits for its last run to end before its
// version is replaced.
func (s *Cache) Retiring(key Key) bool {
	held := s.residents[key]
	return held != nil && s.pins[key] > 0 && held.version < s.newest[key]
}

// replacement returns the order that replaces an adapter whose version is old.
func (s *Cache) replacement() (Order, bool) {
	var chosen Key
	found := false
	for key := range s.newest {
		held := s.residents[key]
		p, under := s.unconfirmed[key]
		if held == nil || under && !p.unanswered || !s.replaceable(key, held) {
			continue
		}
		if !found || key.compare(chosen) < 0 {
			chosen, found = key, true
		}
	}
	return Order{Key: chosen, Load: true, Version: s.newest[chosen]}, found
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Model, other.Model), cmp.Compare(k.Adapter, other.Adapter))
}

// Sent notes that an order may have reached the engine.
func (s *Cache) Sent(order Order, now time.Time) {
	s.prepare()
	s.unconfirmed[order.Key] = pendingOrder{order: order, sent: now, expires: now.Add(orderExpiry)}
	if held := s.residents[order.Key]; held != nil {
		held.leaving = true
	}
}

// Unanswered notes that the engine did not answer an order. It may be given
// again: the engine takes only one of the two.
func (s *Cache) Unanswered(order Order) {
	if p, ok := s.unconfirmed[order.Key]; ok {
		p.unanswered = true
		s.unconfirmed[order.Key] = p
	}
}

// Accepted notes that the engine took an order, and so will refuse those that it
// had not answered before.
func (s *Cache) Accepted(order Order) {
	for key, p := range s.unconfirmed {
		if p.unanswered && key != order.Key {
			s.Refused(p.order)
		}
	}
}

// Refused notes that the engine did not take an order.
func (s *Cache) Refused(order Order) {
	delete(s.unconfirmed, order.Key)
	if held := s.residents[order.Key]; held != nil {
		held.leaving = false
	}
}
