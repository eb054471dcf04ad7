// Package notice listens for the announcements of the endpoint beside the
// agent and notices when it falls silent.
package notice

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

const (
	// Timeout is how long an endpoint may say nothing before it counts as
	// lost.
	Timeout = 3 * time.Second
	// maxBody bounds an announcement, in bytes.
	maxBody = 64 << 10
	// readTimeout bounds the reading of one announcement.
	readTimeout = 5 * time.Second
)

// Kinds of endpoint.
const (
	// KindModel is a model engine.
	KindModel = "model"
	// KindService is a plain service.
	KindService = "service"
)

// Endpoint is one announcement.
type Endpoint struct {
	// Kind is KindModel or KindService.
	Kind string `json:"kind"`
	// Name is the endpoint's own.
	Name string `json:"name"`
	// Model is an engine's base model, Service a plain service's name.
	Model   string `json:"model"`
	Service string `json:"service"`
	// AdapterSlots is the number of adapters an engine holds at once.
	AdapterSlots int `json:"slots"`
	// RequestSlots is the number of requests run at once; it is positive.
	RequestSlots int `json:"places"`
	// Address is where the endpoint is reached, as IP:port.
	Address string `json:"address"`
	// Fenced says that an order with an old fencing number is refused.
	Fenced bool `json:"fenced"`
	// Leaving says that the endpoint takes no new work.
	Leaving bool `json:"leaving"`
	// Boot differs between two starts of the endpoint; 0 says nothing.
	Boot uint64 `json:"boot"`
}

// Check reports the first invalid field.
func (e *Endpoint) Check() error {
	model := e.Kind == KindModel && e.Model != "" && e.AdapterSlots > 0
	service := e.Kind == KindService && e.Service != ""
	if !model && !service {
		return &Error{Op: "check kind", Kind: KindField}
	}
	if e.Address == "" || e.RequestSlots <= 0 {
		return &Error{Op: "check endpoint", Kind: KindField}
	}
	return nil
}

// Listener takes announcements. Its exported fields are set before Run.
type Listener struct {
	// Host is the agent's.
	Host host.Host
	// Address is the listener's, as IP:port.
	Address string
	// Announced is called for each announcement, one at a time.
	Announced func(Endpoint)
	// Lost is called when an endpoint has been silent for Silence.
	Lost func()

	mutex sync.Mutex
	heard time.Time
	lost  bool
}

// Run serves until ctx ends.
func (l *Listener) Run(ctx context.Context) error {
	listener, err := l.Host.Listen(l.Address)
	if err != nil {
		return &Error{Op: "listen " + l.Address, Kind: KindListen, Err: err}
	}
	return l.Serve(ctx, listener)
}

// Serve takes announcements from a listener until ctx ends.
func (l *Listener) Serve(ctx context.Context, listener net.Listener) error {
	router := httprouter.New()
	router.POST("/announce", l.announce)
	server := &http.Server{Handler: router, ReadTimeout: readTimeout, WriteTimeout: readTimeout}
	release := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer release()
	go l.watch(ctx)
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return &Error{Op: "serve", Kind: KindListen, Err: err}
}

func (l *Listener) announce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var endpoint Endpoint
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&endpoint); err != nil {
		http.Error(w, "malformed announcement", http.StatusBadRequest)
		return
	}
	if err := endpoint.Check(); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.heard = time.Now()
	l.lost = false
	l.Announced(endpoint)
}

// watch calls Lost once for each silence.
func (l *Listener) watch(ctx context.Context) {
	pause.Every(ctx, Timeout/10, l.checkSilence)
}

func (l *Listener) checkSilence() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.heard.IsZero() || l.lost || time.Since(l.heard) < Timeout {
		return
	}
	l.lost = true
	l.Host.Log.Write("endpoint-silent", "for", time.Since(l.heard))
	l.Lost()
}
