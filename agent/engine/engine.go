// Package engine speaks a model engine's protocol. It is the only package
// that knows its paths and field names.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/idle"
)

const (
	// loadTimeout bounds one load order.
	loadTimeout = 30 * time.Second
	// unloadTimeout bounds one unload order.
	unloadTimeout = 10 * time.Second
	// dialTimeout bounds the connecting to the engine.
	dialTimeout = 2 * time.Second
	// firstLimit is the longest wait for the first byte of an answer, gapLimit
	// for each further one.
	firstLimit = 30 * time.Second
	gapLimit   = 10 * time.Second
	// reportTimeout bounds a question about the engine's state.
	reportTimeout = 2 * time.Second
	// maxReport bounds a report, in bytes.
	maxReport = 8 << 20
	// maxRefusal bounds the part of a refusal that is read, in bytes.
	maxRefusal = 4 << 10
)

// Engine is the client of one engine. Its exported fields are set before use;
// it is safe for concurrent use.
type Engine struct {
	// Address is the engine's, as IP:port.
	Address string
	// Dial connects to the engine.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	transport *http.Transport
}

// Start prepares the client; Stop ends it.
func (e *Engine) Start() {
	e.transport = &http.Transport{
		DialContext: e.dial,
		// An idle connection may have gone silent, and the engine is near.
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

func (e *Engine) dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := e.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &idle.Conn{Conn: conn, FirstReadTimeout: firstLimit, ReadTimeout: gapLimit}, nil
}

// Stop closes idle connections.
func (e *Engine) Stop() { e.transport.CloseIdleConnections() }

// order is the body of a load or unload order.
type order struct {
	Adapter string `json:"lora_name"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// Load orders the engine to load an adapter version and waits for it. An
// adapter that is loaded already counts as loaded.
func (e *Engine) Load(ctx context.Context, adapter, version string, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return e.order(ctx, "/v1/load_lora_adapter", order{adapter, version, fence}, http.StatusConflict)
}

// Unload orders the engine to unload an adapter version. One that is not
// loaded counts as unloaded.
func (e *Engine) Unload(ctx context.Context, adapter, version string, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, unloadTimeout)
	defer cancel()
	return e.order(ctx, "/v1/unload_lora_adapter", order{adapter, version, fence}, http.StatusNotFound)
}

func (e *Engine) order(ctx context.Context, path string, body order, also int) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &Error{Op: "order", Kind: KindMalformedRequest, Err: err}
	}
	response, err := e.do(ctx, http.MethodPost, path, data)
	if err != nil {
		return err
	}
	defer drain(response)
	if response.StatusCode == http.StatusOK || response.StatusCode == also {
		return nil
	}
	if response.StatusCode == http.StatusPreconditionFailed {
		return &Error{Op: "order " + path, Kind: KindFenced}
	}
	return refusal(path, response)
}

// HeldAdapter is an adapter version that the engine reports in a slot.
type HeldAdapter struct {
	Adapter string `json:"id"`
	Version string `json:"version"`
	// RunningRequests is the number of requests that the engine runs on it.
	RunningRequests int `json:"running"`
}

// State is what the engine holds now.
type State struct {
	Held []HeldAdapter `json:"data"`
	// Boot differs between two starts of the engine; 0 says nothing.
	Boot uint64 `json:"boot"`
}

// State asks what the engine holds.
func (e *Engine) State(ctx context.Context) (*State, error) {
	state := &State{}
	if err := e.ask(ctx, "/v1/models", state); err != nil {
		return nil, err
	}
	return state, nil
}

// LoadReport report of the engine; it lags.
type LoadReport struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Boot    uint64 `json:"boot"`
}

// LoadReport asks for the engine's load, which lags.
func (e *Engine) LoadReport(ctx context.Context) (*LoadReport, error) {
	load := &LoadReport{}
	if err := e.ask(ctx, "/load", load); err != nil {
		return nil, err
	}
	return load, nil
}

func (e *Engine) ask(ctx context.Context, path string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := e.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer drain(response)
	if response.StatusCode != http.StatusOK {
		return refusal(path, response)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(reply); err != nil {
		return &Error{Op: "read " + path, Kind: KindMalformedAnswer, Err: err}
	}
	return nil
}

func (e *Engine) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: "request " + path, Kind: KindMalformedRequest, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.transport.RoundTrip(request)
	if err != nil {
		return nil, &Error{Op: "send " + path, Kind: KindLost, Err: err}
	}
	return response, nil
}

func refusal(path string, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusal))
	cause := &Error{Op: string(bytes.TrimSpace(text)), Kind: Kind(response.Status)}
	return &Error{Op: "send " + path, Kind: KindRefused, Err: cause}
}

func drain(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusal))
	_ = response.Body.Close()
}

// Lost reports whether err says that the engine was not reached or broke off.
func Lost(err error) bool { return errors.Is(err, &Error{Kind: KindLost}) }
