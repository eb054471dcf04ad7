// Package store is a stand-in weight store with a limited rate of loads.
package store

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

const (
	// loadTime is how long a load takes while few are in flight.
	loadTime = 250 * time.Millisecond
	// fullSpeed is the number of loads that may be in flight without slowing
	// one another down.
	fullSpeed = 8
	// slice is the step in which a load makes progress.
	slice = 25 * time.Millisecond
)

// Kind classifies the failures of this package.
type Kind string

// KindLoad says that the store failed a load.
const KindLoad Kind = "load failed"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Load is one load that the store began.
type Load struct {
	Adapter, Version string
	// Engine is the name of the engine that asked.
	Engine string
	// Start is when the store began to deliver, End when it was over; End is
	// zero while the load is in flight.
	Start, End time.Time
	// Failed says that no weights were delivered.
	Failed bool
}

// Store serves the weights of adapters to all engines. It is safe for
// concurrent use.
type Store struct {
	// LoadsPerSecond is the number of loads per second; a load beyond it waits. Zero
	// means no limit.
	LoadsPerSecond float64
	// Fail makes a load fail after its usual time; nil fails none.
	Fail func(engine, adapter, version string) bool

	mutex  sync.Mutex
	next   time.Time
	flight int
	peak   int
	loads  []Load
}

// Load delivers one adapter version to an engine. It waits for the rate, then
// for the transfer.
func (s *Store) Load(ctx context.Context, engine, adapter, version string) error {
	if !pause.For(ctx, s.reserve()) {
		return ctx.Err()
	}
	index := s.begin(Load{Engine: engine, Adapter: adapter, Version: version, Start: time.Now()})
	err := s.transfer(ctx)
	if err == nil && s.Fail != nil && s.Fail(engine, adapter, version) {
		err = &Error{Op: "load " + adapter, Kind: KindLoad}
	}
	s.end(index, err != nil)
	return err
}

func (s *Store) reserve() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.LoadsPerSecond <= 0 {
		return 0
	}
	now := time.Now()
	if s.next.Before(now) {
		s.next = now
	}
	wait := s.next.Sub(now)
	s.next = s.next.Add(time.Duration(float64(time.Second) / s.LoadsPerSecond))
	return wait
}

func (s *Store) begin(load Load) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.flight++
	s.peak = max(s.peak, s.flight)
	s.loads = append(s.loads, load)
	return len(s.loads) - 1
}

func (s *Store) end(index int, failed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.flight--
	s.loads[index].End = time.Now()
	s.loads[index].Failed = failed
}

// transfer takes loadTime at full speed and proportionally longer while more
// than fullSpeed loads share the store.
func (s *Store) transfer(ctx context.Context) error {
	for left := loadTime; left > 0; {
		if !pause.For(ctx, slice) {
			return ctx.Err()
		}
		left -= s.progress()
	}
	return nil
}

func (s *Store) progress() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slice * fullSpeed / time.Duration(max(s.flight, fullSpeed))
}

// Loads returns every load so far in the order of their start.
func (s *Store) Loads() []Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Load(nil), s.loads...)
}

// PeakInFlight returns the largest number of loads that were in flight at once.
func (s *Store) PeakInFlight() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peak
}
