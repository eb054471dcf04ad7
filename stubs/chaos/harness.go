// Package chaos is a test harness that runs complete deployments in virtual time,
// injects faults and records what callers and endpoints observe.
package chaos

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
)

const (
	// startTimeout is the maximum time until the deployment is ready.
	startTimeout = 30 * time.Second
	// shutdownTime is the time that processes get to stop after a run.
	shutdownTime = 5 * time.Minute
	// vmLossTime is the time until the process of a lost VM has ended.
	vmLossTime = 8 * time.Second
	// healthInterval is the time between two rounds of health checks.
	healthInterval = 300 * time.Millisecond
)

// The API keys of the two workspaces.
const (
	KeyAnand = "key-of-anand"
	KeyBela  = "key-of-bela"
)

// ports maps the port names of a deployment to port numbers.
var ports = map[string]string{
	"control": "7000", "agent": "7001", "notice": "7002", "http": "8080", "engine": "8000", "service": "8001",
}

// Kind classifies the failures of this package.
type Kind string

// The kinds of failures.
const (
	KindStart  Kind = "deployment did not start"
	KindLeader Kind = "no control leader elected in time"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Harness is a running deployment with its callers. It must be used inside a
// synctest bubble.
type Harness struct {
	// Fleet is the deployment and Network the simulated network that connects it.
	Fleet   *fleet.Fleet
	Network *vnet.Network

	client    *http.Client
	cancel    context.CancelFunc
	callers   conc.WaitGroup
	mutex     sync.Mutex
	exchanges []*Exchange
	stopping  bool
	// healthy holds the result of the last health check of each entry.
	healthy []bool
}

// Start starts a deployment as specified, with the control replicas' data under
// folder, and returns once the deployment serves Config(1). If tune is not nil, it
// modifies the fleet before the start.
func Start(ctx context.Context, folder string, spec fleet.Spec, tune func(*fleet.Fleet)) (*Harness, error) {
	h := &Harness{Network: vnet.New()}
	h.Network.Latency = func(string, string) time.Duration { return time.Millisecond }
	h.Fleet = &fleet.Fleet{
		Spec: spec,
		Network: fleet.Network{
			Address: func(host, port string) string { return host + ":" + ports[port] },
			Listen:  h.Network.Listen,
			Dialer:  h.Network.Dialer,
		},
		DataDir: folder,
	}
	if tune != nil {
		tune(h.Fleet)
	}
	dial := h.Network.Dialer("caller")
	h.client = &http.Client{Transport: &http.Transport{
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		DisableKeepAlives: true,
	}}
	ctx, h.cancel = context.WithCancel(ctx)
	h.healthy = make([]bool, spec.Entries)
	h.Fleet.Start(ctx)
	if err := h.waitReady(ctx); err != nil {
		h.Close()
		return nil, &Error{Op: "begin", Kind: KindStart, Err: err}
	}
	h.callers.Go(h.pollHealth)
	return h, nil
}

// waitReady submits Config(1) and waits until the deployment serves it.
func (h *Harness) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := h.Fleet.Apply(ctx, Config(1)); err != nil {
		return err
	}
	return h.Fleet.WaitReady(ctx)
}

// RunCaller runs a caller in the background until StopCallers is called. The
// caller calls act with increasing serial numbers and pauses after each call.
func (h *Harness) RunCaller(pause time.Duration, act func(serial int)) {
	h.callers.Go(func() {
		for serial := 0; !h.isStopping(); serial++ {
			act(serial)
			time.Sleep(pause)
		}
	})
}

// StopCallers stops the callers and waits until their current calls have ended.
func (h *Harness) StopCallers() {
	h.mutex.Lock()
	h.stopping = true
	h.mutex.Unlock()
	h.callers.Wait()
}

func (h *Harness) isStopping() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.stopping
}

// Close stops the callers and the deployment and waits until all processes have
// ended.
func (h *Harness) Close() {
	h.StopCallers()
	h.Fleet.Close()
	h.cancel()
	time.Sleep(shutdownTime)
}

// pollHealth checks the health of the entries periodically, as a load balancer
// does.
func (h *Harness) pollHealth() {
	for !h.isStopping() {
		for entry := range h.healthy {
			healthy := h.Healthy(entry)
			h.mutex.Lock()
			h.healthy[entry] = healthy
			h.mutex.Unlock()
		}
		time.Sleep(healthInterval)
	}
}

// Config returns the initial configuration with the given number: two workspaces
// with one adapter and one key each, a route for lookups and a route for filings.
func Config(number uint64) *conf.Config {
	both := []string{"anand", "bela"}
	versions := []string{"v1", "v2"}
	return &conf.Config{
		Number: number,
		Workspaces: map[string]conf.Workspace{
			"anand": {Rate: 1_000_000, Burst: 1_000_000},
			"bela":  {Rate: 1_000_000, Burst: 1_000_000},
		},
		Keys: map[string]conf.Key{
			digest.Key(KeyAnand): {Workspace: "anand"},
			digest.Key(KeyBela):  {Workspace: "bela"},
		},
		Adapters: map[string]conf.Adapter{
			"notes":  {Model: fleet.ModelName, Workspace: "anand", Versions: versions, Current: "v1"},
			"drafts": {Model: fleet.ModelName, Workspace: "bela", Versions: versions, Current: "v1"},
		},
		Routes: map[string]conf.Route{
			"filing": {
				Kind: conf.RouteService, Path: "/filing", Service: fleet.ServiceName, Workspaces: both,
				AtMostOnce: true, Cost: 1, ReplayWindow: span.Duration(time.Hour),
			},
			"lookup": {Kind: conf.RouteService, Path: "/lookup", Service: fleet.ServiceName, Workspaces: both, Cost: 1},
		},
		Weights: conf.Weights{Stalls: 1, Batch: 1, Worst: 1, Refused: 1},
	}
}

// Controls returns the host names of the control replicas.
func (h *Harness) Controls() []string { return names(h.Fleet.Spec.Control, fleet.ControlName) }

// Agents returns the host names of all agents.
func (h *Harness) Agents() []string {
	return append(names(h.Fleet.Spec.Engines, fleet.EngineAgentName), names(h.Fleet.Spec.Services, fleet.ServiceAgentName)...)
}

// OtherHosts returns all hosts of the deployment except one.
func (h *Harness) OtherHosts(host string) []string {
	var others []string
	all := append(h.Controls(), h.Agents()...)
	for _, name := range append(all, names(h.Fleet.Spec.Entries, fleet.EntryName)...) {
		if name != host {
			others = append(others, name)
		}
	}
	return others
}

func names(count int, name func(int) string) []string {
	var list []string
	for index := range count {
		list = append(list, name(index))
	}
	return list
}

// IsolateFor isolates a host from others for a time.
func (h *Harness) IsolateFor(host string, length time.Duration, others ...string) {
	h.Network.Isolate(host, others...)
	time.Sleep(length)
	h.Network.Rejoin(host, others...)
}

// LoseVM simulates the loss of a VM: its host is disconnected without notice and its
// process ends. When LoseVM returns, a new process may be started under the name.
func (h *Harness) LoseVM(name string) {
	h.Network.Isolate(name, h.OtherHosts(name)...)
	h.Network.LoseHost(name)
	h.Fleet.Cancel(name)
	time.Sleep(vmLossTime)
	h.Network.Rejoin(name, h.OtherHosts(name)...)
}

// WipeDisk deletes the data of a control replica that has ended.
func (h *Harness) WipeDisk(name string) error {
	return os.RemoveAll(filepath.Join(h.Fleet.DataDir, name))
}

// Leader waits until control has a leader and returns its host name.
func (h *Harness) Leader(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status, err := h.Fleet.Status(ctx)
		if err == nil && status.Leader != "" {
			return status.Leader, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", &Error{Op: "find leader", Kind: KindLeader, Err: fmt.Errorf("wait for status: %w", ctx.Err())}
}
