package main

import (
	"net/http"
	"time"
)

func init() { plays["path"] = playPath }

// playPath: a client's path begins with two slashes, on a host with a route for "/".
func playPath(c *cluster, trouble bool) (bool, error) {
	if _, err := c.startControl(3); err != nil {
		return false, err
	}
	front := c.addMachine("front-1")
	if _, err := front.start("entry", nil); err != nil {
		return false, err
	}
	all := &runs{record: c.record}
	s, err := c.startPlain("i-desk-1", "desk", 5*time.Millisecond, all)
	if err != nil {
		return false, err
	}
	config := plainConfig(3, "desk", []map[string]any{{
		"name": "filing", "host": "desk.example", "path_prefix": "/", "route_type": "unsafe", "timeout_ms": 2000, "target_latency_ms": 150,
		"priority": 2, "service": "desk", "max_attempts": 1, "public": false,
	}}, []map[string]any{{
		"name": "t1", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 20000, "burst": 20000,
	}})
	if err := c.configure(config); err != nil {
		return false, err
	}
	if err := s.awaitBeat(10 * time.Second); err != nil {
		return false, err
	}
	if err := front.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond)
	broken := false
	for _, target := range []string{"/draft/file", "//draft/file", "//file", "//draft//file?x=1"} {
		if !trouble {
			for len(target) > 1 && target[1] == '/' {
				target = target[1:]
			}
		}
		q := &request{id: newID(), method: http.MethodPost, target: target, host: "desk.example", key: "i9n73hh2b9wu3fexd9dn", deadline: 2 * time.Second, body: "x"}
		c.record.write("client sends %s: POST %s", q.id, target)
		got, _ := q.send(front.address(portCallers), 0)
		c.record.write("client of %s gets %d %q %v", q.id, got.status, got.body, got.err)
		for _, x := range all.all() {
			if x.id != q.id {
				continue
			}
			ran := x.path
			if x.query != "" {
				ran += "?" + x.query
			}
			if ran != target {
				c.record.write("%s ran with the path %s (host %s) in place of %s", q.id, ran, x.host, target)
				broken = true
			}
		}
	}
	return broken, nil
}
