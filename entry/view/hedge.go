package view

import (
	"maps"
	"math"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/spread"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

// meanTime is the time constant of the average number of requests in flight. An entry has
// few requests at an endpoint at any one moment, so that only an average shows the load
// that all entries together put on it.
const meanTime = 2 * time.Second

// slowFactor is how much longer an answer is taken to have needed than the time after which
// its attempt was cancelled. The attempts that are cancelled are the slow ones, of which
// the longer they have taken the more is left on average.
const slowFactor = 2

// meanCount is a moving average of a count over meanTime, as of a time.
type meanCount struct {
	mean float64
	at   time.Time
}

// advance takes in that the count has had a value since the last change.
func (m *meanCount) advance(value int, now time.Time) {
	if !m.at.IsZero() {
		former := math.Exp(-max(now.Sub(m.at).Seconds(), 0) / meanTime.Seconds())
		m.mean = former*m.mean + (1-former)*float64(value)
	}
	m.at = now
}

// countInFlight adds to the requests in flight. es.mutex must be held.
func (e *endpoint) countInFlight(delta int) {
	e.mean.advance(e.inFlight, time.Now())
	e.inFlight += delta
}

// Alternative is the endpoint that a request may be sent to while another one has it, with
// the loads that speak for or against that, as fractions of the slots.
type Alternative struct {
	Endpoint advert.Record
	// Load is the load of the endpoint, FirstLoad that of the one that has the request,
	// and ServiceLoad the mean load of the service's endpoints.
	Load, FirstLoad, ServiceLoad float64
}

// FindAlternative returns the endpoint that a request may be sent to while the first one
// has it, and false if there is none: it is not excluded, reachable and, if the request
// needs an adapter, probably holds that.
func (es *Endpoints) FindAlternative(service, first, adapterKey string, excluded map[string]bool, random float64, now time.Time) (Alternative, bool) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	found := Alternative{ServiceLoad: es.serviceLoad(service, now)}
	if e := es.byName[first]; e != nil {
		found.FirstLoad = e.relativeLoad(now)
	}
	others := maps.Clone(excluded)
	if others == nil {
		others = map[string]bool{}
	}
	others[first] = true
	for _, e := range es.services[service] {
		at, resident := e.resident[adapterKey]
		if adapterKey != "" && (!resident || now.Sub(at) >= residentTimeout) || e.connection.active(now) || e.agent.active(now) {
			others[e.record.Name] = true
		}
	}
	list, candidates := es.candidates(service, others, now)
	at := spread.ChoosePlain(candidates, random)
	if at < 0 {
		return found, false
	}
	found.Endpoint, found.Load = list[at].record, candidates[at].Load
	return found, true
}

// serviceLoad returns the mean load of a service's endpoints. The requests of the other
// entries at endpoints that report no load are taken to be as many as this entry's.
// es.mutex must be held.
func (es *Endpoints) serviceLoad(service string, now time.Time) float64 {
	entries := 1
	if es.Position != nil {
		_, count := es.Position()
		entries = max(count, 1)
	}
	busy, slots := 0.0, 0.0
	for _, e := range es.services[service] {
		e.mean.advance(e.inFlight, now)
		capacity := float64(max(e.record.Slots, 1))
		load := e.mean.mean * float64(entries) / capacity
		if age := now.Sub(e.loadTime); age < loadHalfLife {
			load = max(load, float64(e.load)/1000)
		}
		busy += load * capacity
		slots += capacity
	}
	if slots == 0 {
		return 0
	}
	return busy / slots
}

// RecordSlowAnswer records an attempt that was cancelled after some time, before its answer
// came. It counts only if that time is above the average. Without it, an endpoint whose
// slow attempts are cancelled would look fast and get as many requests as before.
func (es *Endpoints) RecordSlowAnswer(name string, elapsed time.Duration, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	if e == nil || elapsed.Seconds() <= e.meanSeconds {
		return
	}
	latency := slowFactor * elapsed.Seconds()
	if e.meanSeconds == 0 {
		e.meanSeconds = latency
	}
	e.lastAnswer = now
	e.meanSeconds += newestWeight * (latency - e.meanSeconds)
}
