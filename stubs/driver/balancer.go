package driver

import (
	"context"
	"net/http"
	"time"
)

const (
	// healthInterval is the time between two rounds of health checks, and healthTimeout
	// limits one check.
	healthInterval = time.Second
	healthTimeout  = time.Second
	healthPath     = "/healthz/ready"
)

// checkHealth checks the entries' health periodically until ctx ends, as the platform's load
// balancer does.
func (w *Workload) checkHealth(ctx context.Context) {
	for {
		for _, entry := range w.Entries {
			healthy := w.isHealthy(ctx, entry)
			w.mutex.Lock()
			w.unhealthy[entry] = !healthy
			w.mutex.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(healthInterval):
		}
	}
}

// isHealthy reports whether an entry's readiness check succeeds.
func (w *Workload) isHealthy(ctx context.Context, entry string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+healthPath, nil)
	if err != nil {
		return false
	}
	reply, err := w.Client.Do(request)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// nextEntry picks an entry round-robin among the healthy ones, or among all entries when none
// is healthy.
func (w *Workload) nextEntry() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for range w.Entries {
		w.lastEntry++
		if entry := w.Entries[w.lastEntry%len(w.Entries)]; !w.unhealthy[entry] {
			return entry
		}
	}
	return w.Entries[w.lastEntry%len(w.Entries)]
}
