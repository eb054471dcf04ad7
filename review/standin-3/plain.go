package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	id, server, method, target, path, query, host, tenant, body string
	at                                                          time.Time
}

// runs are the requests that any server ran.
type runs struct {
	record *record
	// quiet leaves the runs out of the record.
	quiet bool
	mutex sync.Mutex
	list  []run
}

func (r *runs) add(x run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.list = append(r.list, x)
	if r.quiet {
		return
	}
	r.record.write("server %s runs %s: %s %s (host %s), tenant %q", x.server, x.id, x.method, x.target, x.host, x.tenant)
}

func (r *runs) all() []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]run(nil), r.list...)
}

// plain is a sound server of a plain service.
type plain struct {
	cluster *cluster
	id      string
	service string
	address string
	// work is how long a request runs. slots run at once; queue more wait, and the rest is
	// rejected.
	work         time.Duration
	slots, queue int
	runs         *runs

	server *http.Server
	// busy holds the requests that run, all those that run or wait.
	busy, all chan struct{}
	born      int64
	stop      chan struct{}
	// beats counts the heartbeats that were acknowledged.
	mutex sync.Mutex
	beats int
	seq   uint64
}

// startPlain starts a server on a machine of its own and its heartbeats.
func (c *cluster) startPlain(id, service string, work time.Duration, all *runs) (*plain, error) {
	m := c.addMachine(id)
	s := &plain{cluster: c, id: id, service: service, address: m.address(portEndpoint), work: work, slots: 6, queue: 24, runs: all, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	s.busy, s.all = make(chan struct{}, s.slots), make(chan struct{}, s.slots+s.queue)
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	go s.beat()
	return s, nil
}

// ServeHTTP runs a request.
func (s *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); id == "" || expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		status := http.StatusMisdirectedRequest
		if id == "" {
			status = http.StatusBadRequest
		}
		w.WriteHeader(status)
		return
	}
	body, _ := io.ReadAll(r.Body)
	select {
	case s.all <- struct{}{}:
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.all }()
	select {
	case s.busy <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.busy }()
	s.runs.add(run{
		id: id, server: s.id, method: r.Method, target: r.RequestURI, path: r.URL.EscapedPath(), query: r.URL.RawQuery, host: r.Host,
		tenant: r.Header.Get("X-Tenant"), body: string(body), at: time.Now(),
	})
	time.Sleep(s.work)
	w.Header().Set("X-Response-Seal", "seal-"+id)
	_, _ = fmt.Fprintf(w, "done %s", id)
}

// announce sends one announcement with a state.
func (s *plain) announce(state string) (status int, err error) {
	s.mutex.Lock()
	s.seq++
	body := map[string]any{
		"service": s.service, "address": s.address, "zone": "rajkot", "version": "v1", "slots": s.slots, "state": state, "cold_left_ms": 0,
		"sequence": s.seq, "born": s.born,
	}
	s.mutex.Unlock()
	status, _, err = s.cluster.call(http.MethodPut, "/tanagerspindle/instances/"+s.id, body, time.Second)
	return status, err
}

// beat announces the server until it stops.
func (s *plain) beat() {
	for {
		status, err := s.announce("ready")
		if err == nil && status < 300 {
			s.mutex.Lock()
			s.beats++
			s.mutex.Unlock()
		}
		select {
		case <-s.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// startAgain starts a new incarnation at the same address.
func (s *plain) startAgain(id string) (*plain, error) {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	next := &plain{cluster: s.cluster, id: id, service: s.service, address: s.address, work: s.work, runs: s.runs, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	next.slots, next.queue = s.slots, s.queue
	next.busy, next.all = make(chan struct{}, s.slots), make(chan struct{}, s.slots+s.queue)
	next.server = &http.Server{Handler: next}
	s.cluster.record.write("server %s starts, born %d", next.id, next.born)
	go func() { _ = next.server.Serve(listener) }()
	go next.beat()
	return next, nil
}

// awaitBeat waits until a heartbeat was acknowledged.
func (s *plain) awaitBeat(patience time.Duration) error {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.mutex.Lock()
		known := s.beats > 0
		s.mutex.Unlock()
		if known {
			return nil
		}
	}
	return fmt.Errorf("no heartbeat of %s was acknowledged", s.id)
}

// plainConfig is a configuration with one plain service.
func plainConfig(version int, service string, routes []map[string]any, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}
