package direct

import (
	"context"
	"maps"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/hedge"
	"github.com/tanagerspindle/tanagerspindle/entry/retry"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
)

// hedgeSharesOf returns the operators' limits on the hedges of a service and of a route.
// Both are 0 if no hedges are made.
func (f *Filter) hedgeSharesOf(service string, route *conf.Route) hedge.Shares {
	if f.Hedges == nil {
		return hedge.Shares{}
	}
	shares := hedge.Shares{Service: f.Config().Services[service].HedgeShare, Route: route.HedgeShare}
	if shares.Service == 0 {
		shares.Service = f.HedgeShare
	}
	return shares
}

// recordHedgeable counts a request for the operators' limits on hedges.
func (f *Filter) recordHedgeable(service string, r *chain.Request, now time.Time) {
	if f.hedgeSharesOf(service, &r.Route).Enabled() {
		f.Hedges.RecordRequest(service, r.RouteName, now)
	}
}

// hedgeShares returns the limits on hedges of the request's service and route. They are 0
// for a request that is never hedged.
func (j *job) hedgeShares() hedge.Shares {
	route := &j.request.Route
	if !route.Idempotent || route.Stream {
		return hedge.Shares{}
	}
	return j.filter.hedgeSharesOf(j.service, route)
}

// hedgePlan is a hedge that was decided on and is being prepared.
type hedgePlan struct {
	question hedge.Question
	decided  time.Time
	// target is the endpoint that gets the hedge; nil if cause says why it gets none.
	target *target
	cause  hedge.Cause
	// settle states whether the repeat that the hedge takes was used.
	settle func(sent bool)
}

// drop undoes the preparation of a hedge that is not sent.
func (p *hedgePlan) drop(policy *hedge.Policy) {
	policy.GiveBack(&p.question, p.decided)
	if p.target != nil {
		p.target.release()
		p.settle(false)
	}
}

// decideHedge decides whether the late request may be sent to a second endpoint. The
// returned plan has a cause if not.
func (j *job) decideHedge(l *leg, threshold time.Duration) (*hedgePlan, advert.Record) {
	now := time.Now()
	alternative, found := j.filter.Endpoints.FindAlternative(j.service, l.target.endpoint.Name, j.adapterKey(), j.excluded, j.filter.random(), now)
	// Before the other fields are read: the check also finds out whether the request is
	// suspected.
	removed := j.mustNotRun()
	left := min(int(j.request.Route.Attempts)-j.possibleRuns, maxTries-j.tries) - 1
	if j.hedged {
		left = 0
	}
	plan := &hedgePlan{decided: now, question: hedge.Question{
		Service: j.service, Route: j.request.RouteName, Shares: j.hedgeShares(),
		Threshold: threshold, Elapsed: now.Sub(l.sent), Remaining: j.request.Deadline().Sub(now),
		AttemptsLeft: left, Suspect: j.request.Suspect, Removed: removed,
		Loads: hedge.Loads{First: alternative.FirstLoad, Other: alternative.Load, Found: found, Service: alternative.ServiceLoad},
	}}
	j.hedged = true
	plan.cause = j.filter.Hedges.Decide(&plan.question, now)
	return plan, alternative.Endpoint
}

// mustNotRun reports whether the request must not be sent any more, because its key or
// route was removed or because it or a part of its prompt is quarantined.
func (j *job) mustNotRun() bool {
	if j.request.Check != nil && j.request.Check() != nil {
		return true
	}
	if j.filter.Quarantined != nil && j.quarantinedPart() >= 0 {
		return true
	}
	if j.request.RouteName == "" {
		return false
	}
	route, ok := j.filter.Config().Routes[j.request.RouteName]
	return !ok || route.Kind != conf.RouteOpaque || !route.Idempotent || route.Stream
}

// prepareHedge obtains the admission of the hedge and its repeat from the retry budget.
// It runs beside the job, whose state it does not use: j is a copy with what it needs.
func (j *job) prepareHedge(ctx context.Context, plan *hedgePlan, endpoint advert.Record) {
	target := &target{endpoint: endpoint}
	if j.engine == nil {
		target.release = j.filter.Endpoints.BeginRequest(endpoint.Name)
	} else {
		admitted, _ := j.requestAdmission(ctx, endpoint, false, 0)
		if admitted == nil {
			plan.cause = hedge.CauseEndpoint
			return
		}
		if target = admitted; !target.admitted {
			target.release()
			plan.cause = hedge.CauseEndpoint
			return
		}
	}
	source, settle := j.filter.Budget.SpendHedge(ctx, j.service)
	switch source {
	case retry.SourcePool:
		plan.target, plan.settle = target, settle
		return
	case retry.SourceNone:
		plan.cause = hedge.CauseBudget
	default:
		plan.cause = hedge.CauseControl
	}
	target.release()
}

// copyForHedge returns what prepareHedge needs of the job, apart from the state that later
// attempts change.
func (j *job) copyForHedge(first string) *job {
	excluded := maps.Clone(j.excluded)
	excluded[first] = true
	return &job{filter: j.filter, request: j.request, service: j.service, parts: j.parts, engine: j.engine, excluded: excluded}
}

// recordHedgeDenied counts and logs a hedge that is not sent.
func (j *job) recordHedgeDenied(l *leg, plan *hedgePlan) {
	q := &plan.question
	j.filter.Host.Meter.Add("hedges_denied_"+string(plan.cause)+"_"+j.hedgeName(), 1)
	j.filter.Host.Log.Write("hedge-denied", "request", j.request.ID, "service", j.service, "route", j.request.RouteName, "endpoint", l.target.endpoint.Name,
		"cause", plan.cause, "after", q.Elapsed, "threshold", q.Threshold, "load", q.Loads.First, "other_load", q.Loads.Other, "service_load", q.Loads.Service)
}

// recordHedgeSent counts and logs a hedge.
func (j *job) recordHedgeSent(first, second *leg, plan *hedgePlan) {
	q := &plan.question
	j.filter.Host.Meter.Add("hedges_sent_"+j.hedgeName(), 1)
	j.filter.Host.Log.Write("hedge-sent", "request", j.request.ID, "service", j.service, "route", j.request.RouteName,
		"endpoint", first.target.endpoint.Name, "second", second.target.endpoint.Name, "after", second.sent.Sub(first.sent), "threshold", q.Threshold,
		"load", q.Loads.First, "other_load", q.Loads.Other, "service_load", q.Loads.Service)
}

// recordHedgeEnd counts and logs which attempt of a hedged request gave the answer; nil
// means that neither did.
func (j *job) recordHedgeEnd(winner *leg, started time.Time) {
	result, endpoint := "failed", ""
	if winner != nil {
		endpoint = winner.target.endpoint.Name
		if result = "lost"; winner.isHedge {
			result = "won"
		}
	}
	j.filter.Host.Meter.Add("hedges_"+result+"_"+j.hedgeName(), 1)
	j.filter.Host.Log.Write("hedge-ended", "request", j.request.ID, "service", j.service, "route", j.request.RouteName,
		"result", result, "endpoint", endpoint, "took", time.Since(started))
}

// hedgeName is the end of the names of the metrics of hedges.
func (j *job) hedgeName() string { return j.service + "_" + j.request.RouteName }
