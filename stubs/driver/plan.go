// Package driver generates the workload of a benchmark: it simulates the callers of a
// deployment and records the outcome of each request. Requests never state their urgency.
package driver

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// CallerKind is the kind of caller behind a request. Requests do not carry it; a benchmark
// compares it with the urgency that the system inferred.
type CallerKind string

// The kinds of callers.
const (
	CallerInteractive CallerKind = "person"
	CallerBatch       CallerKind = "batch"
	CallerLookup      CallerKind = "lookup"
	CallerFiling      CallerKind = "filing"
)

// Tenant describes the traffic of one workspace.
type Tenant struct {
	// Workspace is the name of the workspace. Rate, in tokens per second, and Burst, in
	// tokens, are its rate limit.
	Workspace   string
	Rate, Burst int64
	// InteractiveKey is the API key of interactive users and BatchKey that of batch users.
	// They are equal where a workspace has one key for both.
	InteractiveKey, BatchKey string
	// Adapters are the adapters of the workspace, the most popular first.
	Adapters []string
	// InteractiveUsers is the number of people who send requests, BatchUsers the number of
	// callers that send batch jobs, and FloodUsers the number of further ones that send
	// batch jobs in the second half of the run only.
	InteractiveUsers, BatchUsers, FloodUsers int
	// LookupsPerSecond and FilingsPerSecond are the mean rates of requests to the service.
	LookupsPerSecond, FilingsPerSecond float64
}

const (
	// thinkTime is the mean pause of an interactive user between two requests.
	thinkTime = 8 * time.Second
	// jobPause is the mean pause of a batch user between two jobs.
	jobPause = 6 * time.Second
	// jobSize is the number of requests of a batch job, and jobConcurrency the number of
	// them that are in flight at once.
	jobSize, jobConcurrency = 24, 4
	// maxInteractiveTokens and maxBatchTokens limit the max_tokens of requests; the lower
	// limit is half of them.
	maxInteractiveTokens, maxBatchTokens = 80, 220
	// zipfExponent is the exponent of the Zipf distribution of the adapters' popularity.
	zipfExponent = 1.2
	// atypicalShare is the share of interactive users whose program does not stream, and of
	// batch jobs whose program does.
	atypicalShare = 0.2
	// resendShare is the share of filings that are sent twice.
	resendShare = 0.15
)

// popularity draws ranks, counted from 0, with a probability proportional to
// 1/(rank+1)^zipfExponent.
type popularity struct {
	cumulative []float64
}

func newPopularity(size int) *popularity {
	p := &popularity{cumulative: make([]float64, size)}
	sum := 0.0
	for rank := range size {
		sum += 1 / math.Pow(float64(rank+1), zipfExponent)
		p.cumulative[rank] = sum
	}
	return p
}

// draw returns a random rank.
func (p *popularity) draw(random *rand.Rand) int {
	target := random.Float64() * p.cumulative[len(p.cumulative)-1]
	low, high := 0, len(p.cumulative)-1
	for low < high {
		middle := (low + high) / 2
		if p.cumulative[middle] < target {
			low = middle + 1
			continue
		}
		high = middle
	}
	return low
}

// exponential draws a duration with the given mean.
func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// between draws an integer between half of limit and limit, both included.
func between(random *rand.Rand, limit int) int {
	return limit/2 + random.IntN(limit/2+1)
}

// prompt returns a text of the given number of random words after a heading that is the same
// for all prompts of the adapter, as with prompts made from a template.
func prompt(random *rand.Rand, adapter string, words int) string {
	var text strings.Builder
	heading := "Instructions for " + adapter + ": summarize the record below in plain words. "
	text.WriteString(strings.Repeat(heading, 6))
	for range words {
		fmt.Fprintf(&text, "w%d ", random.IntN(10000))
	}
	return text.String()
}
