package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// crashAfter is the number of events that a worker makes of the request that crashes it, backAfter the time
	// after which it starts again.
	crashAfter = 2
	backAfter  = 2 * time.Second
	// poisonPause is the time between two sendings of the request, poisonTime how long its client goes on.
	poisonPause = 1500 * time.Millisecond
	poisonTime  = 60 * time.Second
	// contactWindow is contact_window_ms, lateRetries the number of late retries that BUDGET allows.
	contactWindow = 3 * time.Second
	lateRetries   = 3
)

// crash ends the worker and starts it again, under another id and without adapters.
func (w *worker) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	select {
	case <-w.done:
		return
	default:
	}
	close(w.done)
	_ = w.server.Close()
	w.d.record.line("worker %s (%s): crashes", w.name, w.id)
	time.AfterFunc(backAfter, func() {
		w.mutex.Lock()
		w.id, w.born, w.sequence, w.orders = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), 0, 0
		w.adapters, w.coming, w.done = map[string]int64{}, map[string]time.Time{}, make(chan struct{})
		w.mutex.Unlock()
		if err := w.start(); err != nil {
			w.d.record.line("worker %s: cannot start again: %v", w.name, err)
		}
	})
}

// crashingStream has a client send a request that crashes each worker that runs it, after its first events, and
// send it again and again with the same path, key and body. Without the trouble, the workers serve it.
func crashingStream(r *record, trouble bool) int {
	d, err := newDeployment(r)
	if err != nil {
		return cannot
	}
	defer d.close()
	if err := d.startAll(4, 0); err != nil {
		r.line("%v", err)
		return cannot
	}
	if !d.warmUp() {
		return cannot
	}
	type arrival struct {
		id string
		at time.Time
	}
	var mutex sync.Mutex
	var arrivals []arrival
	crashes := []time.Time{}
	for _, w := range d.workers {
		w.serveRun = func(rw http.ResponseWriter, q *http.Request, _ []byte) bool {
			if q.URL.Path != "/note/poison" {
				return false
			}
			id := q.Header.Get("X-Request-Id")
			mutex.Lock()
			arrivals = append(arrivals, arrival{id, time.Now()})
			mutex.Unlock()
			if !trouble {
				return false
			}
			rw.Header().Set("Content-Type", "text/event-stream")
			for number := 1; number <= crashAfter; number++ {
				_, _ = fmt.Fprint(rw, event(id, number))
				_ = http.NewResponseController(rw).Flush()
				time.Sleep(25 * time.Millisecond)
			}
			mutex.Lock()
			crashes = append(crashes, time.Now())
			mutex.Unlock()
			w.crash()
			panic(http.ErrAbortHandler)
		}
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	sound, served := 0, 0
	for i := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				a := d.askStream(d.fronts[i%3], fmt.Sprintf("m/a%d", i+1))
				mutex.Lock()
				sound++
				if a.status == http.StatusOK && a.err == nil {
					served++
				} else {
					r.line("client: sound stream %s got %d, error %v, %d pieces", a.id, a.status, a.err, len(pieces(a)))
				}
				mutex.Unlock()
			}
		}()
	}
	prefix := newID() + ":90," + newID() + ":10"
	for end, i := time.Now().Add(poisonTime), 0; time.Now().Before(end); i++ {
		a := d.ask(d.fronts[i%3], http.MethodPost, "/note/poison", keyRich, []byte("poison"), map[string]string{
			"X-Model": "m/a1", "X-Token-Counts": "100,60", "X-Prefix-Hash": prefix,
		})
		r.line("client: crashing request %s got %d %s, error %v", a.id, a.status, short(a.body), a.err)
		time.Sleep(poisonPause)
	}
	close(stop)
	wait.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, a := range arrivals {
			if a.at.After(crashes[2].Add(contactWindow)) {
				late++
			}
		}
	}
	r.line("%d sound streams, %d served; the crashing request reached workers %d times and crashed them %d times", sound, served, len(arrivals), len(crashes))
	r.line("it reached workers %d times later than %v after its third crash; BUDGET allows %d", late, contactWindow, lateRetries)
	switch {
	case len(arrivals) == 0 || served == 0:
		return cannot
	case late > lateRetries:
		return broken
	}
	return held
}
