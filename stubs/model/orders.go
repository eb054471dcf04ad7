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

// resident is an adapter version in a slot.
type resident struct {
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

func identity(adapter, version string) string { return adapter + "@" + version }

// record keeps a copy of each request before it is handled.
func (e *Engine) record(next httprouter.Handle) httprouter.Handle {
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

// beginLoad takes a slot. It returns nil and the status to answer when the
// adapter is loaded already or cannot be.
func (e *Engine) beginLoad(o order) (*resident, int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if status := e.checkFence(o.Fence); status != 0 {
		return nil, status
	}
	if held := e.resident[identity(o.Adapter, o.Version)]; held != nil {
		return nil, http.StatusConflict
	}
	if len(e.resident) >= e.AdapterSlots {
		e.fault("load of %s beyond %d slots", o.Adapter, e.AdapterSlots)
		return nil, http.StatusInsufficientStorage
	}
	if e.resident == nil {
		e.resident = map[string]*resident{}
	}
	slot := &resident{adapter: o.Adapter, version: o.Version, loading: true}
	e.resident[identity(o.Adapter, o.Version)] = slot
	return slot, 0
}

func (e *Engine) endLoad(slot *resident, failed bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	slot.loading = false
	if failed && e.resident[identity(slot.adapter, slot.version)] == slot {
		delete(e.resident, identity(slot.adapter, slot.version))
	}
}

// checkFence returns the status of a refusal, or 0. Only a fenced engine
// refuses.
func (e *Engine) checkFence(fence uint64) int {
	if !e.Fenced {
		return 0
	}
	if fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = fence
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
	slot := e.resident[identity(o.Adapter, o.Version)]
	if slot == nil {
		http.Error(w, "not loaded", http.StatusNotFound)
		return
	}
	if slot.running > 0 {
		e.fault("unload of %s in use", identity(o.Adapter, o.Version))
	}
	delete(e.resident, identity(o.Adapter, o.Version))
}

// model is one line of the list of models.
type listed struct {
	Adapter string `json:"id"`
	Version string `json:"version"`
	Running int    `json:"running"`
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mutex.Lock()
	list := []listed{}
	for _, slot := range e.resident {
		if !slot.loading {
			list = append(list, listed{Adapter: slot.adapter, Version: slot.version, Running: slot.running})
		}
	}
	boot := e.boot
	e.mutex.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Adapter < list[j].Adapter })
	writeJSON(w, map[string]any{"data": list, "boot": boot})
}

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
