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

// Workload simulates the callers of all workspaces in one benchmark run.
type Workload struct {
	// Tenants describes the traffic of each workspace.
	Tenants []Tenant
	// Entries are the addresses of the entries; requests are distributed round-robin.
	Entries []string
	// Client sends the requests and the health checks.
	Client *http.Client
	// Seed determines all random choices.
	Seed uint64
	// Length is how long requests are sent. At half of it the adapters' popularity shifts
	// and the flood users start.
	Length time.Duration

	mutex     sync.Mutex
	requests  []*Request
	lastEntry int
	unhealthy map[string]bool
	start     time.Time
}

// Run sends the traffic. When all requests have ended, it returns them in the order in which
// they ended.
func (w *Workload) Run(ctx context.Context) []*Request {
	w.start = time.Now()
	w.unhealthy = map[string]bool{}
	healthCtx, stop := context.WithCancel(ctx)
	defer stop()
	go w.checkHealth(healthCtx)
	var callers conc.WaitGroup
	stream := w.Seed << 20
	spawn := func(caller func(*rand.Rand)) {
		stream++
		random := rand.New(rand.NewPCG(w.Seed, stream))
		callers.Go(func() { caller(random) })
	}
	for index := range w.Tenants {
		tenant := &w.Tenants[index]
		for range tenant.InteractiveUsers {
			spawn(func(random *rand.Rand) { w.sendInteractive(ctx, tenant, random) })
		}
		for range tenant.BatchUsers {
			spawn(func(random *rand.Rand) { w.sendJobs(ctx, tenant, random, 0) })
		}
		for range tenant.FloodUsers {
			spawn(func(random *rand.Rand) { w.sendJobs(ctx, tenant, random, w.Length/2) })
		}
		if tenant.LookupsPerSecond > 0 {
			spawn(func(random *rand.Rand) { w.sendLookups(ctx, tenant, random) })
		}
		if tenant.FilingsPerSecond > 0 {
			spawn(func(random *rand.Rand) { w.sendFilings(ctx, tenant, random) })
		}
	}
	callers.Wait()
	return w.requests
}

// ended reports whether Length has passed since the start.
func (w *Workload) ended() bool { return time.Since(w.start) >= w.Length }

// sleep waits and reports whether to go on sending: false when ctx or the run has ended.
func (w *Workload) sleep(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
	}
	return !w.ended()
}

func (w *Workload) record(request *Request) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.requests = append(w.requests, request)
}

// drawAdapter draws one of the workspace's adapters. In the second half of the run the ranks
// are shifted by a third of the list.
func (w *Workload) drawAdapter(tenant *Tenant, ranks *popularity, random *rand.Rand) string {
	rank := ranks.draw(random)
	if time.Since(w.start) >= w.Length/2 {
		rank = (rank + len(tenant.Adapters)/3) % len(tenant.Adapters)
	}
	return tenant.Adapters[rank]
}

// sendInteractive sends the requests of one interactive user, one after another.
func (w *Workload) sendInteractive(ctx context.Context, tenant *Tenant, random *rand.Rand) {
	ranks := newPopularity(len(tenant.Adapters))
	stream := random.Float64() >= atypicalShare
	if !w.sleep(ctx, time.Duration(random.Int64N(int64(thinkTime)))) {
		return
	}
	for {
		adapter := w.drawAdapter(tenant, ranks, random)
		request := &Request{
			Caller: CallerInteractive, Workspace: tenant.Workspace, Adapter: adapter, Stream: stream,
			Prompt: prompt(random, adapter, 20+random.IntN(60)), MaxTokens: between(random, maxInteractiveTokens),
		}
		w.sendCompletion(ctx, tenant.InteractiveKey, request)
		if !w.sleep(ctx, exponential(random, thinkTime)) {
			return
		}
	}
}

// sendJobs sends batch jobs one after another, the first one after the delay.
func (w *Workload) sendJobs(ctx context.Context, tenant *Tenant, random *rand.Rand, delay time.Duration) {
	ranks := newPopularity(len(tenant.Adapters))
	if !w.sleep(ctx, delay+time.Duration(random.Int64N(int64(jobPause)))) {
		return
	}
	for {
		w.sendJob(ctx, tenant, random, w.drawAdapter(tenant, ranks, random))
		if !w.sleep(ctx, exponential(random, jobPause)) {
			return
		}
	}
}

// sendJob sends the requests of one batch job, jobConcurrency of them at a time.
func (w *Workload) sendJob(ctx context.Context, tenant *Tenant, random *rand.Rand, adapter string) {
	requests := make([]*Request, 0, jobSize)
	stream := random.Float64() < atypicalShare
	for range jobSize {
		requests = append(requests, &Request{
			Caller: CallerBatch, Workspace: tenant.Workspace, Adapter: adapter, Stream: stream,
			Prompt: prompt(random, adapter, 60+random.IntN(120)), MaxTokens: between(random, maxBatchTokens),
		})
	}
	var workers conc.WaitGroup
	for worker := range jobConcurrency {
		workers.Go(func() {
			for index := worker; index < len(requests) && !w.ended(); index += jobConcurrency {
				w.sendCompletion(ctx, tenant.BatchKey, requests[index])
			}
		})
	}
	workers.Wait()
}

// sendLookups sends lookups to the plain service at the workspace's rate.
func (w *Workload) sendLookups(ctx context.Context, tenant *Tenant, random *rand.Rand) {
	var pending conc.WaitGroup
	defer pending.Wait()
	for w.sleep(ctx, exponential(random, meanInterval(tenant.LookupsPerSecond))) {
		request := &Request{Caller: CallerLookup, Workspace: tenant.Workspace}
		number := random.IntN(100000)
		pending.Go(func() {
			w.sendCall(ctx, tenant.InteractiveKey, http.MethodGet, fmt.Sprintf("/register/%d", number), request)
		})
	}
}

// sendFilings sends filings to the plain service at the workspace's rate. A share of them is
// sent twice with the same idempotency key.
func (w *Workload) sendFilings(ctx context.Context, tenant *Tenant, random *rand.Rand) {
	var pending conc.WaitGroup
	defer pending.Wait()
	for count := 0; w.sleep(ctx, exponential(random, meanInterval(tenant.FilingsPerSecond))); count++ {
		key := fmt.Sprintf("%s-%d-%d", tenant.Workspace, w.Seed, count)
		resend := random.Float64() < resendShare
		wait := time.Duration(random.Int64N(int64(2 * time.Second)))
		pending.Go(func() {
			request := &Request{Caller: CallerFiling, Workspace: tenant.Workspace, IdempotencyKey: key}
			w.sendCall(ctx, tenant.InteractiveKey, http.MethodPost, "/filings", request)
		})
		if !resend {
			continue
		}
		pending.Go(func() {
			time.Sleep(wait)
			request := &Request{Caller: CallerFiling, Workspace: tenant.Workspace, IdempotencyKey: key, Resend: true}
			w.sendCall(ctx, tenant.InteractiveKey, http.MethodPost, "/filings", request)
		})
	}
}

// meanInterval returns the mean interval between the requests of a rate per second.
func meanInterval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / rate)
}
