// Package slots manages the adapter slots of the engine beside the agent: which adapters are
// resident, pinned, loaded next or evicted. No other component orders the engine to load or
// unload.
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

// state is the lifecycle state of an occupied slot. A key without an entry in Slots.occupied
// has no slot.
type state int

const (
	stateLoading state = iota
	stateResident
	stateUnloading
)

// slot is an occupied slot.
type slot struct {
	key   Key
	state state
	// pins counts the running requests. A pinned slot is never unloaded.
	pins int
	// inherited is set while the engine may run requests of an earlier agent on the slot. This
	// pins the slot as well.
	inherited bool
	// draining is set while Pin refuses new pins, so that a more valuable key gets the slot
	// after the last pin is released.
	draining bool
	// invalid is set when the engine runs another adapter under the key. The slot gets no new
	// pin and is unloaded after the last pin is released.
	invalid bool
}

func (s *slot) isPinned() bool { return s.pins > 0 || s.inherited }

// Slots manages the slots of one engine. Exported fields are set before use. It is safe for
// concurrent use.
type Slots struct {
	// Host provides the agent's log.
	Host host.Host
	// Load and Unload send the engine an order and wait until it is executed.
	Load   func(ctx context.Context, key Key, fence uint64) error
	Unload func(ctx context.Context, key Key, fence uint64) error
	// Allowed reports whether the agent may send orders now; nil always allows them.
	Allowed func() bool
	// Value returns the value of an adapter version; nil means ByExpectedDemand. A key is
	// evicted only for a key of higher value.
	Value func(KeyStats) float64
	// Changed is called after each change of the resident keys. It must not block.
	Changed func()

	mutex sync.Mutex
	// fence is the fencing number of each order, by which an engine refuses orders of an
	// agent's earlier incarnations; no order is sent while it is 0.
	fence uint64
	// capacity is the number of slots, 0 without an engine.
	capacity int
	// epoch counts the calls of Open and Close. Orders of an earlier epoch are void.
	epoch uint64
	// revision counts the changes of occupied and of the slots' states.
	revision     uint64
	cancelEpoch  context.CancelFunc
	epochContext context.Context
	// occupied holds the occupied slots, rates the rates of requests and failures the failed
	// loads; rates and failures outlast the epoch.
	occupied map[Key]*slot
	rates    map[Key]*requestRate
	failures map[Key]failure
}

// Open starts a new epoch with an engine that has the given number of slots and holds the keys
// that an earlier agent loaded. The value of running is true for a key whose requests may
// still run.
func (s *Slots) Open(capacity int, running map[Key]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reset(capacity)
	for key, busy := range running {
		s.occupied[key] = &slot{key: key, state: stateResident, inherited: busy}
	}
}

// Close ends the epoch of an engine that was lost or restarted. The demand stays recorded.
func (s *Slots) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reset(0)
}

func (s *Slots) reset(capacity int) {
	if s.cancelEpoch != nil {
		s.cancelEpoch()
	}
	s.epoch++
	s.revision++
	s.capacity = capacity
	s.occupied = map[Key]*slot{}
	s.epochContext, s.cancelEpoch = context.WithCancel(context.Background())
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
	held := s.occupied[key]
	return held.usable()
}

func (s *slot) usable() bool {
	return s != nil && s.state == stateResident && !s.draining && !s.invalid
}

// Pin keeps a resident key in its slot until release is called, which happens when the engine
// has ended the request. It fails if the key is not resident or its slot accepts no new pin.
func (s *Slots) Pin(key Key) (release func(), ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.occupied[key]
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
	s.unloadInvalid(held)
	s.mutex.Unlock()
	s.Changed()
}

// HasSlot reports whether a key has a slot, in any state.
func (s *Slots) HasSlot(key Key) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.occupied[key] != nil
}

// Residents returns the resident and loading keys, sorted by adapter and version.
func (s *Slots) Residents() []roster.ResidentAdapter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := []roster.ResidentAdapter{}
	for key, held := range s.occupied {
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

// LoadsInFlight returns the number of loads in progress.
func (s *Slots) LoadsInFlight() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, held := range s.occupied {
		if held.state == stateLoading {
			count++
		}
	}
	return count
}

func (s *Slots) mayOrder() bool {
	return s.fence != 0 && s.capacity > 0 && (s.Allowed == nil || s.Allowed())
}

// LoadFailures returns how often in a row the key failed to load and until when it is not
// retried.
func (s *Slots) LoadFailures(key Key) (count int, until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.failures[key]
	return known.count, known.until
}
