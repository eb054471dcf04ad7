package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	keyRich = "richrichrichrichrich"
	keyPoor = "poorpoorpoorpoorpoor"
	host    = "site.example"
)

// defaultConfig is a configuration like those of the small deployments.
func defaultConfig() map[string]any {
	route := func(name, path, kind, service string, timeout, aim, attempts int, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": host, "path_prefix": path, "route_type": kind, "timeout_ms": timeout,
			"target_latency_ms": aim, "priority": 1, "service": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": 1,
		"routes": []any{
			route("history", "/history/", "streaming", "models", 15000, 1000, 2, map[string]any{"sticky": true, "resumable": true, "gap_aim_ms": 250}),
			route("note", "/note/", "streaming", "models", 15000, 1000, 1, map[string]any{"sticky": true, "gap_aim_ms": 250}),
			route("filing", "/filing/", "unsafe", "desk", 1500, 150, 2, nil),
			route("lookup", "/lookup/", "safe", "desk", 1500, 150, 2, nil),
		},
		"services": []any{
			map[string]any{"name": "models", "health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 142340, "kv_token_bytes": 327680, "link_mbps": 180000.0, "moves": true, "backups": true,
				"stride": 3, "max_count": 12, "host_mb": 150000.0, "disk_mb": 430000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models":     []any{map[string]any{"name": "m", "weights_mb": 65100.0, "load_s": 2.9, "adapters": 3000, "adapter_mb": 12.0, "warm_s": 0.57, "disk_s": 1.2}},
				"weights_mb": 66600.0, "adapter_slots": 20, "loads_per_s": 2.2}},
			map[string]any{"name": "desk", "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "rich", "api_keys": []string{keyRich}, "priority": 0, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 0, "burst": 0},
			map[string]any{"name": "poor", "api_keys": []string{keyPoor}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 0, "burst": 0},
		},
	}
}

// call makes one call to an address; the status is 0 without an answer within a second.
func call(method, address, path string, body []byte) (int, []byte) {
	return callFor(time.Second, method, address, path, body)
}

// callFor is call with another limit of time.
func callFor(limit time.Duration, method, address, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// control returns the next address of control.
func (d *deployment) control() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.next++
	return d.seeds[d.next%len(d.seeds)]
}

// putUntil sends a configuration until it is acknowledged.
func (d *deployment) putUntil(config map[string]any, limit time.Duration) bool {
	body, _ := json.Marshal(config)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		address := d.control()
		status, text := call(http.MethodPut, address, "/tanagerspindle/config", body)
		if status != 0 {
			d.record.line("operator: PUT config %v at %s: %d %s", config["version"], address, status, short(text))
		}
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

func short(text []byte) string {
	if len(text) > 120 {
		text = text[:120]
	}
	return fmt.Sprintf("%q", text)
}
