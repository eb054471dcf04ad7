package slots

import (
	"context"
	"time"
)

const (
	// initialBackoff is the delay after a failed load. It doubles with each further failure up
	// to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 10 * time.Second
	// MaxFailures is the number of failed loads in a row after which the agent refuses the
	// waiting requests, so that they go to other engines.
	MaxFailures = 2
	// orderRetryDelay is the delay before an order is retried.
	orderRetryDelay = 200 * time.Millisecond
	// maxTrackedFailures bounds the keys whose failures are tracked.
	maxTrackedFailures = 4096
)

// failure counts the failed loads of a key in a row.
type failure struct {
	count int
	// until is when the backoff of the key ends.
	until time.Time
}

// StartLoad takes a free slot for the key, or evicts another key, and starts the load. urgency
// holds the urgency of waiting requests for keys that have a slot. ended is called when the
// load has ended. StartLoad returns false if the key has a slot already or backs off, if no
// slot can be freed or if orders are not allowed.
func (s *Slots) StartLoad(waiting WaitingKey, urgency map[Key]float64, ended func(error)) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if !s.mayOrder() || s.occupied[waiting.Key] != nil || s.failures[waiting.Key].until.After(now) {
		return false
	}
	var victim *slot
	if len(s.occupied) >= s.capacity {
		victim = s.victim(waiting, urgency, now)
		if victim == nil {
			return false
		}
		victim.state = stateUnloading
	}
	s.revision++
	loading := &slot{key: waiting.Key, state: stateLoading}
	s.occupied[waiting.Key] = loading
	order := &order{slots: s, epochContext: s.epochContext, epoch: s.epoch, fence: s.fence}
	go order.replace(victim, loading, ended)
	return true
}

// victim returns the unpinned resident slot of the lowest value, if that is lower than the
// value of the waiting key.
func (s *Slots) victim(waiting WaitingKey, urgency map[Key]float64, now time.Time) *slot {
	value := s.valueOf(waiting.Key, waiting.Urgency, now)
	var chosen *valuedKey
	for key, held := range s.occupied {
		if held.state != stateResident || held.isPinned() {
			continue
		}
		candidate := valuedKey{key: key, slot: held, value: s.valueOf(key, urgency[key], now)}
		if candidate.value >= value {
			continue
		}
		if chosen == nil || candidate.value < chosen.value || (candidate.value == chosen.value && key.less(chosen.key)) {
			chosen = &candidate
		}
	}
	if chosen == nil {
		return nil
	}
	return chosen.slot
}

// order executes one load and the unload before it, or only an unload, in one epoch.
type order struct {
	slots        *Slots
	epochContext context.Context
	epoch        uint64
	fence        uint64
}

// replace unloads the victim, if any, loads the new slot and reports the outcome to ended.
func (o *order) replace(victim, loading *slot, ended func(error)) {
	if victim != nil {
		o.unload(victim)
	}
	o.waitAllowed()
	err := o.slots.Load(o.epochContext, loading.key, o.fence)
	if err != nil {
		o.slots.Host.Log.Write("load-failed", "adapter", loading.key.Adapter, "version", loading.key.Version, "err", err)
		// The engine may have loaded the adapter although its answer was lost.
		o.unload(loading)
	}
	o.finishLoad(loading, err)
	o.slots.Changed()
	ended(err)
}

// unload repeats the unload order until the engine has executed it or the epoch ends, so that
// a slot never counts as free while the engine uses it.
func (o *order) unload(held *slot) {
	for {
		o.waitAllowed()
		err := o.slots.Unload(o.epochContext, held.key, o.fence)
		if err == nil || o.epochContext.Err() != nil {
			break
		}
		o.slots.Host.Log.Write("unload-failed", "adapter", held.key.Adapter, "version", held.key.Version, "err", err)
		o.delay()
	}
	o.slots.mutex.Lock()
	defer o.slots.mutex.Unlock()
	if o.epoch == o.slots.epoch && o.slots.occupied[held.key] == held {
		o.slots.revision++
		delete(o.slots.occupied, held.key)
	}
}

// waitAllowed waits until orders are allowed or the epoch ends.
func (o *order) waitAllowed() {
	for o.slots.Allowed != nil && !o.slots.Allowed() && o.epochContext.Err() == nil {
		o.delay()
	}
}

func (o *order) delay() {
	timer := time.NewTimer(orderRetryDelay)
	defer timer.Stop()
	select {
	case <-o.epochContext.Done():
	case <-timer.C:
	}
}

// finishLoad records the outcome of a load, unless its epoch has ended.
func (o *order) finishLoad(loading *slot, err error) {
	s := o.slots
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if o.epoch != s.epoch {
		return
	}
	s.revision++
	if err == nil {
		loading.state = stateResident
		delete(s.failures, loading.key)
		return
	}
	s.recordFailure(loading.key)
}

// recordFailure counts a failed load and starts its backoff. When too many keys are tracked,
// all counts are reset.
func (s *Slots) recordFailure(key Key) {
	if s.failures == nil || len(s.failures) >= maxTrackedFailures {
		s.failures = map[Key]failure{}
	}
	entry := s.failures[key]
	backoff := min(initialBackoff<<min(entry.count, 10), maxBackoff)
	s.failures[key] = failure{count: entry.count + 1, until: time.Now().Add(backoff)}
}

// ResetFailures resets the failures of a key after its waiting requests were refused. The key
// may be loaded again after maxBackoff.
func (s *Slots) ResetFailures(key Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.failures[key]; ok {
		s.failures[key] = failure{until: time.Now().Add(maxBackoff)}
	}
}
