package bench

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/stubs/driver"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
)

const (
	// adapterCount is the approximate number of adapters in a deployment; buildTenants
	// distributes them by the workspaces' rates.
	adapterCount = 3000
	// callerHost is the name of the host from which callers send requests.
	callerHost = "callers"
	// localCentreLatency is the one-way latency inside a data centre.
	localCentreLatency = 100 * time.Microsecond
)

// Deployment describes a deployment's size, network latency and traffic.
type Deployment struct {
	Name string
	Spec fleet.Spec
	// CentreLatency is the one-way latency between data centres, CallerLatency
	// the one-way latency between callers or operators and any other host.
	CentreLatency, CallerLatency time.Duration
	// Tenants describe the traffic of each workspace. Their keys and adapters
	// are empty and filled in for each run.
	Tenants []driver.Tenant
	// Weights are the objective weights in the deployment's configuration.
	Weights conf.Weights
}

// Association returns the deployment of the Saurashtra Judgment Search Traders'
// Association.
func Association() Deployment {
	return Deployment{
		Name:          "association",
		CentreLatency: time.Millisecond, CallerLatency: 3 * time.Millisecond,
		Weights: conf.Weights{Stalls: 1, Batch: 1, Worst: 3, Refused: 3},
		Spec: fleet.Spec{
			Control: 3, Entries: 3, Engines: 9, Services: 3, DataCentres: 3,
			AdapterSlots: 8, MaxRequests: 8, MaxServiceRequests: 8,
			TokenTime: 15 * time.Millisecond, Slowdown: 0.05, PrefillTime: 100 * time.Microsecond,
			ServiceDelay: 60 * time.Millisecond, LoadsPerSecond: 2, MaxConcurrentLoads: 8, UnfencedEngines: 3,
			Linger: time.Second, ReportDelay: 500 * time.Millisecond,
		},
		Tenants: []driver.Tenant{
			{Workspace: "rajkot", Rate: 1600, Burst: 16000, InteractiveUsers: 9, BatchUsers: 1, LookupsPerSecond: 1.5, FilingsPerSecond: 0.4},
			{Workspace: "surat", Rate: 1400, Burst: 14000, InteractiveUsers: 7, BatchUsers: 1, LookupsPerSecond: 1.2, FilingsPerSecond: 0.3},
			{Workspace: "ahmedabad", Rate: 500, Burst: 6000, InteractiveUsers: 2, BatchUsers: 1, FloodUsers: 6, LookupsPerSecond: 0.5, FilingsPerSecond: 0.1},
			{Workspace: "small", Rate: 200, Burst: 3000, InteractiveUsers: 2, LookupsPerSecond: 0.4, FilingsPerSecond: 0.1},
			{Workspace: "tiny", Rate: 120, Burst: 2500, InteractiveUsers: 1, LookupsPerSecond: 0.2, FilingsPerSecond: 0.05},
		},
	}
}

// Atlas returns the deployment of Atlas Rapprochement Labs.
func Atlas() Deployment {
	return Deployment{
		Name:          "atlas",
		CentreLatency: 500 * time.Microsecond, CallerLatency: time.Millisecond,
		Weights: conf.Weights{Stalls: 3, Batch: 3, Worst: 1, Refused: 1},
		Spec: fleet.Spec{
			Control: 3, Entries: 3, Engines: 12, Services: 3, DataCentres: 3,
			AdapterSlots: 8, MaxRequests: 8, MaxServiceRequests: 8,
			TokenTime: 15 * time.Millisecond, Slowdown: 0.05, PrefillTime: 100 * time.Microsecond,
			ServiceDelay: 40 * time.Millisecond, LoadsPerSecond: 3.5, MaxConcurrentLoads: 8, UnfencedEngines: 3,
			Linger: time.Second, ReportDelay: 500 * time.Millisecond,
		},
		Tenants: []driver.Tenant{
			{Workspace: "north", Rate: 2400, Burst: 24000, InteractiveUsers: 3, BatchUsers: 4, LookupsPerSecond: 1, FilingsPerSecond: 0.6},
			{Workspace: "coast", Rate: 1800, Burst: 18000, InteractiveUsers: 3, BatchUsers: 3, LookupsPerSecond: 0.8, FilingsPerSecond: 0.4},
			{Workspace: "inland", Rate: 700, Burst: 8000, InteractiveUsers: 2, BatchUsers: 1, FloodUsers: 6, LookupsPerSecond: 0.4, FilingsPerSecond: 0.2},
			{Workspace: "south", Rate: 600, Burst: 7000, InteractiveUsers: 2, BatchUsers: 1, LookupsPerSecond: 0.3, FilingsPerSecond: 0.1},
			{Workspace: "desert", Rate: 150, Burst: 3000, InteractiveUsers: 1, LookupsPerSecond: 0.2, FilingsPerSecond: 0.05},
		},
	}
}

// buildTenants returns the tenants with their keys and adapters filled in. Every
// second workspace uses one key for both interactive and batch requests.
func (d *Deployment) buildTenants(seed uint64) []driver.Tenant {
	random := rand.New(rand.NewPCG(seed, adapterCount))
	tenants := append([]driver.Tenant(nil), d.Tenants...)
	var total int64
	for index := range tenants {
		total += tenants[index].Rate
	}
	for index := range tenants {
		tenant := &tenants[index]
		tenant.InteractiveKey = "desk-" + tenant.Workspace
		tenant.BatchKey = "night-" + tenant.Workspace
		if index%2 == 1 {
			tenant.BatchKey = tenant.InteractiveKey
		}
		count := int(adapterCount * tenant.Rate / total)
		for number := range count {
			tenant.Adapters = append(tenant.Adapters, fmt.Sprintf("%s-%04d", tenant.Workspace, number))
		}
		random.Shuffle(count, func(i, j int) {
			tenant.Adapters[i], tenant.Adapters[j] = tenant.Adapters[j], tenant.Adapters[i]
		})
	}
	return tenants
}

// config returns the configuration with the tenants' workspaces, keys, adapters
// and routes.
func (d *Deployment) config(tenants []driver.Tenant) *conf.Config {
	config := &conf.Config{
		Number: 1, Weights: d.Weights,
		Workspaces: map[string]conf.Workspace{}, Keys: map[string]conf.Key{},
		Adapters: map[string]conf.Adapter{}, Routes: map[string]conf.Route{},
	}
	var names []string
	for index := range tenants {
		tenant := &tenants[index]
		names = append(names, tenant.Workspace)
		config.Workspaces[tenant.Workspace] = conf.Workspace{Rate: tenant.Rate, Burst: tenant.Burst, Objective: conf.Objective{Share: 0.95}}
		config.Keys[digest.Key(tenant.InteractiveKey)] = conf.Key{Workspace: tenant.Workspace}
		config.Keys[digest.Key(tenant.BatchKey)] = conf.Key{Workspace: tenant.Workspace}
		for _, adapter := range tenant.Adapters {
			config.Adapters[adapter] = conf.Adapter{
				Model: fleet.ModelName, Workspace: tenant.Workspace, Versions: []string{"1"}, Current: "1",
			}
		}
	}
	config.Routes["register"] = conf.Route{
		Kind: conf.RouteService, Path: "/register", Methods: []string{"GET"}, Service: fleet.ServiceName, Workspaces: names, Cost: 1,
	}
	config.Routes["filings"] = conf.Route{
		Kind: conf.RouteService, Path: "/filings", Methods: []string{"POST"}, Service: fleet.ServiceName, Workspaces: names, Cost: 1,
		AtMostOnce: true, ReplayWindow: span.Duration(24 * time.Hour),
	}
	return config
}

// latency returns a function that gives the one-way latency between two hosts;
// centre returns the data centre of a host.
func (d *Deployment) latency(centre func(string) string) func(from, to string) time.Duration {
	return func(from, to string) time.Duration {
		if from == to {
			return 0
		}
		if isExternal(from) || isExternal(to) {
			return d.CallerLatency
		}
		if centre(from) == centre(to) {
			return localCentreLatency
		}
		return d.CentreLatency
	}
}

// isExternal reports whether a host runs callers or operators.
func isExternal(host string) bool {
	return host == callerHost || strings.HasPrefix(host, "operator")
}
