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

// worker is a worker of a plain service. It runs requests, and tells control of itself.
type worker struct {
	rig     *rig
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	born    int64

	listener net.Listener
	server   *http.Server
	stop     context.CancelFunc
	places   chan struct{}

	mutex    sync.Mutex
	sequence uint64
	runs     []begun
	beats    int
}

// begun is one request that the worker began to run.
type begun struct {
	id, tenant string
	// arrived is when the request had reached the worker, at when it began to run.
	arrived, at time.Time
}

// startWorker starts a worker at an address of its own.
func (r *rig) startWorker(number int, service string, slots int, work time.Duration) (*worker, error) {
	w := &worker{
		rig: r, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+number*0x1111), service: service, zone: fmt.Sprintf("zone-%d", 1+(number-1)%3),
		address: fmt.Sprintf("127.%d.%d.1:%d", r.network, 100+number, r.ports.app), slots: slots, work: work, born: time.Now().UnixMilli(),
		places: make(chan struct{}, slots),
	}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.listener = listener
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go w.beat(ctx)
	return w, nil
}

// beat sends a heartbeat every 1.2 s.
func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		for _, host := range w.rig.seeds() {
			if w.announce(ctx, host, "ready") {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// announce sends one heartbeat and reports whether it was acknowledged.
func (w *worker) announce(ctx context.Context, host, state string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	w.mutex.Lock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
		"cold_left_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	w.mutex.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+host+"/tanagerspindle/instances/"+w.id, strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode/100 != 2 {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.beats++
	return true
}

// ServeHTTP runs one request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		rw.Header().Set("X-Request-Id", id)
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", w.id)
		return
	}
	refuse := func(status int) {
		rw.Header().Set("X-Not-Executed", "1")
		rw.Header().Set("X-Response-Seal", "seal."+w.id+"."+id)
		rw.WriteHeader(status)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Minute)
	if millis, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(millis) * time.Millisecond)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case w.places <- struct{}{}:
	case <-time.After(time.Until(deadline)):
		refuse(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.places }()
	w.mutex.Lock()
	w.runs = append(w.runs, begun{id: id, tenant: r.Header.Get("X-Tenant"), arrived: arrived, at: time.Now()})
	w.mutex.Unlock()
	time.Sleep(w.work)
	body := "answer to " + id
	rw.Header().Set("X-Response-Seal", "seal."+w.id+"."+id)
	rw.Header().Set("Content-Type", "text/plain")
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
}

// close ends the worker.
func (w *worker) close() {
	w.stop()
	_ = w.server.Close()
}

// allRuns returns the requests that workers began to run, by id.
func allRuns(workers []*worker) map[string][]begun {
	all := map[string][]begun{}
	for _, w := range workers {
		w.mutex.Lock()
		for _, one := range w.runs {
			all[one.id] = append(all[one.id], one)
		}
		w.mutex.Unlock()
	}
	return all
}
