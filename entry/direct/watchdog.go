package direct

import (
	"context"
	"fmt"
	"time"
)

// watchdog cancels an attempt at an unresponsive endpoint when another endpoint
// can take over the request.
type watchdog struct {
	timer *time.Timer
	gap   time.Duration
}

// startWatchdog starts the watchdog of an attempt. The watchdog never expires
// when no other endpoint could take the request.
func (j *job) startWatchdog(cancel context.CancelCauseFunc) *watchdog {
	first, gap := j.silenceLimits()
	if first == 0 {
		return &watchdog{}
	}
	expire := func() { cancel(&Error{Op: "wait for endpoint", Kind: KindUnresponsive}) }
	return &watchdog{timer: time.AfterFunc(first, expire), gap: gap}
}

// silenceLimits returns how long the endpoint may send nothing before its first
// bytes and between later ones; 0 means no limit.
func (j *job) silenceLimits() (first, gap time.Duration) {
	route := &j.request.Route
	others := j.filter.Endpoints.Count(j.service) > len(j.excluded)+1
	if !others || j.tries+1 >= maxTries || j.possibleRuns+1 >= int(route.Attempts) {
		return 0, 0
	}
	switch {
	case route.Stream && route.Resume:
		return maxFirstDelay, maxEventGap
	case route.Idempotent && j.request.Objective.FirstToken > 0:
		return retryObjectives * j.request.Objective.FirstToken.Std(), 0
	}
	return 0, 0
}

// reset restarts the timer after the endpoint has sent data.
func (w *watchdog) reset() {
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

// statusError describes the status of an answer in logs.
func statusError(status int) error { return fmt.Errorf("status %d", status) }
