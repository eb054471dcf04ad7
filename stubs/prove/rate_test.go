package prove_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
	"github.com/tanagerspindle/tanagerspindle/stubs/prove"
)

const (
	// rate and burst are the tested workspace's, in tokens.
	rate  = 100
	burst = 200
	// rateTokens is the length of an answer.
	rateTokens = 20
)

// TestRateUnderFaultsTogetherAndTwice floods both entries with a workspace's
// requests while the control leader is lost, an entry is lost and replaced,
// and the next leader is cut off.
func TestRateUnderFaultsTogetherAndTwice(t *testing.T) {
	in(t, shape(), nil, func(t *testing.T, site *prove.Site) {
		config := prove.Config(2)
		anand := config.Workspaces["anand"]
		anand.Rate, anand.Burst = rate, burst
		config.Workspaces["anand"] = anand
		require.NoError(t, site.Fleet.Apply(t.Context(), config))
		time.Sleep(time.Second)
		for caller := range 12 {
			site.Repeat(10*time.Millisecond, func(serial int) {
				site.Send(prove.Ask{
					Entry: caller % 2, Key: prove.KeyAnand, Adapter: "notes",
					Prompt: fmt.Sprintf("c%d-%d", caller, serial), Tokens: rateTokens, Patience: 10 * time.Second,
				})
				time.Sleep(100 * time.Millisecond)
			})
		}
		time.Sleep(3 * time.Second)
		leader, err := site.Leader(t.Context())
		require.NoError(t, err)
		site.Lose(leader)
		site.Fleet.StartControl(number(leader))
		site.Lose(fleet.EntryName(1))
		site.Fleet.StartEntry(1)
		leader, err = site.Leader(t.Context())
		require.NoError(t, err)
		site.Apart(leader, 5*time.Second, site.Others(leader)...)
		time.Sleep(5 * time.Second)
		site.Quiet()
		requireRate(t, site)
	})
}

// requireRate checks every span between the sending of a request and the end
// of another: answers that lie in it whole have no more tokens than the rate
// and the burst allow.
func requireRate(t *testing.T, site *prove.Site) {
	t.Helper()
	var whole []*prove.Sent
	for _, sent := range site.Sent() {
		if sent.Whole {
			whole = append(whole, sent)
		}
	}
	t.Logf("%d of %d requests answered", len(whole), len(site.Sent()))
	require.Greater(t, len(whole), 80)
	for _, first := range whole {
		for _, last := range whole {
			tokens := 0
			for _, sent := range whole {
				if !sent.Began.Before(first.Began) && !sent.Ended.After(last.Ended) {
					tokens += rateTokens
				}
			}
			allowed := burst + rate*last.Ended.Sub(first.Began).Seconds()
			require.LessOrEqual(t, float64(tokens), max(allowed, 0), "from %v to %v", first.Began, last.Ended)
		}
	}
}
