// Package daemon assembles the agent, the process that runs beside one endpoint: it
// queues attempts, manages the endpoint's adapters and reports to control.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/dedup"
	"github.com/tanagerspindle/tanagerspindle/agent/demand"
	"github.com/tanagerspindle/tanagerspindle/agent/feed"
	"github.com/tanagerspindle/tanagerspindle/agent/notice"
	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/agent/redial"
	"github.com/tanagerspindle/tanagerspindle/agent/runner"
	"github.com/tanagerspindle/tanagerspindle/agent/slots"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
)

const (
	// endpointPollInterval is the time between two checks whether the endpoint has announced
	// itself.
	endpointPollInterval = 50 * time.Millisecond
	// incarnationRandomBits is the number of random low bits of an incarnation, the number of
	// one start of the agent's process. The other bits are the time of the start.
	incarnationRandomBits = 10
)

// Kind classifies the errors of this package.
type Kind string

// KindListen means that an address cannot be listened on.
const KindListen Kind = "cannot listen"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Daemon is one agent. Its exported fields are set before Run.
type Daemon struct {
	// Host provides the log, the meter and the network between daemons.
	Host host.Host
	// Name is the agent's name, one for each endpoint VM.
	Name string
	// Address is where entries connect to the agent, as IP:port.
	Address string
	// AnnounceAddress is where the endpoint beside the agent announces itself over
	// HTTP, as IP:port.
	AnnounceAddress string
	// ControlAddresses are the addresses of the control replicas, nearest first.
	ControlAddresses []string
	// ListenEndpoint and DialEndpoint make the connections from and to the endpoint
	// beside the agent; nil uses TCP without TLS.
	ListenEndpoint func(address string) (net.Listener, error)
	DialEndpoint   func(ctx context.Context, address string) (net.Conn, error)
	// DrainTimeout bounds how long a stop waits for running attempts; zero means no
	// limit.
	DrainTimeout time.Duration
	// Configure changes the runner's policies before the daemon starts; it may be nil.
	Configure func(*runner.Runner)
}

// components are the parts of one running daemon.
type components struct {
	daemon *Daemon
	uplink *uplink.Uplink
	lease  *lease.Lease
	runner *runner.Runner
	feed   *feed.Feed
	demand *demand.Client
	notice *notice.Listener
}

// Run serves until ctx ends and then stops gracefully: it refuses new and queued
// attempts, waits for running ones and announces the agent's departure to control. It
// also stops when control knows a later incarnation.
func (d *Daemon) Run(ctx context.Context) error {
	d.setDefaults()
	entries, err := d.Host.Listen(d.Address)
	if err != nil {
		return &Error{Op: "listen " + d.Address, Kind: KindListen, Err: err}
	}
	endpoints, err := d.ListenEndpoint(d.AnnounceAddress)
	if err != nil {
		_ = entries.Close()
		return &Error{Op: "listen " + d.AnnounceAddress, Kind: KindListen, Err: err}
	}
	c := d.buildComponents()
	d.Host.Log.Write("agent-started", "name", d.Name, "incarnation", c.runner.Incarnation)
	return c.run(ctx, entries, endpoints)
}

func (d *Daemon) setDefaults() {
	if d.ListenEndpoint == nil {
		d.ListenEndpoint = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if d.DialEndpoint == nil {
		dialer := &net.Dialer{}
		d.DialEndpoint = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
}

// newIncarnation returns a number larger than those of earlier starts.
func newIncarnation() uint64 {
	return uint64(time.Now().UnixNano())>>incarnationRandomBits<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

func (d *Daemon) buildComponents() *components {
	c := &components{daemon: d, lease: &lease.Lease{}}
	c.uplink = &uplink.Uplink{Host: d.Host, Replicas: d.ControlAddresses}
	c.runner = d.buildRunner(c)
	c.notice = &notice.Listener{Host: d.Host, Announced: c.runner.HandleAnnouncement, Lost: c.runner.HandleAnnouncementLoss}
	c.feed = &feed.Feed{
		Host: d.Host, Uplink: c.uplink, Lease: c.lease,
		Hello: c.hello, Record: c.runner.Record, ApplyUpdate: c.runner.ApplyUpdate,
	}
	c.demand = &demand.Client{
		Host: d.Host, Agent: d.Name, Incarnation: c.runner.Incarnation, Open: c.uplink.Open,
		PendingLoads: c.runner.LoadRequests, StartLoad: c.runner.UsePermit, StaticRate: c.runner.LoadShare,
	}
	return c
}

func (d *Daemon) buildRunner(built *components) *runner.Runner {
	incarnation := newIncarnation()
	adapterSlots := &slots.Slots{Host: d.Host, Allowed: built.lease.Valid}
	r := &runner.Runner{
		Host: d.Host, Name: d.Name, Incarnation: incarnation, Address: d.Address,
		Lease: built.lease, Dedup: &dedup.Attempts{Incarnation: incarnation}, Queue: &queue.Queue{}, Slots: adapterSlots,
		RecordChanged:       func() { built.feed.RecordChanged() },
		LoadRequestsChanged: func() { built.demand.Changed() },
		ReportCrash:         func(crash plane.Crash) { built.feed.ReportCrash(crash) },
		ReturnPermit:        func(ended plane.LoadResult) { built.demand.ReturnPermit(ended) },
		Dial:                (&redial.Dialer{Attempt: d.DialEndpoint}).Dial,
	}
	adapterSlots.Load, adapterSlots.Unload = r.LoadAdapter, r.UnloadAdapter
	if d.Configure != nil {
		d.Configure(r)
	}
	return r
}

func (c *components) hello() plane.Hello {
	return plane.Hello{
		Role: plane.RoleAgent, Name: c.daemon.Name, Incarnation: c.runner.Incarnation,
		DataCentre: c.daemon.Host.DataCentre, EnforcesFencing: c.runner.EnforcesFencing(),
	}
}

// run serves until ctx ends or control knows a later incarnation, then drains. The
// components that serve running attempts outlive ctx until the drain is over.
func (c *components) run(ctx context.Context, entries, endpoints net.Listener) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	reporting, stopReporting := context.WithCancel(serving)
	defer stopReporting()
	var services, reports tasks.Group
	services.Go(func() { _ = c.notice.Serve(serving, endpoints) })
	services.Go(func() { _ = link.Serve(serving, entries, c.handlers()) })
	services.Go(func() { c.uplink.Run(serving) })
	services.Go(func() { c.runner.Run(serving) })
	services.Go(func() { c.demand.Run(serving) })
	superseded := make(chan error, 1)
	reports.Go(func() { superseded <- c.runFeed(reporting) })

	var err error
	select {
	case <-ctx.Done():
	case err = <-superseded:
	}
	c.drain(serving)
	stopReporting()
	reports.Wait()
	stopServing()
	services.Wait()
	c.daemon.Host.Log.Write("agent-stopped", "name", c.daemon.Name)
	return err
}

func (c *components) handlers() map[string]link.Handler {
	return map[string]link.Handler{
		plane.MethodAttempt: c.runner.HandleAttempt,
		plane.MethodProbe:   c.runner.HandleProbe,
	}
}

// runFeed sends heartbeats once the endpoint has announced itself. It waits because the
// first message tells control whether the endpoint checks fencing numbers.
func (c *components) runFeed(ctx context.Context) error {
	for !c.runner.HasEndpoint() {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(endpointPollInterval):
		}
	}
	return c.feed.Run(ctx)
}

func (c *components) drain(ctx context.Context) {
	if c.daemon.DrainTimeout > 0 {
		drainContext, cancel := context.WithTimeout(ctx, c.daemon.DrainTimeout)
		defer cancel()
		ctx = drainContext
	}
	c.runner.Drain(ctx)
}
