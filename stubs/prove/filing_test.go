package prove_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/stubs/prove"
)

const (
	// filingSeed draws the callers' patience, filingCount is the number of
	// filings, filingTries how often each is sent at most.
	filingSeed  = 11
	filingCount = 24
	filingTries = 12
)

// file sends one filing to entries in turn until it is answered, and then to
// each entry once more.
func file(site *prove.Site, body string, random *rand.Rand) []*prove.Sent {
	var sendings []*prove.Sent
	ask := prove.Ask{Key: prove.KeyBela, Method: http.MethodPost, Path: "/filing", Body: body}
	for try := range filingTries {
		ask.Entry = try % 2
		ask.Patience = time.Duration(300+random.IntN(2500)) * time.Millisecond
		last := site.Send(ask)
		sendings = append(sendings, last)
		if last.Whole {
			break
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
	ask.Patience = 0
	for entry := range 2 {
		ask.Entry = site.Balance(entry)
		sendings = append(sendings, site.Send(ask))
	}
	return sendings
}

// filingFaults isolates an entry, restarts agents and isolates the control
// leader, each while the one before still shows, twice.
func filingFaults(t *testing.T, site *prove.Site) {
	for round := range 2 {
		entry := fmt.Sprintf("entry%d", round)
		var group conc.WaitGroup
		group.Go(func() { site.Apart(entry, 5*time.Second, site.Others(entry)...) })
		time.Sleep(time.Second)
		agent := fmt.Sprintf("service%d", round)
		require.NoError(t, site.Fleet.Stop(agent))
		site.Fleet.StartAgent(agent)
		time.Sleep(time.Second)
		leader, err := site.Leader(t.Context())
		require.NoError(t, err)
		group.Go(func() { site.Apart(leader, 4*time.Second, site.Others(leader)...) })
		time.Sleep(time.Second)
		other := fmt.Sprintf("service%d", 1-round)
		site.Lose(other)
		site.Fleet.StartAgent(other)
		group.Wait()
	}
}

// TestFilingsUnderFaultsTogetherAndTwice has callers send filings again and
// again while an entry is cut off, agents are restarted and killed and the
// control leader is cut off, at once and twice.
func TestFilingsUnderFaultsTogetherAndTwice(t *testing.T) {
	s := shape()
	s.Engines, s.ServiceDelay = 1, time.Second
	in(t, s, nil, func(t *testing.T, site *prove.Site) {
		var group conc.WaitGroup
		ends := make([][]*prove.Sent, filingCount)
		for serial := range filingCount {
			random := rand.New(rand.NewPCG(filingSeed, uint64(serial)))
			group.Go(func() {
				time.Sleep(time.Duration(serial) * 800 * time.Millisecond)
				ends[serial] = file(site, fmt.Sprint("filing", serial), random)
			})
		}
		time.Sleep(time.Second)
		filingFaults(t, site)
		group.Wait()
		time.Sleep(30 * time.Second)
		answered := 0
		for serial, sendings := range ends {
			if requireOnce(t, site, fmt.Sprint("filing", serial), sendings) {
				answered++
			}
		}
		told := outcomes(site)
		t.Logf("%d of %d filings answered; %v", answered, filingCount, told)
		require.Positive(t, told["lost"])
		require.Positive(t, told["no"])
		require.Greater(t, answered, filingCount/2)
	})
}

// outcomes counts the ends of sendings: whole answers, connections given up by
// the caller or lost, and refusals by their word on whether they ran.
func outcomes(site *prove.Site) map[string]int {
	counts := map[string]int{}
	for _, sent := range site.Sent() {
		switch {
		case sent.Whole:
			counts["whole"]++
		case sent.Err != nil:
			counts["lost"]++
		default:
			counts[sent.Ran]++
		}
	}
	return counts
}

// requireOnce compares what a caller was told of a filing with what services
// did.
func requireOnce(t *testing.T, site *prove.Site, body string, sendings []*prove.Sent) (answered bool) {
	t.Helper()
	calls := site.Calls(body)
	require.LessOrEqual(t, len(calls), 1, "%s reached services again: %v", body, sendings)
	text := ""
	open := false
	for index, sent := range sendings {
		if sent.Whole {
			require.Equal(t, 1, site.Filings()[body], "%s was answered: %v", body, sendings)
			require.True(t, text == "" || text == sent.Text, "%s has two answers: %v", body, sendings)
			text = sent.Text
		}
		open = open || sent.Ran != "no"
		if open || len(calls) == 0 {
			continue
		}
		require.Less(t, index, len(sendings)-1, "%s was refused as not run: %v", body, sendings)
		require.True(t, calls[0].At.After(sendings[index+1].Began), "%s ran after it was refused as not run: %v", body, sendings)
	}
	return text != ""
}
