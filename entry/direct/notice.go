package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

const (
	// maxPauseWait is how long a request may wait in all for endpoints that want no
	// requests. A caller that is refused for so short a time loses more by coming
	// back.
	maxPauseWait = 500 * time.Millisecond
	// pauseSpread is the time after the end of a pause over which waiting and
	// refused requests are spread, as a share of the pause, and minPauseSpread the
	// least.
	pauseSpread    = 0.25
	minPauseSpread = 100 * time.Millisecond
	// malformedLogInterval is the time between two lines about malformed notices.
	malformedLogInterval = 10 * time.Second
)

// recordNotice records what an endpoint said of itself in an answer.
func (j *job) recordNotice(endpoint *advert.Record, notice advert.Notice, sent time.Time) {
	f := j.filter
	if notice.Malformed != "" {
		f.Host.Meter.Add("notices_malformed", 1)
		f.malformedLogOnce.Do(func() { f.malformedLog.Interval = malformedLogInterval })
		f.malformedLog.Do(func() {
			f.Host.Log.Write("notice-malformed", "request", j.request.ID, "endpoint", endpoint.Name, "header", notice.Malformed)
		})
	}
	if !f.Endpoints.RecordNotice(endpoint, notice, sent, time.Now()) {
		return
	}
	if f.OnNoticeChanged != nil {
		f.OnNoticeChanged()
	}
	f.Host.Meter.Add("notices", 1)
	f.Host.Log.Write("endpoint-notice", "request", j.request.ID, "endpoint", endpoint.Name, "status", notice.Status, "leaving", notice.Leaving, "pause", notice.Pause,
		"limited", notice.Limited, "limit", notice.RequestsPerSecond, "age", time.Since(sent))
}

// awaitEndpoint waits until an endpoint of the service may get requests again, if that is
// soon. It refuses the request if its waits would be too long, and returns nil if an endpoint
// may get requests now. For an endpoint with a limit, the more urgent requests go first.
func (j *job) awaitEndpoint(ctx context.Context) *chain.Refusal {
	for ctx.Err() == nil {
		opening, ok := j.filter.Endpoints.FirstOpening(j.service, j.priority(), j.excluded, time.Now())
		if !ok || opening.Wait == 0 {
			return nil
		}
		wait := opening.Wait
		if !opening.Limited {
			wait = j.spreadWait(opening)
		}
		if !opening.Here || j.waited+wait > maxPauseWait || time.Now().Add(wait).After(j.callerDeadline()) {
			return j.refuseUntil(opening)
		}
		j.waited += wait
		end := j.filter.Endpoints.BeginWait(opening)
		pause.For(ctx, wait)
		end()
	}
	return nil
}

// spreadWait returns the time until an opening and a random time after it.
func (j *job) spreadWait(opening view.Opening) time.Duration {
	spread := max(time.Duration(float64(opening.Wait)*pauseSpread), minPauseSpread)
	return opening.Wait + time.Duration(j.filter.random()*float64(spread))
}

// refuseUntil refuses the request until an opening.
func (j *job) refuseUntil(opening view.Opening) *chain.Refusal {
	code, message, counter := "endpoints_paused", "no endpoint wants requests now", "paused_refused"
	if opening.Limited {
		code, message, counter = "endpoints_limited", "the endpoints take no more requests now", "limited_refused"
	}
	j.filter.Host.Meter.Add(counter, 1)
	return chain.Refuse(http.StatusServiceUnavailable, code, message).WithRetryAfter(j.spreadWait(opening))
}
