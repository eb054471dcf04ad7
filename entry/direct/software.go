package direct

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

const (
	// maxOriginWait bounds the search for the origin of a stream, so that agents and control
	// may be silent for 1.3 s. Control answers within 200 ms, and elects a leader within a
	// second after a restart; callers leave after four seconds without data.
	maxOriginWait = 2 * time.Second
	// originInterval is the time between two queries to agents of which some did not reply.
	originInterval = 100 * time.Millisecond
)

// The ways in which the origin of a stream can be known.
const (
	// sourceRecord means that this entry or an agent holds the stream's record, and
	// sourceOnlyVersion that a single software version can have begun the stream.
	sourceRecord      = "record"
	sourceOnlyVersion = "only-version"
	// sourceAnswer means that the stream began in the same answer.
	sourceAnswer = "answer"
	sourceNone   = "none"
)

// findOrigin finds where the stream began that the request continues. Its caller may come
// from another entry. It refuses the request if more than one software version, or more than
// one service, may have begun the stream.
func (j *job) findOrigin(ctx context.Context) *chain.Refusal {
	f, r := j.filter, j.request
	if !r.Route.Stream || !r.ResumesStream() {
		return nil
	}
	found := j.searchOrigin(ctx)
	f.Host.Meter.Add("streams_returned_"+j.originSource, 1)
	f.Host.Log.Write("stream-continued", "request", r.ID, "first", r.FirstAttempt, "after", r.LastEventID,
		"known", found.Known, "source", j.originSource, "service", found.Service, "software", found.SoftwareVersion, "endpoint", found.Endpoint)
	switch {
	case !found.Known:
		return j.refuseContinuation("software_unknown")
	case !serves(&r.Route, found.Service):
		return j.refuseContinuation("service_changed")
	}
	j.service = found.Service
	j.origin = &advert.Record{
		Name: found.Endpoint, Service: found.Service, SoftwareVersion: found.SoftwareVersion, StartedMillis: found.StartedMillis,
	}
	return nil
}

// searchOrigin returns the origin of the stream; its field Known is false if that cannot be
// found out in time.
func (j *job) searchOrigin(ctx context.Context) origin.Record {
	// Half of the caller's time is left for the endpoint.
	now := time.Now()
	limited, cancel := context.WithDeadline(ctx, now.Add(min(maxOriginWait, max(j.callerDeadline().Sub(now)/2, 0))))
	defer cancel()
	find := func() (found origin.Record, answered bool) {
		if j.filter.FindOrigin == nil || j.request.FirstAttempt == "" {
			return origin.Record{}, true
		}
		return j.filter.FindOrigin(ctx, j.request.FirstAttempt)
	}
	j.originSource = sourceRecord
	found, answered := find()
	if found.Known {
		return found
	}
	if only := j.onlyOrigin(limited); only.Known {
		j.originSource = sourceOnlyVersion
		return only
	}
	for !answered {
		if found, answered = find(); found.Known {
			return found
		}
		if !pause.For(limited, originInterval) {
			break
		}
	}
	j.originSource = sourceNone
	return found
}

// onlyOrigin returns the origin of a stream without a record; its field Known is false unless
// a single software version can have begun the stream. An entry may not have heard yet of
// endpoints that other entries use, so it decides only by what control knows once the caller
// has come back.
func (j *job) onlyOrigin(ctx context.Context) origin.Record {
	f, unknown := j.filter, origin.Record{Service: j.service}
	if len(j.request.Route.Split) > 1 || f.Current != nil && !f.Current() {
		return unknown
	}
	if _, only := f.Endpoints.OnlySoftware(j.service, time.Now()); !only {
		return unknown
	}
	if f.Confirm != nil && !f.Confirm(ctx) {
		return unknown
	}
	version, only := f.Endpoints.OnlySoftware(j.service, time.Now())
	return origin.Record{Service: j.service, SoftwareVersion: version, Known: only}
}

// serves reports whether a route sends requests to a service.
func serves(route *conf.Route, service string) bool {
	if len(route.Split) == 0 {
		return route.Service == service
	}
	for _, share := range route.Split {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// recordOrigin records that an endpoint has written the first event of the stream.
func (j *job) recordOrigin(endpoint advert.Record) {
	r := j.request
	if j.origin != nil || !r.Route.Stream {
		return
	}
	j.origin = &endpoint
	j.originSource = sourceAnswer
	if r.Route.Resume && j.filter.RecordOrigin != nil && !j.filter.Endpoints.SoftwareReplaced(&endpoint, time.Now()) {
		j.filter.RecordOrigin(origin.Record{
			Attempt: r.ID, Service: j.service, SoftwareVersion: endpoint.SoftwareVersion, Known: true,
			Endpoint: endpoint.Name, StartedMillis: endpoint.StartedMillis,
		})
	}
}

// resumes reports whether the caller has a part of the stream already, and whether it is
// known where the stream began; the first alone may be the caller's claim only.
func (j *job) resumes() (resumed, originKnown bool) {
	if j.cutter.EventCount > 0 {
		return true, true
	}
	route := &j.request.Route
	resumed = route.Stream && route.Resume && j.request.LastEventID != ""
	return resumed, resumed && j.originSource == sourceRecord
}

// keepSoftware excludes the endpoints at which the stream may not go on, because their
// software has another version than the one that began it. It refuses the request if none
// is left.
func (j *job) keepSoftware() *chain.Refusal {
	if j.origin == nil {
		return nil
	}
	v, began := j.filter.Endpoints, j.origin
	code := "software_gone"
	if began.Name != "" && v.SoftwareReplaced(began, time.Now()) {
		code = "software_unknown"
	} else if v.ExcludeOtherSoftware(j.service, began.SoftwareVersion, j.excluded) > 0 {
		return nil
	}
	return j.refuseContinuation(code)
}

// refuseContinuation refuses to continue a stream; the caller may begin a new one.
func (j *job) refuseContinuation(code string) *chain.Refusal {
	f := j.filter
	f.Host.Meter.Add("streams_not_continued", 1)
	f.Host.Meter.Add("streams_not_continued_"+code, 1)
	software := ""
	if j.origin != nil {
		software = j.origin.SoftwareVersion
	}
	now := time.Now()
	wait := f.anew.delay(f.random(), now)
	f.Host.Log.Write("stream-not-continued", "request", j.request.ID, "first", j.request.FirstAttempt, "events", j.cutter.EventCount,
		"software", software, "reason", code, "source", j.originSource, "service", j.service,
		"versions", strings.Join(f.Endpoints.SoftwareVersions(j.service, now), ","), "current", f.Current == nil || f.Current(), "retry", wait)
	return chain.Refuse(http.StatusServiceUnavailable, code, "no endpoint can continue the stream").WithRetryAfter(wait)
}
