package daemon_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
)

const (
	// historySeeds is the number of random runs, historyTime the time in which callers
	// start requests, and historyCalls the number of filings.
	historySeeds = 2
	historyTime  = 15 * time.Second
	historyCalls = 40
	// historyMaxAttempts is the largest number of times that a caller sends a filing.
	historyMaxAttempts = 8
)

// history is a complete deployment under random faults, and the outcomes seen by
// callers.
type history struct {
	t       *testing.T
	random  *rand.Rand
	network *vnet.Network
	fleet   *fleet.Fleet
	client  *http.Client
	mutex   sync.Mutex
	// outcomes holds the outcome of each attempt by filing.
	outcomes map[string][]string
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{t: t, random: rand.New(rand.NewPCG(seed, 7)), network: vnet.New(), outcomes: map[string][]string{}}
	h.network.Latency = func(string, string) time.Duration { return time.Millisecond }
	ports := map[string]string{"control": "1", "agent": "2", "notice": "3", "http": "80", "engine": "5", "service": "6"}
	h.fleet = &fleet.Fleet{
		Spec: fleet.Spec{
			Control: 3, Entries: 2, Engines: 2, Services: 3, DataCentres: 1, AdapterSlots: 2, MaxRequests: 8, MaxServiceRequests: 8,
			TokenTime: 5 * time.Millisecond, ServiceDelay: 1500 * time.Millisecond, LoadsPerSecond: 4, MaxConcurrentLoads: 8, Linger: time.Second,
		},
		Network: fleet.Network{
			Address: func(host, port string) string { return host + ":" + ports[port] },
			Listen:  h.network.Listen,
			Dialer:  h.network.Dialer,
		},
		DataDir: t.TempDir(),
	}
	dial := h.network.Dialer("caller")
	h.client = &http.Client{Transport: &http.Transport{
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		DisableKeepAlives: true,
	}}
	return h
}

func historyConfig() *conf.Config {
	return &conf.Config{
		Number:     1,
		Workspaces: map[string]conf.Workspace{"anand": {Rate: 100000, Burst: 100000}},
		Keys:       map[string]conf.Key{digest.Key(keyAnand): {Workspace: "anand"}},
		Adapters:   map[string]conf.Adapter{"notes": {Model: fleet.ModelName, Workspace: "anand", Versions: []string{"v1"}, Current: "v1"}},
		Routes: map[string]conf.Route{
			"filing": {Kind: conf.RouteService, Path: "/filing", Service: fleet.ServiceName, Workspaces: []string{"anand"}, AtMostOnce: true, Cost: 1, ReplayWindow: span.Duration(time.Hour)},
		},
		Weights: conf.Weights{Stalls: 1, Batch: 1, Worst: 1, Refused: 1},
	}
}

// send sends one filing to one entry. It returns "ok", "lost" if there was no complete
// answer, or the refusal's statement on whether the request has run.
func (h *history) send(p attemptPlan, body string) string {
	ctx, cancel := context.WithTimeout(context.Background(), p.maxWait)
	defer cancel()
	address := "http://" + h.fleet.Network.Address(fleet.EntryName(p.entry), "http") + "/filing/1"
	request, err := http.NewRequestWithContext(ctx, "POST", address, strings.NewReader(body))
	require.NoError(h.t, err)
	request.Header.Set("Authorization", "Bearer "+keyAnand)
	response, err := h.client.Do(request)
	if err != nil {
		return "lost"
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return "lost"
	case response.StatusCode < 300:
		return "ok"
	case strings.Contains(string(data), `"ran":"no"`):
		return "no"
	}
	return "unknown"
}

// attemptPlan is one attempt of a caller, who disconnects after maxWait.
type attemptPlan struct {
	entry   int
	maxWait time.Duration
	pause   time.Duration
}

func (h *history) planAttempts() []attemptPlan {
	attempts := make([]attemptPlan, historyMaxAttempts)
	for i := range attempts {
		attempts[i] = attemptPlan{
			entry:   h.random.IntN(2),
			maxWait: time.Duration(100+h.random.IntN(4000)) * time.Millisecond,
			pause:   time.Duration(h.random.IntN(1000)) * time.Millisecond,
		}
	}
	attempts[historyMaxAttempts-1].maxWait = time.Minute
	return attempts
}

// fileUntilAnswered sends a filing until it is answered or the attempts are used up.
func (h *history) fileUntilAnswered(body string, start time.Duration, attempts []attemptPlan) {
	time.Sleep(start)
	for _, s := range attempts {
		end := h.send(s, body)
		h.mutex.Lock()
		h.outcomes[body] = append(h.outcomes[body], end)
		h.mutex.Unlock()
		if end == "ok" {
			return
		}
		time.Sleep(s.pause)
	}
}

// injectFaults causes random faults, one after another.
func (h *history) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		h.pause(ctx, 500+h.random.IntN(2000))
		entry := fleet.EntryName(h.random.IntN(2))
		service := fleet.ServiceAgentName(h.random.IntN(3))
		replica := fleet.ControlName(h.random.IntN(3))
		length := 1000 + h.random.IntN(5000)
		switch h.random.IntN(6) {
		case 0:
			h.network.Silence(entry, service)
		case 1:
			h.isolate(ctx, length, entry, service)
		case 2:
			h.isolate(ctx, length, entry, "ctrl0", "ctrl1", "ctrl2")
		case 3:
			h.isolate(ctx, length, replica, "ctrl0", "ctrl1", "ctrl2", "entry0", "entry1")
		case 4:
			_ = h.fleet.Stop(service)
			h.fleet.StartAgent(service)
		case 5:
			h.network.LoseHost(entry)
			h.fleet.Cancel(entry)
			h.pause(ctx, length)
			h.fleet.StartEntry(int(entry[len(entry)-1] - '0'))
		}
	}
}

func (h *history) isolate(ctx context.Context, length int, host string, others ...string) {
	h.network.Isolate(host, others...)
	h.pause(ctx, length)
	h.network.Rejoin(host, others...)
}

func (h *history) pause(ctx context.Context, milliseconds int) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(milliseconds) * time.Millisecond):
	}
}

func (h *history) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, historyTime)
	defer cancel()
	var callers conc.WaitGroup
	for at := range historyCalls {
		start := time.Duration(h.random.Int64N(int64(historyTime)))
		attempts := h.planAttempts()
		callers.Go(func() { h.fileUntilAnswered(fmt.Sprintf("filing-%d", at), start, attempts) })
	}
	h.injectFaults(ctx)
	callers.Wait()
}

// check compares the answers of callers with the filings of the services.
func (h *history) check(seed uint64) (answered int) {
	filed := map[string]int{}
	for _, service := range h.fleet.Services {
		for body, count := range service.Filings() {
			filed[body] += count
		}
	}
	for body, ends := range h.outcomes {
		require.LessOrEqual(h.t, filed[body], 1, "seed %d: %s ran twice: %v", seed, body, ends)
		last := ends[len(ends)-1]
		if last == "ok" {
			answered++
			require.Equal(h.t, 1, filed[body], "seed %d: %s was answered: %v", seed, body, ends)
		}
		if !strings.Contains(strings.Join(ends, " "), "ok") && !strings.Contains(strings.Join(ends, " "), "unknown") && !strings.Contains(strings.Join(ends, " "), "lost") {
			require.Zero(h.t, filed[body], "seed %d: %s ran although every refusal said that it had not: %v", seed, body, ends)
		}
	}
	return answered
}

// TestFilingsUnderRandomFaults runs real control replicas, entries, agents and services
// under unresponsive connections, partitions, restarts of agents and crashes of
// entries. Callers send filings again at any entry. No filing may run twice.
func TestFilingsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(historySeeds) {
		bubble.Test(t, func(t *testing.T) {
			h := newHistory(t, seed)
			ctx, cancel := context.WithCancel(context.Background())
			defer time.Sleep(10 * time.Minute)
			defer cancel()
			h.fleet.Start(ctx)
			defer h.fleet.Close()
			startup, stop := context.WithTimeout(ctx, time.Minute)
			defer stop()
			require.NoError(t, h.fleet.Apply(startup, historyConfig()))
			require.NoError(t, h.fleet.WaitReady(startup))
			h.run(ctx)
			time.Sleep(time.Minute)
			answered := h.check(seed)
			t.Logf("seed %d: %d of %d filings answered", seed, answered, historyCalls)
			require.Greater(t, answered, historyCalls/2, "seed %d", seed)
			h.complete()
		})
	}
}

// complete checks that the deployment still answers with the right adapter.
func (h *history) complete() {
	body := `{"model":"notes","prompt":"hello","max_tokens":20}`
	request, err := http.NewRequest("POST", "http://entry0:80/v1/completions", strings.NewReader(body))
	require.NoError(h.t, err)
	request.Header.Set("Authorization", "Bearer "+keyAnand)
	response, err := h.client.Do(request)
	require.NoError(h.t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(h.t, err)
	require.Equal(h.t, 200, response.StatusCode, string(data))
	require.Contains(h.t, string(data), model.Answer("notes", "v1", "hello", 0, 20))
}
