package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// An endpoint that is silent for a second or two and then continues is neither dead nor gone:
// requests that run or wait there meanwhile are answered.
func TestRequestsOutliveTheSilenceOfAnEndpoint(t *testing.T) {
	requireOutlived(t, func(f *fixture) { f.network.Cut("vm", "vm") }, func(f *fixture) { f.network.Heal("vm", "vm") })
}

// The same while control answers the heartbeats of the agent a second or two late.
func TestRequestsOutliveTheSilenceOfControl(t *testing.T) {
	requireOutlived(t, func(f *fixture) { f.control.setUnresponsive(true) }, func(f *fixture) { f.control.setUnresponsive(false) })
}

// requireOutlived requires that requests are answered that run or wait at an agent between begin
// and end, which are a second or two apart.
func requireOutlived(t *testing.T, begin, end func(f *fixture)) {
	t.Helper()
	for _, silence := range []time.Duration{900 * time.Millisecond, 1300 * time.Millisecond, 1700 * time.Millisecond} {
		for _, phase := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprint(silence, " phase ", phase), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					f := start(t, nil)
					defer f.shutDown()
					entry := f.dial()
					time.Sleep(phase)
					var attempts []*call.Attempt
					var results []<-chan *result
					send := func(adapter string) {
						a := f.newAttempt(adapter, fmt.Sprint(len(results)), 100)
						attempts, results = append(attempts, a), append(results, entry.background(a))
					}
					for range 6 {
						send("alpha")
					}
					time.Sleep(500 * time.Millisecond)
					begin(f)
					time.Sleep(silence / 2)
					send("alpha")
					send("beta")
					time.Sleep(silence - silence/2)
					end(f)
					require.True(t, f.control.lastRecord().Ready)
					for i, ended := range results {
						requireComplete(t, attempts[i], <-ended)
					}
				})
			})
		}
	}
}
