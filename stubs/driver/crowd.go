package driver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Workload is all callers of one run.
type Workload struct {
	// Tenants are the workspaces' traffic.
	Tenants []Tenant
	// Entries are the addresses behind the balancer, used in turn.
	Entries []string
	// Client sends the requests.
	Client *http.Client
	// Seed fixes every draw.
	Seed uint64
	// Length is how long requests are sent; halfway through it popularity
	// shifts and the floods begin.
	Length time.Duration

	mutex    sync.Mutex
	requests []*Request
	turn     int
	red      map[string]bool
	start    time.Time
}

// Run sends the traffic and returns every request once the last has ended.
func (c *Workload) Run(ctx context.Context) []*Request {
	c.start = time.Now()
	c.red = map[string]bool{}
	checking, stop := context.WithCancel(ctx)
	defer stop()
	go c.balance(checking)
	var callers conc.WaitGroup
	stream := c.Seed << 20
	spawn := func(act func(*rand.Rand)) {
		stream++
		random := rand.New(rand.NewPCG(c.Seed, stream))
		callers.Go(func() { act(random) })
	}
	for index := range c.Tenants {
		tenant := &c.Tenants[index]
		for range tenant.InteractiveUsers {
			spawn(func(random *rand.Rand) { c.person(ctx, tenant, random) })
		}
		for range tenant.BatchUsers {
			spawn(func(random *rand.Rand) { c.jobs(ctx, tenant, random, 0) })
		}
		for range tenant.FloodUsers {
			spawn(func(random *rand.Rand) { c.jobs(ctx, tenant, random, c.Length/2) })
		}
		if tenant.LookupsPerSecond > 0 {
			spawn(func(random *rand.Rand) { c.lookups(ctx, tenant, random) })
		}
		if tenant.FilingsPerSecond > 0 {
			spawn(func(random *rand.Rand) { c.filings(ctx, tenant, random) })
		}
	}
	callers.Wait()
	return c.requests
}

func (c *Workload) over() bool { return time.Since(c.start) >= c.Length }

// pause waits and reports whether sending goes on.
func (c *Workload) pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
	}
	return !c.over()
}

func (c *Workload) record(request *Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests = append(c.requests, request)
}

// adapter draws an adapter; in the second half the ranks are shifted by a
// third of the list.
func (c *Workload) adapter(tenant *Tenant, ranks *popularity, random *rand.Rand) string {
	rank := ranks.draw(random)
	if time.Since(c.start) >= c.Length/2 {
		rank = (rank + len(tenant.Adapters)/3) % len(tenant.Adapters)
	}
	return tenant.Adapters[rank]
}

func (c *Workload) person(ctx context.Context, tenant *Tenant, random *rand.Rand) {
	ranks := newPopularity(len(tenant.Adapters))
	stream := random.Float64() >= oddShare
	if !c.pause(ctx, time.Duration(random.Int64N(int64(thinkTime)))) {
		return
	}
	for {
		adapter := c.adapter(tenant, ranks, random)
		request := &Request{
			Caller: CallerPerson, Workspace: tenant.Workspace, Adapter: adapter, Stream: stream,
			Prompt: prompt(random, adapter, 20+random.IntN(60)), MaxTokens: between(random, personTokens),
		}
		c.complete(ctx, tenant.InteractiveKey, request)
		if !c.pause(ctx, exponential(random, thinkTime)) {
			return
		}
	}
}

func (c *Workload) jobs(ctx context.Context, tenant *Tenant, random *rand.Rand, delay time.Duration) {
	ranks := newPopularity(len(tenant.Adapters))
	if !c.pause(ctx, delay+time.Duration(random.Int64N(int64(jobPause)))) {
		return
	}
	for {
		c.job(ctx, tenant, random, c.adapter(tenant, ranks, random))
		if !c.pause(ctx, exponential(random, jobPause)) {
			return
		}
	}
}

func (c *Workload) job(ctx context.Context, tenant *Tenant, random *rand.Rand, adapter string) {
	work := make([]*Request, 0, jobSize)
	stream := random.Float64() < oddShare
	for range jobSize {
		work = append(work, &Request{
			Caller: CallerBatch, Workspace: tenant.Workspace, Adapter: adapter, Stream: stream,
			Prompt: prompt(random, adapter, 60+random.IntN(120)), MaxTokens: between(random, batchTokens),
		})
	}
	var lanes conc.WaitGroup
	for lane := range jobWidth {
		lanes.Go(func() {
			for index := lane; index < len(work) && !c.over(); index += jobWidth {
				c.complete(ctx, tenant.BatchKey, work[index])
			}
		})
	}
	lanes.Wait()
}

func (c *Workload) lookups(ctx context.Context, tenant *Tenant, random *rand.Rand) {
	var flight conc.WaitGroup
	defer flight.Wait()
	for c.pause(ctx, exponential(random, perSecond(tenant.LookupsPerSecond))) {
		request := &Request{Caller: CallerLookup, Workspace: tenant.Workspace}
		number := random.IntN(100000)
		flight.Go(func() {
			c.call(ctx, tenant.InteractiveKey, http.MethodGet, fmt.Sprintf("/register/%d", number), request)
		})
	}
}

func (c *Workload) filings(ctx context.Context, tenant *Tenant, random *rand.Rand) {
	var flight conc.WaitGroup
	defer flight.Wait()
	for count := 0; c.pause(ctx, exponential(random, perSecond(tenant.FilingsPerSecond))); count++ {
		key := fmt.Sprintf("%s-%d-%d", tenant.Workspace, c.Seed, count)
		resend := random.Float64() < resendShare
		wait := time.Duration(random.Int64N(int64(2 * time.Second)))
		flight.Go(func() {
			request := &Request{Caller: CallerFiling, Workspace: tenant.Workspace, IdempotencyKey: key}
			c.call(ctx, tenant.InteractiveKey, http.MethodPost, "/filings", request)
		})
		if !resend {
			continue
		}
		flight.Go(func() {
			time.Sleep(wait)
			request := &Request{Caller: CallerFiling, Workspace: tenant.Workspace, IdempotencyKey: key, Resend: true}
			c.call(ctx, tenant.InteractiveKey, http.MethodPost, "/filings", request)
		})
	}
}

func perSecond(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / rate)
}
