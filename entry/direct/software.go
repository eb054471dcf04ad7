package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
)

// beginAnewRetryAfter is the retry delay of a caller whose stream cannot go on. It is
// minimal, since the caller can begin a new stream at once.
const beginAnewRetryAfter = 10 * time.Millisecond

// findOrigin finds where the stream began that the request continues. Its caller may come
// from another entry. It refuses the request if more than one software version, or more than
// one service, may have begun the stream.
func (j *job) findOrigin(ctx context.Context) *chain.Refusal {
	f, r := j.filter, j.request
	if !r.Route.Stream || !r.ResumesStream() {
		return nil
	}
	var found origin.Record
	if f.FindOrigin != nil && r.FirstAttempt != "" {
		found = f.FindOrigin(ctx, r.FirstAttempt)
	}
	source := "record"
	if !found.Known {
		source = "only-version"
		found.Service = j.service
		found.SoftwareVersion, found.Known = f.Endpoints.OnlySoftware(j.service, time.Now())
		found.Known = found.Known && len(r.Route.Split) < 2 && (f.Current == nil || f.Current())
	}
	f.Host.Log.Write("stream-continued", "request", r.ID, "first", r.FirstAttempt, "after", r.LastEventID,
		"known", found.Known, "source", source, "service", found.Service, "software", found.SoftwareVersion)
	switch {
	case !found.Known:
		return j.refuseContinuation("software_unknown")
	case !serves(&r.Route, found.Service):
		return j.refuseContinuation("service_changed")
	}
	j.service = found.Service
	j.origin = &advert.Record{Service: found.Service, SoftwareVersion: found.SoftwareVersion}
	return nil
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
	if r.Route.Resume && j.filter.RecordOrigin != nil && !j.filter.Endpoints.SoftwareReplaced(&endpoint) {
		j.filter.RecordOrigin(origin.Record{Attempt: r.ID, Service: j.service, SoftwareVersion: endpoint.SoftwareVersion, Known: true})
	}
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
	if began.Name != "" && v.SoftwareReplaced(began) {
		code = "software_unknown"
	} else if v.ExcludeOtherSoftware(j.service, began.SoftwareVersion, j.excluded) > 0 {
		return nil
	}
	return j.refuseContinuation(code)
}

// refuseContinuation refuses to continue a stream; the caller may begin a new one.
func (j *job) refuseContinuation(code string) *chain.Refusal {
	j.filter.Host.Meter.Add("streams_not_continued", 1)
	software := ""
	if j.origin != nil {
		software = j.origin.SoftwareVersion
	}
	j.filter.Host.Log.Write("stream-not-continued", "request", j.request.ID, "first", j.request.FirstAttempt, "events", j.cutter.EventCount,
		"software", software, "reason", code)
	return chain.Refuse(http.StatusServiceUnavailable, code, "no endpoint can continue the stream").WithRetryAfter(beginAnewRetryAfter)
}
