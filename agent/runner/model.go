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
	// confirmPause is the time between two questions whether the engine has
	// ended a run that was cut off.
	confirmPause = 50 * time.Millisecond
	// longestConfirm bounds the pause, which doubles.
	longestConfirm = time.Second
	// speedShare is the weight of the newest token in the mean token time.
	speedShare = 8
)

// errVersion says that the engine ran another version than asked.
const errVersion cause = "other version"

// runModel puts the attempt to the engine and passes its tokens on. release
// ends the pin.
func (t *task) runModel(ctx context.Context, ep *endpoint, release func()) {
	var waited time.Duration
	if t.missing {
		waited = time.Since(t.item.Arrived)
		t.runner.count("load_waits")
		t.runner.Host.Meter.Add("load_wait_us", waited.Microseconds())
	}
	last := time.Now()
	end, err := ep.engine.Run(ctx, t.item.Attempt, func(text, version string) error {
		if version != "" && version != t.attempt.Version {
			return errVersion
		}
		t.runner.noteToken(t, time.Since(last))
		if err := t.await(ctx); err != nil {
			return err
		}
		t.head(http.StatusOK, nil, waited)
		t.text = append(t.text, text...)
		t.part([]byte(text), 1)
		last = time.Now()
		return nil
	})
	if err == nil && end.Version != t.attempt.Version {
		err = errVersion
	}
	if err != nil {
		t.failModel(ctx, ep, release, err)
		return
	}
	release()
	t.head(http.StatusOK, nil, waited)
	t.endModel(end)
}

func (t *task) endModel(end *engine.Result) {
	frame := &call.Frame{
		Type: call.FrameEnd, Tokens: t.tokens, Version: end.Version,
		FinishReason: end.FinishReason, CachedTokens: end.CachedTokens,
	}
	t.finish(frame, outcomeOf(http.StatusOK, nil, t.text))
}

// failModel ends a run that gave no whole answer.
func (t *task) failModel(ctx context.Context, ep *endpoint, release func(), err error) {
	why := cutOff(ctx)
	switch {
	case errors.Is(err, errVersion):
		t.runner.Host.Log.Write("wrong-version", "adapter", t.attempt.Adapter, "asked", t.attempt.Version)
		t.runner.Slots.Invalidate(keyOf(t.attempt))
		t.abandon(ep, release, call.ReasonWrongVersion)
	case why == causePreempt:
		t.requeue(ep, release)
	case why == causeCancel:
		t.abandon(ep, release, call.ReasonCancelled)
	case why == "" && errors.Is(err, &engine.Error{Kind: engine.KindMalformedRequest}):
		release()
		t.finish(refusal(call.ReasonInvalid, false), nil)
	case why == "" && engine.Lost(err) && !t.runner.verify(ep):
		ep.noteBroken(t.attempt.Digest)
		t.abandon(ep, release, call.ReasonEngineLost)
	default:
		t.runner.Host.Log.Write("run-failed", "attempt", t.attempt.IDString(), "err", err)
		release()
		t.finish(refusal(call.ReasonEngineLost, true), nil)
	}
}

func refusal(reason call.Reason, ran bool) *call.Frame {
	return &call.Frame{Type: call.FrameRefuse, Reason: reason, MayHaveRun: ran}
}

// abandon ends a run that was cut off. Pin and place are given back once the
// engine has ended it.
func (t *task) abandon(ep *endpoint, release func(), reason call.Reason) {
	t.settle(refusal(reason, true), nil)
	t.confirm(ep)
	release()
	t.runner.vacate(t)
}

// requeue puts an interrupted run back into the queue, to go on after the
// tokens that it has sent.
func (t *task) requeue(ep *endpoint, release func()) {
	t.confirm(ep)
	release()
	r := t.runner
	r.vacate(t)
	r.mutex.Lock()
	t.preempts++
	resumed := *t.attempt
	resumed.DeliveredTokens += t.tokens
	resumed.DeliveredText += string(t.text)
	t.item.Attempt = &resumed
	r.mutex.Unlock()
	t.mutex.Lock()
	t.state = taskQueued
	t.mutex.Unlock()
	r.count("preempted")
	r.refuse(r.Queue.Push(t.item), call.ReasonFull)
	t.mutex.Lock()
	withdrawn := t.withdrawn
	t.mutex.Unlock()
	if withdrawn {
		t.withdraw()
	}
	r.Wake()
}

// confirm waits until the engine has ended a run that was cut off, or is dead.
// A cancellation may be lost, so the engine is asked.
func (t *task) confirm(ep *endpoint) {
	r := t.runner
	r.mutex.Lock()
	t.ending = true
	r.mutex.Unlock()
	key := keyOf(t.attempt)
	for wait := confirmPause; ep.context.Err() == nil; wait = min(2*wait, longestConfirm) {
		before := r.answering(key)
		state, err := ep.engine.State(ep.context)
		if err == nil && runningOn(state, key) <= common(before, r.answering(key)) {
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

func runningOn(state *engine.State, key slots.Key) int {
	for _, held := range state.Held {
		if held.Adapter == key.Adapter && held.Version == key.Version {
			return held.RunningRequests
		}
	}
	return 0
}

// answering returns the runs on a key that have sent tokens and have not been
// cut off, with the time of their start. The engine counts these for sure.
func (r *Runner) answering(key slots.Key) map[*task]time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	runs := map[*task]time.Time{}
	for t := range r.running {
		if t.answering && !t.ending && keyOf(t.attempt) == key {
			runs[t] = t.started
		}
	}
	return runs
}

// common counts the runs that are in both sets, so that they went on for the
// whole time between.
func common(before, after map[*task]time.Time) int {
	count := 0
	for t, started := range before {
		if again, ok := after[t]; ok && again.Equal(started) {
			count++
		}
	}
	return count
}

// noteToken notes that a run has sent a token, and takes its time into the
// mean.
func (r *Runner) noteToken(t *task, token time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	t.answering = true
	if r.speed == 0 {
		r.speed = token
		return
	}
	r.speed += (token - r.speed) / speedShare
}
