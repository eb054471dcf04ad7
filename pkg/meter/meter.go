// Package meter holds a daemon's counters and latency histograms, shown in
// the form of expvar.
package meter

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency told apart, in microseconds.
	maxLatency = int64(time.Hour / time.Microsecond)
	// latencyDigits is the number of significant digits of a latency.
	latencyDigits = 2
)

// Meter holds the values of one daemon. Several daemons may live in one
// process, so nothing is published in expvar's global table.
type Meter struct {
	values    expvar.Map
	mutex     sync.Mutex
	latencies map[string]*hdrhistogram.Histogram
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{latencies: map[string]*hdrhistogram.Histogram{}}
}

// Add adds delta to the named counter.
func (m *Meter) Add(name string, delta int64) { m.values.Add(name, delta) }

// Set sets the named gauge.
func (m *Meter) Set(name string, value int64) {
	gauge := &expvar.Int{}
	gauge.Set(value)
	m.values.Set(name, gauge)
}

// Value returns the named counter or gauge; 0 when there is none.
func (m *Meter) Value(name string) int64 {
	counter, ok := m.values.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return counter.Value()
}

// Observe records one latency under a name.
func (m *Meter) Observe(name string, latency time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	histogram, ok := m.latencies[name]
	if !ok {
		histogram = hdrhistogram.New(1, maxLatency, latencyDigits)
		m.latencies[name] = histogram
	}
	_ = histogram.RecordValue(min(max(latency.Microseconds(), 1), maxLatency))
}

// Quantile returns the latency below which the given share, from 0 to 1, of
// the observations lie; 0 when there are none.
func (m *Meter) Quantile(name string, share float64) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	histogram, ok := m.latencies[name]
	if !ok {
		return 0
	}
	return time.Duration(histogram.ValueAtQuantile(share*100)) * time.Microsecond
}

// Handler serves all values as one JSON object, as expvar does.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = fmt.Fprint(w, m.String())
	})
}

// String returns all values as one JSON object; latencies are in
// microseconds.
func (m *Meter) String() string {
	shown := expvar.Map{}
	m.values.Do(func(kv expvar.KeyValue) { shown.Set(kv.Key, kv.Value) })
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for name, histogram := range m.latencies {
		for _, quantile := range []int64{50, 95, 99} {
			value := &expvar.Int{}
			value.Set(histogram.ValueAtQuantile(float64(quantile)))
			shown.Set(fmt.Sprintf("%s_p%d_us", name, quantile), value)
		}
	}
	return shown.String()
}
