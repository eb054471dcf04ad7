package runner

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/engine"
	"github.com/tanagerspindle/tanagerspindle/agent/notice"
	"github.com/tanagerspindle/tanagerspindle/agent/proxy"
	"github.com/tanagerspindle/tanagerspindle/agent/slots"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// verifyTimeout bounds the check whether an endpoint is alive.
	verifyTimeout = 2 * time.Second
	// brokenTime is how long a broken run stays suspect while the endpoint's
	// death may still show.
	brokenTime = 3 * time.Second
)

// endpoint is one start of the endpoint beside the agent. The runner's mutex
// guards the announcement and the flags.
type endpoint struct {
	notice.Endpoint
	// name, boot and address never change.
	name    string
	boot    uint64
	address string
	// engine or service is set, by the kind.
	engine  *engine.Engine
	service *proxy.Client
	// context ends with the endpoint.
	context context.Context
	cancel  context.CancelFunc
	// open says that work may start; opening that the engine is being asked
	// what it holds; quiet that announcements have stopped.
	open    bool
	opening bool
	quiet   bool

	mutex  sync.Mutex
	broken []broken
}

// broken is a run whose connection broke while the endpoint seemed alive.
type broken struct {
	digest []byte
	at     time.Time
}

func (e *endpoint) noteBroken(digest []byte) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.broken = append(e.broken, broken{digest: digest, at: time.Now()})
}

// recent returns the digests of the runs that broke a short time ago.
func (e *endpoint) recent() [][]byte {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var digests [][]byte
	for _, b := range e.broken {
		if time.Since(b.at) < brokenTime {
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

// HandleAnnouncement takes an announcement of the endpoint.
func (r *Runner) HandleAnnouncement(announced notice.Endpoint) {
	r.prepare()
	r.mutex.Lock()
	present := r.endpoint
	same := present != nil && present.Boot == announced.Boot && present.Address == announced.Address &&
		present.Model == announced.Model && present.Service == announced.Service && present.AdapterSlots == announced.AdapterSlots
	if same {
		present.Endpoint = announced
		present.quiet = false
	}
	r.mutex.Unlock()
	if !same {
		if present != nil {
			r.died(present)
		}
		r.attach(announced)
	}
	r.Wake()
	r.RecordChanged()
}

// attach starts with a new endpoint.
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

// HandleSilence notes that the endpoint has stopped announcing itself. It takes no new
// work; what it runs goes on if it still answers.
func (r *Runner) HandleSilence() {
	r.mutex.Lock()
	ep := r.endpoint
	if ep != nil {
		ep.quiet = true
	}
	r.mutex.Unlock()
	if ep != nil {
		go r.verify(ep)
	}
	r.Wake()
	r.RecordChanged()
}

// verify reports whether an endpoint is dead, and declares it so.
func (r *Runner) verify(ep *endpoint) bool {
	if ep.context.Err() != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ep.context, verifyTimeout)
	defer cancel()
	if ep.alive(ctx, r) {
		return false
	}
	r.died(ep)
	return true
}

func (e *endpoint) alive(ctx context.Context, r *Runner) bool {
	if e.engine != nil {
		state, err := e.engine.State(ctx)
		return err == nil && state.Boot == e.boot
	}
	conn, err := r.Dial(ctx, e.address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// died ends everything that ran at an endpoint and reports what it was.
func (r *Runner) died(ep *endpoint) {
	r.mutex.Lock()
	if r.endpoint != ep {
		r.mutex.Unlock()
		return
	}
	r.endpoint = nil
	report := plane.Crash{Agent: r.Name, Incarnation: r.Incarnation, Count: r.deaths + 1}
	seen := map[string]bool{}
	for _, digest := range append(r.digestsLocked(), ep.recent()...) {
		if len(digest) > 0 && !seen[string(digest)] {
			seen[string(digest)] = true
			report.Digests = append(report.Digests, digest)
		}
	}
	if len(report.Digests) > 0 {
		r.deaths++
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

// digestsLocked returns the digests of what is at the endpoint.
func (r *Runner) digestsLocked() [][]byte {
	var digests [][]byte
	for t := range r.running {
		digests = append(digests, t.attempt.Digest)
	}
	return digests
}

// openEngine asks a new engine what it holds, once the agent may order it.
func (r *Runner) openEngine() {
	r.mutex.Lock()
	ep := r.endpoint
	if ep == nil || ep.open || ep.opening || r.fence == 0 {
		r.mutex.Unlock()
		return
	}
	ep.opening = true
	r.mutex.Unlock()
	go r.adopt(ep)
}

func (r *Runner) adopt(ep *endpoint) {
	state, err := ep.engine.State(ep.context)
	r.mutex.Lock()
	ep.opening = false
	usable := err == nil && r.endpoint == ep && state.Boot == ep.boot
	if usable {
		r.Slots.Open(ep.AdapterSlots, foreign(state))
		ep.open = true
	}
	r.mutex.Unlock()
	if usable {
		r.Host.Log.Write("engine-open", "name", ep.name, "held", len(state.Held))
		r.Wake()
		r.RecordChanged()
	}
}

// foreign returns the keys that the engine holds; true where requests that
// this agent has not sent may run on them.
func foreign(state *engine.State) map[slots.Key]bool {
	held := map[slots.Key]bool{}
	for _, h := range state.Held {
		held[slots.Key{Adapter: h.Adapter, Version: h.Version}] = h.RunningRequests > 0
	}
	return held
}

// watch compares the slots with the engine's own list from time to time.
func (r *Runner) watch(ctx context.Context) {
	pause.Every(ctx, watchInterval, func() {
		r.openEngine()
		r.compare()
	})
}

func (r *Runner) compare() {
	r.mutex.Lock()
	ep := r.endpoint
	skip := ep == nil || ep.engine == nil || !ep.open
	quiet := ep != nil && ep.quiet
	r.mutex.Unlock()
	if quiet {
		r.verify(ep)
	}
	if skip {
		return
	}
	mark := r.Slots.Revision()
	state, err := ep.engine.State(ep.context)
	if err != nil {
		return
	}
	if state.Boot != ep.boot {
		r.died(ep)
		return
	}
	running := map[slots.Key]int{}
	for _, h := range state.Held {
		running[slots.Key{Adapter: h.Adapter, Version: h.Version}] = h.RunningRequests
	}
	r.Slots.Sync(mark, running)
}

// LoadAdapter orders the present engine to load a key.
func (r *Runner) LoadAdapter(ctx context.Context, key slots.Key, fence uint64) error {
	present := r.engine()
	if present == nil {
		return &engine.Error{Op: "load " + key.Adapter, Kind: engine.KindLost}
	}
	return present.Load(ctx, key.Adapter, key.Version, fence)
}

// UnloadAdapter orders the present engine to unload a key.
func (r *Runner) UnloadAdapter(ctx context.Context, key slots.Key, fence uint64) error {
	present := r.engine()
	if present == nil {
		return &engine.Error{Op: "unload " + key.Adapter, Kind: engine.KindLost}
	}
	return present.Unload(ctx, key.Adapter, key.Version, fence)
}

func (r *Runner) engine() *engine.Engine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.endpoint == nil {
		return nil
	}
	return r.endpoint.engine
}
