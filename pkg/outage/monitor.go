// Package outage reports how long a daemon has been without control: no replica has renewed
// its lease.
package outage

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

const (
	// firstReport is the silence of control after which it is logged. A change of the replica
	// takes less. Each further report follows when the silence has doubled.
	firstReport = 2 * time.Second
	// checkInterval is the time between two checks.
	checkInterval = 250 * time.Millisecond
	// Gauge is the name of the gauge of the time since the last renewal, in milliseconds.
	Gauge = "control_silence_ms"
)

// Monitor logs outages of control and keeps the gauge Gauge. Its exported fields are set before
// use; it is safe for concurrent use.
type Monitor struct {
	// Host provides the log and the metrics.
	Host host.Host
	// Address returns the address of the control process that the daemon connected to last.
	Address func() string

	mutex sync.Mutex
	// renewed is when a replica last renewed the lease, at first when Run began.
	renewed time.Time
	// reportAfter is the silence at which the next report is due.
	reportAfter time.Duration
	// lost counts the feeds that have ended since renewed, and lastErr is why the last one did.
	lost    int
	lastErr error
}

// Run checks for outages until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	m.mutex.Lock()
	m.renewed, m.reportAfter = time.Now(), firstReport
	m.mutex.Unlock()
	pause.Every(ctx, checkInterval, func() { m.check(time.Now()) })
}

// Renewed records that a replica has renewed the lease.
func (m *Monitor) Renewed() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	if m.reportAfter > firstReport {
		m.Host.Log.Write("control-regained", "address", m.Address(), "silence", now.Sub(m.renewed), "feeds_lost", m.lost)
	}
	m.renewed, m.reportAfter, m.lost, m.lastErr = now, firstReport, 0, nil
}

// Lost records that a feed has ended.
func (m *Monitor) Lost(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lost++
	m.lastErr = err
}

func (m *Monitor) check(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	silence := now.Sub(m.renewed)
	m.Host.Meter.Set(Gauge, silence.Milliseconds())
	if silence < m.reportAfter {
		return
	}
	m.reportAfter = 2 * silence
	m.Host.Log.Write("control-missing", "address", m.Address(), "silence", silence, "feeds_lost", m.lost, "err", m.lastErr)
}
