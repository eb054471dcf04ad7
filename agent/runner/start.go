package runner

import (
	"context"
	"errors"
	"net/http/httptrace"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// start runs the task in its own goroutine. Only step calls it.
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

// takeRequestSlot occupies a request slot at the endpoint for a task. If no new work
// may start, it returns a nil endpoint and the reason.
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
	t.connected.Store(false)
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
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), ep, call.ReasonNone
}

// freeRequestSlot releases the task's request slot.
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

// finish sends the last frame of a run and releases its request slot.
func (t *task) finish(frame *call.Frame, outcome *call.Outcome) {
	t.recordEnd(frame, outcome)
	t.runner.freeRequestSlot(t)
}

// recordEnd records the end of a run and sends the last frame.
func (t *task) recordEnd(frame *call.Frame, outcome *call.Outcome) {
	t.mutex.Lock()
	t.state = taskOver
	t.mutex.Unlock()
	if frame.Type == call.FrameRefuse && !frame.MayHaveRun {
		t.runner.Dedup.MarkNotRun(t.attempt.ID)
	} else {
		t.runner.Dedup.Done(t.attempt.ID, outcome)
	}
	t.sendLast(frame)
}

// causeOf returns the reason for which this agent cut the run off, or an empty reason if
// the run was not cut off.
func causeOf(ctx context.Context) cutOffReason {
	if ctx.Err() == nil {
		return ""
	}
	var reason cutOffReason
	if errors.As(context.Cause(ctx), &reason) {
		return reason
	}
	return reasonEndpointDead
}

func (r *Runner) countMetric(name string) {
	if r.Host.Meter != nil {
		r.Host.Meter.Add(name, 1)
	}
}
