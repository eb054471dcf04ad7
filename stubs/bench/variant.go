package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	agent "github.com/tanagerspindle/tanagerspindle/agent/daemon"
	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/agent/runner"
	"github.com/tanagerspindle/tanagerspindle/agent/slots"
	control "github.com/tanagerspindle/tanagerspindle/ctrl/daemon"
	"github.com/tanagerspindle/tanagerspindle/ctrl/permit"
	entry "github.com/tanagerspindle/tanagerspindle/entry/daemon"
	"github.com/tanagerspindle/tanagerspindle/entry/picker"
	"github.com/tanagerspindle/tanagerspindle/pkg/bucket"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/stubs/driver"
)

// Product is the name of the variant that uses no baseline policy.
const Product = "product"

// Variant is the unmodified product, or the product with some of its policies
// replaced by baselines.
type Variant struct {
	Name string
	// Entry, Agent and Control modify the daemons before they start; nil leaves
	// them unmodified.
	Entry   func(*entry.Daemon)
	Agent   func(*agent.Daemon)
	Control func(*control.Daemon)
}

// Variants returns the product and the baselines for a deployment and seed.
func Variants(deployment *Deployment, seed uint64) []Variant {
	tenants := deployment.buildTenants(seed)
	entryCount := deployment.Spec.Entries
	static := func(d *entry.Daemon) { d.Grant = newFixedShares(tenants, entryCount).grant }
	return []Variant{
		{Name: Product},
		{Name: "random endpoint", Entry: randomEndpoint},
		{Name: "least loaded", Entry: leastLoaded},
		{Name: "recency eviction", Agent: evictByRecency},
		{Name: "first-come loads", Control: loadFirstCome},
		{Name: "static shares", Entry: static},
		{Name: "one queue", Agent: singleQueue},
		{
			Name: "all baselines", Control: loadFirstCome,
			Entry: func(d *entry.Daemon) { leastLoaded(d); static(d) },
			Agent: func(d *agent.Daemon) {
				evictByRecency(d)
				lru := d.Configure
				singleQueue(d)
				single := d.Configure
				d.Configure = func(r *runner.Runner) { lru(r); single(r) }
			},
		},
	}
}

// randomEndpoint makes an entry send each request to a random endpoint.
func randomEndpoint(d *entry.Daemon) {
	d.ChooseEndpoint = func(candidates []picker.Candidate) int { return rand.IntN(len(candidates)) }
}

// leastLoaded makes an entry send each request to the endpoint with the least
// load.
func leastLoaded(d *entry.Daemon) {
	d.ChooseEndpoint = func(candidates []picker.Candidate) int {
		least := 0
		for index := range candidates {
			if candidates[index].Load < candidates[least].Load {
				least = index
			}
		}
		return least
	}
}

// evictByRecency makes an agent evict the least recently used adapter.
func evictByRecency(d *agent.Daemon) {
	d.Configure = func(r *runner.Runner) { r.Slots.Value = slots.ByRecency }
}

// loadFirstCome makes control permit adapter loads in order of request.
func loadFirstCome(d *control.Daemon) { d.ChooseLoad = permit.ChooseOldest }

// singleQueue makes an agent serve all requests in order of arrival, without
// urgency classes, fairness between flows or preemption.
func singleQueue(d *agent.Daemon) {
	d.Configure = func(r *runner.Runner) {
		r.Queue.Urgency = func(*queue.Item, time.Time) call.Class { return call.ClassInteractive }
		r.Queue.Flow = func(*queue.Item) string { return "" }
		r.Preempt = func(_, _ *queue.Item) bool { return false }
	}
}

// fixedShares grants one entry a fixed, equal share of each workspace's rate and
// burst, in place of control's quota leases.
type fixedShares struct {
	mutex       sync.Mutex
	tenants     map[string]*driver.Tenant
	entries     int
	buckets     map[string]*bucket.Bucket
	lastLeaseID uint64
}

func newFixedShares(tenants []driver.Tenant, entries int) *fixedShares {
	s := &fixedShares{tenants: map[string]*driver.Tenant{}, entries: entries, buckets: map[string]*bucket.Bucket{}}
	for index := range tenants {
		s.tenants[tenants[index].Workspace] = &tenants[index]
	}
	return s
}

// grant answers an entry's grant request from the fixed shares.
func (s *fixedShares) grant(_ context.Context, request *plane.GrantRequest, reply *plane.GrantReply) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for _, wanted := range request.TokenRequests {
		tenant := s.tenants[wanted.Workspace]
		if tenant == nil {
			reply.Grants = append(reply.Grants, plane.Grant{Workspace: wanted.Workspace, UnknownWorkspace: true})
			continue
		}
		reply.Grants = append(reply.Grants, s.grantWorkspace(tenant, wanted, now))
	}
	return nil
}

// grantWorkspace grants tokens of one workspace, or returns the time to wait until
// its bucket holds the minimum.
func (s *fixedShares) grantWorkspace(tenant *driver.Tenant, wanted plane.TokenRequest, now time.Time) plane.Grant {
	share := int64(s.entries)
	b := s.buckets[tenant.Workspace]
	if b == nil {
		b = bucket.New(tenant.Rate/share, tenant.Burst/share, tenant.Burst/share, now)
		s.buckets[tenant.Workspace] = b
	}
	b.Advance(now, 0)
	if wanted.UnusedTokens > 0 {
		b.Refund(wanted.UnusedTokens)
	}
	grant := plane.Grant{Workspace: tenant.Workspace, Lifetime: span.Duration(time.Minute), ExceedsBurst: wanted.MinTokens > tenant.Burst/share}
	if b.Level() < wanted.MinTokens {
		missing := float64(wanted.MinTokens - b.Level())
		grant.Wait = span.Duration(missing / float64(tenant.Rate/share) * float64(time.Second))
		return grant
	}
	s.lastLeaseID++
	grant.Tokens, grant.LeaseID = min(b.Level(), wanted.WantedTokens), s.lastLeaseID
	b.Take(grant.Tokens)
	return grant
}
