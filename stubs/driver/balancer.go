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
	healthLimit    = time.Second
	healthPath     = "/healthz/ready"
)

// balance checks the entries' health until ctx ends, as the platform's
// balancer does.
func (c *Workload) balance(ctx context.Context) {
	for {
		for _, entry := range c.Entries {
			healthy := c.healthy(ctx, entry)
			c.mutex.Lock()
			c.red[entry] = !healthy
			c.mutex.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(healthInterval):
		}
	}
}

func (c *Workload) healthy(ctx context.Context, entry string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthLimit)
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

// entry returns the next healthy entry, or the next one when none is.
func (c *Workload) entry() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for range c.Entries {
		c.turn++
		if entry := c.Entries[c.turn%len(c.Entries)]; !c.red[entry] {
			return entry
		}
	}
	return c.Entries[c.turn%len(c.Entries)]
}
