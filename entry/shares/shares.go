// Package shares estimates the share of recent requests that each adapter
// receives. The share determines the adapter's number of preferred engines.
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
	// halfLife is the time in which the weight of a past request halves. Demand
	// shifts to other adapters within several seconds.
	halfLife = 8 * time.Second
	// maxNames bounds the adapters that are counted; others are rare.
	maxNames = 8192
	// priorWeight is the weight of additional assumed requests without an
	// adapter, so that the first requests do not make their adapters popular.
	priorWeight = 30.0
)

// Estimator counts requests with exponentially decaying weights. The zero value
// is ready to use; it is safe for concurrent use.
type Estimator struct {
	mutex sync.Mutex
	// counts and total are scaled by 2^(time since epoch / halfLife), so that
	// existing counts need no update as they decay.
	epoch  time.Time
	counts map[string]float64
	total  float64
}

// Record counts a request for a name and returns the name's share of the
// requests before it.
func (e *Estimator) Record(name string, now time.Time) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.counts == nil || now.Sub(e.epoch) > 100*halfLife || len(e.counts) > maxNames {
		e.rescale(now)
	}
	weight := math.Exp2(float64(now.Sub(e.epoch)) / float64(halfLife))
	share := e.counts[name] / (e.total + priorWeight*weight)
	e.counts[name] += weight
	e.total += weight
	return share
}

// rescale moves the epoch to now and removes the names whose decayed count is
// below 1.
func (e *Estimator) rescale(now time.Time) {
	scale := math.Exp2(-float64(now.Sub(e.epoch)) / float64(halfLife))
	previous := e.counts
	e.epoch, e.counts, e.total = now, map[string]float64{}, 0
	for name, count := range previous {
		if count *= scale; count >= 1 {
			e.counts[name] = count
			e.total += count
		}
	}
}
