package direct

import (
	"context"
	"maps"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/retry"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/stream"
)

const (
	// minSearchInterval and maxSearchInterval bound the time between two searches for an
	// endpoint that takes over a request. Agents estimate their wait; a request that ends
	// early makes room before that.
	minSearchInterval = 100 * time.Millisecond
	maxSearchInterval = 500 * time.Millisecond
	// maxTakeoverAdmission is how long agents may take to admit the request. Its retry is kept
	// from other requests meanwhile.
	maxTakeoverAdmission = time.Second
)

// takeover is an endpoint that has been secured for a request whose endpoint is silent: it
// has admitted the request, and its retry is taken from the fleet's retry budget.
type takeover struct {
	target *target
	// settle states whether the request was sent.
	settle func(sent bool)
}

// drop returns what was secured.
func (t *takeover) drop() {
	if t == nil {
		return
	}
	t.target.release()
	t.settle(false)
}

// use takes the target, to which the request is sent now.
func (t *takeover) use() *target {
	t.settle(true)
	return t.target
}

// takeoverSearch looks for an endpoint that takes over a request while its attempt
// continues. It runs beside the job, whose state it does not use.
type takeoverSearch struct {
	job      *job
	endpoint advert.Record
	excluded map[string]bool
	// started is when the attempt started.
	started time.Time
}

func (j *job) newTakeoverSearch(endpoint *advert.Record) *takeoverSearch {
	s := &takeoverSearch{
		job:      &job{filter: j.filter, request: j.request, service: j.service, parts: j.parts, engine: j.engine, originSource: j.originSource},
		endpoint: *endpoint, excluded: maps.Clone(j.excluded), started: time.Now(),
	}
	s.excluded[endpoint.Name] = true
	return s
}

// run searches until another endpoint is secured or ctx ends.
func (s *takeoverSearch) run(ctx context.Context, state progress) *takeover {
	f := s.job.filter
	began := time.Now()
	since := s.started
	if state.lastReceived.After(since) {
		since = state.lastReceived
	}
	f.Host.Meter.Add("attempts_silent", 1)
	f.Host.Log.Write("attempt-silent", "request", s.job.request.ID, "endpoint", s.endpoint.Name, "events", state.events,
		"silent", began.Sub(since), "heard", f.Endpoints.Silence(s.endpoint.Name, began))
	f.Endpoints.RecordSilence(s.endpoint.Name, since, began)
	former := ""
	for {
		found, cause, wait := s.try(ctx, state)
		if found != nil {
			f.Host.Meter.Add("takeovers_secured", 1)
			f.Host.Log.Write("takeover-secured", "request", s.job.request.ID, "endpoint", s.endpoint.Name, "next", found.target.endpoint.Name,
				"silent", time.Since(since), "took", time.Since(began))
			return found
		}
		if ctx.Err() != nil {
			return nil
		}
		if cause != former {
			f.Host.Meter.Add("takeovers_denied_"+cause, 1)
			f.Host.Log.Write("takeover-denied", "request", s.job.request.ID, "endpoint", s.endpoint.Name, "cause", cause, "wait", wait, "silent", time.Since(since))
			former = cause
		}
		pause.For(ctx, min(max(wait, minSearchInterval), maxSearchInterval))
		if ctx.Err() != nil {
			return nil
		}
	}
}

// try asks once for another endpoint. If there is none, it returns the code of the refusal
// and after how long to ask again.
func (s *takeoverSearch) try(ctx context.Context, state progress) (found *takeover, cause string, wait time.Duration) {
	j := *s.job
	j.excluded = maps.Clone(s.excluded)
	j.cutter, j.lastReceived, j.origin = stream.Splitter{EventCount: state.events}, state.lastReceived, state.origin
	v := j.filter.Endpoints
	if refusal := j.refusePrompt(); refusal != nil {
		return nil, refusal.Code, refusal.RetryAfter
	}
	if began := j.origin; began != nil {
		replaced := began.Name != "" && v.SoftwareReplaced(began, time.Now())
		if replaced || v.ExcludeOtherSoftware(j.service, began.SoftwareVersion, j.excluded) == 0 {
			return nil, "software_gone", maxSearchInterval
		}
	}
	if v.ExcludeUnresponsive(j.service, j.excluded, time.Now()) == 0 {
		return nil, "no_endpoint", maxSearchInterval
	}
	// The retry comes first: an admission that is not used takes time from the engine's other
	// requests.
	settle := func(bool) {}
	if !j.retryPaid {
		var source retry.Source
		if source, settle = j.filter.Budget.SpendReturnable(ctx, j.service); source == retry.SourceNone {
			return nil, "retry_budget", failedRetryAfter
		}
	}
	selected, cause, wait := j.selectTakeover(ctx)
	if selected == nil {
		settle(false)
		return nil, cause, wait
	}
	return &takeover{target: selected, settle: settle}, "", 0
}

// awaitContinuation waits until a place and a retry are secured for a stream of which the caller
// has a part and whose attempt has broken, since the refusal would break off the answer. It
// returns false if they are not within half of the caller's time, or cannot be.
func (j *job) awaitContinuation(ctx context.Context, refusal *chain.Refusal) bool {
	if refusal == nil || !j.mayContinue() || ctx.Err() != nil || !mayBeLifted(refusal.Code) {
		return false
	}
	began := time.Now()
	if _, left := j.filter.Endpoints.FirstOpening(j.service, j.priority(), j.excluded, began); !left {
		return false
	}
	if j.resumeEnd.IsZero() {
		// The rest is left for the endpoint.
		j.resumeEnd = began.Add(j.callerDeadline().Sub(began) / 2)
	}
	searching, cancel := context.WithDeadline(ctx, j.resumeEnd)
	defer cancel()
	s := &takeoverSearch{
		job: &job{
			filter: j.filter, request: j.request, service: j.service, parts: j.parts, engine: j.engine, originSource: j.originSource,
			retryPaid: j.retryPaid,
		},
		excluded: j.excluded,
	}
	cause, wait := refusal.Code, refusal.RetryAfter
	for mayBeLifted(cause) && pause.For(searching, min(max(wait, minSearchInterval), maxSearchInterval)) {
		if j.secured, cause, wait = s.try(searching, j.progress()); j.secured != nil {
			break
		}
	}
	j.filter.Host.Meter.Add("continuations_awaited", 1)
	j.filter.Host.Log.Write("continuation-awaited", "request", j.request.ID, "events", j.cutter.EventCount, "cause", refusal.Code,
		"secured", j.secured != nil, "took", time.Since(began))
	return j.secured != nil
}

// mayBeLifted reports whether a request that was refused with a code, or whose takeover was, may
// be admitted soon.
func mayBeLifted(code string) bool {
	switch code {
	case "no_endpoint", "engines_busy", "endpoints_paused", "endpoints_limited", "retry_budget", "admission_timeout", "agent_unreachable", "endpoint_changed":
		return true
	}
	return false
}

// selectTakeover chooses an endpoint that has admitted the request and may be sent it now. If
// there is none, it returns the code of the refusal and after how long to ask again.
func (j *job) selectTakeover(ctx context.Context) (selected *target, cause string, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, maxTakeoverAdmission)
	defer cancel()
	selected, refusal := j.selectTarget(ctx)
	switch {
	case selected == nil && refusal == nil:
		return nil, "admission_timeout", minSearchInterval
	case selected == nil:
		return nil, refusal.Code, refusal.RetryAfter
	case j.engine != nil && !selected.admitted:
		selected.release()
		return nil, "agent_unreachable", minSearchInterval
	case !j.filter.Endpoints.Claim(&selected.endpoint, selected.admitted, time.Now()):
		selected.release()
		return nil, "endpoint_changed", minSearchInterval
	}
	return selected, "", 0
}
