package gate

import (
	"math"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/turns"
)

const (
	// fullLoad is the utilization, in thousandths, from which an engine counts as full. At
	// nine tenths of its slots, memory or prefill time, requests already wait.
	fullLoad = 900
	// maxDelayedWait bounds a wait that is extended by later, more urgent requests. It exceeds
	// any caller's patience.
	maxDelayedWait = time.Hour
)

// fairOrder is the part of a Controller that orders the requests of several workspaces.
type fairOrder struct {
	book turns.Book
	// places holds, by waiting request, its place in the order determined by the last call of
	// Controller.Waiting; nil if that call found no workspaces that compete for a full engine.
	places map[*Request]place
	memory runningMemory
}

// place is a request's place in the order.
type place struct {
	turns.Place
	rank int
}

// Decision describes how the order treated a request, for metrics and log.
type Decision struct {
	// Competing means that several workspaces competed for the engine when it was full.
	Competing bool
	// Resumed and SmallShare are as in turns.Place. Claimed means that the record of the
	// resumed stream was not found.
	Resumed, SmallShare, Claimed bool
	// HeldForMemory means that the request waited for memory that more urgent ones may need.
	HeldForMemory bool
	// Share is the part of the recent engine work that the request's workspace used. OverShare
	// means that this is more than an equal part.
	Share     float64
	OverShare bool
}

// entry describes a request to the order.
func (r *Request) entry(now time.Time) turns.Entry {
	answer := r.Spec.MaxAnswerTokens
	if hint := r.Spec.ExpectedAnswerTokens; hint > 0 {
		answer = min(answer, hint)
	}
	return turns.Entry{
		Workspace: r.Spec.Workspace, Priority: r.Spec.Priority,
		Resumed: r.Spec.Resumed, Known: r.Spec.OriginKnown, OnTime: now.Before(r.objective()),
		Arrived: r.Arrived, Objective: r.objective(), Work: turns.Work(r.Spec.PromptTokens, answer),
	}
}

// arrange brings the waiting requests, which are sorted by Request.before, into the order of
// package turns if several workspaces compete for the engine and it is full.
func (c *Controller) arrange(now time.Time) {
	c.fair.places = nil
	if !c.competing() || c.Load(now) < fullLoad {
		return
	}
	entries := make([]turns.Entry, len(c.waiting))
	for i, r := range c.waiting {
		entries[i] = r.entry(now)
	}
	c.fair.places = make(map[*Request]place, len(entries))
	ordered := make([]*Request, 0, len(entries))
	for rank, p := range c.fair.book.Order(entries, now) {
		r := c.waiting[p.Index]
		c.fair.places[r] = place{Place: p, rank: rank}
		ordered = append(ordered, r)
	}
	c.waiting = ordered
}

// competing reports whether requests of several workspaces wait.
func (c *Controller) competing() bool {
	for _, r := range c.waiting {
		if r.Spec.Workspace != c.waiting[0].Spec.Workspace {
			return true
		}
	}
	return false
}

// precedes reports whether a waiting request is admitted before another one.
func (c *Controller) precedes(r, other *Request, now time.Time) bool {
	a, known := c.fair.places[r]
	b, otherKnown := c.fair.places[other]
	if known && otherKnown {
		return a.rank < b.rank
	}
	return r.before(other, now)
}

// delayed extends the wait of a request by the requests that will arrive later and precede it.
func (c *Controller) delayed(r *Request, wait time.Duration, now time.Time) time.Duration {
	p, ok := c.fair.places[r]
	if !ok || p.Resumed || p.SmallShare {
		return wait
	}
	delayed := time.Duration(math.Min(float64(wait)*c.fair.book.Delay(r.entry(now), now), float64(max(wait, maxDelayedWait))))
	if p.Low {
		if now.Before(r.objective()) {
			return min(delayed, max(wait, p.LowWait))
		}
		return min(delayed, p.LowWait)
	}
	return delayed
}

// countsAsResumed reports whether a request has the rights of a resumed stream. When several
// workspaces compete for the engine, a claimed resumption has them only within its share.
func (c *Controller) countsAsResumed(r *Request) bool {
	if p, ok := c.fair.places[r]; ok {
		return p.Resumed
	}
	return r.Spec.Resumed
}

// offer records a request that has arrived, and charge one that is admitted.
func (c *Controller) offer(r *Request) { c.fair.book.Offer(r.entry(r.Arrived), r.Arrived) }

func (c *Controller) charge(r *Request, now time.Time) {
	p, ok := c.fair.places[r]
	if !ok {
		p.Resumed = r.Spec.Resumed
	}
	r.started, c.fair.memory = now, runningMemory{}
	c.fair.book.Admit(r.entry(now), p.Place, now)
	delete(c.fair.places, r)
}

// ReturnTime returns after how long the caller of a refused request may come back, if the
// request could start after wait.
func (c *Controller) ReturnTime(r *Request, wait time.Duration, now time.Time) time.Duration {
	if _, ok := c.fair.places[r]; !ok {
		return wait
	}
	return c.fair.book.Return(r.entry(now), wait, r.Spec.LastCandidate, now)
}

// Explain returns how the order treats a waiting request.
func (c *Controller) Explain(r *Request, now time.Time) Decision {
	d := Decision{Resumed: c.countsAsResumed(r), Claimed: r.Spec.Resumed && !r.Spec.OriginKnown, HeldForMemory: r.held}
	if p, ok := c.fair.places[r]; ok {
		d.Competing, d.SmallShare = true, p.SmallShare
		d.Share, d.OverShare = c.fair.book.Share(r.Spec.Workspace, now)
	}
	return d
}

// Contention describes workspaces that compete for the engine.
type Contention struct {
	// Workspaces and Waiting are the numbers of workspaces and requests that wait.
	Workspaces, Waiting int
	// Heaviest is the workspace of a waiting request that used most of the engine recently,
	// and Share its part of the work.
	Heaviest string
	Share    float64
}

// Contention returns whether, by the last call of Waiting, several workspaces compete for the
// engine and it is full.
func (c *Controller) Contention(now time.Time) (Contention, bool) {
	if c.fair.places == nil {
		return Contention{}, false
	}
	found, seen := Contention{Waiting: len(c.waiting)}, map[string]bool{}
	for _, r := range c.waiting {
		workspace := r.Spec.Workspace
		if seen[workspace] {
			continue
		}
		seen[workspace] = true
		if share, _ := c.fair.book.Share(workspace, now); found.Heaviest == "" || share > found.Share {
			found.Heaviest, found.Share = workspace, share
		}
	}
	found.Workspaces = len(seen)
	return found, true
}
