package turns

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// The tiers, in the order of admission.
const (
	tierResumed = iota
	tierOnTime
	tierLate
)

// class is a tier with a priority. Requests of one class are as urgent as one another.
type class struct {
	tier     int
	priority int32
}

func (c class) compare(other class) int {
	return cmp.Or(cmp.Compare(c.tier, other.tier), cmp.Compare(c.priority, other.priority))
}

func classOf(e Entry, resumed bool) class {
	switch {
	case resumed:
		return class{tierResumed, e.Priority}
	case e.OnTime:
		return class{tierOnTime, e.Priority}
	}
	return class{tierLate, e.Priority}
}

// plan computes an order. It holds the accounts of the Book as they will be when the requests
// placed so far have been admitted.
type plan struct {
	entries []Entry
	summary summary
	// waitingWork is the work of all entries.
	waitingWork    float64
	credit         float64
	tags           map[string]float64
	virtual        float64
	admitted       map[class]float64
	offered        map[int32]float64
	served         map[int32]float64
	small, unknown float64
	// resumed states which entries count as resumed.
	resumed []bool
	// lowWaits holds, by entry, after which time it gets its turn by the small share; 0 if it is
	// of the most urgent class or may not precede it.
	lowWaits []time.Duration
	// queues are the entries that are not placed yet, most urgent class first.
	queues []*queue
}

// queue holds the entries of one class that are not placed yet.
type queue struct {
	class class
	// flows holds the entries' indices by workspace, the earliest objective first.
	flows map[string][]int
}

// Order returns the order in which the entries are admitted.
func (b *Book) Order(entries []Entry, now time.Time) []Place {
	b.prepare()
	p := b.newPlan(entries, now)
	p.markResumed()
	p.fillQueues()
	places := make([]Place, 0, len(entries))
	if len(entries) == 0 {
		return places
	}
	p.estimateLow()
	for range entries {
		place := p.next()
		place.Low, place.LowWait = p.lowWaits[place.Index] > 0, p.lowWaits[place.Index]
		places = append(places, place)
	}
	return places
}

func (b *Book) newPlan(entries []Entry, now time.Time) *plan {
	p := &plan{
		entries: entries, summary: b.summarize(now), tags: maps.Clone(b.tags), virtual: b.virtual,
		admitted: map[class]float64{}, offered: map[int32]float64{}, served: map[int32]float64{},
		small: b.small.read(shareWindow, now), unknown: b.unknown.read(shareWindow, now), resumed: make([]bool, len(entries)), lowWaits: make([]time.Duration, len(entries)),
	}
	p.credit = p.summary.credit()
	for key, a := range b.classes {
		p.admitted[key] = a.read(shareWindow, now)
	}
	for key, a := range b.offered {
		p.offered[key] = a.read(ratioWindow, now)
	}
	for key, a := range b.served {
		p.served[key] = a.read(ratioWindow, now)
	}
	for _, e := range entries {
		p.waitingWork += e.Work
	}
	return p
}

// markResumed determines which entries count as resumed: all known ones, and the claimed ones
// as far as unknownShare allows, most urgent first, of workspaces that do not use more than an
// equal share of the engine.
func (p *plan) markResumed() {
	var claimed []int
	waiting := map[string]bool{}
	for i, e := range p.entries {
		waiting[e.Workspace] = true
		p.resumed[i] = e.Resumed && e.Known
		if e.Resumed && !e.Known {
			claimed = append(claimed, i)
		}
	}
	active := max(p.summary.active, len(waiting))
	base := p.summary.total + p.waitingWork
	use, unknown := maps.Clone(p.summary.use), p.unknown
	for len(claimed) > 0 && unknown < unknownShare*base {
		at := 0
		for i := range claimed {
			if p.claimsBefore(claimed[i], claimed[at], use) {
				at = i
			}
		}
		index := claimed[at]
		claimed = slices.Delete(claimed, at, at+1)
		e := p.entries[index]
		if use[e.Workspace]+e.Work > base/float64(active) {
			continue
		}
		p.resumed[index] = true
		use[e.Workspace] += e.Work
		unknown += e.Work
	}
}

// claimsBefore reports whether a claimed resumption is considered before another one.
func (p *plan) claimsBefore(i, j int, use map[string]float64) bool {
	a, b := &p.entries[i], &p.entries[j]
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(use[a.Workspace], use[b.Workspace]), a.Objective.Compare(b.Objective)) < 0
}

func (p *plan) fillQueues() {
	byClass := map[class]*queue{}
	for i, e := range p.entries {
		c := classOf(e, p.resumed[i])
		q := byClass[c]
		if q == nil {
			q = &queue{class: c, flows: map[string][]int{}}
			byClass[c] = q
			p.queues = append(p.queues, q)
		}
		q.flows[e.Workspace] = append(q.flows[e.Workspace], i)
	}
	slices.SortFunc(p.queues, func(a, b *queue) int { return a.class.compare(b.class) })
	for _, q := range p.queues {
		for _, indices := range q.flows {
			slices.SortStableFunc(indices, func(i, j int) int { return p.entries[i].Objective.Compare(p.entries[j].Objective) })
		}
	}
}

// estimateLow computes lowWaits. The classes below the most urgent one divide the small share
// equally, and an entry does not precede entries that have waited longer.
func (p *plan) estimateLow() {
	rate := smallShare * p.summary.rate() / float64(max(len(p.queues)-1, 1))
	if rate == 0 {
		return
	}
	oldest := p.entries[p.head(p.queues[0])].Arrived
	debt := max(p.small-smallShare*p.summary.total, 0)
	for _, q := range p.queues[1:] {
		ahead := debt
		for _, i := range q.byObjective(p.entries) {
			e := &p.entries[i]
			if !p.mayPrecede(e) {
				continue
			}
			wait := time.Duration(ahead / rate * float64(time.Second))
			p.lowWaits[i] = max(wait, e.Arrived.Sub(oldest), time.Nanosecond)
			ahead += e.Work
		}
	}
}

// byObjective returns all entries of a class, the earliest objective first.
func (q *queue) byObjective(entries []Entry) []int {
	var all []int
	for _, indices := range q.flows {
		all = append(all, indices...)
	}
	slices.SortFunc(all, func(i, j int) int {
		return cmp.Or(entries[i].Objective.Compare(entries[j].Objective), cmp.Compare(i, j))
	})
	return all
}

// next places one entry.
func (p *plan) next() Place {
	q, index, small := p.queues[0], p.head(p.queues[0]), false
	if p.small < smallShare*p.summary.total {
		if low, i := p.mostNeglected(index); low != nil {
			q, index, small = low, i, true
		}
	}
	e := p.entries[index]
	p.remove(q, index)
	start := p.start(e.Workspace)
	p.tags[e.Workspace] = start + e.Work
	p.virtual = max(p.virtual, start)
	p.summary.total += e.Work
	p.admitted[q.class] += e.Work
	p.served[e.Priority] += e.Work
	if small {
		p.small += e.Work
	}
	return Place{Index: index, Resumed: p.resumed[index], SmallShare: small}
}

// start returns the virtual time at which a workspace's next request starts.
func (p *plan) start(workspace string) float64 { return max(p.tags[workspace], p.virtual-p.credit) }

// head returns the next entry of a class: that of the workspace furthest behind its share.
// Workspaces that are behind by nearly the same are taken for equal, and the earliest objective
// goes first: small differences are due to the sizes and the moments of single requests.
func (p *plan) head(q *queue) int {
	limit := math.Inf(1)
	for workspace := range q.flows {
		limit = min(limit, p.start(workspace)+tieShare*p.credit)
	}
	best := -1
	for workspace, indices := range q.flows {
		if i := indices[0]; p.start(workspace) <= limit && (best < 0 || p.dueBefore(i, best)) {
			best = i
		}
	}
	return best
}

// dueBefore orders entries of workspaces that are about equally far behind.
func (p *plan) dueBefore(i, j int) bool {
	a, b := &p.entries[i], &p.entries[j]
	return cmp.Or(a.Objective.Compare(b.Objective), cmp.Compare(a.Workspace, b.Workspace)) < 0
}

// mostNeglected returns the class, and its next entry, that has got the least work recently
// among those that may precede the most urgent class by the small share; nil if there is
// none. An entry may precede only an entry that has waited no longer, of a workspace that is not
// further behind its share, and only if its priority is not served a larger part of its work
// than a more urgent one.
func (p *plan) mostNeglected(top int) (*queue, int) {
	var chosen *queue
	index, least, first := 0, 0.0, &p.entries[top]
	for _, q := range p.queues[1:] {
		i := p.head(q)
		e := &p.entries[i]
		if e.Arrived.After(first.Arrived) || p.start(e.Workspace) > p.start(first.Workspace) || !p.mayPrecede(e) {
			continue
		}
		if chosen == nil || p.admitted[q.class] < least {
			chosen, index, least = q, i, p.admitted[q.class]
		}
	}
	return chosen, index
}

// mayPrecede reports whether the served part of an entry's priority stays at or below that of
// all more urgent priorities when the entry is admitted.
func (p *plan) mayPrecede(e *Entry) bool {
	part := (p.served[e.Priority] + e.Work) / max(p.offered[e.Priority], e.Work)
	for priority, offered := range p.offered {
		if priority < e.Priority && p.served[priority] < part*offered {
			return false
		}
	}
	return true
}

func (p *plan) remove(q *queue, index int) {
	e := &p.entries[index]
	if q.flows[e.Workspace] = q.flows[e.Workspace][1:]; len(q.flows[e.Workspace]) == 0 {
		delete(q.flows, e.Workspace)
	}
	if len(q.flows) == 0 {
		p.queues = slices.DeleteFunc(p.queues, func(other *queue) bool { return other == q })
	}
}
