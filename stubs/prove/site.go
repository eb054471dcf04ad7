// Package prove runs whole deployments in virtual time, brings about faults
// and keeps what callers and endpoints saw.
package prove

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
)

const (
	// startLimit bounds the time until the deployment is ready.
	startLimit = 30 * time.Second
	// settleTime is how long processes may take to end after a run.
	settleTime = 5 * time.Minute
	// lossTime is how long the process of a lost VM takes to end.
	lossTime = 8 * time.Second
	// healthInterval is the time between two of the balancer's health checks.
	healthInterval = 300 * time.Millisecond
)

// The two callers' keys.
const (
	KeyAnand = "key-of-anand"
	KeyBela  = "key-of-bela"
)

// ports gives the deployment's port names their numbers.
var ports = map[string]string{
	"control": "7000", "agent": "7001", "notice": "7002", "http": "8080", "engine": "8000", "service": "8001",
}

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindStart  Kind = "deployment did not start"
	KindLeader Kind = "no leader in time"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Site is one deployment with its callers. It runs inside a synctest bubble.
type Site struct {
	// Fleet is the deployment, Network what it runs on.
	Fleet   *fleet.Fleet
	Network *vnet.Network

	client  *http.Client
	cancel  context.CancelFunc
	callers conc.WaitGroup
	mutex   sync.Mutex
	sent    []*Sent
	over    bool
	healthy []bool
}

// Start starts a deployment of a shape, with the replicas' data under folder,
// and returns once it serves Config(1).
func Start(ctx context.Context, folder string, shape fleet.Spec, tune func(*fleet.Fleet)) (*Site, error) {
	s := &Site{Network: vnet.New()}
	s.Network.Latency = func(string, string) time.Duration { return time.Millisecond }
	s.Fleet = &fleet.Fleet{
		Spec: shape,
		Network: fleet.Network{
			Address: func(host, port string) string { return host + ":" + ports[port] },
			Listen:  s.Network.Listen,
			Dialer:  s.Network.Dialer,
		},
		DataDir: folder,
	}
	if tune != nil {
		tune(s.Fleet)
	}
	dial := s.Network.Dialer("caller")
	s.client = &http.Client{Transport: &http.Transport{
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		DisableKeepAlives: true,
	}}
	ctx, s.cancel = context.WithCancel(ctx)
	s.healthy = make([]bool, shape.Entries)
	s.Fleet.Start(ctx)
	if err := s.begin(ctx); err != nil {
		s.Close()
		return nil, &Error{Op: "begin", Kind: KindStart, Err: err}
	}
	s.callers.Go(s.watchHealth)
	return s, nil
}

// begin waits until the deployment serves Config(1).
func (s *Site) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := s.Fleet.Apply(ctx, Config(1)); err != nil {
		return err
	}
	return s.Fleet.WaitReady(ctx)
}

// Repeat runs a caller in the background until Quiet: act after act, with
// pauses between them.
func (s *Site) Repeat(pause time.Duration, act func(serial int)) {
	s.callers.Go(func() {
		for serial := 0; !s.isOver(); serial++ {
			act(serial)
			time.Sleep(pause)
		}
	})
}

// Quiet ends the callers, each after its answer.
func (s *Site) Quiet() {
	s.mutex.Lock()
	s.over = true
	s.mutex.Unlock()
	s.callers.Wait()
}

func (s *Site) isOver() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.over
}

// Close stops everything and waits until it has ended.
func (s *Site) Close() {
	s.Quiet()
	s.Fleet.Close()
	s.cancel()
	time.Sleep(settleTime)
}

// watchHealth asks for the entries' health checks as a balancer does.
func (s *Site) watchHealth() {
	for !s.isOver() {
		for entry := range s.healthy {
			healthy := s.Healthy(entry)
			s.mutex.Lock()
			s.healthy[entry] = healthy
			s.mutex.Unlock()
		}
		time.Sleep(healthInterval)
	}
}

// Config returns the configuration that the deployment starts with, under a
// number: two workspaces with an adapter and a key each, a route for lookups
// and one for filings.
func Config(number uint64) *conf.Config {
	both := []string{"anand", "bela"}
	versions := []string{"v1", "v2"}
	return &conf.Config{
		Number: number,
		Workspaces: map[string]conf.Workspace{
			"anand": {Rate: 1_000_000, Burst: 1_000_000},
			"bela":  {Rate: 1_000_000, Burst: 1_000_000},
		},
		Keys: map[string]conf.Key{
			digest.Key(KeyAnand): {Workspace: "anand"},
			digest.Key(KeyBela):  {Workspace: "bela"},
		},
		Adapters: map[string]conf.Adapter{
			"notes":  {Model: fleet.ModelName, Workspace: "anand", Versions: versions, Current: "v1"},
			"drafts": {Model: fleet.ModelName, Workspace: "bela", Versions: versions, Current: "v1"},
		},
		Routes: map[string]conf.Route{
			"filing": {
				Kind: conf.RouteService, Path: "/filing", Service: fleet.ServiceName, Workspaces: both,
				AtMostOnce: true, Cost: 1, ReplayWindow: span.Duration(time.Hour),
			},
			"lookup": {Kind: conf.RouteService, Path: "/lookup", Service: fleet.ServiceName, Workspaces: both, Cost: 1},
		},
		Weights: conf.Weights{Stalls: 1, Batch: 1, Worst: 1, Refused: 1},
	}
}

// Controls lists the control replicas' names.
func (s *Site) Controls() []string { return names(s.Fleet.Spec.Control, fleet.ControlName) }

// Agents lists the names of all agents.
func (s *Site) Agents() []string {
	return append(names(s.Fleet.Spec.Engines, fleet.EngineAgentName), names(s.Fleet.Spec.Services, fleet.ServiceAgentName)...)
}

// Others lists every process's host but one.
func (s *Site) Others(host string) []string {
	var others []string
	all := append(s.Controls(), s.Agents()...)
	for _, name := range append(all, names(s.Fleet.Spec.Entries, fleet.EntryName)...) {
		if name != host {
			others = append(others, name)
		}
	}
	return others
}

func names(count int, name func(int) string) []string {
	var list []string
	for index := range count {
		list = append(list, name(index))
	}
	return list
}

// Apart cuts a host off from others for a time.
func (s *Site) Apart(host string, length time.Duration, others ...string) {
	s.Network.Isolate(host, others...)
	time.Sleep(length)
	s.Network.Rejoin(host, others...)
}

// Lose loses a VM: nothing hears from it again, and its process has ended
// when Lose returns. Its name may be started anew then.
func (s *Site) Lose(name string) {
	s.Network.Isolate(name, s.Others(name)...)
	s.Network.LoseHost(name)
	s.Fleet.Cancel(name)
	time.Sleep(lossTime)
	s.Network.Rejoin(name, s.Others(name)...)
}

// Wipe removes the disk of a control replica that has ended.
func (s *Site) Wipe(name string) error {
	return os.RemoveAll(filepath.Join(s.Fleet.DataDir, name))
}

// Leader returns the name of the control leader.
func (s *Site) Leader(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for ctx.Err() == nil {
		status, err := s.Fleet.Status(ctx)
		if err == nil && status.Leader != "" {
			return status.Leader, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", &Error{Op: "find leader", Kind: KindLeader, Err: fmt.Errorf("waited: %w", ctx.Err())}
}
