package chaos_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/stubs/chaos"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
)

const (
	// rate and burst are those of the tested workspace, in tokens per second and
	// tokens.
	rate  = 100
	burst = 200
	// rateTokens is the length of each answer in tokens.
	rateTokens = 20
)

// TestRateUnderOverlappingFaults overloads both entries with a workspace's requests
// while the VM of the control leader and then that of an entry are lost and
// replaced, and the next leader is isolated.
func TestRateUnderOverlappingFaults(t *testing.T) {
	withHarness(t, smallDeployment(), nil, func(t *testing.T, h *chaos.Harness) {
		config := chaos.Config(2)
		anand := config.Workspaces["anand"]
		anand.Rate, anand.Burst = rate, burst
		config.Workspaces["anand"] = anand
		require.NoError(t, h.Fleet.Apply(t.Context(), config))
		time.Sleep(time.Second)
		for caller := range 12 {
			h.RunCaller(10*time.Millisecond, func(serial int) {
				h.Send(chaos.Request{
					Entry: caller % 2, Key: chaos.KeyAnand, Adapter: "notes",
					Prompt: fmt.Sprintf("c%d-%d", caller, serial), Tokens: rateTokens, Timeout: 10 * time.Second,
				})
				time.Sleep(100 * time.Millisecond)
			})
		}
		time.Sleep(3 * time.Second)
		leader, err := h.Leader(t.Context())
		require.NoError(t, err)
		h.LoseVM(leader)
		h.Fleet.StartControl(replicaIndex(leader))
		h.LoseVM(fleet.EntryName(1))
		h.Fleet.StartEntry(1)
		leader, err = h.Leader(t.Context())
		require.NoError(t, err)
		h.IsolateFor(leader, 5*time.Second, h.OtherHosts(leader)...)
		time.Sleep(5 * time.Second)
		h.StopCallers()
		requireRate(t, h)
	})
}

// requireRate checks every period between the start of one exchange and the end of
// another: the answers of the exchanges inside the period must not have more tokens
// than rate and burst allow.
func requireRate(t *testing.T, h *chaos.Harness) {
	t.Helper()
	var complete []*chaos.Exchange
	for _, exchange := range h.Exchanges() {
		if exchange.Complete {
			complete = append(complete, exchange)
		}
	}
	t.Logf("%d of %d requests answered", len(complete), len(h.Exchanges()))
	require.Greater(t, len(complete), 80)
	for _, first := range complete {
		for _, last := range complete {
			tokens := 0
			for _, exchange := range complete {
				if !exchange.Started.Before(first.Started) && !exchange.Ended.After(last.Ended) {
					tokens += rateTokens
				}
			}
			allowed := burst + rate*last.Ended.Sub(first.Started).Seconds()
			require.LessOrEqual(t, float64(tokens), max(allowed, 0), "from %v to %v", first.Started, last.Ended)
		}
	}
}
