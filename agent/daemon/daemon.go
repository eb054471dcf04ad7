// Package daemon wires the agent: the small process beside one endpoint.
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
	// knownPause is the time between two looks for the first announcement.
	knownPause = 50 * time.Millisecond
	// incarnationBits is the number of random low bits of an incarnation.
	incarnationBits = 10
)

// Kind classifies the failures of this package.
type Kind string

// KindListen says that an address cannot be listened on.
const KindListen Kind = "cannot listen"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Daemon is one agent. Its exported fields are set before Run.
type Daemon struct {
	// Host gives the daemon its log, meter and the network between daemons.
	Host host.Host
	// Name is the agent's, one for each endpoint VM.
	Name string
	// Address is where entries reach the agent, as IP:port.
	Address string
	// AnnounceAddress is where the endpoint beside the agent announces itself over
	// HTTP, as IP:port.
	AnnounceAddress string
	// ControlAddresses holds the addresses of control, nearest first.
	ControlAddresses []string
	// ListenEndpoint and DialPlain reach the endpoint beside the agent; nil uses
	// TCP without TLS.
	ListenEndpoint func(address string) (net.Listener, error)
	DialEndpoint   func(ctx context.Context, address string) (net.Conn, error)
	// DrainTimeout bounds the time that runs may take to end at a stop; zero does
	// not.
	DrainTimeout time.Duration
	// Configure changes the policies before the daemon starts; it may be nil.
	Configure func(*runner.Runner)
}

// pieces are what one daemon runs.
type pieces struct {
	daemon *Daemon
	uplink *uplink.Uplink
	lease  *lease.Lease
	runner *runner.Runner
	feed   *feed.Feed
	demand *demand.Client
	notice *notice.Listener
}

// Run serves until ctx ends and then stops gracefully: it refuses new
// attempts, hands queued ones back, waits for those that run, and says
// goodbye to control. It also stops when control knows a later incarnation.
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
	p := d.build()
	d.Host.Log.Write("agent-started", "name", d.Name, "incarnation", p.runner.Incarnation)
	return p.run(ctx, entries, endpoints)
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
	return uint64(time.Now().UnixNano())>>incarnationBits<<incarnationBits | rand.Uint64N(1<<incarnationBits)
}

func (d *Daemon) build() *pieces {
	p := &pieces{daemon: d, lease: &lease.Lease{}}
	p.uplink = &uplink.Uplink{Host: d.Host, Replicas: d.ControlAddresses}
	p.runner = d.buildRunner(p)
	p.notice = &notice.Listener{Host: d.Host, Announced: p.runner.HandleAnnouncement, Lost: p.runner.HandleSilence}
	p.feed = &feed.Feed{
		Host: d.Host, Uplink: p.uplink, Lease: p.lease,
		Hello: p.hello, Record: p.runner.Record, ApplyUpdate: p.runner.ApplyUpdate,
	}
	p.demand = &demand.Client{
		Host: d.Host, Agent: d.Name, Incarnation: p.runner.Incarnation, Open: p.uplink.Open,
		PendingLoads: p.runner.LoadRequests, StartLoad: p.runner.UsePermit, StaticRate: p.runner.LoadShare,
	}
	return p
}

func (d *Daemon) buildRunner(p *pieces) *runner.Runner {
	incarnation := newIncarnation()
	held := &slots.Slots{Host: d.Host, Allowed: p.lease.Valid}
	r := &runner.Runner{
		Host: d.Host, Name: d.Name, Incarnation: incarnation, Address: d.Address,
		Lease: p.lease, Dedup: &dedup.Attempts{Incarnation: incarnation}, Queue: &queue.Queue{}, Slots: held,
		RecordChanged:       func() { p.feed.RecordChanged() },
		LoadRequestsChanged: func() { p.demand.Changed() },
		ReportCrash:         func(c plane.Crash) { p.feed.ReportCrash(c) },
		ReturnPermit:        func(e plane.LoadResult) { p.demand.ReturnPermit(e) },
		Dial:                d.DialEndpoint,
	}
	held.Load, held.Unload = r.LoadAdapter, r.UnloadAdapter
	if d.Configure != nil {
		d.Configure(r)
	}
	return r
}

func (p *pieces) hello() plane.Hello {
	return plane.Hello{
		Role: plane.RoleAgent, Name: p.daemon.Name, Incarnation: p.runner.Incarnation,
		DataCentre: p.daemon.Host.DataCentre, EnforcesFencing: p.runner.ChecksFence(),
	}
}

// run serves until ctx ends or control knows a later incarnation, then drains.
// What serves running attempts outlives ctx until the drain is over.
func (p *pieces) run(ctx context.Context, entries, endpoints net.Listener) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	reporting, stopReporting := context.WithCancel(serving)
	defer stopReporting()
	var group, reports tasks.Group
	group.Go(func() { _ = p.notice.Serve(serving, endpoints) })
	group.Go(func() { _ = link.Serve(serving, entries, p.handlers()) })
	group.Go(func() { p.uplink.Run(serving) })
	group.Go(func() { p.runner.Run(serving) })
	group.Go(func() { p.demand.Run(serving) })
	superseded := make(chan error, 1)
	reports.Go(func() { superseded <- p.report(reporting) })

	var err error
	select {
	case <-ctx.Done():
	case err = <-superseded:
	}
	p.drain(serving)
	stopReporting()
	reports.Wait()
	stopServing()
	group.Wait()
	p.daemon.Host.Log.Write("agent-stopped", "name", p.daemon.Name)
	return err
}

func (p *pieces) handlers() map[string]link.Handler {
	return map[string]link.Handler{
		plane.MethodAttempt: p.runner.HandleAttempt,
		plane.MethodProbe:   p.runner.HandleProbe,
	}
}

// report keeps the heartbeat once the endpoint has announced itself: control
// needs to know whether it checks fencing numbers.
func (p *pieces) report(ctx context.Context) error {
	for !p.runner.HasEndpoint() {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(knownPause):
		}
	}
	return p.feed.Run(ctx)
}

func (p *pieces) drain(ctx context.Context) {
	if p.daemon.DrainTimeout > 0 {
		limited, cancel := context.WithTimeout(ctx, p.daemon.DrainTimeout)
		defer cancel()
		ctx = limited
	}
	p.runner.Drain(ctx)
}
