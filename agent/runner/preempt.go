package runner

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// maxPreemptions is how often one attempt may be preempted. After that it keeps its
	// request slot until it ends.
	maxPreemptions = 3
	// minRun is how long an attempt runs before it may be preempted.
	minRun = time.Second
)

// InteractiveOverLong is the default of Runner.Preempt: a call.ClassInteractive request
// preempts a call.ClassLong run that has not aged into a more urgent class.
func InteractiveOverLong(waiting, running *queue.Item) bool {
	return waiting.Attempt.Class == call.ClassInteractive &&
		running.Attempt.Class == call.ClassLong &&
		queue.AgedClass(running, time.Now()) == call.ClassLong
}

// preemptForWaiting interrupts a run for a more urgent item that lacks only a request
// slot. The interrupted run resumes later where it stopped.
func (r *Runner) preemptForWaiting() {
	if r.hasFreeSlot() {
		return
	}
	if waiting := r.Queue.Peek(r.canRun); waiting != nil {
		r.preemptFor(waiting)
	}
}

// preemptFor interrupts a run for the waiting item, unless a slot has become free since
// the item was chosen or a run is being interrupted already.
func (r *Runner) preemptFor(waiting *queue.Item) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.hasFreeSlotLocked() {
		return
	}
	var victim *task
	for t := range r.running {
		if t.preempting {
			return
		}
		if !r.preemptible(t) || !r.preemptAllowed(waiting, t.item) {
			continue
		}
		if victim == nil || t.started.After(victim.started) {
			victim = t
		}
	}
	if victim != nil {
		victim.preempting = true
		victim.preempt()
	}
}

func (r *Runner) preemptAllowed(waiting, running *queue.Item) bool {
	if r.Preempt != nil {
		return r.Preempt(waiting, running)
	}
	return InteractiveOverLong(waiting, running)
}

// preemptible reports whether a run can be resumed, is not a suspect, has run for minRun
// and has not been preempted too often.
func (r *Runner) preemptible(t *task) bool {
	resumable := t.attempt.Idempotent && t.attempt.Service == "" && !t.attempt.Suspect
	return resumable && t.preemptions < maxPreemptions && time.Since(t.started) >= minRun
}
