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

// waitDoubling is the wait after which a waiting request has twice its weight.
const waitDoubling = 2 * time.Second

// classWeights holds the weight of one waiting request of each class.
var classWeights = [call.ClassCount]float64{1, 0.5, 0.2}

// Record returns the agent's report to control, without ReportSeq.
func (r *Runner) Record() *roster.Record {
	record := &roster.Record{
		Agent: r.Name, Incarnation: r.Incarnation, Address: r.Address,
		DataCentre: r.Host.DataCentre, Queued: r.Queue.LengthsByClass(),
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record.Fence = r.fence
	record.Running = int32(len(r.running))
	record.TokenMicros = r.tokenTime.Microseconds()
	record.Digests = r.runningDigestsLocked()
	slices.SortFunc(record.Digests, slices.Compare)
	reason := r.refusalReasonLocked()
	record.Ready = reason == call.ReasonNone
	record.Draining = reason == call.ReasonDraining
	if r.endpoint == nil {
		return record
	}
	record.Model, record.Service = r.endpoint.Model, r.endpoint.Service
	record.AdapterSlots, record.RequestSlots = int32(r.endpoint.AdapterSlots), int32(r.endpoint.RequestSlots)
	record.EnforcesFencing = r.endpoint.EnforcesFencing
	if r.endpoint.open && r.endpoint.engine != nil {
		record.ResidentAdapters = r.Slots.Residents()
	}
	return record
}

// withLoad adds the current load to a frame.
func (r *Runner) withLoad(frame *call.Frame) *call.Frame {
	frame.Queued = r.Queue.LengthsByClass()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	frame.Running = int32(len(r.running))
	return frame
}

// EnforcesFencing reports whether the endpoint refuses orders with an old fencing number.
// It is true for a plain service, which takes no orders.
func (r *Runner) EnforcesFencing() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.endpoint != nil && (r.endpoint.EnforcesFencing || r.endpoint.service != nil)
}

// HasEndpoint reports whether the agent has a live endpoint that has announced itself.
func (r *Runner) HasEndpoint() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.endpoint != nil
}

// keyDemand sums up the queued requests for one adapter version.
type keyDemand struct {
	plane.LoadDemand
	// weight is the sum of the requests' class weights, each increased by its wait.
	weight float64
}

// planLoads decides which adapter versions to request loads for: those that waiting
// requests need, and then popular ones for the slots that stay empty.
func (r *Runner) planLoads() {
	demands := r.demandByKey()
	weights := map[slots.Key]float64{}
	var wanted []slots.WaitingKey
	for key, d := range demands {
		weights[key] = d.weight
		wanted = append(wanted, slots.WaitingKey{Key: key, Urgency: d.weight})
	}
	sort.Slice(wanted, func(i, j int) bool {
		a, b := demands[wanted[i].Key], demands[wanted[j].Key]
		return a.LongestWait > b.LongestWait || (a.LongestWait == b.LongestWait && a.Adapter < b.Adapter)
	})
	var requests []plane.LoadDemand
	for _, key := range r.Slots.Plan(wanted, weights) {
		requests = append(requests, demands[key].LoadDemand)
	}
	for _, key := range r.Slots.PlanPrefetch(len(requests)) {
		requests = append(requests, plane.LoadDemand{Adapter: key.Adapter, Version: key.Version})
	}
	r.setLoadRequests(requests, weights)
}

// demandByKey sums up the queued requests by adapter version.
func (r *Runner) demandByKey() map[slots.Key]*keyDemand {
	now := time.Now()
	demands := map[slots.Key]*keyDemand{}
	r.Queue.Each(func(i *queue.Item) {
		if i.Attempt.Service != "" {
			return
		}
		key := slotKey(i.Attempt)
		d := demands[key]
		if d == nil {
			d = &keyDemand{LoadDemand: plane.LoadDemand{
				Adapter: key.Adapter, Version: key.Version,
				Workspace: i.Attempt.Workspace, Waiters: make([]int32, call.ClassCount),
			}}
			demands[key] = d
		}
		d.add(i, now)
	})
	slotCount := r.requestSlots()
	for _, d := range demands {
		d.ExtraCopy = d.waiterCount() > slotCount
	}
	return demands
}

// add counts one queued item.
func (d *keyDemand) add(i *queue.Item, now time.Time) {
	waited := i.WaitTime(now)
	d.Waiters[i.Attempt.Class]++
	d.WaitingTokens += i.Cost()
	d.weight += classWeights[i.Attempt.Class] * (1 + float64(waited)/float64(waitDoubling))
	d.LongestWait = max(d.LongestWait, span.Duration(waited))
	if i.Deadline.IsZero() {
		return
	}
	remaining := span.Duration(max(i.Deadline.Sub(now), 1))
	if d.Remaining == 0 || remaining < d.Remaining {
		d.Remaining = remaining
	}
}

func (d *keyDemand) waiterCount() int {
	total := 0
	for _, count := range d.Waiters {
		total += int(count)
	}
	return total
}

func (r *Runner) requestSlots() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.endpoint == nil {
		return 0
	}
	return r.endpoint.RequestSlots
}

// setLoadRequests records the result of planLoads and reports a change of the requests.
func (r *Runner) setLoadRequests(requests []plane.LoadDemand, weights map[slots.Key]float64) {
	r.mutex.Lock()
	same := slices.EqualFunc(r.loadRequests, requests, func(a, b plane.LoadDemand) bool {
		return a.Adapter == b.Adapter && a.Version == b.Version && slices.Equal(a.Waiters, b.Waiters)
	})
	r.loadRequests, r.weights = requests, weights
	r.mutex.Unlock()
	if !same {
		r.LoadRequestsChanged()
	}
}

// LoadRequests returns the current load requests, most valuable first, and the number
// of loads in progress.
func (r *Runner) LoadRequests() ([]plane.LoadDemand, int) {
	r.mutex.Lock()
	requests := slices.Clone(r.loadRequests)
	r.mutex.Unlock()
	return requests, r.Slots.LoadsInFlight()
}

// UsePermit starts a permitted load, or returns the permit if the load is no longer
// requested.
func (r *Runner) UsePermit(permit *plane.Permit) {
	key := slots.Key{Adapter: permit.Adapter, Version: permit.Version}
	r.mutex.Lock()
	requested := slices.ContainsFunc(r.loadRequests, func(w plane.LoadDemand) bool {
		return w.Adapter == key.Adapter && w.Version == key.Version
	})
	weights := r.weights
	r.mutex.Unlock()
	began := requested && r.Slots.StartLoad(slots.WaitingKey{Key: key, Urgency: weights[key]}, weights, func(err error) {
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
