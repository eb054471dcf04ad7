package model

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/julienschmidt/httprouter"
)

// residentAdapter is an adapter version that occupies an adapter slot. Running counts its
// requests.
type residentAdapter struct {
	adapter, version string
	loading          bool
	running          int
}

// order is the body of a load or unload order.
type order struct {
	Adapter string `json:"lora_name"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// adapterKey returns the key of an adapter version in Engine.adapters.
func adapterKey(adapter, version string) string { return adapter + "@" + version }

// recordRequest wraps a handler to keep a copy of each request, see Received.
func (e *Engine) recordRequest(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		e.mutex.Lock()
		e.received = append(e.received, Received{Path: r.URL.Path, Header: r.Header.Clone(), Body: string(body), At: time.Now()})
		e.mutex.Unlock()
		next(w, r, p)
	}
}

func readOrder(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Adapter == "" {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return o, false
	}
	return o, true
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	slot, status := e.beginLoad(o)
	if slot == nil {
		http.Error(w, http.StatusText(status), status)
		return
	}
	var err error
	if e.Store != nil {
		err = e.Store.Load(r.Context(), e.Name, o.Adapter, o.Version)
	}
	failed := err != nil || (e.FailLoad != nil && e.FailLoad(o.Adapter, o.Version))
	e.endLoad(slot, failed)
	if failed {
		http.Error(w, "load failed", http.StatusServiceUnavailable)
	}
}

// beginLoad reserves an adapter slot. It returns nil and the HTTP status of the refusal when
// the order is outdated, the adapter is loaded already or all slots are occupied.
func (e *Engine) beginLoad(o order) (*residentAdapter, int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if status := e.checkFence(o.Fence); status != 0 {
		return nil, status
	}
	if present := e.adapters[adapterKey(o.Adapter, o.Version)]; present != nil {
		return nil, http.StatusConflict
	}
	if len(e.adapters) >= e.AdapterSlots {
		e.addViolation("load of %s, but all %d adapter slots are occupied", o.Adapter, e.AdapterSlots)
		return nil, http.StatusInsufficientStorage
	}
	if e.adapters == nil {
		e.adapters = map[string]*residentAdapter{}
	}
	slot := &residentAdapter{adapter: o.Adapter, version: o.Version, loading: true}
	e.adapters[adapterKey(o.Adapter, o.Version)] = slot
	return slot, 0
}

// endLoad marks a load as complete, or frees its slot when it failed.
func (e *Engine) endLoad(slot *residentAdapter, failed bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	slot.loading = false
	if failed && e.adapters[adapterKey(slot.adapter, slot.version)] == slot {
		delete(e.adapters, adapterKey(slot.adapter, slot.version))
	}
}

// checkFence records the fencing number of an order. It returns the HTTP status of the
// refusal when the number is older than the last one, or 0. An unfenced engine accepts all.
func (e *Engine) checkFence(fence uint64) int {
	if !e.EnforcesFencing {
		return 0
	}
	if fence < e.lastFence {
		return http.StatusPreconditionFailed
	}
	e.lastFence = fence
	return 0
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if status := e.checkFence(o.Fence); status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	slot := e.adapters[adapterKey(o.Adapter, o.Version)]
	if slot == nil {
		http.Error(w, "not loaded", http.StatusNotFound)
		return
	}
	if slot.running > 0 {
		e.addViolation("unload of %s, which is in use", adapterKey(o.Adapter, o.Version))
	}
	delete(e.adapters, adapterKey(o.Adapter, o.Version))
}

// modelEntry is one entry in the list of loaded adapters.
type modelEntry struct {
	Adapter string `json:"id"`
	Version string `json:"version"`
	Running int    `json:"running"`
}

// serveModels serves GET /v1/models.
func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mutex.Lock()
	list := []modelEntry{}
	for _, slot := range e.adapters {
		if !slot.loading {
			list = append(list, modelEntry{Adapter: slot.adapter, Version: slot.version, Running: slot.running})
		}
	}
	boot := e.boot
	e.mutex.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Adapter < list[j].Adapter })
	writeJSON(w, map[string]any{"data": list, "boot": boot})
}

// setRole serves POST /role.
func (e *Engine) setRole(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body struct {
		Role  string `json:"role"`
		Fence uint64 `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if status := e.checkFence(body.Fence); status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	e.role = body.Role
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
