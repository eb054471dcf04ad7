// Package fleet starts a whole deployment in one process: control replicas,
// entries, agents, and stand-ins for engines, services and the weight store.
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

// Spec is the size of a deployment and the speed of its stand-ins.
type Spec struct {
	// Control, Entries, Engines and Services are numbers of processes.
	Control, Entries, Engines, Services int
	// DataCentres is the number of data centres; processes are spread in turn.
	DataCentres int
	// AdapterSlots and MaxRequests are those of each engine; MaxServiceRequests of a service.
	AdapterSlots, MaxRequests, MaxServiceRequests int
	// TokenTime is an engine's time for one answer token alone in the batch,
	// Slowdown what each further request adds as a share of it, and PrefillTime
	// the time for one prompt token.
	TokenTime, PrefillTime time.Duration
	Slowdown               float64
	// ServiceDelay is how long a call to a plain service takes.
	ServiceDelay time.Duration
	// LoadsPerSecond is the store's rate in loads per second, Flight how many loads
	// may be in progress at full speed.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// UnfencedEngines is the number of engines that ignore fencing numbers.
	UnfencedEngines int
	// Linger is how long a stopping entry keeps accepting.
	Linger time.Duration
	// ReportDelay is how late engines report their load.
	ReportDelay time.Duration
}

// Names that the deployment's model and service have.
const (
	ModelName   = "base"
	ServiceName = "registry"
)

// Network gives the deployment its network.
type Network struct {
	// Address returns the address of a port of a named host.
	Address func(host, port string) string
	// Listen accepts connections on such an address.
	Listen func(address string) (net.Listener, error)
	// Dialer returns the dial function of a named host.
	Dialer func(host string) func(context.Context, string) (net.Conn, error)
}

// Fleet is one deployment. Its exported fields are set before Start.
type Fleet struct {
	Spec    Spec
	Network Network
	// DataDir holds the control replicas' data, one folder for each.
	DataDir string
	// Log takes every process's events; nil drops them.
	Log io.Writer
	// ConfigureEntry, TuneAgent and TuneControl change a daemon before it runs;
	// nil leaves it as it is.
	ConfigureEntry   func(*entry.Daemon)
	ConfigureAgent   func(*agent.Daemon)
	ConfigureControl func(*control.Daemon)
	// ConfigureEngine changes an engine before it runs.
	ConfigureEngine func(*model.Engine)

	// Engines, Services and Store are the stand-ins, after Start.
	Engines  []*model.Engine
	Services []*plain.Service
	Store    *store.Store

	mutex   sync.Mutex
	context context.Context
	parts   map[string]*part
	meters  map[string]*meter.Meter
	runners map[string]*runner.Runner
}

// part is one running process.
type part struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Start starts everything; the processes end with ctx or by Stop.
func (f *Fleet) Start(ctx context.Context) {
	f.context = ctx
	f.parts = map[string]*part{}
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

// ControlName names a control replica and its host.
func ControlName(index int) string { return fmt.Sprintf("ctrl%d", index) }

// EntryName names an entry and its host.
func EntryName(index int) string { return fmt.Sprintf("entry%d", index) }

// EngineAgentName names the agent beside an engine and their host.
func EngineAgentName(index int) string { return fmt.Sprintf("engine%d", index) }

// ServiceAgentName names the agent beside a plain service and their host.
func ServiceAgentName(index int) string { return fmt.Sprintf("service%d", index) }

// DataCentre returns the data centre of a host by its index.
func (f *Fleet) DataCentre(index int) string {
	return fmt.Sprintf("dc%d", index%max(f.Spec.DataCentres, 1))
}

// DataCentreOf returns the data centre of a host by its name.
func (f *Fleet) DataCentreOf(name string) string { return f.DataCentre(indexOf(name)) }

// indexOf returns the number at the end of a host's name, 0 when it has none.
func indexOf(name string) int {
	digits := strings.TrimLeft(name, "abcdefghijklmnopqrstuvwxyz")
	index, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return index
}

func (f *Fleet) host(name string, index int) host.Host {
	gauge := meter.New()
	f.mutex.Lock()
	f.meters[name] = gauge
	f.mutex.Unlock()
	h := host.Host{
		VM: name, DataCentre: f.DataCentre(index), Meter: gauge,
		Dial: f.Network.Dialer(name), Listen: f.Network.Listen,
	}
	if f.Log != nil {
		h.Log = event.New(f.Log, name)
	}
	return h
}

// run starts a process under a name.
func (f *Fleet) run(name string, serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(f.context)
	started := &part{cancel: cancel, done: make(chan struct{})}
	f.mutex.Lock()
	f.parts[name] = started
	f.mutex.Unlock()
	go func() {
		defer close(started.done)
		started.err = serve(ctx)
		if started.err != nil && f.Log != nil {
			event.New(f.Log, name).Write("process-failed", "err", started.err)
		}
	}()
}

// controls lists the replicas' addresses, those of the host's own data centre
// first.
func (f *Fleet) controls(index int) []string {
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
		Control: f.controls(index), Linger: f.Spec.Linger,
	}
	if f.ConfigureEntry != nil {
		f.ConfigureEntry(daemon)
	}
	f.run(name, daemon.Run)
}

// StartAgent starts or restarts the agent of a name.
func (f *Fleet) StartAgent(name string) {
	index := indexOf(name)
	daemon := &agent.Daemon{
		Host: f.host(name, index), Name: name, Address: f.Network.Address(name, "agent"),
		AnnounceAddress: f.Network.Address(name, "notice"), ControlAddresses: f.controls(index),
		ListenEndpoint: f.Network.Listen, DialEndpoint: f.Network.Dialer(name),
	}
	if f.ConfigureAgent != nil {
		f.ConfigureAgent(daemon)
	}
	f.keepRunner(name, daemon)
	f.run(name, daemon.Run)
}

func (f *Fleet) addEngine(index int) {
	name := EngineAgentName(index)
	engine := &model.Engine{
		Name: name, Model: ModelName, Address: f.Network.Address(name, "engine"),
		AdapterSlots: f.Spec.AdapterSlots, MaxRequests: f.Spec.MaxRequests, Fenced: index >= f.Spec.UnfencedEngines, Store: f.Store,
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

// Stop ends a process gracefully and waits for it.
func (f *Fleet) Stop(name string) error {
	f.mutex.Lock()
	stopped := f.parts[name]
	delete(f.parts, name)
	f.mutex.Unlock()
	if stopped == nil {
		return nil
	}
	stopped.cancel()
	<-stopped.done
	return stopped.err
}

// Cancel tells a process to end without waiting for it, for one whose
// network is gone.
func (f *Fleet) Cancel(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if stopped := f.parts[name]; stopped != nil {
		stopped.cancel()
		delete(f.parts, name)
	}
}

// Close ends everything: callers' side first.
func (f *Fleet) Close() {
	for _, group := range []string{"entry", "service", "engine", "ctrl", ""} {
		f.stopGroup(group)
	}
}

func (f *Fleet) stopGroup(prefix string) {
	f.mutex.Lock()
	var stopping []*part
	for name, running := range f.parts {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			stopping = append(stopping, running)
			delete(f.parts, name)
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

// Meter returns the meter of a process; nil when there is none.
func (f *Fleet) Meter(name string) *meter.Meter {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.meters[name]
}

// keepRunner remembers the agent's runner, for reading its state.
func (f *Fleet) keepRunner(name string, daemon *agent.Daemon) {
	tune := daemon.Configure
	daemon.Configure = func(r *runner.Runner) {
		if tune != nil {
			tune(r)
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.runners[name] = r
	}
}

// AgentRecord returns the present report of an agent; nil when it does not run.
func (f *Fleet) AgentRecord(name string) *roster.Record {
	f.mutex.Lock()
	running := f.runners[name]
	f.mutex.Unlock()
	if running == nil {
		return nil
	}
	return running.Record()
}

// EntryAddresses lists the entries' addresses for callers.
func (f *Fleet) EntryAddresses() []string {
	addresses := make([]string, 0, f.Spec.Entries)
	for index := range f.Spec.Entries {
		addresses = append(addresses, f.Network.Address(EntryName(index), "http"))
	}
	return addresses
}

// ControlAddresses lists the control replicas' addresses.
func (f *Fleet) ControlAddresses() []string { return f.controls(0) }
