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
	MaxInFlight = mostWindow
	// orderLife is how long an order without an effect is believed to be under
	// way. A load takes 250 ms, longer when many run at once.
	orderLife = 3 * time.Second
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

// item is an adapter at the engine.
type item struct {
	version int64
	coming  bool
	// leaving says that it is to be unloaded or replaced: it is no longer
	// given out.
	leaving bool
}

// Cache holds the places of one engine. Its exported fields may change between
// calls; it is used by one goroutine at a time.
type Cache struct {
	// Capacity is how many adapters the engine holds at once.
	Capacity int
	items    map[Key]*item
	// ordered are the orders whose effect has not been reported.
	ordered map[Key]pending
	pins    map[Key]int
	uses    map[Key]*use
	// newest are the versions that new requests need.
	newest map[Key]int64
	window window
}

// pending is an order whose effect has not been reported.
type pending struct {
	order Order
	sent  time.Time
	until time.Time
	// doubtful says that the engine did not answer: it may carry the order out
	// at any time until it takes another one.
	doubtful bool
}

// Sync takes what the engine reports to hold.
func (s *Cache) Sync(report []Status, now time.Time) {
	s.prepare()
	items := make(map[Key]*item, len(report))
	for _, held := range report {
		known := items[held.Key]
		if known == nil {
			known = &item{}
			items[held.Key] = known
		}
		if held.Loading {
			known.coming = true
			continue
		}
		known.version = held.Version
	}
	s.items = items
	s.arrived(now)
	for key, p := range s.ordered {
		if s.settled(p.order) || !now.Before(p.until) {
			delete(s.ordered, key)
			if p.order.Load && !p.doubtful {
				s.loading(key, p.sent)
			}
			continue
		}
		if held := items[key]; held != nil {
			held.leaving = true
		}
	}
}

// settled reports whether an order has had its effect.
func (s *Cache) settled(order Order) bool {
	held := s.items[order.Key]
	if !order.Load {
		return held == nil
	}
	return held != nil && (held.coming || held.version >= max(order.Version, 1))
}

func (s *Cache) prepare() {
	if s.pins == nil {
		s.items, s.ordered = map[Key]*item{}, map[Key]pending{}
		s.pins, s.uses, s.newest = map[Key]int{}, map[Key]*use{}, map[Key]int64{}
	}
}

// Clear forgets what an engine held that has started anew.
func (s *Cache) Clear() {
	s.prepare()
	s.items, s.ordered = map[Key]*item{}, map[Key]pending{}
}

// RequireVersion notes that new requests need a version of an adapter.
func (s *Cache) RequireVersion(key Key, version int64) {
	s.prepare()
	s.newest[key] = max(s.newest[key], version)
}

// Ready returns the version that the engine holds of an adapter, if a request
// that needs at least the given one may use it now.
func (s *Cache) Ready(key Key, version int64) (held int64, ok bool) {
	known := s.items[key]
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
func (s *Cache) Has(key Key) bool { return s.items[key] != nil || s.ordered[key].order.Load }

// InFlight returns how many adapters are on their way. A load without an answer
// is none of them: either a report shows it, or the next order that the engine
// takes voids it.
func (s *Cache) InFlight() int { return len(s.flying()) }

// flying returns the adapters on their way.
func (s *Cache) flying() []Key {
	var keys []Key
	for key, held := range s.items {
		if held.coming && !s.ordered[key].order.Load {
			keys = append(keys, key)
		}
	}
	for key, p := range s.ordered {
		if p.order.Load && !p.doubtful {
			keys = append(keys, key)
		}
	}
	return keys
}

// taken returns how many places are taken at most.
func (s *Cache) taken() int {
	count := len(s.items)
	for key, p := range s.ordered {
		if p.order.Load && s.items[key] == nil {
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
	if s.InFlight() >= s.window.most() {
		return Order{}, false
	}
	freeing := s.freeing()
	for _, key := range wanted {
		if p, under := s.ordered[key]; under && !p.doubtful {
			continue
		}
		load := Order{Key: key, Load: true, Version: s.newest[key]}
		if held := s.items[key]; held != nil {
			if s.renewable(key, held) {
				return load, true
			}
			continue
		}
		if s.taken() < s.Capacity || s.ordered[key].doubtful && s.ordered[key].order.Load {
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
		if again, ok := s.doubt(); ok {
			return again, true
		}
	}
	return s.renewal()
}

// doubt returns a load that got no answer and that keeps a place from others
// until it is known what became of it.
func (s *Cache) doubt() (Order, bool) {
	for _, p := range s.ordered {
		if p.doubtful && p.order.Load {
			return p.order, true
		}
	}
	return Order{}, false
}

// freeing returns how many places are being freed.
func (s *Cache) freeing() int {
	count := 0
	for _, p := range s.ordered {
		if !p.order.Load && !p.doubtful {
			count++
		}
	}
	return count
}

// victim returns the adapter that is used least and that nobody needs now.
func (s *Cache) victim(wanted []Key, now time.Time) (Key, bool) {
	var chosen Key
	least, found := 0.0, false
	for key, held := range s.items {
		if held.coming || held.leaving || s.pins[key] > 0 || slices.Contains(wanted, key) {
			continue
		}
		worth := s.uses[key].at(now)
		if !found || worth < least || worth == least && key.compare(chosen) < 0 {
			chosen, least, found = key, worth, true
		}
	}
	return chosen, found
}

// renewable reports whether an adapter's version is old and may be replaced
// now. An engine takes no other order while a replacement waits for runs to
// end; so it is given only after the last one has.
func (s *Cache) renewable(key Key, held *item) bool {
	return !held.coming && held.version < s.newest[key] && s.pins[key] == 0
}

// Retiring reports whether an adapter waits for its last run to end before its
// version is replaced.
func (s *Cache) Retiring(key Key) bool {
	held := s.items[key]
	return held != nil && s.pins[key] > 0 && held.version < s.newest[key]
}

// renewal returns the order that replaces an adapter whose version is old.
func (s *Cache) renewal() (Order, bool) {
	var chosen Key
	found := false
	for key := range s.newest {
		held := s.items[key]
		p, under := s.ordered[key]
		if held == nil || under && !p.doubtful || !s.renewable(key, held) {
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
	s.ordered[order.Key] = pending{order: order, sent: now, until: now.Add(orderLife)}
	if held := s.items[order.Key]; held != nil {
		held.leaving = true
	}
}

// Unanswered notes that the engine did not answer an order. It may be given
// again: the engine takes only one of the two.
func (s *Cache) Unanswered(order Order) {
	if p, ok := s.ordered[order.Key]; ok {
		p.doubtful = true
		s.ordered[order.Key] = p
	}
}

// Accepted notes that the engine took an order, and so will refuse those that it
// had not answered before.
func (s *Cache) Accepted(order Order) {
	for key, p := range s.ordered {
		if p.doubtful && key != order.Key {
			s.Refused(p.order)
		}
	}
}

// Refused notes that the engine did not take an order.
func (s *Cache) Refused(order Order) {
	delete(s.ordered, order.Key)
	if held := s.items[order.Key]; held != nil {
		held.leaving = false
	}
}
