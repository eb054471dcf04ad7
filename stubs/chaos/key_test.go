package chaos_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/stubs/chaos"
)

// revocationLimit is how long a revoked key may still start requests.
const revocationLimit = 5 * time.Second

// TestKeyRevocationWithIsolatedEntry revokes a key that callers use at both
// entries while one entry is isolated from the control majority: alone, or
// together with a control replica that has not noticed its own isolation.
func TestKeyRevocationWithIsolatedEntry(t *testing.T) {
	cases := []struct {
		name     string
		isolated func(h *chaos.Harness, leader string) []string
	}{
		{"alone", func(*chaos.Harness, string) []string { return nil }},
		{"with a follower", func(h *chaos.Harness, leader string) []string { return []string{anyFollower(h, leader)} }},
		{"with the leader", func(_ *chaos.Harness, leader string) []string { return []string{leader} }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, smallDeployment(), nil, func(t *testing.T, h *chaos.Harness) {
				leader, err := h.Leader(t.Context())
				require.NoError(t, err)
				revokeKey(t, h, test.isolated(h, leader))
			})
		})
	}
}

// revokeKey isolates entry0 and the given replicas from the other replicas, from
// entry1 and from the operator, and revokes a key. Entry0 can still reach every
// endpoint.
func revokeKey(t *testing.T, h *chaos.Harness, replicas []string) {
	t.Helper()
	for caller := range 4 {
		h.RunCaller(100*time.Millisecond, func(serial int) {
			h.Send(chaos.Request{
				Entry: caller % 2, Key: chaos.KeyBela, Adapter: "drafts", Prompt: fmt.Sprintf("bela%d-%d", caller, serial),
				Tokens: 10 + 100*(caller/2), Stream: true,
			})
		})
	}
	time.Sleep(time.Second)
	require.NotEmpty(t, h.Completions("bela0", -1, time.Time{}))
	others := without(h.Controls(), replicas)
	for _, host := range append([]string{"entry0"}, replicas...) {
		h.Network.Isolate(host, append([]string{"entry1", "operator"}, others...)...)
	}
	config := chaos.Config(2)
	for digest, key := range config.Keys {
		if key.Workspace == "bela" {
			delete(config.Keys, digest)
		}
	}
	began := time.Now()
	require.NoError(t, h.Fleet.Apply(t.Context(), config))
	applied := time.Now()
	// The operator waits ten seconds for an isolated replica before it calls the
	// next one.
	t.Logf("configuration in force after %v", applied.Sub(began))
	time.Sleep(10 * time.Second)
	require.Empty(t, h.Completions("bela", -1, applied.Add(revocationLimit)))
	require.False(t, h.Healthy(0), "the health check of the isolated entry succeeds")
	require.True(t, h.Healthy(1))
	served := h.Send(chaos.Request{Entry: 1, Key: chaos.KeyAnand, Adapter: "notes", Prompt: "other", Tokens: 10})
	require.True(t, served.Complete, "%v", served)
	for _, host := range append([]string{"entry0"}, replicas...) {
		h.Network.Rejoin(host, append([]string{"entry1", "operator"}, others...)...)
	}
	time.Sleep(6 * time.Second)
	require.True(t, h.Healthy(0))
	h.StopCallers()
	require.Empty(t, h.Completions("bela", -1, applied.Add(revocationLimit)))
	for _, exchange := range h.Exchanges() {
		if exchange.Key == chaos.KeyBela && exchange.Started.After(applied.Add(revocationLimit)) {
			require.False(t, exchange.Complete, "%v", exchange)
			require.Equal(t, "no", exchange.Ran, "%v", exchange)
		}
	}
}

// without returns the names except the first one in excluded, if any.
func without(names, excluded []string) []string {
	var rest []string
	for _, name := range names {
		if len(excluded) == 0 || name != excluded[0] {
			rest = append(rest, name)
		}
	}
	return rest
}
