package view

import (
	"cmp"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/pacer"
)

// maxLimitedTime is the longest time for which an engine is passed over because its agent
// has refused a request by the engine's limit: the limit may end earlier than the agent
// expects.
const maxLimitedTime = time.Second

const (
	// limitReportTime is how long after an answer its statement is reported to control: a
	// few heartbeats, of which some may be lost.
	limitReportTime = 5 * time.Second
	// maxLimitReports bounds the statements in one heartbeat.
	maxLimitReports = 64
)

// pacerOf returns the pacer of a process, or nil if the process names no limit. es.mutex
// must be held.
func (es *Endpoints) pacerOf(key process, n *notices, now time.Time) *pacer.Pacer {
	if n == nil || !n.Limit.Named {
		return nil
	}
	if n.pacer == nil {
		n.pacer = &pacer.Pacer{Process: key.name, Random: es.Random}
	}
	index, count := 0, 1
	if es.Position != nil {
		index, count = es.Position()
	}
	n.pacer.Limit(n.Limit.RequestsPerSecond, index, count, now)
	return n.pacer
}

// limitWait returns how long it takes until this entry may send a request to an endpoint
// without asking an agent. es.mutex must be held.
func (es *Endpoints) limitWait(e *endpoint, now time.Time) time.Duration {
	key := processOf(&e.record)
	if p := es.pacerOf(key, es.notices[key], now); p != nil {
		return p.Wait(0, now)
	}
	return 0
}

// accepts reports whether an endpoint may get a new request now. The limit of an engine
// that has an agent is kept by the agent. es.mutex must be held.
func (es *Endpoints) accepts(e *endpoint, now time.Time) bool {
	return es.notices[processOf(&e.record)].accepts(now) && (e.record.Agent != "" || es.limitWait(e, now) == 0)
}

// Claim reports whether a request may be sent to an endpoint now, and counts it against the
// endpoint's limit if no agent has admitted it. It may not if another process has taken the
// endpoint's place since it was chosen.
func (es *Endpoints) Claim(endpoint *advert.Record, admitted bool, now time.Time) bool {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e, key := es.byName[endpoint.Name], processOf(endpoint)
	if e == nil || processOf(&e.record) != key {
		return false
	}
	n := es.notices[key]
	if !n.accepts(now) {
		return false
	}
	p := es.pacerOf(key, n, now)
	return p == nil || admitted || p.Take(now)
}

// AllowsUnadmitted reports whether a request may be sent to a listed engine now whose agent
// cannot be reached.
func (es *Endpoints) AllowsUnadmitted(name string, now time.Time) bool {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	return e != nil && es.limitWait(e, now) == 0
}

// Limit returns what a listed endpoint has said of its limit, and false if it has not
// named one to this entry.
func (es *Endpoints) Limit(name string) (advert.Limit, bool) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	if e == nil {
		return advert.Limit{}, false
	}
	n := es.notices[processOf(&e.record)]
	if n == nil || n.Limit.Sent.IsZero() {
		return advert.Limit{}, false
	}
	return n.Limit, true
}

// LimitReports returns what endpoints said of their limits to this entry in answers that
// arrived lately.
func (es *Endpoints) LimitReports(now time.Time) []advert.LimitReport {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	var reports []advert.LimitReport
	for key, n := range es.notices {
		if len(reports) == maxLimitReports {
			break
		}
		if !n.limitStated.IsZero() && now.Sub(n.limitStated) <= limitReportTime {
			reports = append(reports, advert.NewLimitReport(key.name, key.startedMillis, &n.Limit, now))
		}
	}
	return reports
}

// MergeLimits takes in what endpoints said of their limits to any entry.
func (es *Endpoints) MergeLimits(reports []advert.LimitReport, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	for i := range reports {
		key := process{name: reports[i].Endpoint, startedMillis: reports[i].StartedMillis}
		n := es.notices[key]
		if n == nil {
			if !reports[i].Named {
				continue
			}
			n = es.addNotices(key, now)
		}
		n.Limit.Merge(reports[i].Limit(now))
		n.applyEndOfLimit()
	}
}

// MarkLimited records that an engine's agent refused a request by the engine's limit, and
// expects to admit one after wait.
func (es *Endpoints) MarkLimited(name string, wait time.Duration, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	if e := es.byName[name]; e != nil {
		e.limitedUntil = now.Add(min(wait, maxLimitedTime))
	}
}

// LimitedEngines returns the engines of a service that are passed over because of their
// limits and not excluded, in the order in which they may get a request again.
func (es *Endpoints) LimitedEngines(service string, excluded map[string]bool, now time.Time) []advert.Record {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	var limited []*endpoint
	for _, e := range es.services[service] {
		if e.limitedUntil.After(now) && !excluded[e.record.Name] && es.accepts(e, now) {
			limited = append(limited, e)
		}
	}
	slices.SortStableFunc(limited, func(a, b *endpoint) int {
		return cmp.Or(a.limitedUntil.Compare(b.limitedUntil), cmp.Compare(a.record.Name, b.record.Name))
	})
	records := make([]advert.Record, 0, len(limited))
	for _, e := range limited {
		records = append(records, e.record)
	}
	return records
}

// Opening is when an endpoint may get a request again.
type Opening struct {
	// Wait is the time until then, after the requests that wait for it at this entry and are
	// at least as urgent.
	Wait time.Duration
	// Here reports whether this entry may send a request then. If not, others may.
	Here bool
	// Limited reports whether the endpoint's limit is the reason.
	Limited bool

	notices  *notices
	priority int32
}

// FirstOpening returns the first opening for a request of the given priority, 0 first, of the
// endpoints of a service that are neither leaving nor excluded, and false if there is none.
func (es *Endpoints) FirstOpening(service string, priority int32, excluded map[string]bool, now time.Time) (first Opening, found bool) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	for _, e := range es.services[service] {
		key := processOf(&e.record)
		n := es.notices[key]
		if excluded[e.record.Name] || n != nil && n.Leaving() {
			continue
		}
		opening := Opening{Here: true, notices: n, priority: priority}
		if n != nil {
			opening.Wait = n.PauseLeft(now)
		}
		if p := es.pacerOf(key, n, now); p != nil && e.record.Agent == "" {
			wait := p.Wait(n.countWaiting(priority), now)
			if opening.Here = p.Member() || wait == 0; !opening.Here {
				wait = p.Spacing()
			}
			opening.Wait, opening.Limited = max(opening.Wait, wait), wait > opening.Wait
		}
		if !found || opening.Wait < first.Wait {
			first, found = opening, true
		}
	}
	return first, found
}

// BeginWait counts a request that waits for an opening; the returned function ends it.
func (es *Endpoints) BeginWait(opening Opening) func() {
	if opening.notices == nil {
		return func() {}
	}
	es.mutex.Lock()
	defer es.mutex.Unlock()
	n := opening.notices
	if n.waiting == nil {
		n.waiting = map[int32]int{}
	}
	n.waiting[opening.priority]++
	return func() {
		es.mutex.Lock()
		defer es.mutex.Unlock()
		n.waiting[opening.priority]--
	}
}
