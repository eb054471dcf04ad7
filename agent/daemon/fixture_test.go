package daemon_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/daemon"
	"github.com/tanagerspindle/tanagerspindle/agent/runner"
	"github.com/tanagerspindle/tanagerspindle/ctrl/permit"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
	"github.com/tanagerspindle/tanagerspindle/stubs/plain"
	"github.com/tanagerspindle/tanagerspindle/stubs/store"
)

// startupTime is long enough for an agent to start and get its lease.
const startupTime = 3 * time.Second

// fixture is one agent with its endpoint, an adapter store and a minimal control
// replica.
type fixture struct {
	t       *testing.T
	ctx     context.Context
	network *vnet.Network
	store   *store.Store
	engine  *model.Engine
	service *plain.Service
	agent   *daemon.Daemon
	control *control
	stop    func()
	stopped chan error
	// allowViolations skips the check that the engine has recorded no violations.
	allowViolations bool
	// skipReadyCheck allows an agent that is not ready after the start. With separateStop,
	// stopAgent stops the agent and stop does not. hideCoordinator makes control grant no
	// permits.
	skipReadyCheck, separateStop, hideCoordinator bool
	stopAgent                                     func()
	// maxQueued is the limit of the queue's length; 0 keeps the default.
	// muteAnnouncements stops the endpoint's announcements.
	maxQueued         int
	muteAnnouncements atomic.Bool
	entryClients      []*entryClient
}

// control answers heartbeats at once and grants permits with the real coordinator.
type control struct {
	mutex        sync.Mutex
	bans         []plane.Ban
	fence        uint64
	record       roster.Record
	crashes      []plane.Crash
	unresponsive bool
	coordinator  *permit.Coordinator
}

func (c *control) handleFeed(_ context.Context, stream *wire.Stream) error {
	var hello plane.Hello
	if err := stream.Receive(&hello); err != nil {
		return err
	}
	for {
		var heartbeat plane.Heartbeat
		if err := stream.Receive(&heartbeat); err != nil {
			return err
		}
		if update := c.answer(&heartbeat); update != nil {
			if err := stream.Send(update); err != nil {
				return err
			}
		}
	}
}

func (c *control) answer(heartbeat *plane.Heartbeat) *plane.Update {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.unresponsive {
		return nil
	}
	if heartbeat.Record != nil {
		c.record = *heartbeat.Record
	}
	c.crashes = append(c.crashes, heartbeat.Crashes...)
	return &plane.Update{
		Seq: heartbeat.Seq, Lease: span.Duration(lease.Length), Fence: c.fence,
		LoadsPerSecond: 4, EngineCount: 4, Bans: c.bans, BansRevision: uint64(len(c.bans)),
	}
}

func (c *control) setUnresponsive(unresponsive bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unresponsive = unresponsive
}

func (c *control) lastRecord() roster.Record {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.record
}

// start builds and runs a fixture. It has to be called in a bubble. change may alter the
// fixture before it runs.
func start(t *testing.T, change func(*fixture)) *fixture {
	network := vnet.New()
	network.Latency = func(string, string) time.Duration { return 100 * time.Microsecond }
	ctx, cancel := context.WithCancel(t.Context())
	f := &fixture{t: t, ctx: ctx, network: network, store: &store.Store{}, stop: cancel, stopped: make(chan error, 1)}
	f.control = &control{fence: 1, coordinator: &permit.Coordinator{LoadsPerSecond: 4, MaxInFlight: 8}}
	f.engine = &model.Engine{
		Name: "engine", Model: "base", Address: "vm:8000", AdapterSlots: 2, MaxRequests: 4, EnforcesFencing: true,
		Store: f.store, TokenTime: 10 * time.Millisecond, RestartDelay: 500 * time.Millisecond,
		Listen: network.Listen, Dial: network.Dialer("vm"),
	}
	f.agent = f.newAgent("agent", "vm:9000", "vm:9001")
	if change != nil {
		change(f)
	}
	f.control.coordinator.Reset(1)
	go f.control.coordinator.Run(ctx)
	f.serve("control:1", f.control)
	dial := network.Dialer("vm")
	f.engine.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if f.muteAnnouncements.Load() {
			return nil, net.ErrClosed
		}
		return dial(ctx, address)
	}
	f.agent.Configure = func(r *runner.Runner) { r.Queue.MaxItems = f.maxQueued }
	agentContext := ctx
	if f.separateStop {
		agentContext, f.stopAgent = context.WithCancel(context.WithoutCancel(ctx))
	}
	if f.service == nil {
		go func() { _ = f.engine.Run(ctx) }()
		go f.engine.Announce(ctx, "http://"+f.agent.AnnounceAddress)
	} else {
		f.service.Dial = f.engine.Dial
		go func() { _ = f.service.Run(ctx) }()
		go f.service.Announce(ctx, "http://"+f.agent.AnnounceAddress)
	}
	go func() { f.stopped <- f.agent.Run(agentContext) }()
	time.Sleep(startupTime)
	require.True(t, f.skipReadyCheck || f.control.lastRecord().Ready, "the agent is ready")
	return f
}

func (f *fixture) newAgent(name, address, announceAddress string) *daemon.Daemon {
	vm, _, _ := strings.Cut(address, ":")
	h := host.Host{VM: vm, Meter: meter.New(), Dial: f.network.Dialer(vm), Listen: f.network.Listen}
	return &daemon.Daemon{
		Host: h, Name: name, Address: address, AnnounceAddress: announceAddress, ControlAddresses: []string{"control:1"},
		ListenEndpoint: f.network.Listen, DialEndpoint: f.network.Dialer(vm),
	}
}

func (f *fixture) serve(address string, c *control) {
	listener, err := f.network.Listen(address)
	require.NoError(f.t, err)
	handlers := map[string]link.Handler{plane.MethodFeed: c.handleFeed, plane.MethodPermit: c.coordinator.Handle}
	if f.hideCoordinator {
		delete(handlers, plane.MethodPermit)
	}
	go func() { _ = link.Serve(f.ctx, listener, handlers) }()
}

// shutDown stops everything, waits until it has ended, and checks that the engine has
// recorded no violations.
func (f *fixture) shutDown() {
	f.stop()
	for _, c := range f.entryClients {
		_ = c.session.Close()
	}
	time.Sleep(2 * time.Minute)
	if !f.allowViolations {
		require.Empty(f.t, f.engine.Violations())
	}
}

// plainService gives the fixture a plain service in place of the engine.
func plainService(f *fixture) {
	f.service = &plain.Service{
		Name: "court", Address: "vm:8000", MaxRequests: 4, Delay: 100 * time.Millisecond,
		Listen: f.network.Listen, Dial: f.network.Dialer("vm"),
	}
}

// entryClient is an entry's session to the agent.
type entryClient struct {
	fixture *fixture
	session *link.Session
}

func (f *fixture) dial() *entryClient {
	c := f.dialUnmanaged()
	f.entryClients = append(f.entryClients, c)
	return c
}

// dialUnmanaged returns a session that its caller closes.
func (f *fixture) dialUnmanaged() *entryClient {
	session, err := link.Dial(f.ctx, f.network.Dialer("entry"), f.agent.Address)
	require.NoError(f.t, err)
	return &entryClient{fixture: f, session: session}
}

// result is what an entry received for one attempt.
type result struct {
	answer      string
	largestPart int
	head        *call.Frame
	end         *call.Frame
	refusal     *call.Frame
	err         error
	endedAt     time.Time
	firstPartAt time.Time
}

func (r *result) reason() call.Reason {
	if r.refusal == nil {
		return call.ReasonNone
	}
	return r.refusal.Reason
}

var (
	idMutex sync.Mutex
	lastID  int
)

// newAttempt returns a completion attempt with a new ID.
func (f *fixture) newAttempt(adapter, prompt string, tokens int64) *call.Attempt {
	idMutex.Lock()
	lastID++
	id := fmt.Appendf(nil, "%016d", lastID)
	idMutex.Unlock()
	digest := sha256.Sum256([]byte(prompt))
	return &call.Attempt{
		ID: id, Workspace: "ws", Route: "r", Model: "base", Adapter: adapter, Version: "v1",
		ReservedTokens: tokens, MaxTokens: tokens, Idempotent: true, AgentIncarnation: f.control.lastRecord().Incarnation,
		Digest: digest[:], Body: fmt.Appendf(nil, `{"prompt":%q,"temperature":0}`, prompt),
	}
}

func (f *fixture) newFiling(body string) *call.Attempt {
	a := f.newAttempt("", body, 0)
	a.Model, a.Version, a.Service, a.Idempotent = "", "", "court", false
	a.Method, a.Path, a.Body = "POST", "/file", []byte(body)
	return a
}

// open sends an attempt.
func (c *entryClient) open(a *call.Attempt) *wire.Stream {
	stream, err := c.session.Open(plane.MethodAttempt)
	require.NoError(c.fixture.t, err)
	require.NoError(c.fixture.t, stream.Send(a))
	return stream
}

// readResult receives frames up to the last one.
func readResult(stream *wire.Stream) *result {
	r := &result{}
	next := int64(0)
	for {
		frame := &call.Frame{}
		if r.err = stream.Receive(frame); r.err != nil {
			return r
		}
		r.endedAt = time.Now()
		switch frame.Type {
		case call.FrameHead:
			r.head = frame
		case call.FramePart:
			if frame.Index != next {
				r.err = fmt.Errorf("received part %d, want %d", frame.Index, next)
				return r
			}
			if next == 0 {
				r.firstPartAt = r.endedAt
			}
			next++
			r.largestPart = max(r.largestPart, len(frame.Data))
			r.answer += string(frame.Data)
		case call.FrameEnd:
			r.end = frame
			return r
		case call.FrameRefuse:
			r.refusal = frame
			return r
		}
	}
}

// run sends an attempt and waits for its result.
func (c *entryClient) run(a *call.Attempt) *result {
	stream := c.open(a)
	defer func() { _ = stream.Close() }()
	return readResult(stream)
}

// background sends an attempt and delivers its result on a channel.
func (c *entryClient) background(a *call.Attempt) <-chan *result {
	results := make(chan *result, 1)
	stream := c.open(a)
	go func() {
		defer func() { _ = stream.Close() }()
		results <- readResult(stream)
	}()
	return results
}

func (c *entryClient) probe(a *call.Attempt) *call.ProbeReply {
	reply := &call.ProbeReply{}
	require.NoError(c.fixture.t, c.session.Call(c.fixture.ctx, plane.MethodProbe, &call.Probe{ID: a.ID, AgentIncarnation: a.AgentIncarnation}, reply))
	return reply
}

// requireComplete checks that a result is the complete and correct answer to the
// attempt.
func requireComplete(t *testing.T, a *call.Attempt, r *result) {
	t.Helper()
	require.NoError(t, r.err)
	require.Equal(t, call.ReasonNone, r.reason())
	want := model.Answer(a.Adapter, a.Version, model.Prompt(a.Body), int(a.DeliveredTokens), int(a.MaxTokens))
	require.Equal(t, want, r.answer)
	require.Equal(t, a.Version, r.end.Version)
}
