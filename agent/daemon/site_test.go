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

// settle is long enough for an agent to start and get its lease.
const settle = 3 * time.Second

// site is one agent with its endpoint, a store, and a small control.
type site struct {
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
	// faulty says that the engine is made to see faults.
	faulty bool
	// early says that the agent need not be ready after the start, ownStop
	// that the agent is stopped by stopAgent, hideCoordinator that control
	// gives no permits.
	early, ownStop, hideCoordinator bool
	stopAgent                       func()
	// bound is the queue's; 0 keeps the default. muted ends announcements.
	bound   int
	muted   atomic.Bool
	callers []*caller
}

// control answers feeds at once and grants permits with the real coordinator.
type control struct {
	mutex       sync.Mutex
	bans        []plane.Ban
	fence       uint64
	record      roster.Record
	crashes     []plane.Crash
	silent      bool
	coordinator *permit.Coordinator
}

func (c *control) feed(_ context.Context, stream *wire.Stream) error {
	var hello plane.Hello
	if err := stream.Receive(&hello); err != nil {
		return err
	}
	for {
		var beat plane.Heartbeat
		if err := stream.Receive(&beat); err != nil {
			return err
		}
		if update := c.answer(&beat); update != nil {
			if err := stream.Send(update); err != nil {
				return err
			}
		}
	}
}

func (c *control) answer(beat *plane.Heartbeat) *plane.Update {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.silent {
		return nil
	}
	if beat.Record != nil {
		c.record = *beat.Record
	}
	c.crashes = append(c.crashes, beat.Crashes...)
	return &plane.Update{
		Seq: beat.Seq, Lease: span.Duration(lease.Length), Fence: c.fence,
		LoadsPerSecond: 4, EngineCount: 4, Bans: c.bans, BansRevision: uint64(len(c.bans)),
	}
}

func (c *control) setSilent(silent bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silent = silent
}

func (c *control) known() roster.Record {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.record
}

// start builds a site in a bubble; change may alter it before it runs.
func start(t *testing.T, change func(*site)) *site {
	network := vnet.New()
	network.Latency = func(string, string) time.Duration { return 100 * time.Microsecond }
	ctx, cancel := context.WithCancel(t.Context())
	s := &site{t: t, ctx: ctx, network: network, store: &store.Store{}, stop: cancel, stopped: make(chan error, 1)}
	s.control = &control{fence: 1, coordinator: &permit.Coordinator{LoadsPerSecond: 4, MaxInFlight: 8}}
	s.engine = &model.Engine{
		Name: "engine", Model: "base", Address: "vm:8000", Slots: 2, Places: 4, Fenced: true,
		Store: s.store, Token: 10 * time.Millisecond, Restart: 500 * time.Millisecond,
		Listen: network.Listen, Dial: network.Dialer("vm"),
	}
	s.agent = s.newAgent("agent", "vm:9000", "vm:9001")
	if change != nil {
		change(s)
	}
	s.control.coordinator.Reset(1)
	go s.control.coordinator.Run(ctx)
	s.serve("control:1", s.control)
	dial := network.Dialer("vm")
	s.engine.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if s.muted.Load() {
			return nil, net.ErrClosed
		}
		return dial(ctx, address)
	}
	s.agent.Configure = func(r *runner.Runner) { r.Queue.MaxItems = s.bound }
	agentContext := ctx
	if s.ownStop {
		agentContext, s.stopAgent = context.WithCancel(context.WithoutCancel(ctx))
	}
	if s.service == nil {
		go func() { _ = s.engine.Run(ctx) }()
		go s.engine.Announce(ctx, "http://"+s.agent.AnnounceAddress)
	} else {
		go func() { _ = s.service.Run(ctx) }()
		go s.service.Announce(ctx, "http://"+s.agent.AnnounceAddress)
	}
	go func() { s.stopped <- s.agent.Run(agentContext) }()
	time.Sleep(settle)
	require.True(t, s.early || s.control.known().Ready, "the agent is ready")
	return s
}

func (s *site) newAgent(name, address, notice string) *daemon.Daemon {
	vm, _, _ := strings.Cut(address, ":")
	h := host.Host{VM: vm, Meter: meter.New(), Dial: s.network.Dialer(vm), Listen: s.network.Listen}
	return &daemon.Daemon{
		Host: h, Name: name, Address: address, AnnounceAddress: notice, ControlAddresses: []string{"control:1"},
		ListenEndpoint: s.network.Listen, DialEndpoint: s.network.Dialer(vm),
	}
}

func (s *site) serve(address string, c *control) {
	listener, err := s.network.Listen(address)
	require.NoError(s.t, err)
	handlers := map[string]link.Handler{plane.MethodFeed: c.feed, plane.MethodPermit: c.coordinator.Handle}
	if s.hideCoordinator {
		delete(handlers, plane.MethodPermit)
	}
	go func() { _ = link.Serve(s.ctx, listener, handlers) }()
}

// end stops everything, lets it come to rest, and checks what the engine saw.
func (s *site) end() {
	s.stop()
	for _, c := range s.callers {
		_ = c.session.Close()
	}
	time.Sleep(2 * time.Minute)
	if !s.faulty {
		require.Empty(s.t, s.engine.Faults())
	}
}

// plainService gives the site a plain service in place of the engine.
func plainService(s *site) {
	s.service = &plain.Service{
		Name: "court", Address: "vm:8000", Places: 4, Delay: 100 * time.Millisecond,
		Listen: s.network.Listen, Dial: s.network.Dialer("vm"),
	}
}

// caller is an entry's session to the agent.
type caller struct {
	site    *site
	session *link.Session
}

func (s *site) dial() *caller {
	c := s.dialOwn()
	s.callers = append(s.callers, c)
	return c
}

// dialOwn returns a session that its caller closes.
func (s *site) dialOwn() *caller {
	session, err := link.Dial(s.ctx, s.network.Dialer("entry"), s.agent.Address)
	require.NoError(s.t, err)
	return &caller{site: s, session: session}
}

// result is what an entry saw of one attempt.
type result struct {
	text    string
	largest int
	head    *call.Frame
	end     *call.Frame
	refused *call.Frame
	err     error
	at      time.Time
	first   time.Time
}

func (r *result) reason() call.Reason {
	if r.refused == nil {
		return call.ReasonNone
	}
	return r.refused.Reason
}

var (
	idMutex sync.Mutex
	idLast  int
)

// attempt returns a completion of the prompt.
func (s *site) attempt(adapter, prompt string, tokens int64) *call.Attempt {
	idMutex.Lock()
	idLast++
	id := fmt.Appendf(nil, "%016d", idLast)
	idMutex.Unlock()
	digest := sha256.Sum256([]byte(prompt))
	return &call.Attempt{
		ID: id, Workspace: "ws", Route: "r", Model: "base", Adapter: adapter, Version: "v1",
		ReservedTokens: tokens, MaxTokens: tokens, Idempotent: true, AgentIncarnation: s.control.known().Incarnation,
		Digest: digest[:], Body: fmt.Appendf(nil, `{"prompt":%q,"temperature":0}`, prompt),
	}
}

func (s *site) filing(body string) *call.Attempt {
	a := s.attempt("", body, 0)
	a.Model, a.Version, a.Service, a.Idempotent = "", "", "court", false
	a.Method, a.Path, a.Body = "POST", "/file", []byte(body)
	return a
}

// open sends an attempt.
func (c *caller) open(a *call.Attempt) *wire.Stream {
	stream, err := c.session.Open(plane.MethodAttempt)
	require.NoError(c.site.t, err)
	require.NoError(c.site.t, stream.Send(a))
	return stream
}

// read takes frames to the end.
func read(stream *wire.Stream) *result {
	r := &result{}
	next := int64(0)
	for {
		frame := &call.Frame{}
		if r.err = stream.Receive(frame); r.err != nil {
			return r
		}
		r.at = time.Now()
		switch frame.Type {
		case call.FrameHead:
			r.head = frame
		case call.FramePart:
			if frame.Index != next {
				r.err = fmt.Errorf("part %d where %d was due", frame.Index, next)
				return r
			}
			if next == 0 {
				r.first = r.at
			}
			next++
			r.largest = max(r.largest, len(frame.Data))
			r.text += string(frame.Data)
		case call.FrameEnd:
			r.end = frame
			return r
		case call.FrameRefuse:
			r.refused = frame
			return r
		}
	}
}

// run sends an attempt and takes its answer.
func (c *caller) run(a *call.Attempt) *result {
	stream := c.open(a)
	defer func() { _ = stream.Close() }()
	return read(stream)
}

// background runs an attempt and delivers its result later.
func (c *caller) background(a *call.Attempt) <-chan *result {
	results := make(chan *result, 1)
	stream := c.open(a)
	go func() {
		defer func() { _ = stream.Close() }()
		results <- read(stream)
	}()
	return results
}

func (c *caller) probe(a *call.Attempt) *call.ProbeReply {
	verdict := &call.ProbeReply{}
	require.NoError(c.site.t, c.session.Call(c.site.ctx, plane.MethodProbe, &call.Probe{ID: a.ID, AgentIncarnation: a.AgentIncarnation}, verdict))
	return verdict
}

// whole checks that a result is the attempt's own whole answer.
func whole(t *testing.T, a *call.Attempt, r *result) {
	t.Helper()
	require.NoError(t, r.err)
	require.Equal(t, call.ReasonNone, r.reason())
	want := model.Answer(a.Adapter, a.Version, model.Prompt(a.Body), int(a.DeliveredTokens), int(a.MaxTokens))
	require.Equal(t, want, r.text)
	require.Equal(t, a.Version, r.end.Version)
}
