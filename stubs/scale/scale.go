package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	agent "github.com/tanagerspindle/tanagerspindle/agent/daemon"
	entry "github.com/tanagerspindle/tanagerspindle/entry/daemon"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
	"github.com/tanagerspindle/tanagerspindle/stubs/usage"
)

const (
	// readyTimeout is the maximum time for applying a configuration, and for all
	// daemons to be registered with control.
	readyTimeout = time.Minute
	// submitWait is the time that control gets to bring a configuration into force
	// before it answers the submission.
	submitWait = 11 * time.Second
	// warmUpTime is how long requests are sent before the measurement starts.
	warmUpTime = 8 * time.Second
	// keyPrefix precedes the workspace name in each workspace's API key.
	keyPrefix = "swarm-key"
)

// loadTest holds the parameters of a load test, its daemons' addresses and its
// counters.
type loadTest struct {
	controlAddresses, entryAddresses           []string
	pids                                       []int
	entryCount, agentCount                     int
	adapterCount, workspaceCount, answerTokens int
	rate                                       float64
	window                                     time.Duration

	ports fleet.Ports
	// entryBytes and agentBytes count the bytes of control sessions, in both
	// directions.
	entryBytes atomic.Int64
	agentBytes atomic.Int64
	succeeded  atomic.Int64
	failed     atomic.Int64
}

// Report holds the results of a load test.
type Report struct {
	Entries, Agents, Adapters, Workspaces int
	Rate                                  float64
	// EntryBytes and AgentBytes are the mean bytes per second on an entry's and an
	// agent's control session, both directions together.
	EntryBytes, AgentBytes float64
	// Processor is the number of cores used by the process of the entries and
	// agents, Resident its resident memory in bytes and Heap its allocated heap in
	// bytes after a garbage collection.
	Processor      float64
	Resident, Heap int64
	// Replicas are the control replicas' usage of processor and memory.
	Replicas []Replica
	// Change is the time in seconds that a configuration change took to be in force
	// everywhere.
	Change float64
	// Requests counts the requests that were answered completely during the
	// measurement, Failed those that were not.
	Requests, Failed int64
}

// Replica is the usage of one control replica: the number of cores and the resident
// memory in bytes.
type Replica struct {
	Processor float64
	Resident  int64
}

// run starts the daemons, measures and then times a configuration change.
func (t *loadTest) run(ctx context.Context) (*Report, error) {
	config := t.config()
	if err := t.apply(ctx, config); err != nil {
		return nil, err
	}
	for index := range t.agentCount {
		t.startAgent(ctx, index)
	}
	for index := range t.entryCount {
		t.startEntry(ctx, index)
	}
	if err := t.waitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	report, err := t.measure(ctx)
	if err != nil {
		return nil, err
	}
	config.Number++
	delete(config.Adapters, adapterName(0))
	start := time.Now()
	err = t.apply(ctx, config)
	report.Change = time.Since(start).Seconds()
	return report, err
}

func adapterName(index int) string { return fmt.Sprintf("adapter-%06d", index) }

// config returns a configuration with the given numbers of workspaces and adapters.
func (t *loadTest) config() *conf.Config {
	config := &conf.Config{
		Number: 1, Workspaces: map[string]conf.Workspace{}, Keys: map[string]conf.Key{},
		Adapters: map[string]conf.Adapter{}, Routes: map[string]conf.Route{},
	}
	for index := range t.workspaceCount {
		name := fmt.Sprintf("workspace-%04d", index)
		config.Workspaces[name] = conf.Workspace{Rate: 1 << 30, Burst: 1 << 31, Objective: conf.Objective{Share: 0.95}}
		config.Keys[digest.Key(keyPrefix+name)] = conf.Key{Workspace: name}
	}
	for index := range t.adapterCount {
		config.Adapters[adapterName(index)] = conf.Adapter{
			Model: fleet.ModelName, Workspace: fmt.Sprintf("workspace-%04d", index%t.workspaceCount),
			Versions: []string{"2026-11-01", "2026-12-01"}, Current: "2026-12-01",
		}
	}
	return config
}

// countingDialer returns a dial function that adds the bytes to and from control to
// the counter.
func (t *loadTest) countingDialer(counter *atomic.Int64) func(context.Context, string) (net.Conn, error) {
	dial := t.ports.Dialer("")
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		for _, replica := range t.controlAddresses {
			if replica == address {
				return &countingConn{Conn: conn, counter: counter}, nil
			}
		}
		return conn, nil
	}
}

// countingConn counts the bytes read and written on a connection.
type countingConn struct {
	net.Conn
	counter *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Add(int64(n))
	return n, err
}

// host returns the environment of a daemon whose control traffic is counted.
func (t *loadTest) host(name string, counter *atomic.Int64) host.Host {
	return host.Host{VM: name, DataCentre: "dc0", Meter: meter.New(), Dial: t.countingDialer(counter), Listen: t.ports.Listen}
}

// controlOrder returns the control addresses rotated by the daemon's index, so that
// the daemons' sessions are spread over the replicas.
func (t *loadTest) controlOrder(index int) []string {
	first := index % len(t.controlAddresses)
	return append(append([]string(nil), t.controlAddresses[first:]...), t.controlAddresses[:first]...)
}

// startEntry starts an entry.
func (t *loadTest) startEntry(ctx context.Context, index int) {
	name := fleet.EntryName(index)
	address := t.ports.Address(name)
	t.entryAddresses = append(t.entryAddresses, address)
	daemon := &entry.Daemon{Host: t.host(name, &t.entryBytes), ListenAddress: address, NewListener: t.ports.Listen, Control: t.controlOrder(index)}
	go func() { _ = daemon.Run(ctx) }()
}

// startAgent starts an agent and its engine.
func (t *loadTest) startAgent(ctx context.Context, index int) {
	name := fleet.EngineAgentName(index)
	notice := t.ports.Address(name + "notice")
	engine := &model.Engine{
		Name: name, Model: fleet.ModelName, Address: t.ports.Address(name + "engine"), AdapterSlots: 8, MaxRequests: 8, EnforcesFencing: true,
		TokenTime: 10 * time.Millisecond, Listen: t.ports.Listen, CacheBlocks: 64,
	}
	daemon := &agent.Daemon{
		Host: t.host(name, &t.agentBytes), Name: name, Address: t.ports.Address(name), AnnounceAddress: notice,
		ControlAddresses: t.controlOrder(index), ListenEndpoint: t.ports.Listen,
	}
	go func() { _ = engine.Run(ctx) }()
	go func() { _ = daemon.Run(ctx) }()
	go engine.Announce(ctx, "http://"+notice)
}

// call tries the replicas in turn until one answers.
func (t *loadTest) call(ctx context.Context, method string, request, reply any) error {
	var lastErr error
	for attempt := 0; ctx.Err() == nil; attempt++ {
		session, err := link.Dial(ctx, t.ports.Dialer(""), t.controlAddresses[attempt%len(t.controlAddresses)])
		if err == nil {
			err = session.Call(ctx, method, request, reply)
			_ = session.Close()
		}
		if lastErr = err; err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("call control: %w", lastErr)
}

// apply submits a configuration until control reports it in force.
func (t *loadTest) apply(ctx context.Context, config *conf.Config) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		var reply plane.SubmitReply
		request := &plane.SubmitRequest{Config: config, Author: "swarm", Wait: span.Duration(submitWait)}
		if err := t.call(ctx, plane.MethodSubmit, request, &reply); err != nil {
			return err
		}
		if reply.Refused == plane.KindNone && reply.InForce {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("apply: %w", ctx.Err())
}

// waitReady waits until control reports all agents' endpoints as ready and knows all
// entries.
func (t *loadTest) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		var status plane.Status
		if err := t.call(ctx, plane.MethodStatus, &plane.StatusRequest{}, &status); err != nil {
			return err
		}
		count := 0
		for index := range status.Endpoints {
			if status.Endpoints[index].Ready {
				count++
			}
		}
		if count >= t.agentCount && len(status.Entries) >= t.entryCount {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("wait for daemons: %w", ctx.Err())
}

// measure sends requests if a rate is set, and returns the usage during the window.
func (t *loadTest) measure(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if t.rate > 0 {
		go t.sendRequests(ctx)
		time.Sleep(warmUpTime)
	}
	before, err := t.readUsages()
	if err != nil {
		return nil, err
	}
	done, failed := t.succeeded.Load(), t.failed.Load()
	entryBytes, agentBytes := t.entryBytes.Load(), t.agentBytes.Load()
	start := time.Now()
	time.Sleep(t.window)
	seconds := time.Since(start).Seconds()
	after, err := t.readUsages()
	if err != nil {
		return nil, err
	}
	report := &Report{Entries: t.entryCount, Agents: t.agentCount, Adapters: t.adapterCount, Workspaces: t.workspaceCount, Rate: t.rate}
	report.EntryBytes = float64(t.entryBytes.Load()-entryBytes) / seconds / float64(max(t.entryCount, 1))
	report.AgentBytes = float64(t.agentBytes.Load()-agentBytes) / seconds / float64(max(t.agentCount, 1))
	report.Requests, report.Failed = t.succeeded.Load()-done, t.failed.Load()-failed
	for index := range after {
		share := (after[index].CPUTime - before[index].CPUTime).Seconds() / seconds
		if index == 0 {
			report.Processor, report.Resident = share, after[index].ResidentBytes
			continue
		}
		report.Replicas = append(report.Replicas, Replica{Processor: share, Resident: after[index].ResidentBytes})
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	report.Heap = int64(memory.HeapAlloc)
	return report, nil
}

// readUsages returns the usage of this process, followed by that of each control
// replica.
func (t *loadTest) readUsages() ([]usage.Usage, error) {
	var all []usage.Usage
	for _, pid := range append([]int{os.Getpid()}, t.pids...) {
		used, err := usage.Of(pid)
		if err != nil {
			return nil, err
		}
		all = append(all, used)
	}
	return all, nil
}

// sendRequests sends requests at a constant rate until ctx ends, and waits for their
// answers.
func (t *loadTest) sendRequests(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var inFlight sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / t.rate))
	defer ticker.Stop()
	for ctx.Err() == nil {
		<-ticker.C
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			t.sendRequest(ctx, client)
		}()
	}
	inFlight.Wait()
}

// sendRequest sends one completion to a random entry and counts its outcome.
func (t *loadTest) sendRequest(ctx context.Context, client *http.Client) {
	number := rand.IntN(min(t.adapterCount, 4*t.agentCount))
	body := fmt.Sprintf(`{"model":%q,"prompt":"measure","max_tokens":%d,"stream":true}`, adapterName(number), t.answerTokens)
	url := "http://" + t.entryAddresses[rand.IntN(len(t.entryAddresses))] + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+keyPrefix+fmt.Sprintf("workspace-%04d", number%t.workspaceCount))
	reply, err := client.Do(request)
	if err != nil {
		t.failed.Add(1)
		return
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	if err != nil || reply.StatusCode != http.StatusOK || !bytes.Contains(data, []byte("[DONE]")) {
		t.failed.Add(1)
		return
	}
	t.succeeded.Add(1)
}
