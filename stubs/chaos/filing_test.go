package chaos_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/stubs/chaos"
)

const (
	// filingSeed seeds the callers' timeouts and pauses, filingCount is the number
	// of filings and maxFilingAttempts the number of times that each is sent
	// before it is answered.
	filingSeed        = 11
	filingCount       = 24
	maxFilingAttempts = 12
)

// sendFiling sends a filing to the entries in turn until it is answered or the
// attempts are used up, and then once more to each entry.
func sendFiling(h *chaos.Harness, body string, random *rand.Rand) []*chaos.Exchange {
	var exchanges []*chaos.Exchange
	request := chaos.Request{Key: chaos.KeyBela, Method: http.MethodPost, Path: "/filing", Body: body}
	for attempt := range maxFilingAttempts {
		request.Entry = attempt % 2
		request.Timeout = time.Duration(300+random.IntN(2500)) * time.Millisecond
		last := h.Send(request)
		exchanges = append(exchanges, last)
		if last.Complete {
			break
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
	request.Timeout = 0
	for entry := range 2 {
		request.Entry = h.HealthyEntry(entry)
		exchanges = append(exchanges, h.Send(request))
	}
	return exchanges
}

// injectFilingFaults performs two rounds of overlapping faults: an entry is
// isolated, an agent is restarted, the control leader is isolated and the VM of
// another agent is lost.
func injectFilingFaults(t *testing.T, h *chaos.Harness) {
	for round := range 2 {
		entry := fmt.Sprintf("entry%d", round)
		var group conc.WaitGroup
		group.Go(func() { h.IsolateFor(entry, 5*time.Second, h.OtherHosts(entry)...) })
		time.Sleep(time.Second)
		agent := fmt.Sprintf("service%d", round)
		require.NoError(t, h.Fleet.Stop(agent))
		h.Fleet.StartAgent(agent)
		time.Sleep(time.Second)
		leader, err := h.Leader(t.Context())
		require.NoError(t, err)
		group.Go(func() { h.IsolateFor(leader, 4*time.Second, h.OtherHosts(leader)...) })
		time.Sleep(time.Second)
		other := fmt.Sprintf("service%d", 1-round)
		h.LoseVM(other)
		h.Fleet.StartAgent(other)
		group.Wait()
	}
}

// TestFilingsUnderOverlappingFaults retries filings while an entry and the control
// leader are isolated and agents are restarted and lost, in two rounds. No filing
// may run twice, and refusals must state correctly whether it ran.
func TestFilingsUnderOverlappingFaults(t *testing.T) {
	s := smallDeployment()
	s.Engines, s.ServiceDelay = 1, time.Second
	withHarness(t, s, nil, func(t *testing.T, h *chaos.Harness) {
		var group conc.WaitGroup
		attempts := make([][]*chaos.Exchange, filingCount)
		for serial := range filingCount {
			random := rand.New(rand.NewPCG(filingSeed, uint64(serial)))
			group.Go(func() {
				time.Sleep(time.Duration(serial) * 800 * time.Millisecond)
				attempts[serial] = sendFiling(h, fmt.Sprint("filing", serial), random)
			})
		}
		time.Sleep(time.Second)
		injectFilingFaults(t, h)
		group.Wait()
		time.Sleep(30 * time.Second)
		answered := 0
		for serial, exchanges := range attempts {
			if requireAtMostOnce(t, h, fmt.Sprint("filing", serial), exchanges) {
				answered++
			}
		}
		counts := outcomes(h)
		t.Logf("%d of %d filings answered; %v", answered, filingCount, counts)
		require.Positive(t, counts["lost"])
		require.Positive(t, counts["no"])
		require.Greater(t, answered, filingCount/2)
	})
}

// outcomes counts exchanges by outcome: "whole" for complete answers, "lost" for
// timeouts and lost connections, and otherwise the refusal's statement whether the
// request ran.
func outcomes(h *chaos.Harness) map[string]int {
	counts := map[string]int{}
	for _, exchange := range h.Exchanges() {
		switch {
		case exchange.Complete:
			counts["whole"]++
		case exchange.Err != nil:
			counts["lost"]++
		default:
			counts[exchange.Ran]++
		}
	}
	return counts
}

// requireAtMostOnce checks that a filing reached the services at most once, that all
// its answers agree, and that it did not run before a refusal that says it did
// not run. It reports whether the filing was answered.
func requireAtMostOnce(t *testing.T, h *chaos.Harness, body string, exchanges []*chaos.Exchange) (answered bool) {
	t.Helper()
	calls := h.Calls(body)
	require.LessOrEqual(t, len(calls), 1, "%s reached services more than once: %v", body, exchanges)
	text := ""
	mayRun := false
	for index, exchange := range exchanges {
		if exchange.Complete {
			require.Equal(t, 1, h.Filings()[body], "%s was answered but did not run exactly once: %v", body, exchanges)
			require.True(t, text == "" || text == exchange.Text, "%s has two different answers: %v", body, exchanges)
			text = exchange.Text
		}
		mayRun = mayRun || exchange.Ran != "no"
		if mayRun || len(calls) == 0 {
			continue
		}
		require.Less(t, index, len(exchanges)-1, "%s was refused as not run: %v", body, exchanges)
		require.True(t, calls[0].At.After(exchanges[index+1].Started), "%s ran after it was refused as not run: %v", body, exchanges)
	}
	return text != ""
}
