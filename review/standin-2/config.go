package main

import (
	"encoding/json"
	"fmt"
)

// configuration returns a configuration with a number of routes, as the page describes it.
func configuration(version, routes, timeout int) []byte {
	list := make([]map[string]any, 0, routes)
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%06x", i*7919), "host": "site.example", "path_prefix": fmt.Sprintf("/p%06x/", i*7919), "route_type": "safe",
			"timeout_ms": timeout, "target_latency_ms": 150, "priority": 2, "service": "registry", "max_attempts": 2,
			"public": false, "sticky": false, "resumable": false, "gap_aim_ms": 0,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": "registry", "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{
			"name": "tenant-1", "api_keys": []string{"i9n73hh2b9wu3fexd9dn"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200,
			"rate_per_s": 82617, "burst": 82617,
		}},
	})
	if err != nil {
		panic(err)
	}
	return text
}
