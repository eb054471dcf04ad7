package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a sound worker by PROTOCOL.md: a model engine (with a model) or a plain worker.
type worker struct {
	d                          *deployment
	id, service, address, name string
	model                      string
	born                       int64

	mutex    sync.Mutex
	sequence uint64
	orders   uint64
	state    string
	adapters map[string]int64
	coming   map[string]time.Time
	// runs counts how often each request began to work here, answers what was done with it.
	runs   map[string]int
	server *http.Server
	done   chan struct{}
	// serveRun, if set, answers a request that runs in place of the usual answer.
	serveRun func(w http.ResponseWriter, r *http.Request, body []byte) bool
	workTime time.Duration
	// acked counts the acknowledged heartbeats; lastAcked reports whether the last one was.
	acked     int
	lastAcked bool
}

func newWorker(d *deployment, id, service, ip, model string) *worker {
	return &worker{d: d, id: id, service: service, address: fmt.Sprintf("%s:%d", ip, portApp), name: ip, model: model, born: time.Now().UnixMilli(),
		state: "ready", adapters: map[string]int64{}, coming: map[string]time.Time{}, runs: map[string]int{}, done: make(chan struct{}), workTime: 5 * time.Millisecond}
}

func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/tanagerspindle/report", w.report)
	mux.HandleFunc("/tanagerspindle/order", w.order)
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat(w.done)
	return nil
}

// stop ends the worker as a crash does.
func (w *worker) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	select {
	case <-w.done:
	default:
		close(w.done)
	}
	_ = w.server.Close()
}

func (w *worker) beat(done chan struct{}) {
	for {
		w.mutex.Lock()
		w.sequence++
		body := map[string]any{"service": w.service, "address": w.address, "zone": zone, "version": "v1", "slots": 64, "state": w.state,
			"cold_left_ms": 0, "sequence": w.sequence, "born": w.born}
		if w.model != "" {
			body["stage"], body["models"] = "colocated", w.modelList()
		} else {
			body["slots"] = 6
		}
		w.mutex.Unlock()
		text, _ := json.Marshal(body)
		acknowledged := false
		for try := 0; try < 3 && !acknowledged; try++ {
			status, _ := call(http.MethodPut, w.d.control(), "/tanagerspindle/instances/"+w.id, text)
			acknowledged = status/100 == 2
		}
		w.mutex.Lock()
		if w.lastAcked = acknowledged; acknowledged {
			w.acked++
		}
		w.mutex.Unlock()
		select {
		case <-done:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// modelList lists what the worker holds; the mutex is held.
func (w *worker) modelList() []any {
	w.finishLoads()
	adapters := []string{}
	for name, version := range w.adapters {
		adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
	}
	return []any{map[string]any{"name": w.model, "version": 1, "adapters": adapters}}
}

func (w *worker) finishLoads() {
	for name, at := range w.coming {
		if time.Now().After(at) {
			delete(w.coming, name)
			w.adapters[name] = 1
		}
	}
}

func (w *worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	models := w.modelList()
	coming := []string{}
	for name := range w.coming {
		coming = append(coming, fmt.Sprintf("%s/%s@1", w.model, name))
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"stage": "colocated", "models": models, "busy": false, "sequence": w.orders, "queued": 0,
		"running": 0, "kv_used": 0, "kv_total": 142340, "handles": 0, "coming": coming, "born": w.born, "state": w.state, "runs": []any{}})
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expected                          *uint64
		Fence                             uint64
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.finishLoads()
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case expected != "" && expected != w.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
	case o.Holder == "" || o.Fence == 0:
		rw.WriteHeader(http.StatusBadRequest)
	case o.Expected != nil && *o.Expected != w.orders:
		rw.WriteHeader(http.StatusConflict)
	case o.Operation == "load" && o.Adapter != "":
		w.orders++
		w.coming[o.Adapter] = time.Now().Add(250 * time.Millisecond)
		rw.WriteHeader(http.StatusAccepted)
	case o.Operation == "unload" && o.Adapter != "":
		w.orders++
		delete(w.adapters, o.Adapter)
		rw.WriteHeader(http.StatusOK)
	default:
		rw.WriteHeader(http.StatusOK)
	}
}

// ran returns how often a request began to work here.
func (w *worker) ran(id string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.runs[id]
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	rw.Header().Set("X-Instance-Id", w.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.d.record.line("worker %s: %s expects %s: 421", w.name, id, expected)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.model != "" {
		_, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
		w.mutex.Lock()
		w.finishLoads()
		version, held := w.adapters[adapter]
		w.mutex.Unlock()
		wanted := r.Header.Get("X-Expect-Version")
		if adapter != "" && (!held || wanted != "" && wanted != strconv.FormatInt(version, 10)) {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	w.mutex.Lock()
	w.runs[id]++
	run := w.runs[id]
	w.mutex.Unlock()
	w.d.record.line("worker %s: runs %s (run %d here, after event %q)", w.name, id, run, r.Header.Get("Last-Event-Id"))
	rw.Header().Set("X-Response-Seal", "seal."+id)
	if w.serveRun != nil && w.serveRun(rw, r, body) {
		return
	}
	if w.model != "" {
		streamEvents(r.Context(), rw, r, 0)
		return
	}
	time.Sleep(w.workTime)
	_, _ = fmt.Fprintf(rw, "%s %s %s", id, r.RequestURI, body)
}

// lastEvent is the number of events of each stream.
const lastEvent = 20

// event returns one event of the stream of a request.
func event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", number, id, number)
}

// streamEvents answers with the events after the one that the request names. The engine makes two
// events in a step and writes them together. The event spoiled, unless 0, is written with wrong
// bytes in its id line.
func streamEvents(ctx context.Context, rw http.ResponseWriter, r *http.Request, spoiled int) {
	id := r.Header.Get("X-Request-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	for number := after + 1; number <= lastEvent; number += 2 {
		text := ""
		for at := number; at < number+2 && at <= lastEvent; at++ {
			piece := event(id, at)
			if at == spoiled {
				piece = strings.Replace(piece, "id: ", "id: \x1f\x07", 1)
			}
			text += piece
		}
		if _, err := io.WriteString(rw, text); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
