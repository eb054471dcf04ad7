// Package crash finds the requests of opaque routes that endpoints died of.
//
// It answers a request that crashes each endpoint that begins to run it, and
// that its caller sends again. No agent stands between the entry and the
// endpoint, so the entry itself notes which requests broke off there, and
// reports them once another process has taken the endpoint's place.
package crash

import (
	"slices"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// memory is how long a request that broke off is remembered: the users'
	// endpoints are back some seconds after a crash.
	memory = 15 * time.Second
	// mostBroken bounds the requests remembered for one endpoint; more break
	// off together only where something else than one of them is the cause.
	mostBroken = 64
)

// Tracker is safe for concurrent use. Its exported fields are set before use.
type Tracker struct {
	// Entry names this entry in reports.
	Entry string
	// Report is called with the requests that were at an endpoint when it died.
	Report func(crash plane.Crash)

	mutex sync.Mutex
	// broken holds what broke off, by the endpoint's address.
	broken map[string]*broken
}

// broken are the requests that broke off at one process.
type broken struct {
	endpoint advert.Record
	digests  [][]byte
	last     time.Time
}

// RecordLostRequest notes that a request broke off at an endpoint that had sent nothing of
// its answer.
func (b *Tracker) RecordLostRequest(endpoint advert.Record, digest []byte, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.broken == nil {
		b.broken = map[string]*broken{}
	}
	known := b.broken[endpoint.Address]
	if known == nil || known.endpoint.StartedMillis != endpoint.StartedMillis || now.Sub(known.last) > memory {
		known = &broken{endpoint: endpoint}
		b.broken[endpoint.Address] = known
	}
	known.last = now
	if len(known.digests) < mostBroken {
		known.digests = append(known.digests, slices.Clone(digest))
	}
}

// Update takes the endpoints that take requests, by service, and reports those
// that another process has replaced.
func (b *Tracker) Update(usable map[string][]advert.Record) {
	for _, crash := range b.died(usable, time.Now()) {
		b.Report(crash)
	}
}

func (b *Tracker) died(usable map[string][]advert.Record, now time.Time) []plane.Crash {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var crashes []plane.Crash
	for _, records := range usable {
		for _, record := range records {
			known := b.broken[record.Address]
			if known == nil || record.StartedMillis <= known.endpoint.StartedMillis {
				continue
			}
			delete(b.broken, record.Address)
			if now.Sub(known.last) <= memory {
				crashes = append(crashes, b.report(known))
			}
		}
	}
	for address, known := range b.broken {
		if now.Sub(known.last) > memory {
			delete(b.broken, address)
		}
	}
	return crashes
}

// report names the process and this entry: each entry reports its own requests
// of the same death.
func (b *Tracker) report(known *broken) plane.Crash {
	return plane.Crash{
		Agent: plane.CrashSource(b.Entry, known.endpoint.Name), Incarnation: uint64(known.endpoint.StartedMillis), Count: 1, Digests: known.digests,
	}
}
