// Package notice receives the announcements that the endpoint beside the agent sends
// periodically, and detects when they stop.
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
	// Timeout is how long an endpoint may send no announcement before it counts as lost.
	// The endpoints in stubs send one every second.
	Timeout = 3 * time.Second
	// maxBodyBytes bounds the body of an announcement.
	maxBodyBytes = 64 << 10
	// readTimeout bounds the reading of a request, and likewise the writing of its response.
	readTimeout = 5 * time.Second
)

// Kinds of endpoint.
const (
	// KindModel is a model engine.
	KindModel = "model"
	// KindService is a plain service.
	KindService = "service"
)

// Endpoint is the announcement of an endpoint.
type Endpoint struct {
	// Kind is KindModel or KindService.
	Kind string `json:"kind"`
	// Name is the endpoint's name.
	Name string `json:"name"`
	// Model is the base model of an engine, Service the name of a plain service.
	Model   string `json:"model"`
	Service string `json:"service"`
	// AdapterSlots is the number of adapters that an engine holds at once.
	AdapterSlots int `json:"slots"`
	// RequestSlots is the number of requests that run at once; it is positive.
	RequestSlots int `json:"places"`
	// Address is the endpoint's address, as IP:port.
	Address string `json:"address"`
	// EnforcesFencing is set if the endpoint refuses orders with an outdated fencing number.
	EnforcesFencing bool `json:"fenced"`
	// Draining is set when the endpoint accepts no new requests.
	Draining bool `json:"leaving"`
	// Boot differs between two starts of the endpoint; 0 if the endpoint does not provide it.
	Boot uint64 `json:"boot"`
}

// Check returns an error if a field is missing or has no valid value. The error names the check
// that failed and not the field.
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

// Listener receives announcements. Exported fields are set before Run.
type Listener struct {
	// Host provides the agent's network and log.
	Host host.Host
	// Address is the address to listen on, as IP:port.
	Address string
	// Announced is called for each announcement. Calls do not overlap.
	Announced func(Endpoint)
	// Lost is called when no announcement has arrived for Timeout.
	Lost func()

	mutex        sync.Mutex
	lastReceived time.Time
	// lost is set from a call of Lost until the next announcement.
	lost bool
}

// Run listens on Address and serves until ctx ends.
func (l *Listener) Run(ctx context.Context) error {
	listener, err := l.Host.Listen(l.Address)
	if err != nil {
		return &Error{Op: "listen " + l.Address, Kind: KindListen, Err: err}
	}
	return l.Serve(ctx, listener)
}

// Serve receives announcements on a listener until ctx ends.
func (l *Listener) Serve(ctx context.Context, listener net.Listener) error {
	router := httprouter.New()
	router.POST("/announce", l.announce)
	server := &http.Server{Handler: router, ReadTimeout: readTimeout, WriteTimeout: readTimeout}
	release := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer release()
	go l.watchTimeout(ctx)
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return &Error{Op: "serve", Kind: KindListen, Err: err}
}

// announce handles one announcement.
func (l *Listener) announce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var endpoint Endpoint
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&endpoint); err != nil {
		http.Error(w, "malformed announcement", http.StatusBadRequest)
		return
	}
	if err := endpoint.Check(); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastReceived = time.Now()
	l.lost = false
	l.Announced(endpoint)
}

// watchTimeout calls Lost once each time the announcements stop.
func (l *Listener) watchTimeout(ctx context.Context) {
	pause.Every(ctx, Timeout/10, l.checkTimeout)
}

// checkTimeout calls Lost if no announcement has arrived for Timeout.
func (l *Listener) checkTimeout() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.lastReceived.IsZero() || l.lost || time.Since(l.lastReceived) < Timeout {
		return
	}
	l.lost = true
	l.Host.Log.Write("endpoint-silent", "for", time.Since(l.lastReceived))
	l.Lost()
}
