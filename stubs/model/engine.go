// Package model simulates a model engine for tests and benchmarks: continuous batching,
// adapter slots, a prefix cache of limited size, and answers that are a function of the
// adapter, its version and the prompt.
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

// Engine is one simulated engine. Its exported fields are set before use; it
// is safe for concurrent use.
type Engine struct {
	// Name identifies the engine; Model is its base model.
	Name, Model string
	// Address is where the agent reaches the engine, as IP:port.
	Address string
	// AdapterSlots limits the adapters loaded at once, MaxRequests the requests run at
	// once. Requests beyond MaxRequests wait in order of priority.
	AdapterSlots, MaxRequests int
	// EnforcesFencing makes the engine refuse an order with an older fencing number.
	EnforcesFencing bool
	// Store delivers the adapters' weights; nil makes a load take no time.
	Store *store.Store
	// TokenTime is the time for one answer token in a batch of one request. Each further
	// request in the batch adds the share Slowdown of TokenTime.
	TokenTime time.Duration
	Slowdown  float64
	// PrefillTime is the time for one prompt token that is not cached.
	PrefillTime time.Duration
	// ReportDelay is the age that load and cache events reach before they are reported.
	ReportDelay time.Duration
	// CacheBlocks is the number of prompt blocks that the prefix cache holds.
	CacheBlocks int
	// RestartDelay is how long the engine is down after a crash.
	RestartDelay time.Duration
	// Poison is a text that crashes the engine when a prompt contains it; empty for none.
	Poison string
	// FailLoad reports whether to fail a load order; nil fails none.
	FailLoad func(adapter, version string) bool
	// RunVersion returns the version that a request runs on in place of the requested one;
	// nil keeps the requested version.
	RunVersion func(adapter, version string) string
	// StopAfter returns the number of tokens after which an answer ends by itself. When
	// StopAfter is nil or returns 0, the answer runs to the request's limit.
	StopAfter func(adapter, prompt string) int
	// Listen and Dial replace TCP in tests; nil means TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)

	mutex       sync.Mutex
	boot        uint64
	down        bool
	closeServer func()
	draining    bool
	role        string
	lastFence   uint64
	adapters    map[string]*residentAdapter
	scheduler   *scheduler
	cache       cache
	loadReports []loadReport
	received    []Received
	violations  []string
}

// Received is a copy of one request that the engine received.
type Received struct {
	Path   string
	Header http.Header
	Body   string
	At     time.Time
}

// Handler returns a handler for the engine's protocol, for use without Run. It marks the
// engine as started.
func (e *Engine) Handler() http.Handler {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.boot = max(e.boot, 1)
	return e.routes()
}

func (e *Engine) routes() http.Handler {
	router := httprouter.New()
	router.POST("/v1/load_lora_adapter", e.recordRequest(e.load))
	router.POST("/v1/unload_lora_adapter", e.recordRequest(e.unload))
	router.GET("/v1/models", e.serveModels)
	router.POST("/v1/completions", e.recordRequest(e.complete))
	router.GET("/load", e.serveLoad)
	router.GET("/cache/events", e.serveCacheEvents)
	router.POST("/role", e.recordRequest(e.setRole))
	return router
}

// Run serves on Address until ctx ends. After a crash the engine is down for RestartDelay
// and then starts without adapters and with an empty cache.
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

// start resets the engine to the state of a new process.
func (e *Engine) start(server *http.Server) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.boot++
	e.down = false
	e.adapters = nil
	e.scheduler = &scheduler{}
	e.cache = cache{}
	e.loadReports = nil
	e.closeServer = func() { _ = server.Close() }
}

// Crash simulates a crash by closing the server with all its connections; Run restarts it.
func (e *Engine) Crash() {
	e.mutex.Lock()
	crash := e.closeServer
	e.down = true
	e.mutex.Unlock()
	if crash != nil {
		crash()
	}
}

// SetDraining sets whether the announcements declare that the engine is draining.
func (e *Engine) SetDraining(draining bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.draining = draining
}

// Announce announces the engine to the agent at the URL until ctx ends. An engine that has
// not started or has crashed sends no announcements.
func (e *Engine) Announce(ctx context.Context, url string) {
	announcer := poster.Announcer{URL: url, Dial: e.Dial, Announcement: e.announcement}
	announcer.Run(ctx)
}

func (e *Engine) announcement() *poster.Announcement {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down || e.boot == 0 {
		return nil
	}
	return &poster.Announcement{
		Kind: "model", Name: e.Name, Model: e.Model, AdapterSlots: e.AdapterSlots, MaxRequests: e.MaxRequests,
		Address: e.Address, EnforcesFencing: e.EnforcesFencing, Draining: e.draining, Boot: e.boot,
	}
}

// Received returns all orders and requests received so far.
func (e *Engine) Received() []Received {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]Received(nil), e.received...)
}

// Violations lists the protocol violations of the agent: unloading an adapter that is in
// use, a request for an adapter that is not loaded, loading more adapters than there are
// slots, and resuming an answer with text that differs from it.
func (e *Engine) Violations() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]string(nil), e.violations...)
}

func (e *Engine) addViolation(format string, values ...any) {
	e.violations = append(e.violations, fmt.Sprintf(format, values...))
}
