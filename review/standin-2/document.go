package main

import "encoding/json"

// tenant is a tenant of a configuration.
type tenant struct {
	name  string
	keys  []string
	rate  int
	burst int
}

// document is a small configuration.
type document struct {
	version  int
	routes   []map[string]any
	services []string
	tenants  []tenant
	// withoutTenants leaves the field tenants out.
	withoutTenants bool
}

// route returns a route of a plain service.
func route(name, prefix, kind, service string, attempts, timeout int) map[string]any {
	return map[string]any{
		"name": name, "host": "site.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": 150,
		"priority": 2, "service": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false, "gap_aim_ms": 0,
	}
}

func (d *document) text() []byte {
	var services []map[string]any
	for _, name := range d.services {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false})
	}
	fields := map[string]any{
		"version": d.version, "routes": d.routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if !d.withoutTenants {
		var tenants []map[string]any
		for _, t := range d.tenants {
			tenants = append(tenants, map[string]any{
				"name": t.name, "api_keys": t.keys, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": t.rate, "burst": t.burst,
			})
		}
		fields["tenants"] = tenants
	}
	text, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return text
}
