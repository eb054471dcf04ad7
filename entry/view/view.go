// Package view holds what an entry knows of the endpoints that it calls
// itself: who they are, what is under way there, and how they have answered.
package view

import (
	"math"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/spread"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// firstPause is how long an endpoint that could not be reached is left
	// alone; the pause doubles up to longestPause.
	firstPause   = 400 * time.Millisecond
	longestPause = 4 * time.Second
	// agentPause is the longest pause of an agent: it starts anew in less than a
	// second, and its engine gets no work that must be admitted meanwhile.
	agentPause = time.Second
	// weight is that of the newest answer in the means of time and failures.
	weight = 0.15
	// tolerated is how many times the others' time an endpoint may take, and
	// chanceFailing by how much it may fail more often, before that counts:
	// the means of few answers differ by so much.
	tolerated     = 2
	chanceFailing = 0.1
	// loadLife is the time in which a reported load loses half of its weight.
	loadLife = time.Second
	// residentLife is how long an adapter that was used at an engine is taken
	// to be there when nobody can be asked.
	residentLife = 5 * time.Second
	// mostResident bounds the adapters remembered for each engine.
	mostResident = 512
)

// Endpoints is safe for concurrent use. Its exported fields are set before use.
type Endpoints struct {
	// DataCentre is the entry's data centre.
	DataCentre string

	mutex    sync.Mutex
	services map[string][]*endpoint
	byName   map[string]*endpoint
}

// endpoint is one endpoint with what this entry has seen of it.
type endpoint struct {
	record advert.Record
	// out counts this entry's requests there.
	out int
	// load is what its agent reported last, in thousandths.
	load     int64
	loadedAt time.Time
	// reach and agent are the failures to reach it and its agent.
	reach, agent backoff
	// failing and took are the means of failures and of times in seconds.
	failing, took float64
	// resident are the adapters used there lately.
	resident map[string]time.Time
}

// Update takes the endpoints that take requests, by service.
func (v *Endpoints) Update(usable map[string][]advert.Record) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	former := v.byName
	v.byName, v.services = map[string]*endpoint{}, map[string][]*endpoint{}
	for service, records := range usable {
		for _, record := range records {
			known := former[record.Name]
			if known == nil || known.record.StartedMillis != record.StartedMillis || known.record.Address != record.Address {
				known = &endpoint{resident: map[string]time.Time{}}
			}
			known.record = record
			v.byName[record.Name] = known
			v.services[service] = append(v.services[service], known)
		}
	}
}

// Known reports whether an endpoint takes requests, as far as is known.
func (v *Endpoints) Known(name string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.byName[name] != nil
}

// Count returns the number of endpoints of a service.
func (v *Endpoints) Count(service string) int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return len(v.services[service])
}

// ChoosePlain chooses an endpoint of a plain service that is not excluded.
func (v *Endpoints) ChoosePlain(service string, excluded map[string]bool, random float64, now time.Time) (advert.Record, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	list, candidates := v.candidates(service, excluded, now)
	at := spread.ChoosePlain(candidates, random)
	if at < 0 {
		return advert.Record{}, false
	}
	return list[at].record, true
}

// RankEngines returns the engines of a service that are not excluded, in the order
// in which a request for a key should be offered to them, and how many of the
// first are the key's homes.
func (v *Endpoints) RankEngines(service, key string, share, random float64, excluded map[string]bool, now time.Time) (engines []advert.Record, homes int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	list, candidates := v.candidates(service, excluded, now)
	order, homes := spread.RankEngines(key, spread.PreferredCount(share, len(v.services[service])), candidates, random)
	records := make([]advert.Record, 0, len(list))
	for _, at := range order {
		records = append(records, list[at].record)
	}
	return records, homes
}

func (v *Endpoints) candidates(service string, excluded map[string]bool, now time.Time) ([]*endpoint, []spread.Candidate) {
	var list []*endpoint
	took, failing, known := 0.0, 0.0, 0.0
	for _, e := range v.services[service] {
		if e.took > 0 {
			took += e.took
			failing += e.failing
			known++
		}
		if !excluded[e.record.Name] {
			list = append(list, e)
		}
	}
	candidates := make([]spread.Candidate, 0, len(list))
	for _, e := range list {
		candidate := spread.Candidate{
			Name: e.record.Name, Load: e.work(now), Remote: e.record.DataCentre != v.DataCentre, Unreachable: e.reach.away(now),
		}
		if known > 1 && e.took > 0 {
			// The others' mean, so that a bad endpoint is measured against good
			// ones.
			others := known - 1
			candidate.ExcessLatency = e.took/((took-e.took)/others) - tolerated
			candidate.ExcessFailures = e.failing - (failing-e.failing)/others - chanceFailing
		}
		candidates = append(candidates, candidate)
	}
	return list, candidates
}

// work returns the load of an endpoint as a share of what it can do.
func (e *endpoint) work(now time.Time) float64 {
	own := float64(e.out) / float64(max(e.record.Slots, 1))
	age := float64(now.Sub(e.loadedAt)) / float64(loadLife)
	return max(own, float64(e.load)/1000*math.Exp2(-age))
}

// BeginRequest counts a request at an endpoint; the returned function ends it.
func (v *Endpoints) BeginRequest(name string) func() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[name]
	if e == nil {
		return func() {}
	}
	e.out++
	return func() {
		v.mutex.Lock()
		defer v.mutex.Unlock()
		e.out--
	}
}

// RecordAnswer notes an answer: how long it took, 0 when that says nothing, and
// whether it was a failure.
func (v *Endpoints) RecordAnswer(name string, took time.Duration, failed bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[name]
	if e == nil {
		return
	}
	e.reach = backoff{}
	one := 0.0
	if failed {
		one = 1
	}
	e.failing += weight * (one - e.failing)
	if took == 0 {
		return
	}
	if e.took == 0 {
		e.took = took.Seconds()
	}
	e.took += weight * (took.Seconds() - e.took)
}

// MarkUnreachable notes that an endpoint could not be reached, or that its
// connection broke without an answer.
func (v *Endpoints) MarkUnreachable(name string, now time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[name]
	if e == nil || e.reach.away(now) {
		return
	}
	e.reach.fail(now, longestPause)
	clear(e.resident)
}

// AllowAgentQuery reports whether an engine's agent is to be asked: one that did not
// answer is left alone for a while, and then asked by one request first, for
// at most patience.
func (v *Endpoints) AllowAgentQuery(name string, patience time.Duration, now time.Time) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[name]
	if e == nil || e.agent.faults == 0 {
		return true
	}
	if e.agent.away(now) {
		return false
	}
	e.agent.until = now.Add(patience)
	return true
}

// RecordAgentQuery notes whether an engine's agent answered.
func (v *Endpoints) RecordAgentQuery(name string, answered bool, now time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[name]
	switch {
	case e == nil:
	case answered:
		e.agent = backoff{}
	default:
		e.agent.fail(now, agentPause)
	}
}

// SetLoad notes the load that an engine's agent reported, in thousandths.
func (v *Endpoints) SetLoad(name string, load int64, now time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if e := v.byName[name]; e != nil {
		e.load, e.loadedAt = load, now
	}
}

// MarkResident notes that an adapter was used at an engine, Missing that it is not
// there.
func (v *Endpoints) MarkResident(name, key string, now time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[name]
	if e == nil {
		return
	}
	if len(e.resident) >= mostResident {
		clear(e.resident)
	}
	e.resident[key] = now
}

// MarkMissing notes that an adapter is not at an engine.
func (v *Endpoints) MarkMissing(name, key string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if e := v.byName[name]; e != nil {
		delete(e.resident, key)
	}
}

// LikelyResident reports whether an adapter was used at an engine so lately that it is
// probably there.
func (v *Endpoints) LikelyResident(name, key string, now time.Time) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[name]
	if e == nil {
		return false
	}
	at, ok := e.resident[key]
	return ok && now.Sub(at) < residentLife
}
