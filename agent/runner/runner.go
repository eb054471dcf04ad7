// Package runner processes the attempts that arrive at an agent: it checks and queues
// them, pins adapter slots, runs them on the endpoint and sends frames back to the
// entry.
package runner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/dedup"
	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/agent/slots"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// stepInterval is the longest time between two scheduling steps.
	stepInterval = 100 * time.Millisecond
	// pollInterval is the time between two reads of the engine's state.
	pollInterval = time.Second
)

// Runner runs the attempts of one agent. Its exported fields are set before Run; it is
// safe for concurrent use.
type Runner struct {
	// Host provides the agent's log, meter and data centre.
	Host host.Host
	// Name and Incarnation identify the agent; Incarnation is larger at each start of its
	// process. Address is where entries connect to it.
	Name        string
	Incarnation uint64
	Address     string
	// Lease must be valid for new work to start.
	Lease *lease.Lease
	// Dedup recognises duplicate attempts, Queue holds waiting ones, Slots manages the
	// engine's adapter slots.
	Dedup *dedup.Attempts
	Queue *queue.Queue
	Slots *slots.Slots
	// RecordChanged is called when the result of Record may have changed,
	// LoadRequestsChanged when that of LoadRequests has. Neither may block.
	RecordChanged       func()
	LoadRequestsChanged func()
	// ReportCrash sends the report of an endpoint crash to control.
	ReportCrash func(plane.Crash)
	// ReturnPermit returns a load permit to the coordinator with the result of the
	// load.
	ReturnPermit func(plane.LoadResult)
	// Dial connects to the endpoint beside the agent.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Preempt reports whether a waiting item may preempt a running one, which resumes
	// later; nil means InteractiveOverLong.
	Preempt func(waiting, running *queue.Item) bool

	wake chan struct{}
	once sync.Once

	mutex    sync.Mutex
	stopping bool
	// fence is the fencing number that control gave the agent; 0 before that. An engine that
	// enforces fencing refuses orders of earlier incarnations by their lower numbers.
	fence uint64
	// bans are the digests of requests that may have crashed an endpoint: those that are
	// quarantined, which are refused, and the suspects. They are as of control's revision
	// bansRevision.
	bans         map[string]plane.Ban
	bansRevision uint64
	// loadShare is the result of LoadShare.
	loadShare float64
	// endpoint is nil before the first announcement and after the endpoint has died.
	endpoint *endpoint
	// crashes is the number of endpoint crashes reported.
	crashes uint64
	// running are the tasks that occupy a request slot.
	running map[*task]struct{}
	// openStreams is the number of streams that HandleAttempt serves.
	openStreams int
	// loadRequests and weights are the results of the last planLoads: the wanted loads
	// and the weight of the requests that wait for each adapter version.
	loadRequests []plane.LoadDemand
	weights      map[slots.Key]float64
	// tokenTime is the moving average of the time per token.
	tokenTime time.Duration
	// idle is set while Drain waits; closeIfIdle closes it.
	idle chan struct{}
}

func (r *Runner) prepare() {
	r.once.Do(func() {
		r.wake = make(chan struct{}, 1)
		r.running = map[*task]struct{}{}
		r.Slots.Changed = r.Wake
	})
}

// Wake makes Run perform a scheduling step soon.
func (r *Runner) Wake() {
	r.prepare()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run schedules attempts until ctx ends. Ending ctx also ends running attempts, so call
// Drain first.
func (r *Runner) Run(ctx context.Context) {
	r.prepare()
	go r.pollEngine(ctx)
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		r.step()
		select {
		case <-ctx.Done():
			r.shutDown()
			return
		case <-r.wake:
		case <-ticker.C:
		}
	}
}

// shutDown refuses all waiting attempts and removes the endpoint.
func (r *Runner) shutDown() {
	r.mutex.Lock()
	r.stopping = true
	ended := r.endpoint
	r.endpoint = nil
	r.mutex.Unlock()
	r.step()
	if ended != nil {
		ended.cancel()
		ended.close()
	}
	r.Slots.Close()
}

// Drain refuses new attempts and the queued ones, and waits until running attempts have
// ended or ctx ends.
func (r *Runner) Drain(ctx context.Context) {
	r.prepare()
	r.mutex.Lock()
	r.stopping = true
	r.mutex.Unlock()
	r.step()
	r.RecordChanged()
	select {
	case <-r.idleChannel():
	case <-ctx.Done():
	}
}

func (r *Runner) idleChannel() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	idle := make(chan struct{})
	r.idle = idle
	r.closeIfIdle()
	return idle
}

// closeIfIdle closes the idle channel when nothing runs and every stream has had its
// last frame. The caller holds the mutex.
func (r *Runner) closeIfIdle() {
	if r.idle == nil || len(r.running) > 0 || r.openStreams > 0 {
		return
	}
	close(r.idle)
	r.idle = nil
}

// ApplyUpdate applies an update from control.
func (r *Runner) ApplyUpdate(update *plane.Update) {
	r.prepare()
	r.mutex.Lock()
	if update.Fence != 0 {
		r.fence = update.Fence
	}
	if update.BansRevision != 0 && update.BansRevision != r.bansRevision {
		r.bansRevision = update.BansRevision
		r.bans = map[string]plane.Ban{}
		for _, ban := range update.Bans {
			r.bans[string(ban.Digest)] = ban
		}
	}
	if update.EngineCount > 0 {
		r.loadShare = update.LoadsPerSecond / float64(update.EngineCount)
	}
	r.mutex.Unlock()
	if update.Fence != 0 {
		r.Slots.SetFence(update.Fence)
		r.openEngine()
	}
	r.Wake()
}

// LoadShare returns the agent's static share of the fleet's load budget, in loads per
// second.
func (r *Runner) LoadShare() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.loadShare
}

// step performs one scheduling step: it refuses, starts and preempts attempts and
// updates the load requests.
func (r *Runner) step() {
	if reason := r.refusalReason(); reason != call.ReasonNone {
		r.refuseAll(r.Queue.RemoveIf(func(*queue.Item) bool { return true }), reason)
		r.setLoadRequests(nil, nil)
		return
	}
	r.refuseUnservable()
	for r.startNext() {
		continue
	}
	r.preemptForWaiting()
	r.planLoads()
}

// refusalReason returns why new work is refused, or call.ReasonNone if it is accepted.
func (r *Runner) refusalReason() call.Reason {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.refusalReasonLocked()
}

func (r *Runner) refusalReasonLocked() call.Reason {
	switch {
	case r.stopping:
		return call.ReasonDraining
	case r.endpoint == nil:
		return call.ReasonEngineLost
	case r.endpoint.Draining || r.endpoint.silent:
		return call.ReasonDraining
	case !r.Lease.Valid():
		return call.ReasonLeaseExpired
	case !r.endpoint.open:
		return call.ReasonLeaseExpired
	}
	return call.ReasonNone
}

// refuseUnservable refuses queued attempts that are past their deadline, that are
// quarantined, or that wait for an adapter whose load failed slots.MaxFailures times in a
// row.
func (r *Runner) refuseUnservable() {
	now := time.Now()
	r.refuseAll(r.Queue.RemoveIf(func(i *queue.Item) bool {
		return !i.Deadline.IsZero() && now.After(i.Deadline)
	}), call.ReasonDeadline)
	r.refuseAll(r.Queue.RemoveIf(func(i *queue.Item) bool { return r.quarantined(i.Attempt) }), call.ReasonSuspect)
	failed := map[slots.Key]bool{}
	r.refuseAll(r.Queue.RemoveIf(func(i *queue.Item) bool {
		count, _ := r.Slots.LoadFailures(slotKey(i.Attempt))
		failed[slotKey(i.Attempt)] = count >= slots.MaxFailures
		return count >= slots.MaxFailures
	}), call.ReasonLoadFailed)
	for key, exceeded := range failed {
		if exceeded {
			r.Slots.ResetFailures(key)
		}
	}
}

func (r *Runner) refuseAll(items []*queue.Item, reason call.Reason) {
	for _, i := range items {
		i.Refuse(reason)
	}
}

// quarantined reports whether the attempt's content is quarantined.
func (r *Runner) quarantined(a *call.Attempt) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ban, ok := r.bans[string(a.Digest)]
	return ok && !ban.Suspect
}

// startNext starts the next attempt that can run and reports whether there was one.
func (r *Runner) startNext() bool {
	if !r.hasFreeSlot() {
		return false
	}
	next := r.Queue.Take(r.canRun)
	if next == nil {
		return false
	}
	next.Start()
	return true
}

func (r *Runner) hasFreeSlot() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.hasFreeSlotLocked()
}

func (r *Runner) hasFreeSlotLocked() bool {
	return r.endpoint != nil && len(r.running) < r.endpoint.RequestSlots
}

// canRun reports whether an item could run now if a request slot were free. Suspects run
// one at a time, so that a crash shows which of them caused it.
func (r *Runner) canRun(i *queue.Item) bool {
	if i.Attempt.Suspect && r.suspectRunning() {
		return false
	}
	return i.Attempt.Service != "" || r.Slots.Ready(slotKey(i.Attempt))
}

func (r *Runner) suspectRunning() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for t := range r.running {
		if t.attempt.Suspect {
			return true
		}
	}
	return false
}

func slotKey(a *call.Attempt) slots.Key {
	return slots.Key{Adapter: a.Adapter, Version: a.Version}
}
