// Package score computes the measures of docs/MEASURES.md from the request
// records of a run.
package score

import (
	"sort"
	"time"

	"github.com/tanagerspindle/tanagerspindle/stubs/driver"
	"github.com/tanagerspindle/tanagerspindle/stubs/ideal"
)

// The objectives by kind of caller: maximum times to the first token, per further
// token, and to the end of the answer.
const (
	maxInteractiveFirstToken = 2 * time.Second
	maxInteractiveTokenGap   = 120 * time.Millisecond
	maxInteractiveAnswer     = 4 * time.Second
	maxLookupAnswer          = time.Second
	maxFilingAnswer          = 3 * time.Second
	maxBatchAnswer           = 60 * time.Second
)

// perThousand is the number of requests to which rates are normalized.
const perThousand = 1000

// Score holds the measures of one run. Add fills those that follow from the request
// records; the caller sets Stalls, StallTime and Batch.
type Score struct {
	// Requests counts all requests, Models the answered completions and Within the
	// requests inside their workspace's rate.
	Requests, Models, Within int
	// Stalls is the number of requests that waited for an adapter load, per 1,000
	// of Models. StallTime is the sum of these waits in seconds, per 1,000 of
	// Models.
	Stalls, StallTime float64
	// Batch is the share of the engines' request slots that are in use while
	// requests are queued.
	Batch float64
	// Worst is the lowest share of in-rate requests of a workspace that met their
	// objective, and WorstWorkspace is that workspace.
	Worst          float64
	WorstWorkspace string
	// Refused is the number of refused in-rate requests per 1,000 in-rate requests.
	Refused float64
	// Served holds, by workspace, the share of in-rate requests that met their
	// objective.
	Served map[string]float64
	// The median (Half) and 99th percentile (Tail) of the time to the first token,
	// for interactive and batch requests.
	PersonHalf, PersonTail, BatchHalf, BatchTail time.Duration
	// Faults counts the requests that ended without a complete answer or a
	// refusal, by cause.
	Faults map[string]int
	// Codes counts the refusals by error code.
	Codes map[string]int
}

// Add sets the measures that follow from the request records alone.
func (s *Score) Add(requests []*driver.Request, tenants []driver.Tenant) {
	s.Requests = len(requests)
	s.Faults, s.Codes, s.Served = map[string]int{}, map[string]int{}, map[string]float64{}
	sorted := append([]*driver.Request(nil), requests...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Sent.Before(sorted[j].Sent) })
	s.Worst = 1
	refused := 0
	for index := range tenants {
		within, good, rejected := s.addTenant(sorted, &tenants[index])
		s.Within += within
		refused += rejected
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
	s.addFirstTokenTimes(requests)
}

// addTenant adds one workspace's requests. It returns how many are within the rate
// of an ideal token bucket, and how many of these met their objective and were
// refused.
func (s *Score) addTenant(sorted []*driver.Request, tenant *driver.Tenant) (within, good, refused int) {
	bucket := &ideal.Bucket{Rate: float64(tenant.Rate), Burst: float64(tenant.Burst)}
	for _, request := range sorted {
		if request.Workspace != tenant.Workspace {
			continue
		}
		s.addRequest(request)
		if !bucket.Admit(request.Sent, Cost(request)) {
			continue
		}
		within++
		if request.Refused() {
			refused++
		}
		if MeetsObjective(request) {
			good++
		}
	}
	return within, good, refused
}

// addRequest counts a request by its outcome.
func (s *Score) addRequest(request *driver.Request) {
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

// Cost returns the tokens that the ideal bucket debits for a request: its prompt and
// answer tokens if the answer is known, and otherwise an estimate with an answer of
// maximum length and 4 bytes per prompt token. A service call costs 1.
func Cost(request *driver.Request) int64 {
	if request.Adapter == "" {
		return 1
	}
	if request.CompletionTokens > 0 {
		return request.PromptTokens + request.CompletionTokens
	}
	return int64(len(request.Prompt)/4 + request.MaxTokens)
}

// MeetsObjective reports whether a request was answered completely and within the
// objective for its kind of caller.
func MeetsObjective(request *driver.Request) bool {
	if !request.Answered() {
		return false
	}
	total := request.Ended.Sub(request.Sent)
	switch request.Caller {
	case driver.CallerLookup:
		return total <= maxLookupAnswer
	case driver.CallerFiling:
		return total <= maxFilingAnswer
	case driver.CallerBatch:
		return total <= maxBatchAnswer
	}
	if !request.Stream {
		return total <= maxInteractiveAnswer
	}
	if request.FirstOutput.Sub(request.Sent) > maxInteractiveFirstToken {
		return false
	}
	gap := request.Ended.Sub(request.FirstOutput) / time.Duration(max(request.CompletionTokens-1, 1))
	return gap <= maxInteractiveTokenGap
}

// addFirstTokenTimes sets the quantiles of the time to the first token.
func (s *Score) addFirstTokenTimes(requests []*driver.Request) {
	var people, batches []time.Duration
	for _, request := range requests {
		if !request.Answered() || request.FirstOutput.IsZero() {
			continue
		}
		wait := request.FirstOutput.Sub(request.Sent)
		switch request.Caller {
		case driver.CallerInteractive:
			people = append(people, wait)
		case driver.CallerBatch:
			batches = append(batches, wait)
		}
	}
	s.PersonHalf, s.PersonTail = quantile(people, 0.5), quantile(people, 0.99)
	s.BatchHalf, s.BatchTail = quantile(batches, 0.5), quantile(batches, 0.99)
}

// quantile returns the value below which a share of the values lies. It sorts the
// values.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[int(share*float64(len(values)-1))]
}
