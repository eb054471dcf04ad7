package runner

import (
	"context"
	"errors"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// start runs the task in a goroutine of its own. It is called from step only.
func (t *task) start() {
	r := t.runner
	var release func()
	if t.attempt.Service == "" {
		var ok bool
		release, ok = r.Slots.Pin(slotKey(t.attempt))
		if !ok {
			r.refuseAll(r.Queue.Push(t.item), call.ReasonFull)
			return
		}
	}
	ctx, ep, reason := r.takeRequestSlot(t)
	if ep == nil {
		if release != nil {
			release()
		}
		t.refuse(reason)
		return
	}
	go func() {
		if t.attempt.Service != "" {
			t.runService(ctx, ep)
			return
		}
		t.runModel(ctx, ep, release)
	}()
}

// takeRequestSlot takes a takeRequestSlot at the endpoint for a task. The endpoint is nil, with a
// reason, when no new work may start.
func (r *Runner) takeRequestSlot(t *task) (context.Context, *endpoint, call.Reason) {
	r.mutex.Lock()
	if reason := r.refusalReasonLocked(); reason != call.ReasonNone {
		r.mutex.Unlock()
		return nil, nil, reason
	}
	ep := r.endpoint
	ctx, cancel := context.WithCancelCause(ep.context)
	r.running[t] = struct{}{}
	t.started = time.Now()
	t.preempting = false
	t.cutOff = false
	t.streaming = false
	t.endpoint = ep
	r.mutex.Unlock()
	t.mutex.Lock()
	t.state = taskRunning
	t.reachedEndpoint = true
	t.cancel = cancel
	withdrawn := t.withdrawn
	t.mutex.Unlock()
	if withdrawn {
		cancel(reasonWithdrawn)
	}
	r.RecordChanged()
	return ctx, ep, call.ReasonNone
}

// freeRequestSlot gives the place back.
func (r *Runner) freeRequestSlot(t *task) {
	r.mutex.Lock()
	delete(r.running, t)
	r.closeIfIdle()
	r.mutex.Unlock()
	t.mutex.Lock()
	if t.cancel != nil {
		t.cancel(nil)
		t.cancel = nil
	}
	t.mutex.Unlock()
	r.Wake()
	r.RecordChanged()
}

// finish sends the last frame of a run and gives its place back.
func (t *task) finish(frame *call.Frame, outcome *call.Outcome) {
	t.recordEnd(frame, outcome)
	t.runner.freeRequestSlot(t)
}

// recordEnd records the end of a run and sends the last frame.
func (t *task) recordEnd(frame *call.Frame, outcome *call.Outcome) {
	t.mutex.Lock()
	t.state = taskOver
	t.mutex.Unlock()
	if frame.Step == call.StepRefuse && !frame.Ran {
		t.runner.Dedup.Void(t.attempt.ID)
	} else {
		t.runner.Dedup.Done(t.attempt.ID, outcome)
	}
	t.sendLast(frame)
}

// causeOf returns why the run was cut off by this agent, or the empty cause.
func causeOf(ctx context.Context) cutOffReason {
	if ctx.Err() == nil {
		return ""
	}
	var why cutOffReason
	if errors.As(context.Cause(ctx), &why) {
		return why
	}
	return reasonEndpointDead
}

func (r *Runner) countMetric(name string) {
	if r.Host.Meter != nil {
		r.Host.Meter.Add(name, 1)
	}
}
