package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// downTime is how long all processes are down in the final fault, recoverTime recover_s.
	downTime    = 1400 * time.Millisecond
	recoverTime = 12 * time.Second
)

// otherWriter ends with the final fault in which all processes are killed. After it, another writer sends one entry for
// the address of each worker, with a service that the configuration doesn't name. Without the trouble, it sends none.
func otherWriter(r *record, trouble bool) int {
	d, err := newDeployment(r)
	if err != nil {
		return cannot
	}
	defer d.close()
	if err := d.startAll(0, 3); err != nil {
		r.line("%v", err)
		return cannot
	}
	ask := func(n int) (served int) {
		for i := range n {
			a := d.ask(d.fronts[i%3], http.MethodGet, "/lookup/x", keyRich, nil, map[string]string{"X-Deadline-Ms": "1500"})
			r.line("client: %s got %d %s, error %v", a.id, a.status, short(a.body), a.err)
			if a.status == http.StatusOK && a.err == nil {
				served++
			}
			time.Sleep(50 * time.Millisecond)
		}
		return served
	}
	for end := time.Now().Add(15 * time.Second); ask(3) < 3; {
		if time.Now().After(end) {
			return cannot
		}
	}
	before := ask(40)
	for _, ip := range d.fronts {
		d.signal(ip, "ctrl", syscall.SIGKILL)
		d.signal(ip, "entry", syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, ip := range d.fronts {
		if d.start(ip, "ctrl", false) != nil || d.start(ip, "entry", false) != nil {
			return cannot
		}
	}
	back := time.Now()
	for i, w := range d.workers {
		if !trouble {
			break
		}
		body, _ := json.Marshal(map[string]any{"service": "other-service", "address": w.address, "zone": zone, "version": "v1", "slots": 6,
			"state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
		for range 100 {
			status, text := call(http.MethodPut, d.control(), fmt.Sprintf("/tanagerspindle/instances/x-%d", i), body)
			r.line("other writer: %s: %d %s", body, status, short(text))
			if status != 0 && status < 500 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(back.Add(recoverTime)))
	after := ask(80)
	for _, w := range d.workers {
		w.mutex.Lock()
		r.line("worker %s: %d heartbeats sent, %d acknowledged, the last one %v", w.name, w.sequence, w.acked, w.lastAcked)
		w.mutex.Unlock()
	}
	r.line("served %d of 40 before the final fault, %d of 80 later than %v after it", before, after, recoverTime)
	switch {
	case before < 10:
		return cannot
	case after < 20:
		return broken
	}
	return held
}
