package runner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/engine"
	"github.com/tanagerspindle/tanagerspindle/agent/slots"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// minConfirmPause is the first pause between two checks whether the engine has
	// ended a run that was cut off.
	minConfirmPause = 50 * time.Millisecond
	// maxConfirmPause bounds the pause, which doubles after each check.
	maxConfirmPause = time.Second
	// tokenTimeSamples is the inverse weight of the newest token in the moving average
	// of the token time.
	tokenTimeSamples = 8
)

// errWrongVersion means that the engine ran another adapter version than requested.
const errWrongVersion cutOffReason = "engine ran another version"

// runModel runs the attempt on the engine and forwards its tokens to the entry. release
// unpins the adapter slot.
func (t *task) runModel(ctx context.Context, ep *endpoint, release func()) {
	var waited time.Duration
	if t.adapterMissing {
		waited = time.Since(t.item.Arrived)
		t.runner.countMetric("load_waits")
		t.runner.Host.Meter.Add("load_wait_us", waited.Microseconds())
	}
	last := time.Now()
	result, err := ep.engine.Run(ctx, t.item.Attempt, func(text, version string) error {
		if version != "" && version != t.attempt.Version {
			return errWrongVersion
		}
		t.runner.recordToken(t, time.Since(last))
		if err := t.awaitReservation(ctx); err != nil {
			return err
		}
		t.sendHead(http.StatusOK, nil, waited)
		t.answer = append(t.answer, text...)
		t.sendData([]byte(text), 1)
		last = time.Now()
		return nil
	})
	if err == nil && result.Version != t.attempt.Version {
		err = errWrongVersion
	}
	if err != nil {
		t.handleModelError(ctx, ep, release, err)
		return
	}
	release()
	t.sendHead(http.StatusOK, nil, waited)
	t.finishModel(result)
}

func (t *task) finishModel(result *engine.Result) {
	frame := &call.Frame{
		Type: call.FrameEnd, Tokens: t.tokens, Version: result.Version,
		FinishReason: result.FinishReason, CachedTokens: result.CachedTokens,
	}
	t.finish(frame, newOutcome(http.StatusOK, nil, t.answer))
}

// handleModelError ends a run that gave no complete answer.
func (t *task) handleModelError(ctx context.Context, ep *endpoint, release func(), err error) {
	cause := causeOf(ctx)
	if engine.NotSent(err) && cause != reasonPreempted {
		t.finishNotSent(ep, release, cause, err)
		return
	}
	switch {
	case errors.Is(err, errWrongVersion):
		t.runner.Host.Log.Write("wrong-version", "adapter", t.attempt.Adapter, "asked", t.attempt.Version)
		t.runner.Slots.Invalidate(slotKey(t.attempt))
		t.abort(ep, release, call.ReasonWrongVersion)
	case cause == reasonPreempted:
		t.requeue(ep, release)
	case cause == reasonWithdrawn:
		t.abort(ep, release, call.ReasonCancelled)
	case cause == "" && errors.Is(err, &engine.Error{Kind: engine.KindMalformedRequest}):
		release()
		t.finish(refusalFrame(call.ReasonInvalid, false), nil)
	case cause == "" && engine.Lost(err) && !t.runner.verifyDead(ep):
		ep.recordBroken(t.attempt.Digest)
		t.abort(ep, release, call.ReasonEngineLost)
	default:
		t.runner.Host.Log.Write("run-failed", "attempt", t.attempt.IDString(), "err", err)
		release()
		t.finish(refusalFrame(call.ReasonEngineLost, true), nil)
	}
}

// finishNotSent ends a run that did not reach the engine. An attempt that was preempted has run
// before.
func (t *task) finishNotSent(ep *endpoint, release func(), cause cutOffReason, err error) {
	t.runner.Host.Log.Write("run-not-sent", "attempt", t.attempt.IDString(), "err", err)
	reason := call.ReasonEngineLost
	switch cause {
	case reasonWithdrawn:
		reason = call.ReasonCancelled
	case "":
		t.runner.verifyDead(ep)
	}
	t.runner.mutex.Lock()
	hasRun := t.preemptions > 0
	t.runner.mutex.Unlock()
	release()
	t.finish(refusalFrame(reason, hasRun), nil)
}

func refusalFrame(reason call.Reason, ran bool) *call.Frame {
	return &call.Frame{Type: call.FrameRefuse, Reason: reason, MayHaveRun: ran}
}

// abort ends a run that was cut off. The adapter slot and the request slot are released
// only when the engine has ended the run.
func (t *task) abort(ep *endpoint, release func(), reason call.Reason) {
	t.recordEnd(refusalFrame(reason, true), nil)
	t.awaitEngineEnd(ep)
	release()
	t.runner.freeRequestSlot(t)
}

// requeue puts a preempted run back into the queue. The next run resumes after the tokens
// already sent.
func (t *task) requeue(ep *endpoint, release func()) {
	t.awaitEngineEnd(ep)
	release()
	r := t.runner
	r.freeRequestSlot(t)
	r.mutex.Lock()
	t.preemptions++
	resumed := *t.attempt
	resumed.DeliveredTokens += t.tokens
	resumed.DeliveredText += string(t.answer)
	t.item.Attempt = &resumed
	r.mutex.Unlock()
	t.mutex.Lock()
	t.state = taskQueued
	t.mutex.Unlock()
	r.countMetric("preempted")
	r.refuseAll(r.Queue.Push(t.item), call.ReasonFull)
	t.mutex.Lock()
	withdrawn := t.withdrawn
	t.mutex.Unlock()
	if withdrawn {
		t.withdraw()
	}
	r.Wake()
}

// awaitEngineEnd waits until the engine has ended a run that was cut off, or is dead.
// It polls the engine's state because a cancellation may be lost.
func (t *task) awaitEngineEnd(ep *endpoint) {
	r := t.runner
	r.mutex.Lock()
	t.cutOff = true
	r.mutex.Unlock()
	key := slotKey(t.attempt)
	for wait := minConfirmPause; ep.context.Err() == nil; wait = min(2*wait, maxConfirmPause) {
		before := r.streamingRuns(key)
		state, err := ep.engine.State(ep.context)
		if err == nil && runningCount(state, key) <= countCommon(before, r.streamingRuns(key)) {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ep.context.Done():
		}
		timer.Stop()
	}
}

func runningCount(state *engine.State, key slots.Key) int {
	for _, held := range state.Held {
		if held.Adapter == key.Adapter && held.Version == key.Version {
			return held.RunningRequests
		}
	}
	return 0
}

// streamingRuns returns the runs on an adapter version that have sent tokens and have
// not been cut off, with their start times. The engine's count of running requests is
// certain to include each of them.
func (r *Runner) streamingRuns(key slots.Key) map[*task]time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	runs := map[*task]time.Time{}
	for t := range r.running {
		if t.streaming && !t.cutOff && slotKey(t.attempt) == key {
			runs[t] = t.started
		}
	}
	return runs
}

// countCommon counts the runs that are in both sets with the same start time, and so
// ran during the whole interval between the two.
func countCommon(before, after map[*task]time.Time) int {
	count := 0
	for t, started := range before {
		if again, ok := after[t]; ok && again.Equal(started) {
			count++
		}
	}
	return count
}

// recordToken marks a run as streaming and adds the time of one token to the moving
// average.
func (r *Runner) recordToken(t *task, token time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	t.streaming = true
	if r.tokenTime == 0 {
		r.tokenTime = token
		return
	}
	r.tokenTime += (token - r.tokenTime) / tokenTimeSamples
}
