// Package retry limits an entry's retries to the fleet's retry budget.
//
// When endpoints fail many requests at once, retries on top of the traffic
// would keep them overloaded. Entries report requests to control, by which the
// budget grows, and lease retries from control. While control is unreachable,
// an entry may retry a share of the requests that it receives in that time.
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

// maxLocal is how many retries an entry accumulates while control is
// unreachable. Each entry may have that many unspent retries when a window of
// the fleet's retry budget begins.
const maxLocal = 1.0

// Budget limits the retries of this entry. Its exported fields are set before
// use; it is safe for concurrent use.
type Budget struct {
	// Limit is the fleet's retry budget.
	Limit budget.Limit
	// Report reports a request for a service to control; it returns false if
	// the report will not reach control.
	Report func(service string) bool
	// Lease takes one retry for a service from the fleet's retry budget at control. settle
	// states whether the retry was sent; it is nil if none is available.
	Lease func(ctx context.Context, service string) (settle func(sent bool))
	// LeaseHedge takes one retry for a hedge, which is available only while most of the
	// fleet's retry budget is free, and reports whether control answers. settle states
	// whether the hedge was sent; it is nil if none is available. A nil LeaseHedge leases
	// none.
	LeaseHedge func(ctx context.Context, service string) (settle func(sent bool), reached bool)
	// EntryCount returns the number of entries among which Limit is divided
	// while control is unreachable, or 0 if that is unknown.
	EntryCount func() int

	mutex sync.Mutex
	// local are the retries accumulated while control was unreachable, by
	// service. A new process starts with none, as its predecessor may just have
	// spent them.
	local map[string]float64
}

// Source names the budget from which a retry was taken.
type Source string

// The sources of retries.
const (
	// SourceNone means that the retry must not be sent.
	SourceNone Source = "none"
	// SourcePool is the fleet's retry budget at control.
	SourcePool Source = "pool"
	// SourceLocal is the entry's share of the requests that it received while
	// control was unreachable.
	SourceLocal Source = "own"
	// SourceUnreachable means that a hedge must not be sent because control does not
	// answer.
	SourceUnreachable Source = "unreachable"
)

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string) {
	if b.Report(service) {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.local == nil {
		b.local = map[string]float64{}
	}
	b.local[service] = min(b.local[service]+b.Limit.Ratio, maxLocal)
}

// Spend takes one retry from the budget and returns its source. It may wait for
// control.
func (b *Budget) Spend(ctx context.Context, service string) Source {
	source, settle := b.SpendReturnable(ctx, service)
	if settle != nil {
		settle(true)
	}
	return source
}

// SpendReturnable is Spend with a retry that may be returned: unless the source is SourceNone,
// settle must be called with whether the retry was sent.
func (b *Budget) SpendReturnable(ctx context.Context, service string) (source Source, settle func(sent bool)) {
	if settle := b.Lease(ctx, service); settle != nil {
		return SourcePool, settle
	}
	if !b.spendLocal(service) {
		return SourceNone, nil
	}
	return SourceLocal, func(sent bool) {
		if !sent {
			b.returnLocal(service)
		}
	}
}

// spendLocal takes one retry of those accumulated while control was unreachable, and reports
// whether one was available.
func (b *Budget) spendLocal(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.local[service] < 1 || !b.Limit.AllowsLocal(b.EntryCount()) {
		return false
	}
	b.local[service]--
	return true
}

func (b *Budget) returnLocal(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.local[service] = min(b.local[service]+1, maxLocal)
}

// SpendHedge takes one retry for a hedge from the fleet's retry budget and returns its
// source: SourcePool, or SourceNone or SourceUnreachable if the hedge must not be sent.
// Hedges have no source without control. With SourcePool, settle must be called with
// whether the hedge was sent.
func (b *Budget) SpendHedge(ctx context.Context, service string) (source Source, settle func(sent bool)) {
	if b.LeaseHedge == nil {
		return SourceUnreachable, nil
	}
	settle, reached := b.LeaseHedge(ctx, service)
	switch {
	case settle != nil:
		return SourcePool, settle
	case reached:
		return SourceNone, nil
	}
	return SourceUnreachable, nil
}
