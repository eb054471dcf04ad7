// Package runner takes attempts through their life at an agent: checks, queue,
// slots, the endpoint's run, and the frames back to the entry.
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
	// stepInterval is the longest time between two looks at the queue.
	stepInterval = 100 * time.Millisecond
	// watchInterval is the time between two questions about the engine's
	// state.
	watchInterval = time.Second
)

// Runner runs the attempts of one agent. Its exported fields are set before
// Run; it is safe for concurrent use.
type Runner struct {
	// Host is the agent's.
	Host host.Host
	// Name and Incarnation identify the agent, Address is where entries reach
	// it.
	Name        string
	Incarnation uint64
	Address     string
	// Lease must be valid for new work to start.
	Lease *lease.Lease
	// Dedup, Queue and Slots are the agent's.
	Dedup *dedup.Attempts
	Queue *queue.Queue
	Slots *slots.Slots
	// RecordChanged is called when the agent's report has changed, Wished when its
	// wishes have; they do not block.
	RecordChanged       func()
	LoadRequestsChanged func()
	// ReportCrash takes the report of an endpoint's death.
	ReportCrash func(plane.Crash)
	// ReturnPermit gives a permit back.
	ReturnPermit func(plane.LoadResult)
	// Dial connects to the endpoint beside the agent.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Preempt reports whether a waiting item may take the place of a running
	// one, which goes on later; nil means ForPerson.
	Preempt func(waiting, running *queue.Item) bool

	wake chan struct{}
	once sync.Once

	mutex    sync.Mutex
	stopping bool
	fence    uint64
	bans     map[string]plane.Ban
	bansSeen uint64
	share    float64
	endpoint *endpoint
	// deaths counts the endpoint's deaths that were reported.
	deaths  uint64
	running map[*task]struct{}
	streams int
	wishes  []plane.LoadDemand
	waiting map[slots.Key]float64
	speed   time.Duration
	idle    chan struct{}
}

func (r *Runner) prepare() {
	r.once.Do(func() {
		r.wake = make(chan struct{}, 1)
		r.running = map[*task]struct{}{}
		r.Slots.Changed = r.Wake
	})
}

// Wake makes Run look at the queue soon.
func (r *Runner) Wake() {
	r.prepare()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run starts attempts until ctx ends. Runs that have started end with ctx, so
// Drain comes first.
func (r *Runner) Run(ctx context.Context) {
	r.prepare()
	go r.watch(ctx)
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		r.step()
		select {
		case <-ctx.Done():
			r.end()
			return
		case <-r.wake:
		case <-ticker.C:
		}
	}
}

// end hands everything back that still waits.
func (r *Runner) end() {
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

// Drain refuses new attempts, hands the queued ones back, and waits until
// those that have started are over.
func (r *Runner) Drain(ctx context.Context) {
	r.prepare()
	r.mutex.Lock()
	r.stopping = true
	r.mutex.Unlock()
	r.step()
	r.RecordChanged()
	select {
	case <-r.drained():
	case <-ctx.Done():
	}
}

func (r *Runner) drained() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	idle := make(chan struct{})
	r.idle = idle
	r.noteIdle()
	return idle
}

// noteIdle tells Drain when nothing runs and every stream has had its last
// frame. The mutex is held.
func (r *Runner) noteIdle() {
	if r.idle == nil || len(r.running) > 0 || r.streams > 0 {
		return
	}
	close(r.idle)
	r.idle = nil
}

// ApplyUpdate takes control's news.
func (r *Runner) ApplyUpdate(update *plane.Update) {
	r.prepare()
	r.mutex.Lock()
	if update.Fence != 0 {
		r.fence = update.Fence
	}
	if update.BansRevision != 0 && update.BansRevision != r.bansSeen {
		r.bansSeen = update.BansRevision
		r.bans = map[string]plane.Ban{}
		for _, ban := range update.Bans {
			r.bans[string(ban.Digest)] = ban
		}
	}
	if update.EngineCount > 0 {
		r.share = update.LoadsPerSecond / float64(update.EngineCount)
	}
	r.mutex.Unlock()
	if update.Fence != 0 {
		r.Slots.SetFence(update.Fence)
		r.openEngine()
	}
	r.Wake()
}

// LoadShare is the agent's static share of the fleet's load budget, in loads per
// second.
func (r *Runner) LoadShare() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.share
}

// step brings the queue, the places and the wishes up to date.
func (r *Runner) step() {
	if reason := r.closed(); reason != call.ReasonNone {
		r.refuse(r.Queue.RemoveIf(func(*queue.Item) bool { return true }), reason)
		r.setWishes(nil, nil)
		return
	}
	r.sweep()
	for r.startNext() {
		continue
	}
	r.makeRoom()
	r.plan()
}

// closed returns why no new work is taken, or call.ReasonNone.
func (r *Runner) closed() call.Reason {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.closedLocked()
}

func (r *Runner) closedLocked() call.Reason {
	switch {
	case r.stopping:
		return call.ReasonDraining
	case r.endpoint == nil:
		return call.ReasonEngineLost
	case r.endpoint.Leaving || r.endpoint.quiet:
		return call.ReasonDraining
	case !r.Lease.Valid():
		return call.ReasonLeaseExpired
	case !r.endpoint.open:
		return call.ReasonLeaseExpired
	}
	return call.ReasonNone
}

// sweep turns away what cannot be served here any more.
func (r *Runner) sweep() {
	now := time.Now()
	r.refuse(r.Queue.RemoveIf(func(i *queue.Item) bool {
		return !i.Deadline.IsZero() && now.After(i.Deadline)
	}), call.ReasonDeadline)
	r.refuse(r.Queue.RemoveIf(func(i *queue.Item) bool { return r.banned(i.Attempt) }), call.ReasonSuspect)
	failed := map[slots.Key]bool{}
	r.refuse(r.Queue.RemoveIf(func(i *queue.Item) bool {
		count, _ := r.Slots.LoadFailures(keyOf(i.Attempt))
		failed[keyOf(i.Attempt)] = count >= slots.MaxFailures
		return count >= slots.MaxFailures
	}), call.ReasonLoadFailed)
	for key, gone := range failed {
		if gone {
			r.Slots.ResetFailures(key)
		}
	}
}

func (r *Runner) refuse(items []*queue.Item, reason call.Reason) {
	for _, i := range items {
		i.Refuse(reason)
	}
}

// banned reports whether the attempt's content is quarantined.
func (r *Runner) banned(a *call.Attempt) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ban, ok := r.bans[string(a.Digest)]
	return ok && !ban.Suspect
}

// startNext starts the next attempt that may run and reports whether there
// was one.
func (r *Runner) startNext() bool {
	if !r.hasPlace() {
		return false
	}
	next := r.Queue.Take(r.ready)
	if next == nil {
		return false
	}
	next.Start()
	return true
}

func (r *Runner) hasPlace() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.endpoint != nil && len(r.running) < r.endpoint.RequestSlots
}

// ready reports whether an item could run at once if there were a place.
func (r *Runner) ready(i *queue.Item) bool {
	if i.Attempt.Suspect && r.runsSuspect() {
		return false
	}
	return i.Attempt.Service != "" || r.Slots.Ready(keyOf(i.Attempt))
}

func (r *Runner) runsSuspect() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for t := range r.running {
		if t.attempt.Suspect {
			return true
		}
	}
	return false
}

func keyOf(a *call.Attempt) slots.Key {
	return slots.Key{Adapter: a.Adapter, Version: a.Version}
}
