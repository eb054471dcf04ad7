package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/engine"
	"github.com/tanagerspindle/tanagerspindle/agent/notice"
	"github.com/tanagerspindle/tanagerspindle/agent/proxy"
	"github.com/tanagerspindle/tanagerspindle/agent/slots"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// aliveTimeout bounds the check whether an endpoint is alive.
	aliveTimeout = 2 * time.Second
	// brokenRunWindow is how long after its connection broke a run is included in the
	// crash report if the endpoint turns out to have crashed.
	brokenRunWindow = 3 * time.Second
)

// endpoint is the endpoint beside the agent, from its first announcement until it dies or
// is replaced by another start. The runner's mutex guards the announcement and the flags.
type endpoint struct {
	notice.Endpoint
	// name, boot and address never change.
	name    string
	boot    uint64
	address string
	// Exactly one of engine and service is set, depending on the endpoint's kind.
	engine  *engine.Engine
	service *proxy.Client
	// context is cancelled when the endpoint is removed.
	context context.Context
	cancel  context.CancelFunc
	// open is set when new work may start, opening while the engine's state is being
	// read before that, silent while announcements have stopped.
	open    bool
	opening bool
	silent  bool

	mutex      sync.Mutex
	brokenRuns []brokenRun
}

// brokenRun is a run whose connection broke while the endpoint seemed alive.
type brokenRun struct {
	digest []byte
	at     time.Time
}

func (e *endpoint) recordBroken(digest []byte) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.brokenRuns = append(e.brokenRuns, brokenRun{digest: digest, at: time.Now()})
}

// recentlyBroken returns the digests of the runs that broke within brokenRunWindow.
func (e *endpoint) recentlyBroken() [][]byte {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var digests [][]byte
	for _, b := range e.brokenRuns {
		if time.Since(b.at) < brokenRunWindow {
			digests = append(digests, b.digest)
		}
	}
	return digests
}

func (e *endpoint) close() {
	if e.engine != nil {
		e.engine.Stop()
	}
}

// HandleAnnouncement processes one announcement of the endpoint.
func (r *Runner) HandleAnnouncement(announced notice.Endpoint) {
	r.prepare()
	r.mutex.Lock()
	current := r.endpoint
	same := current != nil && current.Boot == announced.Boot && current.Address == announced.Address &&
		current.Model == announced.Model && current.Service == announced.Service && current.AdapterSlots == announced.AdapterSlots
	if same {
		current.Endpoint = announced
		current.silent = false
	}
	r.mutex.Unlock()
	if !same {
		if current != nil {
			r.handleDeath(current)
		}
		r.attach(announced)
	}
	r.Wake()
	r.RecordChanged()
}

// attach makes a newly announced endpoint the current one.
func (r *Runner) attach(announced notice.Endpoint) {
	ep := &endpoint{Endpoint: announced, name: announced.Name, boot: announced.Boot, address: announced.Address}
	ep.context, ep.cancel = context.WithCancel(context.Background())
	if announced.Kind == notice.KindModel {
		ep.engine = &engine.Engine{Address: announced.Address, Dial: r.Dial}
		ep.engine.Start()
	} else {
		ep.service = &proxy.Client{Address: announced.Address, Dial: r.Dial}
		ep.open = true
	}
	r.mutex.Lock()
	if r.stopping {
		r.mutex.Unlock()
		ep.cancel()
		ep.close()
		return
	}
	r.endpoint = ep
	r.mutex.Unlock()
	r.Host.Log.Write("endpoint-announced", "name", announced.Name, "kind", announced.Kind, "address", announced.Address)
	r.openEngine()
}

// HandleAnnouncementLoss marks the endpoint as silent after its announcements have stopped. It
// gets no new work; running attempts continue while the endpoint still responds.
func (r *Runner) HandleAnnouncementLoss() {
	r.mutex.Lock()
	ep := r.endpoint
	if ep != nil {
		ep.silent = true
	}
	r.mutex.Unlock()
	if ep != nil {
		go r.verifyDead(ep)
	}
	r.Wake()
	r.RecordChanged()
}

// verifyDead reports whether an endpoint is dead, and removes a dead one.
func (r *Runner) verifyDead(ep *endpoint) bool {
	if ep.context.Err() != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ep.context, aliveTimeout)
	defer cancel()
	if ep.alive(ctx, r) {
		return false
	}
	r.handleDeath(ep)
	return true
}

// alive reports whether an engine answers and has not restarted, or whether a plain
// service accepts connections. An engine whose answers are malformed is taken for alive:
// they say nothing about a restart.
func (e *endpoint) alive(ctx context.Context, r *Runner) bool {
	if e.engine != nil {
		state, err := e.engine.State(ctx)
		if errors.Is(err, &httpc.Error{Kind: httpc.KindAnswer}) {
			return true
		}
		return err == nil && state.Boot == e.boot
	}
	conn, err := r.Dial(ctx, e.address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// handleDeath removes a dead endpoint, ends its runs and reports their digests to
// control.
func (r *Runner) handleDeath(ep *endpoint) {
	r.mutex.Lock()
	if r.endpoint != ep {
		r.mutex.Unlock()
		return
	}
	r.endpoint = nil
	report := plane.Crash{Source: r.Name, Incarnation: r.Incarnation, Count: r.crashes + 1}
	seen := map[string]bool{}
	for _, digest := range append(r.runningDigestsLocked(), ep.recentlyBroken()...) {
		if len(digest) > 0 && !seen[string(digest)] {
			seen[string(digest)] = true
			report.Digests = append(report.Digests, digest)
		}
	}
	if len(report.Digests) > 0 {
		r.crashes++
	}
	r.mutex.Unlock()
	r.Host.Log.Write("endpoint-dead", "name", ep.name, "running", len(report.Digests))
	if len(report.Digests) > 0 {
		r.ReportCrash(report)
	}
	ep.cancel()
	ep.close()
	r.Slots.Close()
	r.Wake()
	r.RecordChanged()
}

// runningDigestsLocked returns the digests of the attempts that may run at the endpoint.
func (r *Runner) runningDigestsLocked() [][]byte {
	var digests [][]byte
	for t := range r.running {
		if t.connected.Load() {
			digests = append(digests, t.attempt.Digest)
		}
	}
	return digests
}

// openEngine starts reading the state of a new engine, once control has given the agent a
// fencing number for its orders.
func (r *Runner) openEngine() {
	r.mutex.Lock()
	ep := r.endpoint
	if ep == nil || ep.open || ep.opening || r.fence == 0 {
		r.mutex.Unlock()
		return
	}
	ep.opening = true
	r.mutex.Unlock()
	go r.adoptState(ep)
}

// adoptState reads which adapters a new engine holds, passes them to the slots and opens
// the endpoint for new work.
func (r *Runner) adoptState(ep *endpoint) {
	state, err := ep.engine.State(ep.context)
	r.mutex.Lock()
	ep.opening = false
	usable := err == nil && r.endpoint == ep && state.Boot == ep.boot
	if usable {
		r.Slots.Open(ep.AdapterSlots, heldKeys(state))
		ep.open = true
	}
	r.mutex.Unlock()
	if usable {
		r.Host.Log.Write("engine-open", "name", ep.name, "held", len(state.Held))
		r.Wake()
		r.RecordChanged()
	}
}

// heldKeys returns the adapter versions that the engine holds. The value is true where
// requests not sent by this agent may be running.
func heldKeys(state *engine.State) map[slots.Key]bool {
	held := map[slots.Key]bool{}
	for _, h := range state.Held {
		held[slots.Key{Adapter: h.Adapter, Version: h.Version}] = h.RunningRequests > 0
	}
	return held
}

// pollEngine syncs the slots with the engine's state once per pollInterval.
func (r *Runner) pollEngine(ctx context.Context) {
	pause.Every(ctx, pollInterval, func() {
		r.openEngine()
		r.syncSlots()
	})
}

// syncSlots reconciles the slots with the engine's state. It also checks whether a silent
// endpoint is dead.
func (r *Runner) syncSlots() {
	r.mutex.Lock()
	ep := r.endpoint
	skip := ep == nil || ep.engine == nil || !ep.open
	silent := ep != nil && ep.silent
	r.mutex.Unlock()
	if silent {
		r.verifyDead(ep)
	}
	if skip {
		return
	}
	revision := r.Slots.Revision()
	state, err := ep.engine.State(ep.context)
	if err != nil {
		return
	}
	if state.Boot != ep.boot {
		r.handleDeath(ep)
		return
	}
	running := map[slots.Key]int{}
	for _, h := range state.Held {
		running[slots.Key{Adapter: h.Adapter, Version: h.Version}] = h.RunningRequests
	}
	r.Slots.Sync(revision, running)
}

// LoadAdapter orders the current engine to load an adapter version.
func (r *Runner) LoadAdapter(ctx context.Context, key slots.Key, fence uint64) error {
	current := r.currentEngine()
	if current == nil {
		return &engine.Error{Op: "load " + key.Adapter, Kind: engine.KindLost}
	}
	return current.Load(ctx, key.Adapter, key.Version, fence)
}

// UnloadAdapter orders the current engine to unload an adapter version.
func (r *Runner) UnloadAdapter(ctx context.Context, key slots.Key, fence uint64) error {
	current := r.currentEngine()
	if current == nil {
		return &engine.Error{Op: "unload " + key.Adapter, Kind: engine.KindLost}
	}
	return current.Unload(ctx, key.Adapter, key.Version, fence)
}

func (r *Runner) currentEngine() *engine.Engine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.endpoint == nil {
		return nil
	}
	return r.endpoint.engine
}
