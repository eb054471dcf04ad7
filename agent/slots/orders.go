package slots

import (
	"context"
	"time"
)

const (
	// firstBackoff is the pause after a failed load; it doubles with each
	// further failure up to longestBackoff.
	firstBackoff   = 500 * time.Millisecond
	longestBackoff = 10 * time.Second
	// MaxFailures is the number of failed loads in a row after which the
	// waiting requests go elsewhere.
	MaxFailures = 2
	// orderPause is the pause before an order is tried again.
	orderPause = 200 * time.Millisecond
	// maxFailed bounds the keys whose failures are known.
	maxFailed = 4096
)

// failure counts the failed loads of a key in a row.
type failure struct {
	count int
	until time.Time
}

// StartLoad takes a slot for the key, from a victim if it must, and loads it.
// ended is called once the load is over. It reports whether the load began:
// not when the key has a slot, when no slot can be had, or when no order may
// be given.
func (s *Slots) StartLoad(want Demand, waiting map[Key]float64, ended func(error)) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if !s.mayOrder() || s.held[want.Key] != nil || s.failures[want.Key].until.After(now) {
		return false
	}
	var victim *slot
	if len(s.held) >= s.limit {
		victim = s.victim(want, waiting, now)
		if victim == nil {
			return false
		}
		victim.state = stateUnloading
	}
	s.changes++
	fresh := &slot{key: want.Key, state: stateLoading}
	s.held[want.Key] = fresh
	order := &order{slots: s, context: s.context, epoch: s.epoch, fence: s.fence}
	go order.replace(victim, fresh, ended)
	return true
}

func (s *Slots) victim(want Demand, waiting map[Key]float64, now time.Time) *slot {
	worth := s.worth(want.Key, want.Urgency, now)
	var chosen *valued
	for key, held := range s.held {
		if held.state != stateResident || held.pinned() {
			continue
		}
		candidate := valued{key: key, slot: held, worth: s.worth(key, waiting[key], now)}
		if candidate.worth >= worth {
			continue
		}
		if chosen == nil || candidate.worth < chosen.worth || (candidate.worth == chosen.worth && key.less(chosen.key)) {
			chosen = &candidate
		}
	}
	if chosen == nil {
		return nil
	}
	return chosen.slot
}

// order carries out one load, and the unload before it, in one epoch.
type order struct {
	slots   *Slots
	context context.Context
	epoch   uint64
	fence   uint64
}

func (o *order) replace(victim, fresh *slot, ended func(error)) {
	if victim != nil {
		o.unload(victim)
	}
	o.await()
	err := o.slots.Load(o.context, fresh.key, o.fence)
	if err != nil {
		o.slots.Host.Log.Write("load-failed", "adapter", fresh.key.Adapter, "version", fresh.key.Version, "err", err)
		// The order may have arrived although its answer did not.
		o.unload(fresh)
	}
	o.settle(fresh, err)
	o.slots.Changed()
	ended(err)
}

// unload repeats the order until the engine has carried it out, so that a slot
// is never believed empty while it is taken.
func (o *order) unload(held *slot) {
	for {
		o.await()
		err := o.slots.Unload(o.context, held.key, o.fence)
		if err == nil || o.context.Err() != nil {
			break
		}
		o.slots.Host.Log.Write("unload-failed", "adapter", held.key.Adapter, "version", held.key.Version, "err", err)
		o.pause()
	}
	o.slots.mutex.Lock()
	defer o.slots.mutex.Unlock()
	if o.epoch == o.slots.epoch && o.slots.held[held.key] == held {
		o.slots.changes++
		delete(o.slots.held, held.key)
	}
}

// await waits until orders are allowed or the epoch ends.
func (o *order) await() {
	for o.slots.Allowed != nil && !o.slots.Allowed() && o.context.Err() == nil {
		o.pause()
	}
}

func (o *order) pause() {
	timer := time.NewTimer(orderPause)
	defer timer.Stop()
	select {
	case <-o.context.Done():
	case <-timer.C:
	}
}

func (o *order) settle(fresh *slot, err error) {
	s := o.slots
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if o.epoch != s.epoch {
		return
	}
	s.changes++
	if err == nil {
		fresh.state = stateResident
		delete(s.failures, fresh.key)
		return
	}
	s.fail(fresh.key)
}

func (s *Slots) fail(key Key) {
	if s.failures == nil || len(s.failures) >= maxFailed {
		s.failures = map[Key]failure{}
	}
	known := s.failures[key]
	pause := min(firstBackoff<<min(known.count, 10), longestBackoff)
	s.failures[key] = failure{count: known.count + 1, until: time.Now().Add(pause)}
}

// ResetFailures lets a key be tried again from the start after its waiting requests
// have gone elsewhere, once a pause is over.
func (s *Slots) ResetFailures(key Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.failures[key]; ok {
		s.failures[key] = failure{until: time.Now().Add(longestBackoff)}
	}
}
