package direct

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

// watchdog supervises an attempt whose request may run at another endpoint. When nothing has
// arrived for too long, it has another endpoint secured, and cancels the attempt only after
// that: an endpoint that is silent may continue at any moment, and until then nothing takes
// its place.
type watchdog struct {
	// first and gap are how long the endpoint may take until the first event and
	// from one event to the next. With a gap of 0, the first event ends the
	// supervision, and so does the header of an answer that is no stream. With a first of 0,
	// there is no supervision.
	first, gap time.Duration
	// patienceEnd is when the caller leaves if it receives nothing; zero if it is not known.
	patienceEnd time.Time
	// secure obtains another endpoint for the request. It returns nil when ctx ends.
	secure func(ctx context.Context, state progress) *takeover
	// cancel ends the attempt.
	cancel context.CancelCauseFunc

	mutex sync.Mutex
	timer *time.Timer
	// writing is set while an event is being written to the caller, which may take long if
	// the caller reads slowly. The endpoint is not to blame for that time. expired means that
	// the timer expired meanwhile.
	writing, expired bool
	stopped          bool
	// state is the progress of the attempt, as of the last event.
	state progress
	// abandon ends the search for another endpoint; nil while there is none.
	abandon context.CancelFunc
	// secured is the endpoint for which the attempt was cancelled; nil before.
	secured *takeover
}

// progress is how far a stream has come.
type progress struct {
	events       int
	lastReceived time.Time
	// origin is the endpoint that wrote the first event; nil before it is known.
	origin *advert.Record
}

// startWatchdog starts the watchdog of an attempt.
func (j *job) startWatchdog(endpoint *advert.Record, cancel context.CancelCauseFunc) *watchdog {
	first, gap := j.silenceLimits()
	w := &watchdog{first: first, gap: gap, patienceEnd: j.patienceEnd(), cancel: cancel, state: j.progress()}
	if first == 0 {
		return w
	}
	search := j.newTakeoverSearch(endpoint)
	w.secure = search.run
	w.timer = time.AfterFunc(w.firstLimit(), w.expire)
	return w
}

// firstLimit returns how long the endpoint may take from now until the first event. What the
// caller has waited before leaves less.
func (w *watchdog) firstLimit() time.Duration {
	if w.patienceEnd.IsZero() {
		return w.first
	}
	return min(w.first, max(time.Until(w.patienceEnd)/2, 0))
}

// progress returns how far the job's stream has come.
func (j *job) progress() progress {
	return progress{events: j.cutter.EventCount, lastReceived: j.lastReceived, origin: j.origin}
}

// silenceLimits returns how long an endpoint may send no event before the first one and
// between later ones; 0 means no limit.
func (j *job) silenceLimits() (first, gap time.Duration) {
	route := &j.request.Route
	if j.tries+1 >= maxTries || j.possibleRuns+1 >= int(route.Attempts) {
		return 0, 0
	}
	switch {
	case route.Stream && route.Resume && route.EventTimeout > 0:
		// The other half is left for the endpoint that takes over.
		limit := min(route.EventTimeout.Std()/2, maxFirstDelay)
		return limit, limit
	case route.Stream && route.Resume:
		return maxFirstDelay, maxEventGap
	case route.Idempotent && j.request.Objective.FirstToken > 0:
		return retryObjectives * j.request.Objective.FirstToken.Std(), 0
	}
	return 0, 0
}

// expire secures another endpoint and then cancels the attempt.
func (w *watchdog) expire() {
	w.mutex.Lock()
	if w.stopped || w.abandon != nil || w.secured != nil {
		w.mutex.Unlock()
		return
	}
	if w.writing {
		w.expired = true
		w.mutex.Unlock()
		return
	}
	ctx, abandon := context.WithCancel(context.Background())
	defer abandon()
	w.abandon = abandon
	state := w.state
	w.mutex.Unlock()
	found := w.secure(ctx, state)
	if found == nil {
		return
	}
	w.mutex.Lock()
	if ctx.Err() != nil {
		w.mutex.Unlock()
		found.drop()
		return
	}
	w.secured, w.abandon = found, nil
	w.mutex.Unlock()
	w.cancel(&Error{Op: "wait for endpoint", Kind: KindUnresponsive})
}

// beginWrite and endWrite surround a write to the caller, in which the timer has no effect.
func (w *watchdog) beginWrite() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.writing = true
}

func (w *watchdog) endWrite() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.writing = false
	if w.expired && !w.stopped {
		w.timer.Reset(w.gap)
	}
	w.expired = false
}

// headReceived restarts the timer for the first event of a stream, and ends the supervision of
// other answers: these cannot continue elsewhere once a part has been forwarded.
func (w *watchdog) headReceived(stream bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !stream {
		w.end()
		return
	}
	w.restart(w.firstLimit())
}

// eventReceived restarts the timer for the next event. Bytes of an incomplete event
// and comments do not: a stalled endpoint may send them without end.
func (w *watchdog) eventReceived(state progress) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.state = state
	if w.gap == 0 {
		w.end()
		return
	}
	w.restart(w.gap)
}

// restart ends the search for another endpoint and restarts the timer; w.mutex must be held.
func (w *watchdog) restart(limit time.Duration) {
	if w.timer == nil || w.stopped {
		return
	}
	w.endSearch()
	w.expired = false
	w.timer.Reset(limit)
}

// endSearch ends the search for another endpoint; w.mutex must be held.
func (w *watchdog) endSearch() {
	if w.abandon != nil {
		w.abandon()
		w.abandon = nil
	}
}

// end is endSupervision with w.mutex held.
func (w *watchdog) end() {
	w.stopped = true
	w.endSearch()
	if w.timer != nil {
		w.timer.Stop()
	}
}

// endSupervision ends the supervision.
func (w *watchdog) endSupervision() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.end()
}

// stop ends the supervision and returns the endpoint that was secured, if there is one.
func (w *watchdog) stop() *takeover {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.end()
	found := w.secured
	w.secured = nil
	return found
}

// statusError describes the status of an answer in logs.
func statusError(status int) error { return fmt.Errorf("status %d", status) }
