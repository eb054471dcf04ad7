package main

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// streams is the number of streams of the case, spoiledAt the event of one of them that its
// worker hands out with wrong bytes.
const (
	streams   = 120
	spoiledAt = 10
)

var pieceLine = regexp.MustCompile(`(?m)^data: ([0-9a-f]{16}) piece (\d+)$`)

// spoiledEvent has one worker of two spoil the id line of one event in one of its streams. The
// route is resumable.
func spoiledEvent(r *record, trouble bool) int {
	d, err := newDeployment(r)
	if err != nil {
		r.line("%v", err)
		return cannot
	}
	defer d.close()
	if err := d.startAll(2, 0); err != nil {
		r.line("%v", err)
		return cannot
	}
	if !d.warmUp() {
		r.line("no stream was served before the test")
		return cannot
	}
	var left atomic.Int64
	left.Store(20)
	d.workers[0].serveRun = func(w http.ResponseWriter, q *http.Request, _ []byte) bool {
		if !trouble || q.Header.Get("Last-Event-Id") != "" || left.Add(-1) != 0 {
			return false
		}
		r.line("worker %s: spoils event %d of %s", d.workers[0].name, spoiledAt, q.Header.Get("X-Request-Id"))
		streamEvents(q.Context(), w, q, spoiledAt)
		return true
	}
	var wait sync.WaitGroup
	var failures atomic.Int64
	complete := atomic.Int64{}
	for i := range streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := d.askStream(d.fronts[i%3], fmt.Sprintf("m/a%d", i%6+1))
			r.line("client: %s got %d, %d bytes, error %v, pieces %v", a.id, a.status, len(a.body), a.err, pieces(a))
			if a.status == http.StatusOK && a.err == nil {
				complete.Add(1)
			}
			if fault := checkOrder(a); fault != "" {
				r.line("ORDER broken: %s: %s", a.id, fault)
				failures.Add(1)
			}
		}()
		time.Sleep(40 * time.Millisecond)
	}
	wait.Wait()
	r.line("%d streams, %d complete, %d broke ORDER", streams, complete.Load(), failures.Load())
	switch {
	case complete.Load() < streams/2 || trouble && left.Load() > 0:
		return cannot
	case failures.Load() > 0:
		return broken
	}
	return held
}

func (d *deployment) askStream(front, model string) answer {
	return d.ask(front, http.MethodPost, "/history/x", keyRich, []byte("prompt"), map[string]string{
		"X-Model": model, "X-Token-Counts": "100,60", "X-Prefix-Hash": newID() + ":100",
	})
}

// warmUp waits until each front machine serves streams on each adapter.
func (d *deployment) warmUp() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		served := 0
		for _, front := range d.fronts {
			for i := range 6 {
				if a := d.askStream(front, fmt.Sprintf("m/a%d", i+1)); a.status == http.StatusOK && a.err == nil {
					served++
				}
			}
		}
		if served == 6*len(d.fronts) {
			return true
		}
	}
	return false
}

// pieces returns the numbers of the pieces that a client got, in order.
func pieces(a answer) []int {
	var numbers []int
	for _, match := range pieceLine.FindAllSubmatch(a.body, -1) {
		number, _ := strconv.Atoi(string(match[2]))
		numbers = append(numbers, number)
	}
	return numbers
}

// checkOrder returns how the stream that a client got breaks ORDER. A stream that is broken off
// may lack pieces at its end only.
func checkOrder(a answer) string {
	if a.status != http.StatusOK {
		return ""
	}
	got := pieces(a)
	for i, number := range got {
		if number != i+1 {
			return fmt.Sprintf("piece %d comes where %d is due", number, i+1)
		}
	}
	if a.err == nil && len(got) < lastEvent {
		return fmt.Sprintf("ends as complete after %d of %d pieces", len(got), lastEvent)
	}
	return ""
}
