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

// Product is the name of the variant without any baseline.
const Product = "product"

// Variant is the product, or the product with baseline policies put in.
type Variant struct {
	Name string
	// Entry, Agent and Control change the daemons; nil leaves them.
	Entry   func(*entry.Daemon)
	Agent   func(*agent.Daemon)
	Control func(*control.Daemon)
}

// Variants returns the product and the baselines for a deployment and seed.
func Variants(deployment *Deployment, seed uint64) []Variant {
	tenants := deployment.equip(seed)
	share := deployment.Shape.Entries
	static := func(d *entry.Daemon) { d.Grant = newStatic(tenants, share).grant }
	return []Variant{
		{Name: Product},
		{Name: "random endpoint", Entry: randomEndpoint},
		{Name: "least loaded", Entry: leastLoaded},
		{Name: "recency eviction", Agent: recency},
		{Name: "first-come loads", Control: firstCome},
		{Name: "static shares", Entry: static},
		{Name: "one queue", Agent: oneQueue},
		{
			Name: "all baselines", Control: firstCome,
			Entry: func(d *entry.Daemon) { leastLoaded(d); static(d) },
			Agent: func(d *agent.Daemon) {
				recency(d)
				lru := d.Configure
				oneQueue(d)
				single := d.Configure
				d.Configure = func(r *runner.Runner) { lru(r); single(r) }
			},
		},
	}
}

func randomEndpoint(d *entry.Daemon) {
	d.ChooseEndpoint = func(candidates []picker.Candidate) int { return rand.IntN(len(candidates)) }
}

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

func recency(d *agent.Daemon) {
	d.Configure = func(r *runner.Runner) { r.Slots.Value = slots.ByRecency }
}

func firstCome(d *control.Daemon) { d.ChooseLoad = permit.ChooseOldest }

// oneQueue serves all requests of an agent in the order of their arrival.
func oneQueue(d *agent.Daemon) {
	d.Configure = func(r *runner.Runner) {
		r.Queue.Urgency = func(*queue.Item, time.Time) call.Class { return call.ClassInteractive }
		r.Queue.Flow = func(*queue.Item) string { return "" }
		r.Preempt = func(_, _ *queue.Item) bool { return false }
	}
}

// static gives one entry a fixed share of each workspace's rate and burst.
type static struct {
	mutex   sync.Mutex
	rates   map[string]*driver.Tenant
	entries int
	buckets map[string]*bucket.Bucket
	lease   uint64
}

func newStatic(tenants []driver.Tenant, entries int) *static {
	s := &static{rates: map[string]*driver.Tenant{}, entries: entries, buckets: map[string]*bucket.Bucket{}}
	for index := range tenants {
		s.rates[tenants[index].Workspace] = &tenants[index]
	}
	return s
}

func (s *static) grant(_ context.Context, ask *plane.GrantRequest, reply *plane.GrantReply) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for _, wanted := range ask.TokenRequests {
		tenant := s.rates[wanted.Workspace]
		if tenant == nil {
			reply.Grants = append(reply.Grants, plane.Grant{Workspace: wanted.Workspace, UnknownWorkspace: true})
			continue
		}
		reply.Grants = append(reply.Grants, s.give(tenant, wanted, now))
	}
	return nil
}

func (s *static) give(tenant *driver.Tenant, wanted plane.TokenRequest, now time.Time) plane.Grant {
	share := int64(s.entries)
	known := s.buckets[tenant.Workspace]
	if known == nil {
		known = bucket.New(tenant.Rate/share, tenant.Burst/share, tenant.Burst/share, now)
		s.buckets[tenant.Workspace] = known
	}
	known.Advance(now, 0)
	if wanted.UnusedTokens > 0 {
		known.Refund(wanted.UnusedTokens)
	}
	grant := plane.Grant{Workspace: tenant.Workspace, Lifetime: span.Duration(time.Minute), ExceedsBurst: wanted.MinTokens > tenant.Burst/share}
	if known.Level() < wanted.MinTokens {
		missing := float64(wanted.MinTokens - known.Level())
		grant.Wait = span.Duration(missing / float64(tenant.Rate/share) * float64(time.Second))
		return grant
	}
	s.lease++
	grant.Tokens, grant.LeaseID = min(known.Level(), wanted.WantedTokens), s.lease
	known.Take(grant.Tokens)
	return grant
}
