// Package engine is the HTTP client of a model engine. No other package knows the
// engine's paths and field names.
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
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
)

const (
	// loadTimeout bounds one load order.
	loadTimeout = 30 * time.Second
	// unloadTimeout bounds one unload order.
	unloadTimeout = 10 * time.Second
	// dialTimeout bounds connecting to the engine.
	dialTimeout = 2 * time.Second
	// firstByteTimeout is the longest wait for the first byte of an answer, gapTimeout
	// for each further read.
	firstByteTimeout = 30 * time.Second
	gapTimeout       = 10 * time.Second
	// stateTimeout bounds one request for the engine's state or load.
	stateTimeout = 2 * time.Second
	// maxStateBytes bounds a state or load report, in bytes.
	maxStateBytes = 8 << 20
	// maxRefusalBytes bounds the part of an error response that is read, in bytes.
	maxRefusalBytes = 4 << 10
)

// Engine is the client of one engine. Its exported fields are set before use; it is
// safe for concurrent use.
type Engine struct {
	// Address is where the engine is reached, as IP:port.
	Address string
	// Dial connects to the engine.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	client *httpc.Client
}

// Start prepares the client; Stop closes it.
func (e *Engine) Start() {
	e.client = &httpc.Client{Dial: e.dial, DialTimeout: dialTimeout}
}

func (e *Engine) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := e.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &idle.Conn{Conn: conn, FirstReadTimeout: firstByteTimeout, ReadTimeout: gapTimeout}, nil
}

// Stop closes idle connections.
func (e *Engine) Stop() { e.client.CloseIdle(e.Address) }

// adapterOrder is the body of a load or unload order.
type adapterOrder struct {
	Adapter string `json:"lora_name"`
	Version string `json:"version"`
	// Fence is the agent's fencing number; the engine refuses a lower one than it has seen.
	Fence uint64 `json:"fence"`
}

// Load orders the engine to load an adapter version and waits for the result. It
// succeeds if the adapter is already loaded.
func (e *Engine) Load(ctx context.Context, adapter, version string, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return e.sendOrder(ctx, "/v1/load_lora_adapter", adapterOrder{adapter, version, fence}, http.StatusConflict)
}

// Unload orders the engine to unload an adapter version and waits for the result. It
// succeeds if the adapter is not loaded.
func (e *Engine) Unload(ctx context.Context, adapter, version string, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, unloadTimeout)
	defer cancel()
	return e.sendOrder(ctx, "/v1/unload_lora_adapter", adapterOrder{adapter, version, fence}, http.StatusNotFound)
}

func (e *Engine) sendOrder(ctx context.Context, path string, body adapterOrder, acceptedStatus int) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &Error{Op: "order", Kind: KindMalformedRequest, Err: err}
	}
	answer, err := e.do(ctx, http.MethodPost, path, data)
	if err != nil {
		return err
	}
	defer drain(answer)
	if answer.StatusCode == http.StatusOK || answer.StatusCode == acceptedStatus {
		return nil
	}
	if answer.StatusCode == http.StatusPreconditionFailed {
		return &Error{Op: "order " + path, Kind: KindFenced}
	}
	return refusalError(path, answer)
}

// HeldAdapter is an adapter version that occupies a slot of the engine.
type HeldAdapter struct {
	Adapter string `json:"id"`
	Version string `json:"version"`
	// RunningRequests is the number of requests that the engine runs on it.
	RunningRequests int `json:"running"`
}

// State is the engine's list of loaded adapters.
type State struct {
	Held []HeldAdapter `json:"data"`
	// Boot differs between two starts of the engine; 0 means unknown.
	Boot uint64 `json:"boot"`
}

// State reads which adapter versions the engine holds.
func (e *Engine) State(ctx context.Context) (*State, error) {
	state := &State{}
	if err := e.getJSON(ctx, "/v1/models", state); err != nil {
		return nil, err
	}
	return state, nil
}

// LoadReport is the engine's own report of its load. The engine may send an outdated one.
type LoadReport struct {
	// Running and Waiting are the numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Boot differs between two starts of the engine.
	Boot uint64 `json:"boot"`
}

// LoadReport reads the engine's report of its load.
func (e *Engine) LoadReport(ctx context.Context) (*LoadReport, error) {
	load := &LoadReport{}
	if err := e.getJSON(ctx, "/load", load); err != nil {
		return nil, err
	}
	return load, nil
}

func (e *Engine) getJSON(ctx context.Context, path string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	answer, err := e.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer drain(answer)
	if answer.StatusCode != http.StatusOK {
		return refusalError(path, answer)
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxStateBytes)).Decode(reply); err != nil {
		return &Error{Op: "read " + path, Kind: KindMalformedAnswer, Err: err}
	}
	return nil
}

func (e *Engine) do(ctx context.Context, method, path string, body []byte) (*httpc.Answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: "request " + path, Kind: KindMalformedRequest, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	// An idle connection may have been lost unnoticed, and reconnecting within the VM is
	// cheap.
	request.Close = true
	answer, err := e.client.Do(ctx, e.Address, request, true, nil)
	if err != nil {
		return nil, &Error{Op: "send " + path, Kind: kindOf(err), Err: err}
	}
	return answer, nil
}

// kindOf classifies an error of httpc.
func kindOf(err error) Kind {
	switch {
	case errors.Is(err, &httpc.Error{Kind: httpc.KindDial}):
		return KindNotSent
	case errors.Is(err, &httpc.Error{Kind: httpc.KindAnswer}):
		return KindMalformedAnswer
	}
	return KindLost
}

func refusalError(path string, answer *httpc.Answer) error {
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxRefusalBytes))
	cause := &Error{Op: string(bytes.TrimSpace(text)), Kind: Kind(answer.Status)}
	return &Error{Op: "send " + path, Kind: KindRefused, Err: cause}
}

func drain(answer *httpc.Answer) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusalBytes))
	_ = answer.Body.Close()
}

// NotSent reports whether err means that no byte of the request was sent.
func NotSent(err error) bool { return errors.Is(err, &Error{Kind: KindNotSent}) }

// Lost reports whether err is a KindLost error: the connection broke.
func Lost(err error) bool { return errors.Is(err, &Error{Kind: KindLost}) }
