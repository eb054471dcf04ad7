// Package bench runs the deployments of today in virtual time: the real
// entry, agent and control code against stand-ins. It models no decision.
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
	// startLimit bounds the time until the deployment is ready.
	startLimit = 30 * time.Second
	// settleTime is how long processes may take to end after a run.
	settleTime = 5 * time.Minute
)

// ports gives the deployment's port names their numbers.
var ports = map[string]string{
	"control": "7000", "agent": "7001", "notice": "7002", "http": "8080", "engine": "8000", "service": "8001",
}

// Kind classifies the failures of this package.
type Kind string

// KindStart says that the deployment did not become ready.
const KindStart Kind = "deployment did not start"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Bench is one run. Its fields are set before Run; it runs inside a synctest
// bubble.
type Bench struct {
	Deployment Deployment
	Variant    Variant
	Seed       uint64
	// Length is how long callers send.
	Length time.Duration
	// Folder holds the control replicas' data.
	Folder string
	// Faults brings about failures during the traffic; nil none.
	Faults func(ctx context.Context, f *fleet.Fleet, network *vnet.Network)
}

// Result is what a run showed.
type Result struct {
	Score score.Score
	// Broken lists broken promises; there must be none.
	Broken []string
	// Requests are the records.
	Requests []*driver.Request
	// Urgent judges the inference of urgency.
	Urgent Urgency
}

// Run starts the deployment, sends the traffic, stops everything and returns
// the measures.
func (b *Bench) Run(ctx context.Context) (*Result, error) {
	tenants := b.Deployment.equip(b.Seed)
	network := vnet.New()
	f := b.fleet(network)
	network.Latency = b.Deployment.latency(f.DataCentreOf)
	ctx, cancel := context.WithCancel(ctx)
	defer time.Sleep(settleTime)
	defer cancel()
	f.Start(ctx)
	defer f.Close()
	if err := b.ready(ctx, f, tenants); err != nil {
		return nil, &Error{Op: "start", Kind: KindStart, Err: err}
	}
	transport := &http.Transport{DialContext: dialFrom(network, callerHost), MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	callers := &driver.Workload{
		Tenants: tenants, Entries: f.EntryAddresses(), Client: &http.Client{Transport: transport},
		Seed: b.Seed, Length: b.Length,
	}
	watch := &watcher{fleet: f}
	watch.begin(ctx)
	if b.Faults != nil {
		go b.Faults(ctx, f, network)
	}
	start := time.Now()
	requests := callers.Run(ctx)
	watch.end()
	result := &Result{Requests: requests}
	result.Score.Add(requests, tenants)
	watch.score(&result.Score)
	result.Urgent = judge(requests, f, start)
	result.Broken = append(result.Broken, checkAnswers(requests)...)
	result.Broken = append(result.Broken, checkEndpoints(requests, f, tenants)...)
	return result, nil
}

func (b *Bench) fleet(network *vnet.Network) *fleet.Fleet {
	return &fleet.Fleet{
		Spec: b.Deployment.Shape,
		Network: fleet.Network{
			Address: func(host, port string) string { return host + ":" + ports[port] },
			Listen:  network.Listen,
			Dialer:  network.Dialer,
		},
		DataDir:        b.Folder,
		ConfigureEntry: b.Variant.Entry, ConfigureAgent: b.Variant.Agent, ConfigureControl: b.Variant.Control,
	}
}

func (b *Bench) ready(ctx context.Context, f *fleet.Fleet, tenants []driver.Tenant) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := f.Apply(ctx, b.Deployment.config(tenants)); err != nil {
		return err
	}
	if err := f.WaitReady(ctx); err != nil {
		return fmt.Errorf("wait for endpoints: %w", err)
	}
	return nil
}
