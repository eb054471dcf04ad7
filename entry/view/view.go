// Package view holds the state of the endpoints that an entry calls directly:
// their records, the requests in flight, and the outcome of recent requests.
package view

import (
	"math"
	"slices"
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
	// minPause is how long an endpoint is avoided after a failed connection;
	// the pause doubles with each further failure up to maxPause.
	minPause = 400 * time.Millisecond
	maxPause = 4 * time.Second
	// newestWeight is the weight of the newest answer in the moving averages of
	// latency and failures.
	newestWeight = 0.15
	// slowTolerance is the multiple of the other endpoints' latency, and
	// failureTolerance the excess over their failure rate, up to which an
	// endpoint is not penalized: averages over few answers differ by as much.
	slowTolerance    = 2
	failureTolerance = 0.1
	// latencyTolerance is the difference in latency that may come from a new connection or
	// from scheduling. It is added to the other endpoints' latency.
	latencyTolerance = 2 * time.Millisecond
	// recoveryHalfLife is the half-life of an endpoint's latency and failure rate while it
	// gets no requests: only requests can show that it has recovered.
	recoveryHalfLife = 3 * time.Second
	// loadHalfLife is the half-life of the weight of a reported load.
	loadHalfLife = time.Second
	// residentTimeout is how long after its use an adapter is assumed to be
	// resident at an engine whose agent is unreachable.
	residentTimeout = 5 * time.Second
	// maxResident bounds the adapters remembered for each engine.
	maxResident = 512
)

// Endpoints holds the endpoints of all services. It is safe for concurrent use;
// its exported fields are set before use.
type Endpoints struct {
	// DataCentre is the entry's data centre.
	DataCentre string
	// Position returns this entry's position among all entries, from 0, and their number,
	// which is 0 while it is unknown. Nil means that this is the only entry.
	Position func() (index, count int)
	// Random returns a number between 0 and 1; nil uses the global generator.
	Random func() float64

	mutex sync.Mutex
	// agentReturned is closed when an agent replies that did not before; nil while nobody
	// waits for that.
	agentReturned chan struct{}
	services      map[string][]*endpoint
	byName        map[string]*endpoint
	// softwareSeen holds when an endpoint of a service with a software version was last
	// announced or removed, by service and version.
	softwareSeen map[string]map[string]time.Time
	// reusedNames holds the names that processes of several software versions have used.
	reusedNames map[string]reusedName
	// notices holds what processes said of themselves, also of those that are not
	// listed.
	notices map[process]*notices
}

// endpoint is the state of one endpoint as observed by this entry.
type endpoint struct {
	record advert.Record
	// inFlight counts this entry's requests at the endpoint.
	inFlight int
	// mean is the moving average of inFlight.
	mean meanCount
	// load is the load last reported by the endpoint's agent, in thousandths.
	load     int64
	loadTime time.Time
	// limitedUntil is until when the endpoint is passed over because its agent has
	// refused a request by its limit.
	limitedUntil time.Time
	// connection and agent are the backoffs after failures to reach the
	// endpoint and its agent.
	connection, agent backoff
	// failureRate and meanSeconds are moving averages of failures and latency, as of
	// lastAnswer.
	failureRate, meanSeconds float64
	lastAnswer               time.Time
	// lastHeard is when a part of an answer last arrived; zero before the first.
	lastHeard time.Time
	// silent reports that connection is a pause because of silence, which the next part of an
	// answer ends.
	silent bool
	// resident are the recently used adapters with the time of their last use.
	resident map[string]time.Time
}

// Update replaces the endpoints that accept requests, by service. The state of
// unchanged processes is kept.
func (es *Endpoints) Update(usable map[string][]advert.Record) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	former := es.byName
	es.byName, es.services = map[string]*endpoint{}, map[string][]*endpoint{}
	for service, records := range usable {
		for _, record := range records {
			known := former[record.Name]
			if known != nil && known.record.SoftwareVersion != record.SoftwareVersion {
				now := time.Now()
				es.recordSoftware(service, known.record.SoftwareVersion, now)
				es.recordReuse(&record, true, now)
			}
			if known == nil || known.record.StartedMillis != record.StartedMillis || known.record.Address != record.Address {
				known = &endpoint{resident: map[string]time.Time{}}
			}
			known.record = record
			es.byName[record.Name] = known
			es.services[service] = append(es.services[service], known)
		}
	}
}

// Known reports whether an endpoint accepts requests as of the last Update.
func (es *Endpoints) Known(name string) bool {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	return es.byName[name] != nil
}

// ChoosePlain chooses an endpoint of a plain service that is not excluded.
func (es *Endpoints) ChoosePlain(service string, excluded map[string]bool, random float64, now time.Time) (advert.Record, bool) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	list, candidates := es.candidates(service, excluded, now)
	at := spread.ChoosePlain(candidates, random)
	if at < 0 {
		return advert.Record{}, false
	}
	return list[at].record, true
}

// RankEngines returns the engines of a service that are not excluded, in the
// order in which they should be tried for an adapter, and how many of the first
// ones are the adapter's preferred engines. share is the adapter's share of all
// requests.
func (es *Endpoints) RankEngines(service, key string, share, random float64, excluded map[string]bool, now time.Time) (engines []advert.Record, preferred int) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	list, candidates := es.candidates(service, excluded, now)
	order, preferred := spread.RankEngines(key, spread.PreferredCount(share, len(es.services[service])), candidates, random)
	records := make([]advert.Record, 0, len(list))
	for _, at := range order {
		records = append(records, list[at].record)
	}
	return records, preferred
}

// candidates returns the endpoints of a service that are not excluded, and the
// same endpoints as candidates of package spread.
func (es *Endpoints) candidates(service string, excluded map[string]bool, now time.Time) ([]*endpoint, []spread.Candidate) {
	var list []*endpoint
	latencies, failures, measured := 0.0, 0.0, 0.0
	for _, e := range es.services[service] {
		if e.meanSeconds > 0 {
			latencies += e.meanSeconds
			failures += e.failureRate
			measured++
		}
		if !excluded[e.record.Name] && es.accepts(e, now) && !e.limitedUntil.After(now) {
			list = append(list, e)
		}
	}
	candidates := make([]spread.Candidate, 0, len(list))
	for _, e := range list {
		candidate := spread.Candidate{
			Name: e.record.Name, Load: e.relativeLoad(now), Remote: e.record.DataCentre != es.DataCentre, Unreachable: e.connection.active(now),
		}
		if measured > 1 && e.meanSeconds > 0 {
			// The mean excludes the endpoint itself, so that a bad endpoint is
			// compared with good ones.
			others := measured - 1
			recovery := e.recovery(now)
			candidate.ExcessLatency = recovery*e.meanSeconds/((latencies-e.meanSeconds)/others+latencyTolerance.Seconds()) - slowTolerance
			candidate.ExcessFailures = recovery*e.failureRate - (failures-e.failureRate)/others - failureTolerance
		}
		candidates = append(candidates, candidate)
	}
	return list, candidates
}

// relativeLoad returns the load of an endpoint as a fraction of its capacity.
func (e *endpoint) relativeLoad(now time.Time) float64 {
	own := float64(e.inFlight) / float64(max(e.record.Slots, 1))
	age := float64(now.Sub(e.loadTime)) / float64(loadHalfLife)
	return max(own, float64(e.load)/1000*math.Exp2(-age))
}

// BeginRequest counts a request at an endpoint; the returned function ends it.
func (es *Endpoints) BeginRequest(name string) func() {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	if e == nil {
		return func() {}
	}
	e.countInFlight(1)
	return func() {
		es.mutex.Lock()
		defer es.mutex.Unlock()
		e.countInFlight(-1)
	}
}

// recovery returns the factor by which the averages have decreased since the last answer.
func (e *endpoint) recovery(now time.Time) float64 {
	return math.Exp2(-max(float64(now.Sub(e.lastAnswer)), 0) / float64(recoveryHalfLife))
}

// RecordAnswer records an answer: its latency, 0 if that is not meaningful, and
// whether it was a failure. It also ends the pause after a failed connection.
//
// An answer that is better than the average starts from the decreased average, so that an
// endpoint that has recovered is soon used as before. A worse one restores the former
// average, so that one that has not is tried rarely.
func (es *Endpoints) RecordAnswer(name string, latency time.Duration, failed bool, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	if e == nil {
		return
	}
	e.connection, e.silent = backoff{}, false
	recovery := e.recordResult(failed, now)
	if latency == 0 {
		return
	}
	e.lastHeard = now
	if e.meanSeconds == 0 {
		e.meanSeconds = latency.Seconds()
	}
	if decreased := recovery * e.meanSeconds; latency.Seconds() < e.meanSeconds {
		e.meanSeconds = max(decreased, latency.Seconds())
	}
	e.meanSeconds += newestWeight * (latency.Seconds() - e.meanSeconds)
}

// recordResult records whether an answer was a failure, and returns the factor by which the
// averages had decreased. The mutex must be held.
func (e *endpoint) recordResult(failed bool, now time.Time) (recovery float64) {
	recovery = e.recovery(now)
	e.lastAnswer = now
	sample := 0.0
	if failed {
		sample = 1
	} else {
		e.failureRate *= recovery
	}
	e.failureRate += newestWeight * (sample - e.failureRate)
	return recovery
}

// MarkUnreachable records that an endpoint refused a connection, or that a connection to it
// broke without an answer.
func (es *Endpoints) MarkUnreachable(name string, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	if e == nil || e.connection.active(now) && !e.silent {
		return
	}
	e.silent = false
	e.connection.fail(now, maxPause)
	clear(e.resident)
}

// SetLoad records the load that an engine's agent reported, in thousandths.
func (es *Endpoints) SetLoad(name string, load int64, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	if e := es.byName[name]; e != nil {
		e.load, e.loadTime = load, now
	}
}

// MarkResident records that an adapter was used at an engine.
func (es *Endpoints) MarkResident(name, key string, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	if e == nil {
		return
	}
	if len(e.resident) >= maxResident {
		clear(e.resident)
	}
	e.resident[key] = now
}

// MarkMissing records that an adapter is not resident at an engine.
func (es *Endpoints) MarkMissing(name, key string) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	if e := es.byName[name]; e != nil {
		delete(e.resident, key)
	}
}

// LikelyResident reports whether an adapter was used at an engine so recently
// that it is probably still resident there.
func (es *Endpoints) LikelyResident(name, key string, now time.Time) bool {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	if e == nil {
		return false
	}
	at, ok := e.resident[key]
	return ok && now.Sub(at) < residentTimeout
}

// Agents returns the addresses of the agents of all listed engines, without duplicates.
func (es *Endpoints) Agents() []string {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	addresses := make([]string, 0, len(es.byName))
	for _, e := range es.byName {
		if e.record.Agent != "" {
			addresses = append(addresses, e.record.Agent)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
