// Package meter holds a daemon's counters, gauges and latency histograms, and serves
// them in the format of expvar.
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
	// maxLatency is the longest latency of a histogram, in microseconds; longer
	// ones are recorded as this value.
	maxLatency = int64(time.Hour / time.Microsecond)
	// latencyDigits is the number of significant decimal digits of a latency.
	latencyDigits = 2
)

// Meter holds the values of one daemon. It is safe for concurrent use. Several daemons
// may run in one process, so the values are not published in expvar's global map.
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

// Value returns the value of the named counter or gauge, or 0 if there is none.
func (m *Meter) Value(name string) int64 {
	counter, ok := m.values.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return counter.Value()
}

// Observe records one latency in the named histogram.
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

// Quantile returns the quantile of the named histogram at a share from 0 to 1, or 0 if
// there are no observations.
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

// String returns all values as one JSON object. Histograms appear as their 50th, 95th
// and 99th percentile, in microseconds.
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
