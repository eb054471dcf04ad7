package runner

import (
	"slices"
	"sort"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/agent/slots"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// waitScale is the wait after which a waiting request counts twice.
const waitScale = 2 * time.Second

// urgency is how much one waiting request of each class counts.
var urgency = [call.ClassCount]float64{1, 0.5, 0.2}

// Record returns the agent's report, without Beat.
func (r *Runner) Record() *roster.Record {
	record := &roster.Record{
		Agent: r.Name, Incarnation: r.Incarnation, Address: r.Address,
		DataCentre: r.Host.DataCentre, Queued: r.Queue.LengthsByClass(),
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record.Fence = r.fence
	record.Running = int32(len(r.running))
	record.TokenMicros = r.speed.Microseconds()
	record.Digests = r.digestsLocked()
	slices.SortFunc(record.Digests, slices.Compare)
	reason := r.closedLocked()
	record.Ready = reason == call.ReasonNone
	record.Draining = reason == call.ReasonDraining
	if r.endpoint == nil {
		return record
	}
	record.Model, record.Service = r.endpoint.Model, r.endpoint.Service
	record.AdapterSlots, record.RequestSlots = int32(r.endpoint.AdapterSlots), int32(r.endpoint.RequestSlots)
	record.EnforcesFencing = r.endpoint.Fenced
	if r.endpoint.open && r.endpoint.engine != nil {
		record.ResidentAdapters = r.Slots.Residents()
	}
	return record
}

// loaded adds the present load to a frame.
func (r *Runner) loaded(frame *call.Frame) *call.Frame {
	frame.Queued = r.Queue.LengthsByClass()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	frame.Running = int32(len(r.running))
	return frame
}

// ChecksFence reports whether the endpoint refuses orders with an old fencing
// number. A plain service takes no orders.
func (r *Runner) ChecksFence() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.endpoint != nil && (r.endpoint.Fenced || r.endpoint.service != nil)
}

// HasEndpoint reports whether an endpoint has announced itself.
func (r *Runner) HasEndpoint() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.endpoint != nil
}

// group is what waits for one key.
type group struct {
	plane.LoadDemand
	urgency float64
}

// plan works out which adapters to wish for.
func (r *Runner) plan() {
	groups := r.groups()
	waiting := map[slots.Key]float64{}
	var wanted []slots.Demand
	for key, g := range groups {
		waiting[key] = g.urgency
		wanted = append(wanted, slots.Demand{Key: key, Urgency: g.urgency})
	}
	sort.Slice(wanted, func(i, j int) bool {
		a, b := groups[wanted[i].Key], groups[wanted[j].Key]
		return a.LongestWait > b.LongestWait || (a.LongestWait == b.LongestWait && a.Adapter < b.Adapter)
	})
	var wishes []plane.LoadDemand
	for _, key := range r.Slots.Plan(wanted, waiting) {
		wishes = append(wishes, groups[key].LoadDemand)
	}
	for _, key := range r.Slots.PlanPrefetch(len(wishes)) {
		wishes = append(wishes, plane.LoadDemand{Adapter: key.Adapter, Version: key.Version})
	}
	r.setWishes(wishes, waiting)
}

// groups sums up what waits for each key.
func (r *Runner) groups() map[slots.Key]*group {
	now := time.Now()
	groups := map[slots.Key]*group{}
	r.Queue.Each(func(i *queue.Item) {
		if i.Attempt.Service != "" {
			return
		}
		key := keyOf(i.Attempt)
		g := groups[key]
		if g == nil {
			g = &group{LoadDemand: plane.LoadDemand{
				Adapter: key.Adapter, Version: key.Version,
				Workspace: i.Attempt.Workspace, Waiters: make([]int32, call.ClassCount),
			}}
			groups[key] = g
		}
		g.add(i, now)
	})
	places := r.places()
	for _, g := range groups {
		g.ExtraCopy = g.total() > places
	}
	return groups
}

func (g *group) add(i *queue.Item, now time.Time) {
	waited := i.WaitTime(now)
	g.Waiters[i.Attempt.Class]++
	g.WaitingTokens += i.Cost()
	g.urgency += urgency[i.Attempt.Class] * (1 + float64(waited)/float64(waitScale))
	g.LongestWait = max(g.LongestWait, span.Duration(waited))
	if i.Deadline.IsZero() {
		return
	}
	left := span.Duration(max(i.Deadline.Sub(now), 1))
	if g.Remaining == 0 || left < g.Remaining {
		g.Remaining = left
	}
}

func (g *group) total() int {
	total := 0
	for _, count := range g.Waiters {
		total += int(count)
	}
	return total
}

func (r *Runner) places() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.endpoint == nil {
		return 0
	}
	return r.endpoint.RequestSlots
}

func (r *Runner) setWishes(wishes []plane.LoadDemand, waiting map[slots.Key]float64) {
	r.mutex.Lock()
	same := slices.EqualFunc(r.wishes, wishes, func(a, b plane.LoadDemand) bool {
		return a.Adapter == b.Adapter && a.Version == b.Version && slices.Equal(a.Waiters, b.Waiters)
	})
	r.wishes, r.waiting = wishes, waiting
	r.mutex.Unlock()
	if !same {
		r.LoadRequestsChanged()
	}
}

// LoadRequests returns the present wishes and the number of loads in progress.
func (r *Runner) LoadRequests() ([]plane.LoadDemand, int) {
	r.mutex.Lock()
	wishes := slices.Clone(r.wishes)
	r.mutex.Unlock()
	return wishes, r.Slots.Loading()
}

// UsePermit starts a permitted load, or gives the permit back when it is no
// longer wanted.
func (r *Runner) UsePermit(permit *plane.Permit) {
	key := slots.Key{Adapter: permit.Adapter, Version: permit.Version}
	r.mutex.Lock()
	wished := slices.ContainsFunc(r.wishes, func(w plane.LoadDemand) bool {
		return w.Adapter == key.Adapter && w.Version == key.Version
	})
	waiting := r.waiting
	r.mutex.Unlock()
	began := wished && r.Slots.StartLoad(slots.Demand{Key: key, Urgency: waiting[key]}, waiting, func(err error) {
		r.ReturnPermit(plane.LoadResult{PermitID: permit.ID, Loaded: err == nil})
		r.Wake()
		r.RecordChanged()
	})
	if !began {
		r.ReturnPermit(plane.LoadResult{PermitID: permit.ID, Unused: true})
		return
	}
	r.Wake()
	r.RecordChanged()
}
