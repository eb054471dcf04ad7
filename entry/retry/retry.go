// Package retry keeps the repeats of requests within the fleet's bound.
//
// It answers endpoints that fail many requests at once: repeats on top of the
// traffic would keep them down. Requests are reported to control and repeats
// leased from it. While control is out of reach an entry takes repeats out of the
// requests that it then has itself.
package retry

import (
	"context"
	"sync"

	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

// mostOwn is how many repeats an entry gathers without control. Each entry may
// have so many unspent when a window of the bound begins.
const mostOwn = 1.0

// Budget bounds the repeats of this entry. Its exported fields are set before
// use; it is safe for concurrent use.
type Budget struct {
	// Bound is the fleet's.
	Bound budget.Limit
	// Report tells control of a request to a service; false says that it will
	// not be told.
	Report func(service string) bool
	// Lease takes one repeat to a service out of the fleet's pool.
	Lease func(ctx context.Context, service string) bool
	// EntryCount returns among how many entries the bound is divided without
	// control, 0 while that is not known.
	EntryCount func() int

	mutex sync.Mutex
	// own are the repeats gathered without control, by service. A process starts
	// with none: one before it may just have taken them.
	own map[string]float64
}

// Source says out of what a repeat was taken.
type Source string

// The sources of repeats.
const (
	// SourceNone says that the repeat may not be sent.
	SourceNone Source = "none"
	// SourcePool is the fleet's pool at control.
	SourcePool Source = "pool"
	// SourceLocal is the entry's share of the requests that came without control.
	SourceLocal Source = "own"
)

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string) {
	if b.Report(service) {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.own == nil {
		b.own = map[string]float64{}
	}
	b.own[service] = min(b.own[service]+b.Bound.Ratio, mostOwn)
}

// Spend takes one repeat out of the budget and returns where from. It may wait
// for control.
func (b *Budget) Spend(ctx context.Context, service string) Source {
	if b.Lease(ctx, service) {
		return SourcePool
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.own[service] < 1 || !b.Bound.AllowsLocal(b.EntryCount()) {
		return SourceNone
	}
	b.own[service]--
	return SourceLocal
}
