package permit

import (
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/bucket"
)

const (
	// milli is the unit in which loads of base models are counted, so that
	// rates below one a second keep their fractions.
	milli = 1000
	// storeBurst is how many base models may be loaded at once after a pause:
	// the store serves few at full speed.
	storeBurst = 2
)

// BaseModelLimiter bounds the loads of base models from the weight store to its rate, over
// all engines. It answers a fleet whose engines start empty together. The zero
// value is ready; it is safe for concurrent use.
type BaseModelLimiter struct {
	mutex    sync.Mutex
	services map[string]*bucket.Bucket
}

// Reset forgets what was allowed; a leader that has just begun does not know
// what its predecessor allowed and starts with nothing.
func (s *BaseModelLimiter) Reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.services = nil
}

// Allow allows one load now, or returns when to ask again. rate is the store's,
// in loads a second; 0 sets no bound.
func (s *BaseModelLimiter) Allow(service string, rate float64, now time.Time) time.Duration {
	if rate <= 0 {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.services == nil {
		s.services = map[string]*bucket.Bucket{}
	}
	b := s.services[service]
	if b == nil {
		b = bucket.New(int64(rate*milli), storeBurst*milli, 0, now)
		s.services[service] = b
	}
	b.SetRate(int64(rate*milli), storeBurst*milli)
	b.Advance(now, 0)
	if wait := b.Wait(milli); wait > 0 {
		return wait
	}
	b.Take(milli)
	return 0
}
