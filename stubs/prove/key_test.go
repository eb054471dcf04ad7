package prove_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/stubs/prove"
)

// keyLimit is how long a withdrawn key may still start requests.
const keyLimit = 5 * time.Second

// TestKeyWithdrawnWhileAnEntryIsCutOff withdraws a key that callers use at
// both entries, one of which is cut off from control: alone, or together with
// a replica that does not know that it is cut off.
func TestKeyWithdrawnWhileAnEntryIsCutOff(t *testing.T) {
	sides := []struct {
		name string
		with func(site *prove.Site, leader string) []string
	}{
		{"alone", func(*prove.Site, string) []string { return nil }},
		{"with a follower", func(site *prove.Site, leader string) []string { return []string{following(site, leader)} }},
		{"with the leader", func(_ *prove.Site, leader string) []string { return []string{leader} }},
	}
	for _, side := range sides {
		t.Run(side.name, func(t *testing.T) {
			in(t, shape(), nil, func(t *testing.T, site *prove.Site) {
				leader, err := site.Leader(t.Context())
				require.NoError(t, err)
				withdraw(t, site, side.with(site, leader))
			})
		})
	}
}

// withdraw cuts entry0 and some replicas off from the others, both ways, and
// withdraws a key. Entry0 can still reach every endpoint.
func withdraw(t *testing.T, site *prove.Site, with []string) {
	t.Helper()
	for caller := range 4 {
		site.Repeat(100*time.Millisecond, func(serial int) {
			site.Send(prove.Ask{
				Entry: caller % 2, Key: prove.KeyBela, Adapter: "drafts", Prompt: fmt.Sprintf("bela%d-%d", caller, serial),
				Tokens: 10 + 100*(caller/2), Stream: true,
			})
		})
	}
	time.Sleep(time.Second)
	require.NotEmpty(t, site.Completions("bela0", -1, time.Time{}))
	rest := without(site.Controls(), with)
	for _, host := range append([]string{"entry0"}, with...) {
		site.Network.Isolate(host, append([]string{"entry1", "operator"}, rest...)...)
	}
	config := prove.Config(2)
	for digest, key := range config.Keys {
		if key.Workspace == "bela" {
			delete(config.Keys, digest)
		}
	}
	began := time.Now()
	require.NoError(t, site.Fleet.Apply(t.Context(), config))
	applied := time.Now()
	// An operator waits ten seconds on a replica that is cut off before it asks
	// the next one.
	t.Logf("in force after %v", applied.Sub(began))
	time.Sleep(10 * time.Second)
	require.Empty(t, site.Completions("bela", -1, applied.Add(keyLimit)))
	require.False(t, site.Healthy(0), "the cut-off entry's health check is green")
	require.True(t, site.Healthy(1))
	served := site.Send(prove.Ask{Entry: 1, Key: prove.KeyAnand, Adapter: "notes", Prompt: "other", Tokens: 10})
	require.True(t, served.Whole, "%v", served)
	for _, host := range append([]string{"entry0"}, with...) {
		site.Network.Rejoin(host, append([]string{"entry1", "operator"}, rest...)...)
	}
	time.Sleep(6 * time.Second)
	require.True(t, site.Healthy(0))
	site.Quiet()
	require.Empty(t, site.Completions("bela", -1, applied.Add(keyLimit)))
	for _, sent := range site.Sent() {
		if sent.Key == prove.KeyBela && sent.Began.After(applied.Add(keyLimit)) {
			require.False(t, sent.Whole, "%v", sent)
			require.Equal(t, "no", sent.Ran, "%v", sent)
		}
	}
}

func without(names, left []string) []string {
	var rest []string
	for _, name := range names {
		if len(left) == 0 || name != left[0] {
			rest = append(rest, name)
		}
	}
	return rest
}
