package runner

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// maxPreempts is how often one attempt gives its place away.
	maxPreempts = 3
	// minRun is how long an attempt runs before it may give its place away.
	minRun = time.Second
)

// PersonOverLong lets a request that somebody waits for take the place of a long
// run that has not aged.
func PersonOverLong(waiting, running *queue.Item) bool {
	return waiting.Attempt.Class == call.ClassInteractive &&
		running.Attempt.Class == call.ClassLong &&
		queue.AgedClass(running, time.Now()) == call.ClassLong
}

// makeRoom interrupts a run for a more urgent item that only lacks a place.
// The run goes on later from where it stopped.
func (r *Runner) makeRoom() {
	if r.hasPlace() {
		return
	}
	waiting := r.Queue.Peek(r.ready)
	if waiting == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var victim *task
	for t := range r.running {
		if t.giving {
			return
		}
		if !r.interruptible(t) || !r.mayPreempt(waiting, t.item) {
			continue
		}
		if victim == nil || t.started.After(victim.started) {
			victim = t
		}
	}
	if victim != nil {
		victim.giving = true
		victim.interrupt()
	}
}

func (r *Runner) mayPreempt(waiting, running *queue.Item) bool {
	if r.Preempt != nil {
		return r.Preempt(waiting, running)
	}
	return PersonOverLong(waiting, running)
}

// interruptible reports whether a run can be resumed and has not given its
// place away too often.
func (r *Runner) interruptible(t *task) bool {
	resumable := t.attempt.Idempotent && t.attempt.Service == "" && !t.attempt.Suspect
	return resumable && t.preempts < maxPreempts && time.Since(t.started) >= minRun
}
