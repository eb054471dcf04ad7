package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineModel = "daka51"
	// adapterLoad and modelLoad are the times of a load, modelWarm that of a model that the
	// machine has on its disk.
	adapterLoad = 250 * time.Millisecond
	modelWarm   = 570 * time.Millisecond
)

// engine is a sound model server. It checks an order's X-Expect-Instance and expected when it
// carries the order out.
type engine struct {
	cluster *cluster
	machine *machine
	service string
	runs    *runs
	slots   int
	// weightsMB is the memory for weights and adapters, of which the model takes modelMB and each
	// adapter adapterMB.
	weightsMB, modelMB, adapterMB float64
	// crashes reports whether a request crashes the server that runs it; nil means that none does.
	// The server is then down for downTime and starts again under another id.
	crashes  func(body string) bool
	downTime time.Duration
	// events is how many events a stream has, one each gap.
	events int
	gap    time.Duration
	// late returns how much later than now an order is carried out and left unanswered, 0 for
	// a sound order.
	late func(o *order) time.Duration

	mutex    sync.Mutex
	name, id string
	born     int64
	listener net.Listener
	server   *http.Server
	up       bool
	sequence uint64
	beatSeq  uint64
	model    bool
	loading  bool
	// adapters are those that are held, true once they are loaded.
	adapters map[string]bool
	// incarnation counts the starts.
	incarnation int
	// causes are the requests that crashed the server, by their bodies.
	causes    []cause
	overLimit []string
	beats     int
}

// cause is a crash and the body of the request that caused it.
type cause struct {
	body string
	at   time.Time
}

// order is the body of an order.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Version   int64  `json:"version"`
	Expected  uint64 `json:"expected"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fence"`
}

// startEngine starts a model server that holds its base model.
func (c *cluster) startEngine(m *machine, id, service string, slots int, all *runs) (*engine, error) {
	e := &engine{cluster: c, machine: m, service: service, slots: slots, weightsMB: 66600, modelMB: 65100, adapterMB: 12, events: 3, gap: 20 * time.Millisecond, runs: all, name: id, id: id}
	if err := e.boot(true); err != nil {
		return nil, err
	}
	go e.beat()
	return e, nil
}

// boot starts an incarnation.
func (e *engine) boot(holdsModel bool) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	listener, err := net.Listen("tcp", e.machine.address(portEndpoint))
	if err != nil {
		return err
	}
	e.incarnation++
	e.born, e.sequence, e.beatSeq, e.model, e.loading, e.adapters, e.up = time.Now().UnixMilli(), 0, 0, holdsModel, false, map[string]bool{}, true
	e.listener, e.server = listener, &http.Server{Handler: e}
	e.cluster.record.write("server %s starts, born %d", e.id, e.born)
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server)
	return nil
}

// crash ends the incarnation.
func (e *engine) crash(reason string) {
	e.mutex.Lock()
	server := e.server
	e.up = false
	e.mutex.Unlock()
	e.cluster.record.write("server %s crashes: %s", e.id, reason)
	_ = server.Close()
}

// ServeHTTP answers reports, orders and requests.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/tanagerspindle/report":
		e.mutex.Lock()
		text, _ := json.Marshal(e.state())
		e.mutex.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	case "/tanagerspindle/order":
		o := &order{}
		if json.NewDecoder(r.Body).Decode(o) != nil || o.Holder == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		expect := r.Header.Get("X-Expect-Instance")
		if e.late != nil {
			if delay := e.late(o); delay > 0 {
				e.cluster.record.write("order %+v (for %q) is left unanswered and carried out %v later", *o, expect, delay)
				time.AfterFunc(delay, func() {
					status := e.carryOut(o, expect)
					e.cluster.record.write("late order %+v: %d", *o, status)
				})
				<-r.Context().Done()
				return
			}
		}
		w.WriteHeader(e.carryOut(o, expect))
	default:
		e.serve(w, r)
	}
}

// state describes the server; the mutex is held.
func (e *engine) state() map[string]any {
	models, coming := []map[string]any{}, []string{}
	if e.model {
		held := []string{}
		for name, loaded := range e.adapters {
			if loaded {
				held = append(held, name+"@1")
			} else {
				coming = append(coming, engineModel+"/"+name+"@1")
			}
		}
		slices.Sort(held)
		models = append(models, map[string]any{"name": engineModel, "version": 1, "adapters": held})
	}
	return map[string]any{
		"stage": "colocated", "models": models, "coming": coming, "busy": e.loading, "sequence": e.sequence, "queued": 0, "running": 0, "kv_used": 0,
		"kv_total": 142340, "handles": 0, "state": "ready", "runs": []any{}, "born": e.born, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": []string{engineModel}},
	}
}

// carryOut carries an order out and returns the status of its answer.
func (e *engine) carryOut(o *order, expect string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	status := e.apply(o, expect)
	e.cluster.record.write("order %s %s/%s, expected %d, for %q: %d; sequence %d, %d adapters", o.Operation, o.Model, o.Adapter, o.Expected, expect, status, e.sequence, len(e.adapters))
	return status
}

func (e *engine) apply(o *order, expect string) int {
	switch {
	case !e.up:
		return http.StatusBadGateway
	case expect != "" && expect != e.id:
		return http.StatusMisdirectedRequest
	case o.Expected != e.sequence || e.loading:
		return http.StatusConflict
	}
	incarnation := e.incarnation
	after := func(delay time.Duration, do func()) {
		time.AfterFunc(delay, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			if e.incarnation == incarnation && e.up {
				do()
			}
		})
	}
	if o.Adapter == "" {
		if o.Operation != "load" || e.model {
			return http.StatusOK
		}
		e.sequence++
		e.loading = true
		after(modelWarm, func() { e.loading, e.model = false, true })
		return http.StatusAccepted
	}
	if !e.model {
		return http.StatusMisdirectedRequest
	}
	_, held := e.adapters[o.Adapter]
	if o.Operation == "unload" {
		if !held {
			return http.StatusOK
		}
		e.sequence++
		delete(e.adapters, o.Adapter)
		return http.StatusOK
	}
	if held {
		return http.StatusOK
	}
	e.sequence++
	e.adapters[o.Adapter] = false
	if weights := e.modelMB + float64(len(e.adapters))*e.adapterMB; len(e.adapters) > e.slots || weights > e.weightsMB {
		e.overLimit = append(e.overLimit, o.Adapter)
		e.cluster.record.write("server %s is ordered to load %s: %d adapters for %d slots, weights of %.0f MB for %.0f MB", e.id, o.Adapter, len(e.adapters), e.slots, weights, e.weightsMB)
		go e.crash("it is ordered to load more than it holds")
		return http.StatusAccepted
	}
	name := o.Adapter
	after(adapterLoad, func() {
		if _, held := e.adapters[name]; held {
			e.adapters[name] = true
		}
	})
	return http.StatusAccepted
}

// serve runs a request: a stream of three events.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id, expect := r.Header.Get("X-Request-Id"), r.Header.Get("X-Expect-Instance")
	_, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", e.id)
	body, _ := io.ReadAll(r.Body)
	e.mutex.Lock()
	present, incarnation := e.model && (adapter == "" || e.adapters[adapter]), e.incarnation
	e.mutex.Unlock()
	if expect != "" && expect != e.id || !present {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.runs.add(run{
		id: id, server: e.id, method: r.Method, target: r.RequestURI, path: r.URL.EscapedPath(), host: r.Host, tenant: r.Header.Get("X-Tenant"), body: string(body), at: time.Now(),
	})
	w.Header().Set("X-Response-Seal", "seal-"+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	crashing := e.crashes != nil && e.crashes(string(body))
	for i := first; i <= e.events; i++ {
		select {
		case <-time.After(e.gap):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if crashing && i == first+crashAfter {
			e.crashOnce(incarnation, id, string(body))
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		_ = http.NewResponseController(w).Flush()
	}
}

// crashAfter is how many events a server makes of a request that crashes it.
const crashAfter = 10

// crashOnce crashes an incarnation, unless it has crashed, and starts the next one later.
func (e *engine) crashOnce(incarnation int, id, body string) {
	e.mutex.Lock()
	current := e.up && e.incarnation == incarnation
	if current {
		e.up = false
		e.causes = append(e.causes, cause{body: body, at: time.Now()})
	}
	server := e.server
	e.mutex.Unlock()
	if !current {
		return
	}
	e.cluster.record.write("server %s crashes by request %s (%s)", e.id, id, body)
	_ = server.Close()
	go func() {
		time.Sleep(e.downTime)
		e.mutex.Lock()
		e.id = fmt.Sprintf("%s-%d", e.name, e.incarnation+1)
		e.mutex.Unlock()
		if err := e.boot(false); err != nil {
			e.cluster.record.write("server %s does not start: %v", e.id, err)
		}
	}()
}

// beat announces the server while it is up.
func (e *engine) beat() {
	for {
		e.mutex.Lock()
		body := e.state()
		up, id := e.up, e.id
		e.beatSeq++
		body["service"], body["address"], body["zone"], body["version"] = e.service, e.machine.address(portEndpoint), "rajkot", "v1"
		body["slots"], body["cold_left_ms"], body["sequence"] = 64, 0, e.beatSeq
		e.mutex.Unlock()
		if up {
			if status, _, err := e.cluster.call(http.MethodPut, "/tanagerspindle/instances/"+id, body, time.Second); err == nil && status < 300 {
				e.mutex.Lock()
				e.beats++
				e.mutex.Unlock()
			}
		}
		time.Sleep(600 * time.Millisecond)
	}
}

// engineConfig is a configuration with one model service whose adapters have a size.
func engineConfig(version int, service string, adapterSlots int, adapterMB float64) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "notes", "host": "notes.example", "path_prefix": "/notes/", "route_type": "streaming", "timeout_ms": 8000, "target_latency_ms": 1000,
			"priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 250,
		}, {
			"name": "history", "host": "notes.example", "path_prefix": "/history/", "route_type": "streaming", "timeout_ms": 25000, "target_latency_ms": 1000,
			"priority": 1, "service": service, "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 250,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 142340, "kv_token_bytes": 327680, "link_mbps": 180000.0, "moves": true, "backups": true, "stride": 3,
				"max_count": 12, "host_mb": 150000.0, "disk_mb": 430000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models":     []map[string]any{{"name": engineModel, "weights_mb": 65100.0, "load_s": 2.9, "adapters": 3000, "adapter_mb": adapterMB, "warm_s": 0.57, "disk_s": 1.2}},
				"weights_mb": 66600.0, "adapter_slots": adapterSlots, "loads_per_s": 2.2,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{
			"name": "t1", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 82617, "burst": 82617,
		}},
	}
}
