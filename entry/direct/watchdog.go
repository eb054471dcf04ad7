package direct

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

// watchdog cancels an attempt at an unresponsive endpoint when another endpoint
// can take over the request.
type watchdog struct {
	timer *time.Timer
	// first and gap are how long the endpoint may take until the first event and
	// from one event to the next. With a gap of 0, the first event ends the
	// supervision, and so does the header of an answer that is no stream.
	first, gap time.Duration
	stream     bool
	// phase tells whether an event is being written to the caller, which may take long if
	// the caller reads slowly. The endpoint is not to blame for that time.
	phase atomic.Int32
}

// The values of watchdog.phase.
const (
	phaseReading int32 = iota
	phaseWriting
	// phaseExpired means that the timer expired while an event was written.
	phaseExpired
)

// beginWrite and endWrite surround a write to the caller, in which the timer has no effect.
func (w *watchdog) beginWrite() { w.phase.Store(phaseWriting) }

func (w *watchdog) endWrite() {
	if w.phase.Swap(phaseReading) == phaseExpired && w.gap > 0 {
		w.timer.Reset(w.gap)
	}
}

// startWatchdog starts the watchdog of an attempt. The watchdog never expires
// when no other endpoint could take the request.
func (j *job) startWatchdog(endpoint *advert.Record, cancel context.CancelCauseFunc) *watchdog {
	others, sameSoftware := j.filter.Endpoints.CountOthers(endpoint, j.excluded)
	first, gap := j.silenceLimits(others, sameSoftware)
	if first == 0 {
		return &watchdog{}
	}
	counted, name := time.Now(), endpoint.Name
	w := &watchdog{first: first, gap: gap, stream: j.request.Route.Stream && j.request.Route.Resume}
	w.timer = time.AfterFunc(first, func() {
		if !w.phase.CompareAndSwap(phaseWriting, phaseExpired) {
			now := time.Now()
			j.filter.Host.Meter.Add("attempts_silent", 1)
			j.filter.Host.Log.Write("attempt-silent", "request", j.request.ID, "endpoint", name, "heard", j.filter.Endpoints.Silence(name, now),
				"others", others, "same_software", sameSoftware, "age", now.Sub(counted))
			cancel(&Error{Op: "wait for endpoint", Kind: KindUnresponsive})
		}
	})
	return w
}

// silenceLimits returns how long the endpoint may send no event before the first one
// and between later ones; 0 means no limit. others and sameSoftware count the other
// endpoints, of all software versions and of the same: a stream can continue only at one of
// the same version.
func (j *job) silenceLimits(others, sameSoftware int) (first, gap time.Duration) {
	route := &j.request.Route
	if others == 0 || j.tries+1 >= maxTries || j.possibleRuns+1 >= int(route.Attempts) {
		return 0, 0
	}
	switch {
	case route.Stream && route.Resume && sameSoftware == 0:
		return maxFirstDelay, 0
	case route.Stream && route.Resume:
		return maxFirstDelay, maxEventGap
	case route.Idempotent && j.request.Objective.FirstToken > 0:
		return retryObjectives * j.request.Objective.FirstToken.Std(), 0
	}
	return 0, 0
}

// headReceived restarts the timer for the first event of a stream, and stops it for other
// answers.
func (w *watchdog) headReceived() {
	if !w.stream {
		w.stop()
		return
	}
	if w.timer != nil {
		w.timer.Reset(w.first)
	}
}

// eventReceived restarts the timer for the next event. Bytes of an incomplete event
// and comments do not: a stalled endpoint may send them without end.
func (w *watchdog) eventReceived() {
	if w.gap > 0 {
		w.timer.Reset(w.gap)
		return
	}
	w.stop()
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// statusError describes the status of an answer in logs.
func statusError(status int) error { return fmt.Errorf("status %d", status) }
