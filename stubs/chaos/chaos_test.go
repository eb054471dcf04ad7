package chaos_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/stubs/chaos"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
)

// smallDeployment returns the size and the speed of a small deployment.
func smallDeployment() fleet.Spec {
	return fleet.Spec{
		Control: 3, Entries: 2, Engines: 2, Services: 2, DataCentres: 1, AdapterSlots: 2, MaxRequests: 8, MaxServiceRequests: 8,
		TokenTime: 20 * time.Millisecond, ServiceDelay: 300 * time.Millisecond, LoadsPerSecond: 10, MaxConcurrentLoads: 8, Linger: time.Second,
	}
}

// withHarness runs a test against a deployment and checks at its end that no engine
// recorded a protocol violation.
func withHarness(t *testing.T, spec fleet.Spec, tune func(*fleet.Fleet), body func(*testing.T, *chaos.Harness)) {
	t.Helper()
	folder := t.TempDir()
	bubble.Test(t, func(t *testing.T) {
		h, err := chaos.Start(t.Context(), folder, spec, tune)
		require.NoError(t, err)
		defer h.Close()
		body(t, h)
		for _, engine := range h.Fleet.Engines {
			require.Empty(t, engine.Violations())
		}
	})
}

// resumeField occurs in requests that ask an engine to resume a completion.
const resumeField = `"offset"`

const (
	// loadCallers is the number of callers that startLoad starts.
	loadCallers = 6
	// shortPause and longPause are the times that callers pause between requests.
	shortPause = 100 * time.Millisecond
	longPause  = time.Second
)

// startLoad starts callers that send streamed and unstreamed completions, lookups
// and filings to healthy entries.
func startLoad(h *chaos.Harness, pause time.Duration) {
	for caller := range loadCallers {
		h.RunCaller(pause, func(serial int) { h.Send(loadRequest(h, caller, serial)) })
	}
}

// loadRequest returns the next request of a caller; the caller's index determines
// its kind.
func loadRequest(h *chaos.Harness, caller, serial int) chaos.Request {
	entry := h.HealthyEntry((caller + serial) % h.Fleet.Spec.Entries)
	name := fmt.Sprintf("caller%d-%d", caller, serial)
	switch caller {
	case loadCallers - 2:
		return chaos.Request{Entry: entry, Key: chaos.KeyAnand, Method: http.MethodGet, Path: "/lookup/" + name}
	case loadCallers - 1:
		return chaos.Request{Entry: entry, Key: chaos.KeyBela, Method: http.MethodPost, Path: "/filing", Body: name}
	}
	request := chaos.Request{Entry: entry, Key: chaos.KeyAnand, Adapter: "notes", Prompt: name, Tokens: 20 + 10*caller, Stream: caller%2 == 0}
	if caller%3 == 1 {
		request.Key, request.Adapter = chaos.KeyBela, "drafts"
	}
	return request
}

// requireComplete checks that every request got the complete answer to it, that every
// filing ran exactly once, and that more than minCount requests were sent.
func requireComplete(t *testing.T, h *chaos.Harness, minCount int) {
	t.Helper()
	filings := h.Filings()
	for _, exchange := range h.Exchanges() {
		require.True(t, exchange.Complete, "%v", exchange)
		switch {
		case exchange.Adapter != "":
			require.NotEmpty(t, exchange.Version("v1", "v2"), "answer does not match the request: %v", exchange)
		case exchange.Method == http.MethodPost:
			require.Equal(t, 1, filings[exchange.Body], "%v", exchange)
		default:
			require.Contains(t, exchange.Text, exchange.Path)
		}
	}
	require.Greater(t, len(h.Exchanges()), minCount)
}

// TestPlannedStopsUnderLoad stops and restarts an entry, an agent of each kind and
// the control leader. Every request must be answered completely, and none that an
// endpoint has started may be resumed elsewhere.
func TestPlannedStopsUnderLoad(t *testing.T) {
	withHarness(t, smallDeployment(), nil, func(t *testing.T, h *chaos.Harness) {
		startLoad(h, shortPause)
		for _, name := range []string{"entry1", "engine0", "service1"} {
			time.Sleep(2 * time.Second)
			before := time.Now()
			group := sendAtOnce(h, name)
			time.Sleep(100 * time.Millisecond)
			require.NotEmpty(t, h.Completions(name, 0, before))
			require.NoError(t, h.Fleet.Stop(name))
			require.Greater(t, time.Since(before), 300*time.Millisecond, "the process stopped before its requests ended")
			restart(h, name)
			group.Wait()
		}
		time.Sleep(2 * time.Second)
		leader, err := h.Leader(t.Context())
		require.NoError(t, err)
		require.NoError(t, h.Fleet.Stop(leader))
		time.Sleep(time.Second)
		h.Fleet.StartControl(replicaIndex(leader))
		time.Sleep(5 * time.Second)
		h.StopCallers()
		requireComplete(t, h, 100)
		for _, received := range h.Completions("", -1, time.Time{}) {
			require.NotContains(t, received.Body, resumeField, "resumed on another engine")
		}
	})
}

// requestsPerKind is the number of requests of each kind that sendAtOnce sends.
const requestsPerKind = 4

// sendAtOnce sends long streams and filings concurrently through both entries. The
// returned group ends when all have been answered.
func sendAtOnce(h *chaos.Harness, name string) *conc.WaitGroup {
	group := &conc.WaitGroup{}
	for index := range requestsPerKind {
		requests := []chaos.Request{
			{Key: chaos.KeyAnand, Adapter: "notes", Prompt: fmt.Sprint(name, "n", index), Tokens: 100, Stream: true},
			{Key: chaos.KeyBela, Adapter: "drafts", Prompt: fmt.Sprint(name, "d", index), Tokens: 100, Stream: true},
			{Key: chaos.KeyAnand, Method: http.MethodPost, Path: "/filing", Body: fmt.Sprint(name, "f", index)},
		}
		for _, request := range requests {
			request.Entry = index % 2
			group.Go(func() { h.Send(request) })
		}
	}
	return group
}

// restart starts a stopped entry or agent again.
func restart(h *chaos.Harness, name string) {
	if name == "entry1" {
		h.Fleet.StartEntry(1)
		return
	}
	h.Fleet.StartAgent(name)
}

// TestEngineLeavesUnderLoad makes an engine announce that it is leaving while it
// runs requests. It must complete these and get no new ones after 3 s.
func TestEngineLeavesUnderLoad(t *testing.T) {
	withHarness(t, smallDeployment(), nil, func(t *testing.T, h *chaos.Harness) {
		startLoad(h, shortPause)
		time.Sleep(3 * time.Second)
		require.NotEmpty(t, h.Completions("", 0, time.Time{}))
		leftAt := time.Now()
		h.Fleet.Engines[0].SetDraining(true)
		time.Sleep(10 * time.Second)
		h.StopCallers()
		require.Empty(t, h.Completions("", 0, leftAt.Add(3*time.Second)))
		require.NotEmpty(t, h.Completions("", 1, leftAt.Add(3*time.Second)))
		requireComplete(t, h, 80)
	})
}

// TestSilentConnectionsUnderLoad makes every open connection of an entry stop
// delivering data without being closed: those to the agents, those to control, and
// both at once.
func TestSilentConnectionsUnderLoad(t *testing.T) {
	withHarness(t, smallDeployment(), nil, func(t *testing.T, h *chaos.Harness) {
		startLoad(h, shortPause)
		time.Sleep(2 * time.Second)
		for _, hosts := range [][]string{h.Agents(), h.Controls(), append(h.Agents(), h.Controls()...)} {
			for _, host := range hosts {
				h.Network.Silence("entry0", host)
			}
			time.Sleep(6 * time.Second)
		}
		h.StopCallers()
		requireComplete(t, h, 100)
		resumed := 0
		for _, received := range h.Completions("", -1, time.Time{}) {
			if strings.Contains(received.Body, resumeField) {
				resumed++
			}
		}
		require.Positive(t, resumed)
		for _, exchange := range h.Exchanges() {
			require.Less(t, exchange.Ended.Sub(exchange.Started), 10*time.Second, "%v", exchange)
		}
	})
}

// TestVersionSwitchUnderLoad changes an adapter's current version. Requests sent
// before the change get the old version, those sent after it the new one.
func TestVersionSwitchUnderLoad(t *testing.T) {
	withHarness(t, smallDeployment(), nil, func(t *testing.T, h *chaos.Harness) {
		startLoad(h, shortPause)
		time.Sleep(3 * time.Second)
		config := chaos.Config(2)
		notes := config.Adapters["notes"]
		notes.Current = "v2"
		config.Adapters["notes"] = notes
		began := time.Now()
		require.NoError(t, h.Fleet.Apply(t.Context(), config))
		applied := time.Now()
		require.Less(t, applied.Sub(began), 5*time.Second)
		time.Sleep(5 * time.Second)
		h.StopCallers()
		requireComplete(t, h, 60)
		counts := map[string]int{}
		for _, exchange := range h.Exchanges() {
			if exchange.Adapter != "notes" {
				continue
			}
			version := exchange.Version("v1", "v2")
			counts[version]++
			switch {
			case exchange.Started.Before(began):
				require.Equal(t, "v1", version, "%v", exchange)
			case exchange.Started.After(applied):
				require.Equal(t, "v2", version, "%v", exchange)
			}
		}
		require.Greater(t, counts["v1"], 5)
		require.Greater(t, counts["v2"], 5)
	})
}

// poison is the text in prompts that crashes engines.
const poison = "poison"

// TestRepeatedPoisonRequest repeatedly sends a request that crashes its engine,
// through all entries. The request must be quarantined after at most two crashes,
// and another caller's requests must all be answered.
func TestRepeatedPoisonRequest(t *testing.T) {
	s := smallDeployment()
	s.Engines = 3
	tune := func(f *fleet.Fleet) { f.ConfigureEngine = setPoison }
	withHarness(t, s, tune, func(t *testing.T, h *chaos.Harness) {
		h.RunCaller(200*time.Millisecond, func(serial int) {
			h.Send(chaos.Request{Entry: serial % 2, Key: chaos.KeyBela, Adapter: "drafts", Prompt: poison, Tokens: 10})
		})
		h.RunCaller(20*time.Millisecond, func(serial int) {
			h.Send(chaos.Request{
				Entry: serial % 2, Key: chaos.KeyBela, Adapter: "drafts", Prompt: fmt.Sprint("bystander", serial), Tokens: 20, Stream: true,
			})
		})
		time.Sleep(40 * time.Second)
		h.StopCallers()
		require.LessOrEqual(t, len(h.Completions(poison, -1, time.Time{})), 2, "engine crashes caused by the poison request")
		require.NotEmpty(t, h.Completions(poison, -1, time.Time{}))
		refused := 0
		for _, exchange := range h.Exchanges() {
			if strings.HasPrefix(exchange.Prompt, "bystander") {
				require.True(t, exchange.Complete, "%v", exchange)
				require.NotEmpty(t, exchange.Version("v1"))
				continue
			}
			require.False(t, exchange.Complete)
			if exchange.Ran == "no" {
				refused++
			}
		}
		require.Greater(t, refused, 20)
	})
}

func setPoison(engine *model.Engine) { engine.Poison = poison }
