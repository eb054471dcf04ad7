package gate

import (
	"math"
	"time"
)

// overrunMargin is the expected final length of an answer relative to its present one once it
// has exceeded its estimate.
const overrunMargin = 1.25

// minReserveSlots is from how many slots on a slot is reserved, so that the reserve of a small
// engine does not take much of it.
const minReserveSlots = 8

// MayStart reports whether a request may go to the engine now. When requests of several
// workspaces share the engine, it admits no request whose memory would make the engine preempt
// a more urgent one, and a workspace that uses much more than its share leaves a reserve.
func (c *Controller) MayStart(r *Request, now time.Time) bool {
	if !c.Fits(r, now) || len(c.running) > 0 && len(c.running)+c.reservedSlots(r, now) >= c.Slots {
		return false
	}
	if len(c.running) > 0 && c.usedTokens+r.expectedTokens()+c.excessTokens(r, now) > c.usableTokens() {
		r.held = true
		return false
	}
	return true
}

// reservedSlots returns how many slots a request has to leave to other workspaces.
func (c *Controller) reservedSlots(r *Request, now time.Time) int {
	return min(int(math.Ceil(c.fair.book.Reserve(r.Spec.Workspace, now)*float64(c.Slots))), c.Slots/minReserveSlots)
}

// excessTokens returns the memory that is expected to be needed beyond the estimates of the
// running requests and of a request that is to start, and the reserve for other workspaces; 0 if
// all belong to one workspace.
//
// The estimate of a running request is exceeded if its answer is longer. The request that is to
// start counts with its longest answer if the engine would preempt a more urgent request before
// it: the engine knows the priority and preempts the newest of the least urgent requests, but
// it does not know that a stream was resumed.
func (c *Controller) excessTokens(r *Request, now time.Time) int64 {
	state := c.runningMemory(now)
	if !state.mixed && (len(c.running) == 0 || state.workspace == r.Spec.Workspace) {
		return 0
	}
	excess := state.overrun + int64(c.fair.book.Reserve(r.Spec.Workspace, now)*float64(c.usableTokens()))
	if state.resumed && !r.Spec.Resumed && state.leastUrgent > r.Spec.Priority {
		excess += max(r.Spec.MemoryTokens()-r.expectedTokens(), 0)
	}
	return excess
}

// runningMemory describes the running requests at one time.
type runningMemory struct {
	at    time.Time
	count int
	// workspace is that of a running request; mixed means that there are others.
	workspace string
	mixed     bool
	// resumed means that a resumed stream runs, leastUrgent is the highest Priority of these.
	resumed     bool
	leastUrgent int32
	// overrun is by how many tokens the requests are expected to exceed their estimates.
	overrun int64
}

// runningMemory is computed once for each time and set of running requests; charge resets it.
func (c *Controller) runningMemory(now time.Time) runningMemory {
	if c.fair.memory.at.Equal(now) && c.fair.memory.count == len(c.running) {
		return c.fair.memory
	}
	state := runningMemory{at: now, count: len(c.running)}
	first := true
	for r := range c.running {
		if first {
			state.workspace, first = r.Spec.Workspace, false
		}
		state.mixed = state.mixed || r.Spec.Workspace != state.workspace
		if r.Spec.Resumed && (!state.resumed || r.Spec.Priority > state.leastUrgent) {
			state.resumed, state.leastUrgent = true, r.Spec.Priority
		}
		state.overrun += c.overrun(r, now)
	}
	c.fair.memory = state
	return state
}

// overrun returns by how many tokens a running request is expected to exceed expectedTokens.
// Its present length follows from the time for which it has run, since the engine does not
// report it to this package.
func (c *Controller) overrun(r *Request, now time.Time) int64 {
	estimated, usual := r.expectedTokens()-r.Spec.PromptTokens, c.EstimateRunTime(r)
	if usual <= 0 {
		return 0
	}
	present := float64(estimated) * now.Sub(r.started).Seconds() / usual.Seconds()
	if present <= float64(estimated) {
		return 0
	}
	return max(min(int64(present*overrunMargin), r.Spec.MaxAnswerTokens)-estimated, 0)
}
