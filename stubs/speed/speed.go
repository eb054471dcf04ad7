// Package speed measures what the way through entry and agent adds to calling
// an engine directly, over loopback.
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
	workspace = "speed"
	adapter   = "speed-adapter"
	callerKey = "speed-key"
	// startLimit bounds the time until the deployment is ready.
	startLimit = 20 * time.Second
)

// Speed is one measurement. Its fields are set before Run.
type Speed struct {
	// Folder holds the control replicas' data.
	Folder string
	// Requests is how many are sent each way, Lanes how many at once.
	Requests, Lanes int
	// Tokens is the length of each answer; Stream asks for it streamed.
	Tokens int
	Stream bool
}

// Way is what one way of calling showed.
type Way struct {
	Half, Tail time.Duration
	// PerSecond is requests a second, Failed those without a whole answer.
	PerSecond float64
	Failed    int
}

// Run starts one engine behind two entries and three control replicas and
// sends the same requests to the engine and to the entries.
func (s *Speed) Run(ctx context.Context) (direct, through Way, err error) {
	ports := &fleet.Ports{}
	f := &fleet.Fleet{
		Spec: fleet.Spec{
			Control: 3, Entries: 2, Engines: 1, DataCentres: 1, AdapterSlots: 2, MaxRequests: 2 * s.Lanes,
			LoadsPerSecond: 10, MaxConcurrentLoads: 8, Linger: time.Millisecond,
		},
		Network: fleet.Network{
			Address: func(host, port string) string { return ports.Address(host + ":" + port) },
			Listen:  ports.Listen, Dialer: ports.Dialer,
		},
		DataDir: s.Folder,
	}
	f.Start(ctx)
	defer f.Close()
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := f.Apply(starting, config()); err != nil {
		return direct, through, fmt.Errorf("apply: %w", err)
	}
	if err := f.WaitReady(starting); err != nil {
		return direct, through, fmt.Errorf("start: %w", err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * s.Lanes}}
	defer client.CloseIdleConnections()
	s.send(ctx, client, f.EntryAddresses(), s.asked(), s.Lanes)
	direct = s.send(ctx, client, []string{f.Engines[0].Address}, s.ordered(), s.Requests)
	through = s.send(ctx, client, f.EntryAddresses(), s.asked(), s.Requests)
	return direct, through, nil
}

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

// asked is the request as callers send it, ordered as an agent does.
func (s *Speed) asked() string {
	return fmt.Sprintf(`{"model":%q,"prompt":"How fast?","max_tokens":%d,"stream":%t}`, adapter, s.Tokens, s.Stream)
}

func (s *Speed) ordered() string {
	return fmt.Sprintf(`{"lora":%q,"version":"1","prompt":"How fast?","max_tokens":%d,"stream":%t}`, adapter, s.Tokens, s.Stream)
}

// send sends the body count times over the lanes, to the addresses in turn.
func (s *Speed) send(ctx context.Context, client *http.Client, addresses []string, body string, count int) Way {
	var mutex sync.Mutex
	var taken []time.Duration
	failed, sent := 0, 0
	var lanes sync.WaitGroup
	start := time.Now()
	for range s.Lanes {
		lanes.Go(func() {
			for {
				mutex.Lock()
				turn := sent
				sent++
				mutex.Unlock()
				if turn >= count {
					return
				}
				began := time.Now()
				good := ask(ctx, client, addresses[turn%len(addresses)], body)
				mutex.Lock()
				taken = append(taken, time.Since(began))
				if !good {
					failed++
				}
				mutex.Unlock()
			}
		})
	}
	lanes.Wait()
	passed := time.Since(start)
	sort.Slice(taken, func(i, j int) bool { return taken[i] < taken[j] })
	return Way{
		Half: taken[len(taken)/2], Tail: taken[len(taken)*99/100],
		PerSecond: float64(count) / passed.Seconds(), Failed: failed,
	}
}

func ask(ctx context.Context, client *http.Client, address, body string) bool {
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
