// Package model is a stand-in model engine: continuous batching, adapter
// slots, a prefix cache in limited memory, and answers that are a function of
// the adapter, its version and the prompt.
package model

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/stubs/poster"
	"github.com/tanagerspindle/tanagerspindle/stubs/store"
)

// Engine is one stand-in engine. Its exported fields are set before use; it
// is safe for concurrent use.
type Engine struct {
	// Name is the engine's, Model its base model.
	Name, Model string
	// Address is where the agent reaches it, as IP:port.
	Address string
	// AdapterSlots is the number of adapters held at once, MaxRequests the number of
	// requests run at once. A request beyond MaxRequests waits by priority.
	AdapterSlots, MaxRequests int
	// Fenced says that an order with an older fencing number is refused.
	Fenced bool
	// Store delivers the weights; nil loads at once.
	Store *store.Store
	// TokenTime is the time for one answer token in a batch of one; each further
	// request in the batch adds Slowdown of it.
	TokenTime time.Duration
	Slowdown  float64
	// PrefillTime is the time for one prompt token that is not cached.
	PrefillTime time.Duration
	// ReportDelay is how late the reported load and the cache events are.
	ReportDelay time.Duration
	// CacheBlocks is the number of prompt blocks that the prefix cache holds.
	CacheBlocks int
	// RestartDelay is how long the engine is down after a crash.
	RestartDelay time.Duration
	// Poison crashes the engine when a prompt contains it; empty never.
	Poison string
	// FailLoad makes a load order fail; nil fails none.
	FailLoad func(adapter, version string) bool
	// RunVersion replaces the version that a request runs on; nil keeps it.
	RunVersion func(adapter, version string) string
	// StopAfter returns the number of tokens after which an answer ends by itself;
	// nil or 0 means that it runs to its limit.
	StopAfter func(adapter, prompt string) int
	// Listen and Dial replace TCP in tests; nil uses TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)

	mutex    sync.Mutex
	boot     uint64
	down     bool
	crash    func()
	leaving  bool
	role     string
	fence    uint64
	resident map[string]*resident
	batch    *batch
	cache    cache
	reports  []report
	received []Received
	faults   []string
}

// Received is one request that the engine received.
type Received struct {
	Path   string
	Header http.Header
	Body   string
	At     time.Time
}

// Handler serves the engine's protocol without Run; the engine counts as
// started.
func (e *Engine) Handler() http.Handler {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.boot = max(e.boot, 1)
	return e.routes()
}

func (e *Engine) routes() http.Handler {
	router := httprouter.New()
	router.POST("/v1/load_lora_adapter", e.record(e.load))
	router.POST("/v1/unload_lora_adapter", e.record(e.unload))
	router.GET("/v1/models", e.models)
	router.POST("/v1/completions", e.record(e.complete))
	router.GET("/load", e.report)
	router.GET("/cache/events", e.events)
	router.POST("/role", e.record(e.setRole))
	return router
}

// Run serves on Address until ctx ends. After a crash it is down for Restart
// and then starts cold.
func (e *Engine) Run(ctx context.Context) error {
	listen := e.Listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	for ctx.Err() == nil {
		listener, err := listen(e.Address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		server := &http.Server{Handler: e.routes(), ReadHeaderTimeout: time.Minute}
		e.start(server)
		release := context.AfterFunc(ctx, func() { _ = server.Close() })
		_ = server.Serve(listener)
		release()
		pause.For(ctx, e.RestartDelay)
	}
	return nil
}

// start makes the engine cold.
func (e *Engine) start(server *http.Server) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.boot++
	e.down = false
	e.resident = nil
	e.batch = &batch{}
	e.cache = cache{}
	e.reports = nil
	e.crash = func() { _ = server.Close() }
}

// Crash ends the engine's process; Run starts it again.
func (e *Engine) Crash() {
	e.mutex.Lock()
	crash := e.crash
	e.down = true
	e.mutex.Unlock()
	if crash != nil {
		crash()
	}
}

// SetLeaving makes the announcements say that the engine is leaving, or not.
func (e *Engine) SetLeaving(leaving bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = leaving
}

// Announce tells the agent at the URL about the engine until ctx ends. An
// engine that has not started or has crashed says nothing.
func (e *Engine) Announce(ctx context.Context, url string) {
	announcer := poster.Announcer{URL: url, Dial: e.Dial, Announcement: e.message}
	announcer.Run(ctx)
}

func (e *Engine) message() *poster.Announcement {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down || e.boot == 0 {
		return nil
	}
	return &poster.Announcement{
		Kind: "model", Name: e.Name, Model: e.Model, AdapterSlots: e.AdapterSlots, MaxRequests: e.MaxRequests,
		Address: e.Address, Fenced: e.Fenced, Leaving: e.leaving, Boot: e.boot,
	}
}

// Received returns every order and request so far.
func (e *Engine) Received() []Received {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]Received(nil), e.received...)
}

// Violations lists what no correct agent makes happen: an adapter unloaded while
// in use, a request for an adapter that is not loaded, more adapters than
// slots, a resumed answer with other text.
func (e *Engine) Violations() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]string(nil), e.faults...)
}

func (e *Engine) fault(format string, values ...any) {
	e.faults = append(e.faults, fmt.Sprintf(format, values...))
}
