// Package shares estimates which share of the requests each adapter gets.
package shares

import (
	"math"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// halfLife is the time in which the weight of a past request halves. The
	// users' demand moves on to other adapters within several seconds.
	halfLife = 8 * time.Second
	// mostNames bounds the adapters whose share is known; the rest are rare.
	mostNames = 8192
	// firstWeight is the weight of requests of no adapter that the estimate
	// starts with, so that the first requests do not make their adapters
	// popular.
	firstWeight = 30.0
)

// Estimator counts requests, the older ones for less. The zero value is ready; it
// is safe for concurrent use.
type Estimator struct {
	mutex sync.Mutex
	// counts are scaled by 2^(time since begun / halfLife), so that nothing
	// has to be aged.
	begun  time.Time
	counts map[string]float64
	total  float64
}

// Record counts a request for a name and returns the name's share of all
// requests, the present one left out.
func (f *Estimator) Record(name string, now time.Time) float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.counts == nil || now.Sub(f.begun) > 100*halfLife || len(f.counts) > mostNames {
		f.restart(now)
	}
	weight := math.Exp2(float64(now.Sub(f.begun)) / float64(halfLife))
	share := f.counts[name] / (f.total + firstWeight*weight)
	f.counts[name] += weight
	f.total += weight
	return share
}

// restart scales the counts down and drops those that no longer matter.
func (f *Estimator) restart(now time.Time) {
	scale := math.Exp2(-float64(now.Sub(f.begun)) / float64(halfLife))
	former := f.counts
	f.begun, f.counts, f.total = now, map[string]float64{}, 0
	for name, count := range former {
		if count *= scale; count >= 1 {
			f.counts[name] = count
			f.total += count
		}
	}
}
