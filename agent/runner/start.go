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
		release, ok = r.Slots.Pin(keyOf(t.attempt))
		if !ok {
			r.refuse(r.Queue.Push(t.item), call.ReasonFull)
			return
		}
	}
	ctx, ep, reason := r.place(t)
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

// place takes a place at the endpoint for a task. The endpoint is nil, with a
// reason, when no new work may start.
func (r *Runner) place(t *task) (context.Context, *endpoint, call.Reason) {
	r.mutex.Lock()
	if reason := r.closedLocked(); reason != call.ReasonNone {
		r.mutex.Unlock()
		return nil, nil, reason
	}
	ep := r.endpoint
	ctx, cancel := context.WithCancelCause(ep.context)
	r.running[t] = struct{}{}
	t.started = time.Now()
	t.giving = false
	t.ending = false
	t.answering = false
	t.endpoint = ep
	r.mutex.Unlock()
	t.mutex.Lock()
	t.state = taskRunning
	t.placed = true
	t.cancel = cancel
	withdrawn := t.withdrawn
	t.mutex.Unlock()
	if withdrawn {
		cancel(causeCancel)
	}
	r.RecordChanged()
	return ctx, ep, call.ReasonNone
}

// vacate gives the place back.
func (r *Runner) vacate(t *task) {
	r.mutex.Lock()
	delete(r.running, t)
	r.noteIdle()
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
	t.settle(frame, outcome)
	t.runner.vacate(t)
}

// settle records the end of a run and sends the last frame.
func (t *task) settle(frame *call.Frame, outcome *call.Outcome) {
	t.mutex.Lock()
	t.state = taskOver
	t.mutex.Unlock()
	if frame.Type == call.FrameRefuse && !frame.MayHaveRun {
		t.runner.Dedup.MarkNotRun(t.attempt.ID)
	} else {
		t.runner.Dedup.Done(t.attempt.ID, outcome)
	}
	t.last(frame)
}

// cutOff returns why the run was cut off by this agent, or the empty cause.
func cutOff(ctx context.Context) cause {
	if ctx.Err() == nil {
		return ""
	}
	var why cause
	if errors.As(context.Cause(ctx), &why) {
		return why
	}
	return causeDead
}

func (r *Runner) count(name string) {
	if r.Host.Meter != nil {
		r.Host.Meter.Add(name, 1)
	}
}
