// Package bench measures simulated deployments in virtual time. It runs the
// production code of entries, agents and control against simulated engines,
// services, callers and a simulated network; no decision of the system is
// modelled.
package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/stubs/driver"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
	"github.com/tanagerspindle/tanagerspindle/stubs/score"
)

const (
	// startTimeout is the maximum time until the deployment is ready.
	startTimeout = 30 * time.Second
	// shutdownTime is the virtual time that processes get to stop after a run.
	shutdownTime = 5 * time.Minute
)

// ports maps the port names of a deployment to port numbers.
var ports = map[string]string{
	"control": "7000", "agent": "7001", "notice": "7002", "http": "8080", "engine": "8000", "service": "8001",
}

// Kind classifies the failures of this package.
type Kind string

// KindStart is returned when the deployment does not become ready in time.
const KindStart Kind = "deployment did not start"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Scenario describes one run of a deployment. Set its fields before calling
// Run, which must be called inside a synctest bubble.
type Scenario struct {
	Deployment Deployment
	Variant    Variant
	Seed       uint64
	// TrafficDuration is how long callers start new requests.
	TrafficDuration time.Duration
	// DataDir is the directory for the control replicas' data.
	DataDir string
	// InjectFaults causes failures during the traffic; nil causes none.
	InjectFaults func(ctx context.Context, f *fleet.Fleet, network *vnet.Network)
}

// Result holds the measurements of one run.
type Result struct {
	Score score.Score
	// Violations describes each violated guarantee; a correct run has none.
	Violations []string
	// Requests are the records of all requests sent.
	Requests []*driver.Request
	// Urgent is the accuracy of the inferred request urgency.
	Urgent Urgency
}

// Run starts the deployment, sends the traffic, stops all processes and
// returns the measurements.
func (s *Scenario) Run(ctx context.Context) (*Result, error) {
	tenants := s.Deployment.buildTenants(s.Seed)
	network := vnet.New()
	f := s.newFleet(network)
	network.Latency = s.Deployment.latency(f.DataCentreOf)
	ctx, cancel := context.WithCancel(ctx)
	defer time.Sleep(shutdownTime)
	defer cancel()
	f.Start(ctx)
	defer f.Close()
	if err := s.waitReady(ctx, f, tenants); err != nil {
		return nil, &Error{Op: "start", Kind: KindStart, Err: err}
	}
	transport := &http.Transport{DialContext: dialFrom(network, callerHost), MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	callers := &driver.Workload{
		Tenants: tenants, Entries: f.EntryAddresses(), Client: &http.Client{Transport: transport},
		Seed: s.Seed, Length: s.TrafficDuration,
	}
	samples := &sampler{fleet: f}
	samples.start(ctx)
	if s.InjectFaults != nil {
		go s.InjectFaults(ctx, f, network)
	}
	start := time.Now()
	requests := callers.Run(ctx)
	samples.finish()
	result := &Result{Requests: requests}
	result.Score.Add(requests, tenants)
	samples.score(&result.Score)
	result.Urgent = measureUrgency(requests, f, start)
	result.Violations = append(result.Violations, checkAnswers(requests)...)
	result.Violations = append(result.Violations, checkEndpoints(requests, f, tenants)...)
	return result, nil
}

// newFleet returns the deployment's processes, not yet started, on a simulated
// network.
func (s *Scenario) newFleet(network *vnet.Network) *fleet.Fleet {
	return &fleet.Fleet{
		Spec: s.Deployment.Spec,
		Network: fleet.Network{
			Address: func(host, port string) string { return host + ":" + ports[port] },
			Listen:  network.Listen,
			Dialer:  network.Dialer,
		},
		DataDir:        s.DataDir,
		ConfigureEntry: s.Variant.Entry, ConfigureAgent: s.Variant.Agent, ConfigureControl: s.Variant.Control,
	}
}

// waitReady submits the configuration and waits until all endpoints are ready.
func (s *Scenario) waitReady(ctx context.Context, f *fleet.Fleet, tenants []driver.Tenant) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Apply(ctx, s.Deployment.config(tenants)); err != nil {
		return err
	}
	if err := f.WaitReady(ctx); err != nil {
		return fmt.Errorf("wait for endpoints: %w", err)
	}
	return nil
}
