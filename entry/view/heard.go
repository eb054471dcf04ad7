package view

import "time"

// RecordHeard records that a part of an answer has arrived from an endpoint.
func (es *Endpoints) RecordHeard(name string, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	if e := es.byName[name]; e != nil {
		e.lastHeard = now
	}
}

// Silence returns how long nothing has arrived from an endpoint at this entry, in answer to
// any request; it is 0 if nothing ever has.
func (es *Endpoints) Silence(name string, now time.Time) time.Duration {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	if e == nil || e.lastHeard.IsZero() {
		return 0
	}
	return now.Sub(e.lastHeard)
}
