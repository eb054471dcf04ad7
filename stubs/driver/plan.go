// Package driver sends the traffic of a deployment's callers and records every
// answer. Callers never state an urgency.
package driver

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// CallerKind is the kind of caller behind a request; the system is never told.
type CallerKind string

// The sorts of callers.
const (
	CallerPerson CallerKind = "person"
	CallerBatch  CallerKind = "batch"
	CallerLookup CallerKind = "lookup"
	CallerFiling CallerKind = "filing"
)

// Tenant is the traffic of one workspace.
type Tenant struct {
	// Workspace names it; Rate and Burst are its allowance in tokens.
	Workspace   string
	Rate, Burst int64
	// InteractiveKey is the key that people use, BatchKey the one of its batch jobs; they
	// are equal where a workspace has one key for both.
	InteractiveKey, BatchKey string
	// Adapters are those of the workspace, most popular first.
	Adapters []string
	// InteractiveUsers is the number of people at work, BatchUsers the number of batch jobs
	// at a time, FloodUsers the number of further jobs in the second half.
	InteractiveUsers, BatchUsers, FloodUsers int
	// LookupsPerSecond and FilingsPerSecond are per second.
	LookupsPerSecond, FilingsPerSecond float64
}

const (
	// thinkTime is the mean pause of a person between two requests.
	thinkTime = 8 * time.Second
	// jobPause is the mean pause between two jobs of a batch caller.
	jobPause = 6 * time.Second
	// jobSize is the number of requests of a job and jobWidth how many of
	// them are sent at once.
	jobSize, jobWidth = 24, 4
	// personTokens and batchTokens bound the answers, in tokens.
	personTokens, batchTokens = 80, 220
	// zipfExponent is the skew of the adapters' popularity.
	zipfExponent = 1.2
	// oddShare is the share of people whose program does not stream, and of
	// jobs whose program does.
	oddShare = 0.2
	// resendShare is the share of filings that their caller sends again.
	resendShare = 0.15
)

// popularity draws ranks with probability proportional to 1/rank.
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

// between draws an integer from half of most to most.
func between(random *rand.Rand, most int) int {
	return most/2 + random.IntN(most/2+1)
}

// prompt returns a text of about the given number of words that starts with
// the adapter's usual heading, as callers' templates do.
func prompt(random *rand.Rand, adapter string, words int) string {
	var text strings.Builder
	heading := "Instructions for " + adapter + ": summarize the record below in plain words. "
	text.WriteString(strings.Repeat(heading, 6))
	for range words {
		fmt.Fprintf(&text, "w%d ", random.IntN(10000))
	}
	return text.String()
}
