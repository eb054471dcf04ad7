package direct

import (
	"context"
	"fmt"
	"time"
)

// watchdog ends an attempt at an endpoint that has gone silent, where another
// one could go on.
type watchdog struct {
	timer *time.Timer
	gap   time.Duration
}

// watch starts the watchdog of an attempt; it never barks when no other
// endpoint could take the request.
func (j *job) watch(cancel context.CancelCauseFunc) *watchdog {
	first, gap := j.patience()
	if first == 0 {
		return &watchdog{}
	}
	bark := func() { cancel(&Error{Op: "wait for endpoint", Kind: KindUnresponsive}) }
	return &watchdog{timer: time.AfterFunc(first, bark), gap: gap}
}

// patience returns how long the endpoint may be silent before its first bytes
// and later; 0 for as long as it likes.
func (j *job) patience() (first, gap time.Duration) {
	route := &j.request.Route
	others := j.direct.Endpoints.Count(j.service) > len(j.excluded)+1
	if !others || j.tries+1 >= mostTries || j.runs+1 >= int(route.Attempts) {
		return 0, 0
	}
	switch {
	case route.Stream && route.Resume:
		return firstSilence, nextSilence
	case route.Idempotent && j.request.Objective.FirstToken > 0:
		return repeatAfter * j.request.Objective.FirstToken.Std(), 0
	}
	return 0, 0
}

// next notes that the endpoint has sent something.
func (w *watchdog) next() {
	if w.timer == nil {
		return
	}
	if w.gap == 0 {
		w.timer.Stop()
		return
	}
	w.timer.Reset(w.gap)
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// errStatus describes an answer's status in logs.
func errStatus(status int) error { return fmt.Errorf("status %d", status) }
