package direct

import (
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

// beginAnewRetryAfter is the retry delay of a caller whose stream cannot go on. It is
// minimal, since the caller can begin a new stream at once.
const beginAnewRetryAfter = 10 * time.Millisecond

// origin is the beginning of the stream that a request belongs to.
type origin struct {
	// endpoint has written the first event. Only its Service and SoftwareVersion are set
	// if another entry sent the request.
	endpoint advert.Record
}

// recordOrigin records that the endpoint has written the first event of the stream.
func (j *job) recordOrigin(endpoint advert.Record) {
	if j.origin != nil || !j.request.Route.Stream {
		return
	}
	j.origin = &origin{endpoint: endpoint}
}

// keepSoftware excludes the endpoints at which the stream may not go on, because their
// software has another version than the one that began it. It refuses the request if none
// is left.
func (j *job) keepSoftware() *chain.Refusal {
	if j.origin == nil {
		return nil
	}
	v, began := j.filter.Endpoints, &j.origin.endpoint
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
		software = j.origin.endpoint.SoftwareVersion
	}
	j.filter.Host.Log.Write("stream-not-continued", "request", j.request.ID, "first", j.request.FirstAttempt, "events", j.cutter.EventCount,
		"software", software, "reason", code)
	return chain.Refuse(http.StatusServiceUnavailable, code, "no endpoint can continue the stream").WithRetryAfter(beginAnewRetryAfter)
}
