package runner

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// HandleAttempt serves one stream of plane.MethodAttempt: it receives one attempt and
// then exchanges frames in both directions. It returns when the attempt has ended or
// the entry has disconnected.
func (r *Runner) HandleAttempt(ctx context.Context, stream *wire.Stream) error {
	r.prepare()
	a := &call.Attempt{}
	if err := stream.Receive(a); err != nil {
		return err
	}
	release := stream.CloseOnDone(ctx)
	defer release()
	r.countStream(1)
	defer r.countStream(-1)
	t := r.newTask(a, stream)
	if reason, ran := r.admit(a); reason != call.ReasonNone {
		t.send(&call.Frame{Type: call.FrameRefuse, Reason: reason, MayHaveRun: ran})
		return nil
	}
	r.enqueue(t)
	go t.receiveFrames()
	select {
	case <-t.finished:
	case <-t.entryGone:
	}
	return nil
}

func (r *Runner) countStream(change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.openStreams += change
	r.closeIfIdle()
}

// admit checks a newly arrived attempt. A refused attempt has not run here and never
// will, unless it is a duplicate of an attempt that may have run; ran is then true.
func (r *Runner) admit(a *call.Attempt) (reason call.Reason, ran bool) {
	switch reason = r.Dedup.Begin(a); reason {
	case call.ReasonNone:
	case call.ReasonDuplicate:
		return reason, true
	default:
		return reason, false
	}
	reason = r.checkAccepted(a)
	if reason != call.ReasonNone {
		r.Dedup.MarkNotRun(a.ID)
	}
	return reason, false
}

// checkAccepted returns why the agent does not accept an attempt, or call.ReasonNone.
func (r *Runner) checkAccepted(a *call.Attempt) call.Reason {
	if r.quarantined(a) {
		return call.ReasonSuspect
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if reason := r.refusalReasonLocked(); reason != call.ReasonNone {
		return reason
	}
	if a.Service != r.endpoint.Service || a.Model != r.endpoint.Model {
		return call.ReasonInvalid
	}
	return call.ReasonNone
}

// enqueue queues a task and refuses the tasks that the queue removes because it is full,
// which may include the new task.
func (r *Runner) enqueue(t *task) {
	if t.attempt.Service == "" {
		key := slotKey(t.attempt)
		r.Slots.Touch(key)
		t.adapterMissing = !r.Slots.Ready(key)
	}
	r.refuseAll(r.Queue.Push(t.item), call.ReasonFull)
	r.Wake()
	r.RecordChanged()
}

func (r *Runner) newTask(a *call.Attempt, stream *wire.Stream) *task {
	t := &task{
		runner: r, attempt: a, stream: stream, reserved: a.ReservedTokens,
		finished: make(chan struct{}), entryGone: make(chan struct{}), extended: make(chan struct{}, 1),
	}
	t.item = &queue.Item{Attempt: a, Arrived: time.Now(), Start: t.start, Refuse: t.refuse}
	if a.Remaining > 0 {
		t.item.Deadline = t.item.Arrived.Add(a.Remaining)
	}
	return t
}

// HandleProbe serves one stream of plane.MethodProbe.
func (r *Runner) HandleProbe(_ context.Context, stream *wire.Stream) error {
	var probe call.Probe
	if err := stream.Receive(&probe); err != nil {
		return err
	}
	return stream.Send(r.Dedup.Probe(&probe))
}
