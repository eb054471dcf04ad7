// Package store simulates the store that engines load adapter weights from. It limits the
// rate of loads and slows them down while many are in flight.
package store

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

const (
	// loadTime is how long a load takes with at most fullSpeedLoads in flight.
	loadTime = 250 * time.Millisecond
	// fullSpeedLoads is the number of loads in flight up to which each has the full
	// transfer rate.
	fullSpeedLoads = 8
	// transferStep is the interval at which a load's progress is updated.
	transferStep = 25 * time.Millisecond
)

// Kind classifies the failures of this package.
type Kind string

// KindLoad means that the store failed a load, see Store.Fail.
const KindLoad Kind = "load failed"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Load is the record of one load that the store started.
type Load struct {
	Adapter, Version string
	// Engine is the name of the engine that requested the load.
	Engine string
	// Start is when the transfer began and End when it ended; End is zero while the load
	// is in flight.
	Start, End time.Time
	// Failed reports that the load ended without delivering the weights.
	Failed bool
}

// Store simulates the weight store that all engines share. It is safe for concurrent use.
type Store struct {
	// LoadsPerSecond limits the rate at which loads start; a load beyond the limit waits.
	// Zero means no limit.
	LoadsPerSecond float64
	// Fail reports whether to fail a load at the end of its transfer; nil fails none.
	Fail func(engine, adapter, version string) bool

	mutex        sync.Mutex
	nextStart    time.Time
	inFlight     int
	peakInFlight int
	loads        []Load
}

// Load simulates the load of one adapter version by an engine. It waits for the rate limit,
// then for the transfer.
func (s *Store) Load(ctx context.Context, engine, adapter, version string) error {
	if !pause.For(ctx, s.reserveStart()) {
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

// reserveStart reserves the next start that the rate limit permits and returns the time
// until then.
func (s *Store) reserveStart() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.LoadsPerSecond <= 0 {
		return 0
	}
	now := time.Now()
	if s.nextStart.Before(now) {
		s.nextStart = now
	}
	wait := s.nextStart.Sub(now)
	s.nextStart = s.nextStart.Add(time.Duration(float64(time.Second) / s.LoadsPerSecond))
	return wait
}

// begin records the start of a load and returns its index.
func (s *Store) begin(load Load) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight++
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
	s.loads = append(s.loads, load)
	return len(s.loads) - 1
}

// end records the end of the load with the given index.
func (s *Store) end(index int, failed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
	s.loads[index].End = time.Now()
	s.loads[index].Failed = failed
}

// transfer waits until the simulated transfer ends. It takes loadTime at the full rate and
// proportionally longer while more than fullSpeedLoads loads are in flight.
func (s *Store) transfer(ctx context.Context) error {
	for remaining := loadTime; remaining > 0; {
		if !pause.For(ctx, transferStep) {
			return ctx.Err()
		}
		remaining -= s.stepProgress()
	}
	return nil
}

// stepProgress returns how much of loadTime a load completes in one transferStep.
func (s *Store) stepProgress() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return transferStep * fullSpeedLoads / time.Duration(max(s.inFlight, fullSpeedLoads))
}

// Loads returns all loads so far in the order of their start.
func (s *Store) Loads() []Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Load(nil), s.loads...)
}

// PeakInFlight returns the highest number of loads that were in flight at once.
func (s *Store) PeakInFlight() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peakInFlight
}
