// Package fleet starts a complete deployment in one operating system process, for tests and
// benchmarks: control replicas, entries and agents, with simulated engines, plain services
// and weight store.
package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	agent "github.com/tanagerspindle/tanagerspindle/agent/daemon"
	"github.com/tanagerspindle/tanagerspindle/agent/runner"
	control "github.com/tanagerspindle/tanagerspindle/ctrl/daemon"
	entry "github.com/tanagerspindle/tanagerspindle/entry/daemon"
	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
	"github.com/tanagerspindle/tanagerspindle/stubs/plain"
	"github.com/tanagerspindle/tanagerspindle/stubs/store"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindUnready     Kind = "deployment not ready in time"
	KindUnavailable Kind = "no control replica answered"
	KindRefused     Kind = "refused by control"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Spec is the size of a deployment and the speed of its simulated parts.
type Spec struct {
	// Control, Entries, Engines and Services are the numbers of each kind of process.
	Control, Entries, Engines, Services int
	// DataCentres is the number of data centres; processes are assigned to them round-robin.
	DataCentres int
	// AdapterSlots and MaxRequests limit the loaded adapters and the concurrent requests of
	// each engine, MaxServiceRequests the concurrent requests of each service.
	AdapterSlots, MaxRequests, MaxServiceRequests int
	// TokenTime is an engine's time for one answer token in a batch of one request, and
	// PrefillTime its time for one prompt token. Slowdown is the share of TokenTime that
	// each further request in the batch adds.
	TokenTime, PrefillTime time.Duration
	Slowdown               float64
	// ServiceDelay is how long a plain service takes for a call.
	ServiceDelay time.Duration
	// LoadsPerSecond is the rate limit of the weight store. Control receives it together
	// with MaxConcurrentLoads, the limit on the loads in flight.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// UnfencedEngines is the number of engines that do not check fencing numbers; these are
	// the first ones.
	UnfencedEngines int
	// Linger is how long a stopping entry still accepts connections.
	Linger time.Duration
	// ReportDelay is the age of the load that engines report.
	ReportDelay time.Duration
}

// Names of the deployment's model and service.
const (
	ModelName   = "base"
	ServiceName = "registry"
)

// Network connects the processes of a deployment: real TCP, see Ports, or a simulation.
type Network struct {
	// Address returns the address of a named port of a named host.
	Address func(host, port string) string
	// Listen opens a listener on an address that Address returned.
	Listen func(address string) (net.Listener, error)
	// Dialer returns the function that connects from a named host.
	Dialer func(host string) func(context.Context, string) (net.Conn, error)
}

// Fleet is one deployment. Its exported fields are set before Start.
type Fleet struct {
	Spec    Spec
	Network Network
	// DataDir is the directory of the control replicas' data, with a subdirectory for each.
	DataDir string
	// Log receives the log events of all processes; nil discards them.
	Log io.Writer
	// ConfigureEntry, ConfigureAgent and ConfigureControl adjust a daemon before it runs; nil
	// runs it unchanged.
	ConfigureEntry   func(*entry.Daemon)
	ConfigureAgent   func(*agent.Daemon)
	ConfigureControl func(*control.Daemon)
	// ConfigureEngine adjusts a simulated engine before it runs.
	ConfigureEngine func(*model.Engine)

	// Engines, Services and Store are the simulated parts; Start sets them.
	Engines  []*model.Engine
	Services []*plain.Service
	Store    *store.Store

	mutex     sync.Mutex
	ctx       context.Context
	processes map[string]*process
	meters    map[string]*meter.Meter
	runners   map[string]*runner.Runner
}

// process is a daemon or a simulated part that runs in its own goroutine. The error is set
// before done is closed.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Start starts all processes. Each runs until ctx ends or until it is stopped.
func (f *Fleet) Start(ctx context.Context) {
	f.ctx = ctx
	f.processes = map[string]*process{}
	f.meters = map[string]*meter.Meter{}
	f.runners = map[string]*runner.Runner{}
	f.Store = &store.Store{LoadsPerSecond: f.Spec.LoadsPerSecond}
	for index := range f.Spec.Control {
		f.StartControl(index)
	}
	for index := range f.Spec.Engines {
		f.addEngine(index)
		f.StartAgent(EngineAgentName(index))
	}
	for index := range f.Spec.Services {
		f.addService(index)
		f.StartAgent(ServiceAgentName(index))
	}
	for index := range f.Spec.Entries {
		f.StartEntry(index)
	}
}

// ControlName returns the name of a control replica and its host.
func ControlName(index int) string { return fmt.Sprintf("ctrl%d", index) }

// EntryName returns the name of an entry and its host.
func EntryName(index int) string { return fmt.Sprintf("entry%d", index) }

// EngineAgentName returns the name of an engine's agent and their common host.
func EngineAgentName(index int) string { return fmt.Sprintf("engine%d", index) }

// ServiceAgentName returns the name of a plain service's agent and their common host.
func ServiceAgentName(index int) string { return fmt.Sprintf("service%d", index) }

// DataCentre returns the data centre of a host by its index.
func (f *Fleet) DataCentre(index int) string {
	return fmt.Sprintf("dc%d", index%max(f.Spec.DataCentres, 1))
}

// DataCentreOf returns the data centre of a host by its name.
func (f *Fleet) DataCentreOf(name string) string { return f.DataCentre(indexOf(name)) }

// indexOf returns the number at the end of a host's name, or 0 when the name has none.
func indexOf(name string) int {
	digits := strings.TrimLeft(name, "abcdefghijklmnopqrstuvwxyz")
	index, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return index
}

// host creates the environment that a process runs in and registers its meter.
func (f *Fleet) host(name string, index int) host.Host {
	metrics := meter.New()
	f.mutex.Lock()
	f.meters[name] = metrics
	f.mutex.Unlock()
	h := host.Host{
		VM: name, DataCentre: f.DataCentre(index), Meter: metrics,
		Dial: f.Network.Dialer(name), Listen: f.Network.Listen,
	}
	if f.Log != nil {
		h.Log = event.New(f.Log, name)
	}
	return h
}

// run starts a process and registers it under a name.
func (f *Fleet) run(name string, serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(f.ctx)
	started := &process{cancel: cancel, done: make(chan struct{})}
	f.mutex.Lock()
	f.processes[name] = started
	f.mutex.Unlock()
	go func() {
		defer close(started.done)
		started.err = serve(ctx)
		if started.err != nil && f.Log != nil {
			event.New(f.Log, name).Write("process-failed", "err", started.err)
		}
	}()
}

// controlAddresses returns the control replicas' addresses, beginning with the replica that
// has the host's index. With a replica in each data centre, that is the host's own one.
func (f *Fleet) controlAddresses(index int) []string {
	addresses := make([]string, 0, f.Spec.Control)
	for offset := range f.Spec.Control {
		addresses = append(addresses, f.Network.Address(ControlName((index+offset)%f.Spec.Control), "control"))
	}
	return addresses
}

// StartControl starts or restarts a control replica.
func (f *Fleet) StartControl(index int) {
	name := ControlName(index)
	daemon := &control.Daemon{
		Host: f.host(name, index), Name: name, Address: f.Network.Address(name, "control"),
		DataDir: filepath.Join(f.DataDir, name), LoadsPerSecond: f.Spec.LoadsPerSecond, MaxLoadsInFlight: f.Spec.MaxConcurrentLoads,
	}
	for other := range f.Spec.Control {
		peer := ControlName(other)
		daemon.Peers = append(daemon.Peers, control.Peer{Name: peer, Address: f.Network.Address(peer, "control")})
	}
	if f.ConfigureControl != nil {
		f.ConfigureControl(daemon)
	}
	f.run(name, daemon.Run)
}

// StartEntry starts or restarts an entry.
func (f *Fleet) StartEntry(index int) {
	name := EntryName(index)
	daemon := &entry.Daemon{
		Host: f.host(name, index), ListenAddress: f.Network.Address(name, "http"), NewListener: f.Network.Listen,
		Control: f.controlAddresses(index), Linger: f.Spec.Linger,
	}
	if f.ConfigureEntry != nil {
		f.ConfigureEntry(daemon)
	}
	f.run(name, daemon.Run)
}

// StartAgent starts or restarts the named agent.
func (f *Fleet) StartAgent(name string) {
	index := indexOf(name)
	daemon := &agent.Daemon{
		Host: f.host(name, index), Name: name, Address: f.Network.Address(name, "agent"),
		AnnounceAddress: f.Network.Address(name, "notice"), ControlAddresses: f.controlAddresses(index),
		ListenEndpoint: f.Network.Listen, DialEndpoint: f.Network.Dialer(name),
	}
	if f.ConfigureAgent != nil {
		f.ConfigureAgent(daemon)
	}
	f.captureRunner(name, daemon)
	f.run(name, daemon.Run)
}

// addEngine starts a simulated engine and its announcements to the agent.
func (f *Fleet) addEngine(index int) {
	name := EngineAgentName(index)
	engine := &model.Engine{
		Name: name, Model: ModelName, Address: f.Network.Address(name, "engine"),
		AdapterSlots: f.Spec.AdapterSlots, MaxRequests: f.Spec.MaxRequests, EnforcesFencing: index >= f.Spec.UnfencedEngines, Store: f.Store,
		TokenTime: f.Spec.TokenTime, Slowdown: f.Spec.Slowdown, PrefillTime: f.Spec.PrefillTime, ReportDelay: f.Spec.ReportDelay,
		CacheBlocks: 512, RestartDelay: 2 * time.Second,
		Listen: f.Network.Listen, Dial: f.Network.Dialer(name),
	}
	if f.ConfigureEngine != nil {
		f.ConfigureEngine(engine)
	}
	f.Engines = append(f.Engines, engine)
	f.run(name+"-engine", engine.Run)
	f.run(name+"-beacon", func(ctx context.Context) error {
		engine.Announce(ctx, "http://"+f.Network.Address(name, "notice"))
		return nil
	})
}

// addService starts a simulated plain service and its announcements to the agent.
func (f *Fleet) addService(index int) {
	name := ServiceAgentName(index)
	service := &plain.Service{
		Name: ServiceName, Address: f.Network.Address(name, "service"), Delay: f.Spec.ServiceDelay, MaxRequests: f.Spec.MaxServiceRequests,
		Listen: f.Network.Listen, Dial: f.Network.Dialer(name),
	}
	f.Services = append(f.Services, service)
	f.run(name+"-engine", service.Run)
	f.run(name+"-beacon", func(ctx context.Context) error {
		service.Announce(ctx, "http://"+f.Network.Address(name, "notice"))
		return nil
	})
}

// Stop stops a process gracefully, waits until it has ended and returns its error.
func (f *Fleet) Stop(name string) error {
	f.mutex.Lock()
	stopped := f.processes[name]
	delete(f.processes, name)
	f.mutex.Unlock()
	if stopped == nil {
		return nil
	}
	stopped.cancel()
	<-stopped.done
	return stopped.err
}

// Cancel stops a process without waiting for its end. It is meant for a process that has
// lost its network connections.
func (f *Fleet) Cancel(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if stopped := f.processes[name]; stopped != nil {
		stopped.cancel()
		delete(f.processes, name)
	}
}

// Close stops all processes in the order in which requests pass through them: entries,
// services, engines, and control last.
func (f *Fleet) Close() {
	for _, group := range []string{"entry", "service", "engine", "ctrl", ""} {
		f.stopGroup(group)
	}
}

// stopGroup stops the processes whose names have the prefix and waits for them.
func (f *Fleet) stopGroup(prefix string) {
	f.mutex.Lock()
	var stopping []*process
	for name, running := range f.processes {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			stopping = append(stopping, running)
			delete(f.processes, name)
		}
	}
	f.mutex.Unlock()
	for _, running := range stopping {
		running.cancel()
	}
	for _, running := range stopping {
		<-running.done
	}
}

// Meter returns the metrics of a process, or nil when no process has that name.
func (f *Fleet) Meter(name string) *meter.Meter {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.meters[name]
}

// captureRunner stores the agent's runner for AgentRecord.
func (f *Fleet) captureRunner(name string, daemon *agent.Daemon) {
	configure := daemon.Configure
	daemon.Configure = func(r *runner.Runner) {
		if configure != nil {
			configure(r)
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.runners[name] = r
	}
}

// AgentRecord returns what an agent reports at present, or nil when it has not run.
func (f *Fleet) AgentRecord(name string) *roster.Record {
	f.mutex.Lock()
	running := f.runners[name]
	f.mutex.Unlock()
	if running == nil {
		return nil
	}
	return running.Record()
}

// EntryAddresses returns the addresses at which the entries accept requests.
func (f *Fleet) EntryAddresses() []string {
	addresses := make([]string, 0, f.Spec.Entries)
	for index := range f.Spec.Entries {
		addresses = append(addresses, f.Network.Address(EntryName(index), "http"))
	}
	return addresses
}

// ControlAddresses returns the control replicas' addresses.
func (f *Fleet) ControlAddresses() []string { return f.controlAddresses(0) }
