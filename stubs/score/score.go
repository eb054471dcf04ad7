// Package score computes the measures of docs/MEASURES.md from a run's
// records.
package score

import (
	"sort"
	"time"

	"github.com/tanagerspindle/tanagerspindle/stubs/driver"
	"github.com/tanagerspindle/tanagerspindle/stubs/ideal"
)

// The goals of the callers, by sort.
const (
	personFirst  = 2 * time.Second
	personGap    = 120 * time.Millisecond
	personAnswer = 4 * time.Second
	lookupAnswer = time.Second
	filingAnswer = 3 * time.Second
	batchAnswer  = 60 * time.Second
)

// perThousand is the base of the rates.
const perThousand = 1000

// Score holds the measures of one run.
type Score struct {
	// Requests counts all requests, Models those to adapters that were
	// admitted, Within those inside their workspace's rate.
	Requests, Models, Within int
	// Stalls is the number of requests per 1,000 admitted that waited for a
	// load, StallTime the seconds that they waited per 1,000 admitted.
	Stalls, StallTime float64
	// Batch is the occupied share of batch places while work waits.
	Batch float64
	// Worst is the lowest share of in-rate requests within their goal, and
	// WorstWorkspace where.
	Worst          float64
	WorstWorkspace string
	// Refused is the number of in-rate requests refused, per 1,000.
	Refused float64
	// Served holds each workspace's share within goal.
	Served map[string]float64
	// PersonFirst and its like are quantiles of the time to the first token.
	PersonHalf, PersonTail, BatchHalf, BatchTail time.Duration
	// Faults counts requests that ended without an answer or a refusal, by
	// cause.
	Faults map[string]int
	// Codes counts refusals by code.
	Codes map[string]int
}

// Add fills the measures that follow from the requests alone.
func (s *Score) Add(requests []*driver.Request, tenants []driver.Tenant) {
	s.Requests = len(requests)
	s.Faults, s.Codes, s.Served = map[string]int{}, map[string]int{}, map[string]float64{}
	sorted := append([]*driver.Request(nil), requests...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Sent.Before(sorted[j].Sent) })
	s.Worst = 1
	refused := 0
	for index := range tenants {
		within, good, turned := s.tenant(sorted, &tenants[index])
		s.Within += within
		refused += turned
		if within == 0 {
			continue
		}
		share := float64(good) / float64(within)
		s.Served[tenants[index].Workspace] = share
		if share < s.Worst || s.WorstWorkspace == "" {
			s.Worst, s.WorstWorkspace = share, tenants[index].Workspace
		}
	}
	if s.Within > 0 {
		s.Refused = perThousand * float64(refused) / float64(s.Within)
	}
	s.first(requests)
}

// tenant judges one workspace's requests against the ideal bucket.
func (s *Score) tenant(sorted []*driver.Request, tenant *driver.Tenant) (within, good, refused int) {
	bucket := &ideal.Bucket{Rate: float64(tenant.Rate), Burst: float64(tenant.Burst)}
	for _, request := range sorted {
		if request.Workspace != tenant.Workspace {
			continue
		}
		s.count(request)
		if !bucket.Admit(request.Sent, Cost(request)) {
			continue
		}
		within++
		if request.Refused() {
			refused++
		}
		if InGoal(request) {
			good++
		}
	}
	return within, good, refused
}

func (s *Score) count(request *driver.Request) {
	if request.Code != "" {
		s.Codes[request.Code]++
	}
	if request.Code == "" && request.Failure != "" {
		s.Faults[request.Failure]++
	}
	if request.Answered() && request.Adapter != "" {
		s.Models++
	}
}

// Cost is what the ideal bucket debits: prompt plus answer where they are
// known, else the estimate that a full answer gives.
func Cost(request *driver.Request) int64 {
	if request.Adapter == "" {
		return 1
	}
	if request.CompletionTokens > 0 {
		return request.PromptTokens + request.CompletionTokens
	}
	return int64(len(request.Prompt)/4 + request.MaxTokens)
}

// InGoal reports whether a request ended whole within its sort's goal.
func InGoal(request *driver.Request) bool {
	if !request.Answered() {
		return false
	}
	whole := request.Ended.Sub(request.Sent)
	switch request.Caller {
	case driver.CallerLookup:
		return whole <= lookupAnswer
	case driver.CallerFiling:
		return whole <= filingAnswer
	case driver.CallerBatch:
		return whole <= batchAnswer
	}
	if !request.Stream {
		return whole <= personAnswer
	}
	if request.FirstOutput.Sub(request.Sent) > personFirst {
		return false
	}
	gap := request.Ended.Sub(request.FirstOutput) / time.Duration(max(request.CompletionTokens-1, 1))
	return gap <= personGap
}

func (s *Score) first(requests []*driver.Request) {
	var people, batches []time.Duration
	for _, request := range requests {
		if !request.Answered() || request.FirstOutput.IsZero() {
			continue
		}
		wait := request.FirstOutput.Sub(request.Sent)
		switch request.Caller {
		case driver.CallerPerson:
			people = append(people, wait)
		case driver.CallerBatch:
			batches = append(batches, wait)
		}
	}
	s.PersonHalf, s.PersonTail = quantile(people, 0.5), quantile(people, 0.99)
	s.BatchHalf, s.BatchTail = quantile(batches, 0.5), quantile(batches, 0.99)
}

func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[int(share*float64(len(values)-1))]
}
