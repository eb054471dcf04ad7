package runner

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// maxPreemptions is how often one attempt gives its place away.
	maxPreemptions = 3
	// minRun is how long an attempt runs before it may give its place away.
	minRun = time.Second
)

// PersonOverLong lets a request that somebody waits for take the place of a long
// run that has not aged.
func PersonOverLong(waiting, running *queue.Item) bool {
	return waiting.Attempt.Class == call.ClassPerson &&
		running.Attempt.Class == call.ClassLong &&
		queue.Aged(running, time.Now()) == call.ClassLong
}

// preemptForWaiting interrupts a run for a more urgent item that only lacks a place.
// The run goes on later from where it stopped.
func (r *Runner) preemptForWaiting() {
	if r.hasFreeSlot() {
		return
	}
	waiting := r.Queue.Peek(r.canRun)
	if waiting == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
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
	return PersonOverLong(waiting, running)
}

// preemptible reports whether a run can be resumed and has not given its
// place away too often.
func (r *Runner) preemptible(t *task) bool {
	resumable := t.attempt.Repeat && t.attempt.Service == "" && !t.attempt.Suspect
	return resumable && t.preemptions < maxPreemptions && time.Since(t.started) >= minRun
}
