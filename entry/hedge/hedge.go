// Package hedge decides when a request that may run more than once is sent to a
// second endpoint because the first one is slower than usual.
//
// It holds the recent latencies of each route and the numbers of requests and
// hedges of each service and route, and has no input or output. Its caller
// measures loads, leases the repeat from the fleet's retry budget and sends both
// attempts.
package hedge

import (
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// KindShare means that a share of requests is not a number from 0 to 1.
const KindShare Kind = "a share of requests must be a number from 0 to 1"

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// quantile is the share of a route's recent answers that are faster than the
	// threshold, in percent. While all endpoints are as usual, one request in fifty is
	// late. With one in twenty, these used up the operators' limit, and there was
	// nothing left of it for a slow endpoint.
	quantile = 98
	// minThreshold is the shortest threshold. Below it, a new connection, the
	// lease of a repeat from control or a delay in scheduling costs as much as
	// the answer.
	minThreshold = 10 * time.Millisecond
	// maxTimerDelay is how late a threshold may be noticed. If it is noticed
	// later, this process was suspended or had no processor, and the answers of
	// all endpoints look slow.
	maxTimerDelay = 50 * time.Millisecond
	// maxServiceLoad is the load of a service, as a fraction of its slots, from
	// which no hedge is sent: queues grow from there on, and a hedge delays other
	// requests more than it gains.
	maxServiceLoad = 0.7
)

// Cause is the reason why no hedge is sent.
type Cause string

// The causes, in the order in which they are checked.
const (
	// CauseNone means that a hedge is sent.
	CauseNone Cause = ""
	// CauseAttempts means that no further attempt is left to the request.
	CauseAttempts Cause = "attempts"
	// CauseSuspect means that the request is suspected of crashing endpoints.
	CauseSuspect Cause = "suspect"
	// CauseRemoved means that the request's route or key was removed.
	CauseRemoved Cause = "removed"
	// CauseTime means that the time left is shorter than answers usually take.
	CauseTime Cause = "time"
	// CauseStalled means that this process was late itself.
	CauseStalled Cause = "stalled"
	// CauseEndpoint means that no other endpoint takes the request.
	CauseEndpoint Cause = "endpoint"
	// CausePeak means that the load of the service is high.
	CausePeak Cause = "peak"
	// CauseLoad means that the other endpoints are as loaded as the first.
	CauseLoad Cause = "load"
	// CauseShare means that the operators' limit is reached.
	CauseShare Cause = "share"
	// CauseBudget means that the retry budget is too low for hedges.
	CauseBudget Cause = "budget"
	// CauseControl means that control, which leases repeats, does not answer.
	CauseControl Cause = "control"
)

// Shares is the operators' limit on hedges, as shares of requests; 0 sets no limit.
// Without any limit, there are no hedges.
type Shares struct {
	// Service is the share of the requests of a service, Route that of a route.
	Service, Route float64
}

// Enabled reports whether hedges may be sent at all.
func (s Shares) Enabled() bool { return s.Service > 0 || s.Route > 0 }

// CheckShare returns an error if a share is not a number from 0 to 1.
func CheckShare(share float64) error {
	if !(share >= 0 && share <= 1) {
		return &Error{Op: "check share", Kind: KindShare}
	}
	return nil
}

// Loads are the loads that a hedge depends on, as fractions of the slots.
type Loads struct {
	// First is the load of the endpoint that has the request, and Other that of the
	// endpoint that would get the hedge. Found reports whether there is one.
	First, Other float64
	Found        bool
	// Service is the mean load of all endpoints of the service.
	Service float64
}

// Question describes a request whose answer is late.
type Question struct {
	Service, Route string
	Shares         Shares
	// Threshold is the time after which the answer counted as late, Elapsed the time
	// after which that was noticed, and Remaining how much longer the caller waits.
	Threshold, Elapsed, Remaining time.Duration
	// AttemptsLeft is how many further endpoints may run the request, with the one
	// that has it counted as one that runs it.
	AttemptsLeft int
	// Suspect and Removed are described by the causes of the same names.
	Suspect, Removed bool
	Loads            Loads
}

// Policy decides on hedges. It is safe for concurrent use.
type Policy struct {
	// OnThreshold is called when the threshold of a route was computed anew; 0 means
	// that it is not known. It must not call the Policy. Nil ignores it.
	OnThreshold func(service, route string, threshold time.Duration)

	mutex sync.Mutex
	// services and routes are the requests and hedges of the last ten seconds.
	services, routes map[string]*window
	latencies        latencies
}

// RecordRequest counts a request, of which the shares are taken.
func (p *Policy) RecordRequest(service, route string, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	ofService, ofRoute := p.windows(service, route)
	ofService.requests(now)
	ofRoute.requests(now)
}

// RecordAnswer records how long an endpoint took for a whole answer. For an attempt
// that was cancelled because another one was faster, latency is the time until then.
func (p *Policy) RecordAnswer(service, route, endpoint string, latency time.Duration, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.latencies.record([2]string{service, route}, endpoint, latency, now)
}

// Threshold returns the time after which the answer of a request counts as late, and
// false if too few answers are known.
func (p *Policy) Threshold(service, route string, now time.Time) (time.Duration, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	usual, renewed := p.latencies.usual([2]string{service, route}, now)
	if renewed && p.OnThreshold != nil {
		p.OnThreshold(service, route, usual)
	}
	return usual, usual > 0
}

// Decide returns whether a hedge may be sent, as far as this entry knows. If it may,
// the hedge is counted at now; GiveBack undoes that if it is not sent after all.
func (p *Policy) Decide(q *Question, now time.Time) Cause {
	if cause := q.check(); cause != CauseNone {
		return cause
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	ofService, ofRoute := p.windows(q.Service, q.Route)
	if !ofService.allows(q.Shares.Service, now) || !ofRoute.allows(q.Shares.Route, now) {
		return CauseShare
	}
	ofService.hedges(now, 1)
	ofRoute.hedges(now, 1)
	return CauseNone
}

// GiveBack undoes the count of a hedge that Decide allowed at the given time.
func (p *Policy) GiveBack(q *Question, decided time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	ofService, ofRoute := p.windows(q.Service, q.Route)
	ofService.hedges(decided, -1)
	ofRoute.hedges(decided, -1)
}

// check returns the first cause that does not depend on other requests.
func (q *Question) check() Cause {
	switch {
	case !q.Shares.Enabled():
		return CauseShare
	case q.AttemptsLeft <= 0:
		return CauseAttempts
	case q.Suspect:
		return CauseSuspect
	case q.Removed:
		return CauseRemoved
	case q.Remaining < q.Threshold:
		return CauseTime
	case q.Elapsed > q.Threshold+maxTimerDelay:
		return CauseStalled
	case !q.Loads.Found:
		return CauseEndpoint
	case q.Loads.Service >= maxServiceLoad:
		return CausePeak
	case q.Loads.Other >= q.Loads.First:
		return CauseLoad
	}
	return CauseNone
}

// windows returns the windows of a service and a route. The caller holds the mutex.
func (p *Policy) windows(service, route string) (ofService, ofRoute *window) {
	if p.routes == nil {
		p.services, p.routes = map[string]*window{}, map[string]*window{}
	}
	if p.routes[route] == nil {
		p.routes[route] = &window{}
	}
	if p.services[service] == nil {
		p.services[service] = &window{}
	}
	return p.services[service], p.routes[route]
}
