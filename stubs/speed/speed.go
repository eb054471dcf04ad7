// Package speed measures the latency that entry and agent add to a direct call of an
// engine, over loopback.
package speed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
)

const (
	// The names in the configuration of the measured deployment.
	workspace = "speed"
	adapter   = "speed-adapter"
	callerKey = "speed-key"
	// startTimeout is the maximum time until the deployment is ready.
	startTimeout = 20 * time.Second
)

// Comparison compares direct calls of an engine with calls through entry and agent.
// Set its fields before calling Run.
type Comparison struct {
	// DataDir is the directory for the control replicas' data.
	DataDir string
	// Requests is the number of requests sent directly and again through entry and
	// agent, Concurrency the number in flight at a time.
	Requests, Concurrency int
	// Tokens is the length of each answer, Stream whether it is streamed.
	Tokens int
	Stream bool
}

// Stats holds the results of one way of calling the engine.
type Stats struct {
	// P50 and P99 are percentiles of the time to the complete answer.
	P50, P99 time.Duration
	// PerSecond is the number of requests per second, Failed the number of requests
	// without a complete answer.
	PerSecond float64
	Failed    int
}

// Run starts one engine behind two entries and three control replicas. It sends the
// same requests to the engine and to the entries, after some to warm up.
func (c *Comparison) Run(ctx context.Context) (direct, through Stats, err error) {
	ports := &fleet.Ports{}
	f := &fleet.Fleet{
		Spec: fleet.Spec{
			Control: 3, Entries: 2, Engines: 1, DataCentres: 1, AdapterSlots: 2, MaxRequests: 2 * c.Concurrency,
			LoadsPerSecond: 10, MaxConcurrentLoads: 8, Linger: time.Millisecond,
		},
		Network: fleet.Network{
			Address: func(host, port string) string { return ports.Address(host + ":" + port) },
			Listen:  ports.Listen, Dialer: ports.Dialer,
		},
		DataDir: c.DataDir,
	}
	f.Start(ctx)
	defer f.Close()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Apply(startCtx, config()); err != nil {
		return direct, through, fmt.Errorf("apply configuration: %w", err)
	}
	if err := f.WaitReady(startCtx); err != nil {
		return direct, through, fmt.Errorf("wait for endpoints: %w", err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * c.Concurrency}}
	defer client.CloseIdleConnections()
	c.send(ctx, client, f.EntryAddresses(), c.entryBody(), c.Concurrency)
	direct = c.send(ctx, client, []string{f.Engines[0].Address}, c.engineBody(), c.Requests)
	through = c.send(ctx, client, f.EntryAddresses(), c.entryBody(), c.Requests)
	return direct, through, nil
}

// config returns the configuration with the workspace and its adapter.
func config() *conf.Config {
	return &conf.Config{
		Number:     1,
		Workspaces: map[string]conf.Workspace{workspace: {Rate: 1 << 30, Burst: 1 << 31, Objective: conf.Objective{Share: 0.95}}},
		Keys:       map[string]conf.Key{digest.Key(callerKey): {Workspace: workspace}},
		Adapters: map[string]conf.Adapter{
			adapter: {Model: fleet.ModelName, Workspace: workspace, Versions: []string{"1"}, Current: "1"},
		},
	}
}

// entryBody returns the request body that callers send to an entry.
func (c *Comparison) entryBody() string {
	return fmt.Sprintf(`{"model":%q,"prompt":"How fast?","max_tokens":%d,"stream":%t}`, adapter, c.Tokens, c.Stream)
}

// engineBody returns the request body that an agent sends to an engine.
func (c *Comparison) engineBody() string {
	return fmt.Sprintf(`{"lora":%q,"version":"1","prompt":"How fast?","max_tokens":%d,"stream":%t}`, adapter, c.Tokens, c.Stream)
}

// send sends the body count times to the addresses in turn, with Concurrency workers.
func (c *Comparison) send(ctx context.Context, client *http.Client, addresses []string, body string, count int) Stats {
	var mutex sync.Mutex
	var latencies []time.Duration
	failed, sent := 0, 0
	var workers sync.WaitGroup
	start := time.Now()
	for range c.Concurrency {
		workers.Go(func() {
			for {
				mutex.Lock()
				index := sent
				sent++
				mutex.Unlock()
				if index >= count {
					return
				}
				began := time.Now()
				succeeded := complete(ctx, client, addresses[index%len(addresses)], body)
				mutex.Lock()
				latencies = append(latencies, time.Since(began))
				if !succeeded {
					failed++
				}
				mutex.Unlock()
			}
		})
	}
	workers.Wait()
	elapsed := time.Since(start)
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return Stats{
		P50: latencies[len(latencies)/2], P99: latencies[len(latencies)*99/100],
		PerSecond: float64(count) / elapsed.Seconds(), Failed: failed,
	}
}

// complete sends one completion and reports whether it was answered.
func complete(ctx context.Context, client *http.Client, address, body string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewBufferString(body))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	reply, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = reply.Body.Close() }()
	_, err = io.Copy(io.Discard, reply.Body)
	return err == nil && reply.StatusCode == http.StatusOK
}
