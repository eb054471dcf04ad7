// Package retry keeps the repeats of requests within a share of the traffic of
// the whole fleet, without asking anybody.
//
// It answers endpoints that fail many requests at once: repeats on top of the
// traffic would keep them down. The fleet's bound is a share of the requests of
// a window plus a fixed number; each entry takes its part of the fixed number.
package retry

import (
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

// parts is into how many parts a window is divided for counting. A repeat
// counts for up to one part longer than the window, a request for up to one part
// less.
const parts = 100

// Budget bounds the repeats of this entry. Its exported fields are set before
// use; it is safe for concurrent use.
type Budget struct {
	// Ratio is how many repeats the fleet may send for each request, and Slack
	// how many beyond that, in any span of Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Entries returns how many entries share Slack; at least 1.
	Entries func() int
	// Clock is that of clock.Elapsed: a time of day that steps would empty or
	// keep the counts.
	Clock func() time.Duration

	mutex    sync.Mutex
	services map[string]*window
}

// window counts the requests and repeats of one service.
type window struct {
	requests, repeats [parts + 1]float64
	// last is the number of the part counted last.
	last int64
}

// Request counts a request for a service.
func (b *Budget) Request(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	w := b.window(service)
	w.requests[w.last%(parts+1)]++
}

// Decision is the outcome of one wish to repeat, with what decided it.
type Decision struct {
	// Allowed says that the repeat may be sent and has been counted.
	Allowed bool
	// Requests and Repeats are this entry's in the window before the wish.
	Requests, Repeats float64
	// Entries is among how many entries Slack was divided.
	Entries int
}

// Spend takes one repeat out of the budget, if there is one.
func (b *Budget) Spend(service string) Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	w := b.window(service)
	d := Decision{Requests: sum(w.requests) - w.requests[w.oldest()], Repeats: sum(w.repeats), Entries: b.Entries()}
	d.Allowed = d.Repeats+1 <= b.Ratio*d.Requests+b.Slack/float64(d.Entries)
	if d.Allowed {
		w.repeats[w.last%(parts+1)]++
	}
	return d
}

// window returns the service's counts, moved on to the present.
func (b *Budget) window(service string) *window {
	if b.services == nil {
		b.services = map[string]*window{}
	}
	at := int64(b.Clock() / (b.Window / parts))
	w := b.services[service]
	if w == nil {
		w = &window{last: at}
		b.services[service] = w
	}
	for w.last < at {
		w.last = max(w.last+1, at-parts-1)
		w.requests[w.last%(parts+1)] = 0
		w.repeats[w.last%(parts+1)] = 0
	}
	return w
}

// oldest is the place of the part that lies partly before the window.
func (w *window) oldest() int64 { return (w.last + 1) % (parts + 1) }

func sum(counts [parts + 1]float64) float64 {
	total := 0.0
	for _, count := range counts {
		total += count
	}
	return total
}
