package driver

import (
	"context"
	"net/http"
	"time"
)

const (
	// healthInterval is the time between two checks of an entry by the
	// platform's balancer, healthLimit how long one may take.
	healthInterval = time.Second
	healthTimeout  = time.Second
	healthPath     = "/healthz/ready"
)

// checkHealth checks the entries' health until ctx ends, as the platform's
// balancer does.
func (c *Workload) checkHealth(ctx context.Context) {
	for {
		for _, entry := range c.Entries {
			healthy := c.isHealthy(ctx, entry)
			c.mutex.Lock()
			c.unhealthy[entry] = !healthy
			c.mutex.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(healthInterval):
		}
	}
}

func (c *Workload) isHealthy(ctx context.Context, entry string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+healthPath, nil)
	if err != nil {
		return false
	}
	reply, err := c.Client.Do(request)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// nextEntry returns the next healthy nextEntry, or the next one when none is.
func (c *Workload) nextEntry() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for range c.Entries {
		c.lastEntry++
		if entry := c.Entries[c.lastEntry%len(c.Entries)]; !c.unhealthy[entry] {
			return entry
		}
	}
	return c.Entries[c.lastEntry%len(c.Entries)]
}
