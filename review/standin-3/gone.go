package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { plays["gone"] = playGone }

// playGone: an entry has been restarted as planned and is in touch again; one tenant sends more
// than its rate, and clients leave early. Requests of clients that have left must not reach a
// server more than half a second later.
func playGone(c *cluster, trouble bool) (bool, error) {
	const (
		// 7.5 times the tenant's rate of 40 requests a second, for 2 s.
		clients  = 600
		interval = 2 * time.Second / clients
		// leaving is the share of the clients that leave, half of the objective after they sent.
		leaving = 0.3
		leave   = 75 * time.Millisecond
		few     = 5
	)
	if _, err := c.startControl(3); err != nil {
		return false, err
	}
	front := c.addMachine("front-1")
	entry, err := front.start("entry", nil)
	if err != nil {
		return false, err
	}
	all := &runs{record: c.record}
	var servers []*plain
	for i := range 3 {
		s, err := c.startPlain(fmt.Sprintf("i-desk-%d", i+1), "desk", 30*time.Millisecond, all)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	config := plainConfig(3, "desk", []map[string]any{{
		"name": "filing", "host": "desk.example", "path_prefix": "/filing/", "route_type": "unsafe", "timeout_ms": 6000, "target_latency_ms": 150,
		"priority": 2, "service": "desk", "max_attempts": 1, "public": false,
	}}, []map[string]any{{
		"name": "t1", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 8000, "burst": 8000,
	}})
	if err := c.configure(config); err != nil {
		return false, err
	}
	for _, s := range servers {
		if err := s.awaitBeat(10 * time.Second); err != nil {
			return false, err
		}
	}
	if err := front.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	// The start of the deployment is past.
	time.Sleep(12 * time.Second)
	if trouble {
		entry.stop()
		if err := entry.start(); err != nil {
			return false, err
		}
		if err := front.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	// contact_window_ms after its start, the machine is in touch.
	time.Sleep(3500 * time.Millisecond)
	var group sync.WaitGroup
	var mutex sync.Mutex
	leftAt := map[string]time.Time{}
	for i := range clients {
		time.Sleep(interval)
		group.Add(1)
		go func() {
			defer group.Done()
			q := &request{id: newID(), method: http.MethodPost, target: fmt.Sprintf("/filing/%d", i), host: "desk.example", key: "i9n73hh2b9wu3fexd9dn", deadline: 6 * time.Second, body: fmt.Sprintf("filing %d", i)}
			leaves, patience := trouble && i%10 < leaving*10, time.Duration(0)
			if leaves {
				patience = leave
			}
			c.record.write("client sends %s: POST %s", q.id, q.target)
			got, left := q.send(front.address(portCallers), patience)
			if leaves && !left.IsZero() {
				c.record.write("client of %s leaves without an answer", q.id)
				mutex.Lock()
				leftAt[q.id] = left
				mutex.Unlock()
				return
			}
			c.record.write("client of %s gets %d %q %v", q.id, got.status, got.body, got.err)
		}()
	}
	group.Wait()
	time.Sleep(6 * time.Second)
	late := 0
	for _, x := range all.all() {
		left, ok := leftAt[x.id]
		if !ok || x.at.Sub(left) <= 500*time.Millisecond {
			continue
		}
		late++
		c.record.write("%s reached %s %.0f ms after its client had closed its connection", x.id, x.server, float64(x.at.Sub(left).Microseconds())/1000)
	}
	c.record.write("%d clients left, %d of their requests reached a server over half a second later", len(leftAt), late)
	return late > few, nil
}
