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
	// readyLimit bounds the time until all daemons are known to control.
	readyLimit = time.Minute
	// inForce is how long a change may take to be in force.
	inForce = 11 * time.Second
	// warmTime is how long requests are sent before the window.
	warmTime = 8 * time.Second
	callKey  = "swarm-key"
)

// swarm is the daemons and what is counted of them.
type swarm struct {
	control, callers             []string
	pids                         []int
	entries, agents              int
	adapters, workspaces, tokens int
	rate                         float64
	window                       time.Duration

	ports    fleet.Ports
	toEntry  atomic.Int64
	toAgent  atomic.Int64
	requests atomic.Int64
	failed   atomic.Int64
}

// Report is what one measurement shows.
type Report struct {
	Entries, Agents, Adapters, Workspaces int
	Rate                                  float64
	// EntryBytes and AgentBytes are bytes per second on a daemon's control
	// session, both ways, means over the daemons.
	EntryBytes, AgentBytes float64
	// Processor is the share of a core that the swarm used, Resident its
	// memory in bytes, Heap what is live after a collection.
	Processor      float64
	Resident, Heap int64
	// Replicas are the control replicas' shares of a core and memory.
	Replicas []Replica
	// Change is how long a change took to be in force everywhere, in seconds.
	Change float64
	// Requests were answered and Failed not, in the window.
	Requests, Failed int64
}

// Replica is one control replica's use.
type Replica struct {
	Processor float64
	Resident  int64
}

func (s *swarm) run(ctx context.Context) (*Report, error) {
	config := s.config()
	if err := s.apply(ctx, config); err != nil {
		return nil, err
	}
	for index := range s.agents {
		s.startAgent(ctx, index)
	}
	for index := range s.entries {
		s.startEntry(ctx, index)
	}
	if err := s.ready(ctx); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	report, err := s.measure(ctx)
	if err != nil {
		return nil, err
	}
	config.Number++
	delete(config.Adapters, adapterName(0))
	start := time.Now()
	err = s.apply(ctx, config)
	report.Change = time.Since(start).Seconds()
	return report, err
}

func adapterName(index int) string { return fmt.Sprintf("adapter-%06d", index) }

func (s *swarm) config() *conf.Config {
	config := &conf.Config{
		Number: 1, Workspaces: map[string]conf.Workspace{}, Keys: map[string]conf.Key{},
		Adapters: map[string]conf.Adapter{}, Routes: map[string]conf.Route{},
	}
	for index := range s.workspaces {
		name := fmt.Sprintf("workspace-%04d", index)
		config.Workspaces[name] = conf.Workspace{Rate: 1 << 30, Burst: 1 << 31, Objective: conf.Objective{Share: 0.95}}
		config.Keys[digest.Key(callKey+name)] = conf.Key{Workspace: name}
	}
	for index := range s.adapters {
		config.Adapters[adapterName(index)] = conf.Adapter{
			Model: fleet.ModelName, Workspace: fmt.Sprintf("workspace-%04d", index%s.workspaces),
			Versions: []string{"2026-11-01", "2026-12-01"}, Current: "2026-12-01",
		}
	}
	return config
}

// counted wraps a dial function so that bytes to and from control add up.
func (s *swarm) counted(counter *atomic.Int64) func(context.Context, string) (net.Conn, error) {
	dial := s.ports.Dialer("")
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		for _, replica := range s.control {
			if replica == address {
				return &countedConn{Conn: conn, counter: counter}, nil
			}
		}
		return conn, nil
	}
}

type countedConn struct {
	net.Conn
	counter *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Add(int64(n))
	return n, err
}

func (s *swarm) host(name string, counter *atomic.Int64) host.Host {
	return host.Host{VM: name, DataCentre: "dc0", Meter: meter.New(), Dial: s.counted(counter), Listen: s.ports.Listen}
}

// replicas returns the control addresses in the order for a daemon.
func (s *swarm) replicas(index int) []string {
	first := index % len(s.control)
	return append(append([]string(nil), s.control[first:]...), s.control[:first]...)
}

func (s *swarm) startEntry(ctx context.Context, index int) {
	name := fleet.EntryName(index)
	address := s.ports.Address(name)
	s.callers = append(s.callers, address)
	daemon := &entry.Daemon{Host: s.host(name, &s.toEntry), ListenAddress: address, NewListener: s.ports.Listen, Control: s.replicas(index)}
	go func() { _ = daemon.Run(ctx) }()
}

func (s *swarm) startAgent(ctx context.Context, index int) {
	name := fleet.EngineAgentName(index)
	notice := s.ports.Address(name + "notice")
	engine := &model.Engine{
		Name: name, Model: fleet.ModelName, Address: s.ports.Address(name + "engine"), AdapterSlots: 8, MaxRequests: 8, Fenced: true,
		TokenTime: 10 * time.Millisecond, Listen: s.ports.Listen, CacheBlocks: 64,
	}
	daemon := &agent.Daemon{
		Host: s.host(name, &s.toAgent), Name: name, Address: s.ports.Address(name), AnnounceAddress: notice,
		ControlAddresses: s.replicas(index), ListenEndpoint: s.ports.Listen,
	}
	go func() { _ = engine.Run(ctx) }()
	go func() { _ = daemon.Run(ctx) }()
	go engine.Announce(ctx, "http://"+notice)
}

// call asks the replicas in turn until one answers.
func (s *swarm) call(ctx context.Context, method string, request, reply any) error {
	var last error
	for turn := 0; ctx.Err() == nil; turn++ {
		session, err := link.Dial(ctx, s.ports.Dialer(""), s.control[turn%len(s.control)])
		if err == nil {
			err = session.Call(ctx, method, request, reply)
			_ = session.Close()
		}
		if last = err; err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("call control: %w", last)
}

func (s *swarm) apply(ctx context.Context, config *conf.Config) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for ctx.Err() == nil {
		var reply plane.SubmitReply
		request := &plane.SubmitRequest{Config: config, Author: "swarm", Wait: span.Duration(inForce)}
		if err := s.call(ctx, plane.MethodSubmit, request, &reply); err != nil {
			return err
		}
		if reply.Refused == plane.KindNone && reply.InForce {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("apply: %w", ctx.Err())
}

func (s *swarm) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for ctx.Err() == nil {
		var status plane.Status
		if err := s.call(ctx, plane.MethodStatus, &plane.StatusRequest{}, &status); err != nil {
			return err
		}
		count := 0
		for index := range status.Endpoints {
			if status.Endpoints[index].Ready {
				count++
			}
		}
		if count >= s.agents && len(status.Entries) >= s.entries {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("wait for daemons: %w", ctx.Err())
}

func (s *swarm) measure(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.rate > 0 {
		go s.send(ctx)
		time.Sleep(warmTime)
	}
	before, err := s.usages()
	if err != nil {
		return nil, err
	}
	done, failed := s.requests.Load(), s.failed.Load()
	entryBytes, agentBytes := s.toEntry.Load(), s.toAgent.Load()
	start := time.Now()
	time.Sleep(s.window)
	seconds := time.Since(start).Seconds()
	after, err := s.usages()
	if err != nil {
		return nil, err
	}
	report := &Report{Entries: s.entries, Agents: s.agents, Adapters: s.adapters, Workspaces: s.workspaces, Rate: s.rate}
	report.EntryBytes = float64(s.toEntry.Load()-entryBytes) / seconds / float64(max(s.entries, 1))
	report.AgentBytes = float64(s.toAgent.Load()-agentBytes) / seconds / float64(max(s.agents, 1))
	report.Requests, report.Failed = s.requests.Load()-done, s.failed.Load()-failed
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

// usages returns the swarm's own usage and then that of each replica.
func (s *swarm) usages() ([]usage.Usage, error) {
	var all []usage.Usage
	for _, pid := range append([]int{os.Getpid()}, s.pids...) {
		one, err := usage.Of(pid)
		if err != nil {
			return nil, err
		}
		all = append(all, one)
	}
	return all, nil
}

// send sends requests at the rate, evenly, until ctx ends.
func (s *swarm) send(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var flight sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.rate))
	defer ticker.Stop()
	for ctx.Err() == nil {
		<-ticker.C
		flight.Add(1)
		go func() {
			defer flight.Done()
			s.one(ctx, client)
		}()
	}
	flight.Wait()
}

func (s *swarm) one(ctx context.Context, client *http.Client) {
	number := rand.IntN(min(s.adapters, 4*s.agents))
	body := fmt.Sprintf(`{"model":%q,"prompt":"measure","max_tokens":%d,"stream":true}`, adapterName(number), s.tokens)
	url := "http://" + s.callers[rand.IntN(len(s.callers))] + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+callKey+fmt.Sprintf("workspace-%04d", number%s.workspaces))
	reply, err := client.Do(request)
	if err != nil {
		s.failed.Add(1)
		return
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	if err != nil || reply.StatusCode != http.StatusOK || !bytes.Contains(data, []byte("[DONE]")) {
		s.failed.Add(1)
		return
	}
	s.requests.Add(1)
}
