package view

import "time"

// RecordHeard records that a part of an answer has arrived from an endpoint. An endpoint that
// was avoided because it was silent is used as before.
func (es *Endpoints) RecordHeard(name string, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	if e := es.byName[name]; e != nil {
		e.hear(now)
	}
}

// hear records that something has arrived from the endpoint; the mutex must be held.
func (e *endpoint) hear(now time.Time) {
	e.lastHeard = now
	if e.silent {
		e.silent, e.connection = false, backoff{}
	}
}

// RecordSilence records that an endpoint has sent a request nothing since a time. If others
// have heard of it in the later half of that time, only that request has failed. Otherwise the
// endpoint is avoided until something arrives from it.
func (es *Endpoints) RecordSilence(name string, since, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	switch {
	case e == nil:
	case e.lastHeard.After(since.Add(now.Sub(since) / 2)):
		e.recordResult(true, now)
	default:
		e.avoidSilent(now)
	}
}

// avoidSilent avoids the endpoint until something arrives from it, unless it is avoided already,
// and reports whether it was not. The mutex must be held.
func (e *endpoint) avoidSilent(now time.Time) bool {
	if e.connection.active(now) {
		return false
	}
	e.silent = true
	e.connection.fail(now, maxPause)
	return true
}

// RecordConnectTimeout records that an endpoint neither accepted nor refused a connection in
// time. It is avoided until something arrives from it.
func (es *Endpoints) RecordConnectTimeout(name string, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	if e := es.byName[name]; e != nil && e.avoidSilent(now) {
		clear(e.resident)
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

// ExcludeUnresponsive excludes the endpoints of a service that are avoided at present because
// they, or their agents, do not respond, and returns how many are not excluded then.
func (es *Endpoints) ExcludeUnresponsive(service string, excluded map[string]bool, now time.Time) (left int) {
	return es.exclude(service, excluded, func(e *endpoint) bool { return e.connection.active(now) || e.agent.active(now) })
}

// exclude adds the endpoints of a service that match to excluded, and returns how many of the
// service are not excluded then.
func (es *Endpoints) exclude(service string, excluded map[string]bool, match func(e *endpoint) bool) (left int) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	for _, e := range es.services[service] {
		if match(e) {
			excluded[e.record.Name] = true
		}
		if !excluded[e.record.Name] {
			left++
		}
	}
	return left
}
