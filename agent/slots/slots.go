// Package slots is the authority on the adapter slots of the engine beside
// the agent: what is resident, what is pinned, what is loaded next and what
// goes for it. Nothing else orders the engine to load or unload.
package slots

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

// Key identifies an adapter version; two versions of one adapter are two keys.
type Key struct{ Adapter, Version string }

// state is a slot's place in its cycle. A slot that is not in Slots.held is
// empty.
type state int

const (
	stateLoading state = iota
	stateResident
	stateUnloading
)

// slot is one taken slot.
type slot struct {
	key   Key
	state state
	// pins counts the runs that the engine has not ended. A pinned slot is
	// never unloaded.
	pins int
	// foreign says that the engine may run requests of an earlier agent on
	// it, which pins it too.
	foreign bool
	// draining says that no new pin is given, so that a more valuable
	// newcomer gets the slot when the pins are gone.
	draining bool
	// distrusted says that the engine runs something else under the key; it
	// gets no new pin and is unloaded when the pins are gone.
	distrusted bool
}

func (s *slot) pinned() bool { return s.pins > 0 || s.foreign }

// Slots manages the slots of one engine. Its exported fields are set before
// use; it is safe for concurrent use.
type Slots struct {
	// Host is the agent's.
	Host host.Host
	// Load and Unload order the engine and wait for it.
	Load   func(ctx context.Context, key Key, fence uint64) error
	Unload func(ctx context.Context, key Key, fence uint64) error
	// Allowed reports whether the agent may give orders now; nil allows them.
	Allowed func() bool
	// Value values an adapter version; nil means Expected. A slot is taken
	// only from one that is worth less than the newcomer.
	Value func(Usage) float64
	// Changed is called after each change of what is resident; it does not
	// block.
	Changed func()

	mutex sync.Mutex
	// fence goes with each order; no order is given while it is 0.
	fence uint64
	// limit is the number of slots, 0 without an engine.
	limit int
	// epoch counts the engine's starts; orders of an earlier one are void.
	epoch uint64
	// changes counts the changes of held.
	changes  uint64
	stop     context.CancelFunc
	context  context.Context
	held     map[Key]*slot
	uses     map[Key]*use
	failures map[Key]failure
}

// Open starts with an engine that has the given number of slots and holds
// what an earlier agent loaded: running is true where requests may run.
func (s *Slots) Open(limit int, running map[Key]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reset(limit)
	for key, busy := range running {
		s.held[key] = &slot{key: key, state: stateResident, foreign: busy}
	}
}

// Close forgets an engine that is lost or has started anew. What is known of
// the demand stays.
func (s *Slots) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reset(0)
}

func (s *Slots) reset(limit int) {
	if s.stop != nil {
		s.stop()
	}
	s.epoch++
	s.changes++
	s.limit = limit
	s.held = map[Key]*slot{}
	s.context, s.stop = context.WithCancel(context.Background())
}

// SetFence sets the fencing number of later orders.
func (s *Slots) SetFence(fence uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fence = fence
}

// Ready reports whether Pin would succeed.
func (s *Slots) Ready(key Key) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.held[key]
	return held.usable()
}

func (s *slot) usable() bool {
	return s != nil && s.state == stateResident && !s.draining && !s.distrusted
}

// Pin keeps a resident key in its slot until release is called, which is when
// the engine has ended the run. It fails when the key is not resident.
func (s *Slots) Pin(key Key) (release func(), ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.held[key]
	if !held.usable() {
		return nil, false
	}
	held.pins++
	var once sync.Once
	return func() { once.Do(func() { s.unpin(held) }) }, true
}

func (s *Slots) unpin(held *slot) {
	s.mutex.Lock()
	held.pins--
	s.dropDistrusted(held)
	s.mutex.Unlock()
	s.Changed()
}

// HasSlot reports whether a key has a slot, in whatever state.
func (s *Slots) HasSlot(key Key) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.held[key] != nil
}

// Residents returns what is resident or arriving, by adapter and version.
func (s *Slots) Residents() []roster.ResidentAdapter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := []roster.ResidentAdapter{}
	for key, held := range s.held {
		if held.state == stateUnloading {
			continue
		}
		list = append(list, roster.ResidentAdapter{Adapter: key.Adapter, Version: key.Version, Loading: held.state == stateLoading})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Adapter != list[j].Adapter {
			return list[i].Adapter < list[j].Adapter
		}
		return list[i].Version < list[j].Version
	})
	return list
}

// Loading is the number of loads in progress.
func (s *Slots) Loading() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, held := range s.held {
		if held.state == stateLoading {
			count++
		}
	}
	return count
}

func (s *Slots) mayOrder() bool {
	return s.fence != 0 && s.limit > 0 && (s.Allowed == nil || s.Allowed())
}

// LoadFailures returns how often in a row the key failed to load and until when it
// is not tried again.
func (s *Slots) LoadFailures(key Key) (count int, until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.failures[key]
	return known.count, known.until
}
