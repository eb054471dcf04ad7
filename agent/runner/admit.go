package runner

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// HandleAttempt serves one stream of plane.MethodAttempt: an attempt, then frames
// both ways. It returns when the attempt is over or the entry has gone.
func (r *Runner) HandleAttempt(ctx context.Context, stream *wire.Stream) error {
	r.prepare()
	a := &call.Attempt{}
	if err := stream.Receive(a); err != nil {
		return err
	}
	release := stream.CloseOnDone(ctx)
	defer release()
	r.openStream(1)
	defer r.openStream(-1)
	t := r.newTask(a, stream)
	if reason, ran := r.admit(a); reason != call.ReasonNone {
		t.send(&call.Frame{Type: call.FrameRefuse, Reason: reason, MayHaveRun: ran})
		return nil
	}
	r.enqueue(t)
	go t.listen()
	select {
	case <-t.over:
	case <-t.goneChannel:
	}
	return nil
}

func (r *Runner) openStream(change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.streams += change
	r.noteIdle()
}

// admit checks an attempt that has just arrived. A refused one has not run
// here and never will, except a second arrival of one that may have.
func (r *Runner) admit(a *call.Attempt) (reason call.Reason, ran bool) {
	switch reason = r.Dedup.Begin(a); reason {
	case call.ReasonNone:
	case call.ReasonDuplicate:
		return reason, true
	default:
		return reason, false
	}
	reason = r.check(a)
	if reason != call.ReasonNone {
		r.Dedup.MarkNotRun(a.ID)
	}
	return reason, false
}

func (r *Runner) check(a *call.Attempt) call.Reason {
	if r.banned(a) {
		return call.ReasonSuspect
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if reason := r.closedLocked(); reason != call.ReasonNone {
		return reason
	}
	if a.Service != r.endpoint.Service || a.Model != r.endpoint.Model {
		return call.ReasonInvalid
	}
	return call.ReasonNone
}

// enqueue puts a task into the queue and turns away what has to go for it.
func (r *Runner) enqueue(t *task) {
	if t.attempt.Service == "" {
		key := keyOf(t.attempt)
		r.Slots.Touch(key)
		t.missing = !r.Slots.Ready(key)
	}
	r.refuse(r.Queue.Push(t.item), call.ReasonFull)
	r.Wake()
	r.RecordChanged()
}

func (r *Runner) newTask(a *call.Attempt, stream *wire.Stream) *task {
	t := &task{
		runner: r, attempt: a, stream: stream, reserved: a.ReservedTokens,
		over: make(chan struct{}), goneChannel: make(chan struct{}), extended: make(chan struct{}, 1),
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
