package permit

import (
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/bucket"
)

const (
	// milliLoads is the number of bucket tokens per load, so that rates below one load
	// per second keep their fractions.
	milliLoads = 1000
	// baseModelBurst is how many base models may be loaded at once after a pause: the
	// weight store serves only a few loads at full speed.
	baseModelBurst = 2
)

// BaseModelLimiter limits the loads of base models from the weight store to the store's
// rate, over all engines. It matters when many engines start without a model at the same
// time. The zero value is ready for use; it is safe for concurrent use.
type BaseModelLimiter struct {
	mutex    sync.Mutex
	services map[string]*bucket.Bucket
}

// Reset drops all state. A new leader does not know which loads its predecessor allowed
// and starts with empty buckets.
func (l *BaseModelLimiter) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.services = nil
}

// Allow permits one load now by returning 0, or returns the time to wait before the next
// attempt. rate is the store's rate in loads per second; 0 sets no limit.
func (l *BaseModelLimiter) Allow(service string, rate float64, now time.Time) time.Duration {
	if rate <= 0 {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.services == nil {
		l.services = map[string]*bucket.Bucket{}
	}
	b := l.services[service]
	if b == nil {
		b = bucket.New(int64(rate*milliLoads), baseModelBurst*milliLoads, 0, now)
		l.services[service] = b
	}
	b.SetRate(int64(rate*milliLoads), baseModelBurst*milliLoads)
	b.Advance(now, 0)
	if wait := b.Wait(milliLoads); wait > 0 {
		return wait
	}
	b.Take(milliLoads)
	return 0
}
