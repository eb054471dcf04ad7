// Package limits keeps what the processes of endpoints said of their request limits to any
// entry, so that entries learn of limits, and of their ends, from each other.
package limits

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// retention is how long a limit is kept that no answer has confirmed, and endRetention
	// how long the end of one is passed on. After it, an entry that missed the end tries for
	// itself whether the limit still holds.
	retention    = 10 * time.Minute
	endRetention = time.Minute
	// maxProcesses bounds the processes in a table.
	maxProcesses = 4096
)

type process struct {
	endpoint      string
	startedMillis int64
}

// Table holds the newest statement of each process. The zero value is an empty table. It is
// safe for concurrent use.
type Table struct {
	mutex    sync.Mutex
	limits   map[process]*advert.Limit
	revision uint64
}

// Merge takes in statements and reports whether any limit changed. The end of a limit that
// the table does not hold is left out.
func (t *Table) Merge(reports []advert.LimitReport, now time.Time) (changed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.dropExpired(now)
	for i := range reports {
		key := process{endpoint: reports[i].Endpoint, startedMillis: reports[i].StartedMillis}
		known := t.limits[key]
		if known == nil {
			if !reports[i].Named || len(t.limits) >= maxProcesses {
				continue
			}
			if t.limits == nil {
				t.limits = map[process]*advert.Limit{}
			}
			known = &advert.Limit{}
			t.limits[key] = known
		}
		changed = known.Merge(reports[i].Limit(now)) || changed
	}
	if changed {
		t.revision++
	}
	return changed
}

// Revision increases with each change.
func (t *Table) Revision() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.revision
}

// Reports returns all statements, sorted by process.
func (t *Table) Reports(now time.Time) []advert.LimitReport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.dropExpired(now)
	reports := make([]advert.LimitReport, 0, len(t.limits))
	for key, limit := range t.limits {
		reports = append(reports, advert.NewLimitReport(key.endpoint, key.startedMillis, limit, now))
	}
	slices.SortFunc(reports, func(a, b advert.LimitReport) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.StartedMillis, b.StartedMillis))
	})
	return reports
}

func (t *Table) dropExpired(now time.Time) {
	for key, limit := range t.limits {
		age := now.Sub(limit.Arrived)
		if age > retention || !limit.Named && age > endRetention {
			delete(t.limits, key)
		}
	}
}
