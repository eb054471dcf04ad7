// Package daemon assembles an entry: it receives callers' requests over HTTP and passes
// them through a chain of filters to agents or endpoints.
package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/auth"
	"github.com/tanagerspindle/tanagerspindle/entry/buffer"
	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/class"
	"github.com/tanagerspindle/tanagerspindle/entry/crash"
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/entry/drain"
	"github.com/tanagerspindle/tanagerspindle/entry/finder"
	"github.com/tanagerspindle/tanagerspindle/entry/front"
	"github.com/tanagerspindle/tanagerspindle/entry/guard"
	"github.com/tanagerspindle/tanagerspindle/entry/hedge"
	"github.com/tanagerspindle/tanagerspindle/entry/limit"
	"github.com/tanagerspindle/tanagerspindle/entry/match"
	"github.com/tanagerspindle/tanagerspindle/entry/once"
	"github.com/tanagerspindle/tanagerspindle/entry/picker"
	"github.com/tanagerspindle/tanagerspindle/entry/pool"
	"github.com/tanagerspindle/tanagerspindle/entry/relay"
	"github.com/tanagerspindle/tanagerspindle/entry/retry"
	"github.com/tanagerspindle/tanagerspindle/entry/trace"
	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/conns"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/feed"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindListen Kind = "cannot listen"
	KindServe  Kind = "HTTP server failed"
	// KindControl means that control did not answer in time.
	KindControl Kind = "no answer from control"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// headerTimeout limits the time in which a request header must arrive during a stop.
	headerTimeout = 10 * time.Second
	// connsShare is the share of the memory bound that callers' connections without a request
	// and the headers that arrive on them may take.
	connsShare = 0.5
	// defaultMemory is the memory limit in bytes if Daemon.Memory is nil.
	defaultMemory = 512 << 20
	// agentDialTimeout limits one attempt to connect to an agent that admits requests.
	// It is short because another engine can be tried instead.
	agentDialTimeout = 250 * time.Millisecond
	// defaultLinger is used if Daemon.Linger is zero. A load balancer needs about this
	// long to notice a failing health check.
	defaultLinger = 3 * time.Second
)

// Daemon is one entry. Its fields are set before Run.
type Daemon struct {
	// Host provides name, log, meter and network. ListenAddress is the IP:port for
	// callers.
	Host          host.Host
	ListenAddress string
	// NewListener opens the listener for callers; nil means plain TCP.
	NewListener func(address string) (net.Listener, error)
	// Control lists the addresses of the control replicas, nearest first.
	Control []string
	// Refresh is passed to uplink.Uplink; it returns the current addresses of the
	// replicas.
	Refresh func() []string
	// Linger is how long requests are still accepted after the health check has started
	// to fail for a planned stop; zero means three seconds.
	Linger time.Duration
	// Grace is the longest time that the process may run after a planned stop has
	// begun; zero means no limit.
	Grace time.Duration
	// MaxBodyBytes is the size of the largest accepted request body; zero means 4 MiB.
	MaxBodyBytes int64
	// ChooseEndpoint replaces the rules of package picker, and InferClass those of
	// package class; nil keeps them.
	ChooseEndpoint func(candidates []picker.Candidate) int
	InferClass     func(class.Features) call.Class
	// Grant replaces the exchange of tokens with control; nil keeps it.
	Grant func(ctx context.Context, request *plane.GrantRequest, reply *plane.GrantReply) error
	// Send sends a request of an opaque route to an endpoint. If nil, the entry serves
	// no opaque routes; if set, it serves them also while control is unreachable.
	Send func(ctx context.Context, c *direct.Call) (*direct.Answer, error)
	// RetryBudget is the fleet's retry budget per service; zero means budget.Default.
	// Control must be set to the same budget.
	RetryBudget budget.Limit
	// HedgeShare is the largest share of the requests for a service that are hedged, for
	// services whose configuration sets none; zero hedges none of them.
	HedgeShare float64
	// QuotaWindow is limit.Limiter.QuotaWindow; zero takes tokens on arrival. Control must
	// be set to the same window.
	QuotaWindow time.Duration
	// BootTime is the boot clock for clock.SuspendDetector; nil means that a suspension of
	// the VM is not detected.
	BootTime func() time.Time
	// NewHandler returns the HTTP handler for callers; nil means that of package front.
	NewHandler func(p *HandlerParts) http.Handler
	// Memory bounds what is held for callers and endpoints; nil means that of a process with
	// defaultMemory.
	Memory *buffer.Pool
	// MaxDescriptors is the number of file descriptors that callers' connections and the
	// connections to endpoints for their requests may use; zero means no bound.
	MaxDescriptors int
}

// HandlerParts is what NewHandler can use to serve callers.
type HandlerParts struct {
	// Host is the daemon's host.
	Host host.Host
	// Chain handles the requests.
	Chain *chain.Chain
	// Ready reports whether the entry may get requests, and Draining whether it is
	// stopping. Enter counts a request as running until the returned function is
	// called.
	Ready    func() bool
	Draining func() bool
	Enter    func() func()
	// Limits returns the configured limits on requests.
	Limits func() conf.Limits
	// Precheck returns the refusal of a request whose key or route would be refused whatever
	// its body is. It does not change the request.
	Precheck func(r *chain.Request) error
}

// entry holds the components of a running daemon.
type entry struct {
	daemon  *Daemon
	uplink  *uplink.Uplink
	feed    *feed.Feed
	auth    *auth.Auth
	routes  *match.Matcher
	limit   *limit.Limiter
	relay   *relay.Relay
	direct  *direct.Filter
	view    *view.Endpoints
	crashes *crash.Tracker
	origins *finder.Finder
	drain   *drain.Drain
	memory  *buffer.Pool
	conns   *conns.Limiter
	server  *http.Server
}

// Run serves callers until ctx ends and then stops without interrupting a request. It
// returns an error if it cannot listen, or must stop because a later process of the
// same name has started.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := d.listen()
	if err != nil {
		return &Error{Op: "listen " + d.ListenAddress, Kind: KindListen, Err: err}
	}
	e := d.build()
	served := make(chan error, 1)
	go func() { served <- e.server.Serve(e.drain.Track(e.conns.Listen(listener))) }()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group tasks.Group
	failed := make(chan error, 1)
	uplinkCtx, stopUplink := context.WithCancel(context.WithoutCancel(ctx))
	uplinkDone := make(chan struct{})
	go func() { defer close(uplinkDone); e.uplink.Run(uplinkCtx) }()
	group.Go(func() { e.limit.Run(running) })
	group.Go(func() { failed <- e.feed.Run(running) })
	d.Host.Log.Write("entry-started", "listen", d.ListenAddress)
	result := e.wait(ctx, served, failed)
	if result == nil {
		e.drainAndStop(listener, served)
	}
	stop()
	group.Wait()
	// The uplink stops last, since the limiter returns its tokens through it.
	stopUplink()
	<-uplinkDone
	_ = e.server.Close()
	e.relay.Close()
	e.direct.Agents.Close()
	closedIdle, refused := e.drain.Counts()
	d.Host.Log.Write("entry-stopped", "err", result, "idle_connections_closed", closedIdle, "requests_refused", refused)
	return result
}

func (d *Daemon) listen() (net.Listener, error) {
	if d.NewListener != nil {
		return d.NewListener(d.ListenAddress)
	}
	return net.Listen("tcp", d.ListenAddress)
}

// wait returns nil when a planned stop begins, or the error that ends the daemon.
func (e *entry) wait(ctx context.Context, served, failed <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-served:
		return &Error{Op: "serve", Kind: KindServe, Err: err}
	case err := <-failed:
		return err
	}
}

// drainAndStop accepts requests until the load balancer sends no more, then waits for
// the running ones to end. served receives the end of the listener's server.
func (e *entry) drainAndStop(listener net.Listener, served <-chan error) {
	linger := e.daemon.Linger
	if linger == 0 {
		linger = defaultLinger
	}
	e.daemon.Host.Log.Write("entry-draining", "linger", linger)
	e.drain.Begin(linger)
	_ = listener.Close()
	<-served
	// http.Server.Shutdown would read further requests and drop them.
	e.drain.CloseIdle()
	_ = e.drain.Wait(context.Background())
}

func (d *Daemon) build() *entry {
	incarnation := rand.Uint64() | 1
	e := &entry{daemon: d, drain: &drain.Drain{Grace: d.Grace, HeaderTimeout: headerTimeout}}
	e.uplink = &uplink.Uplink{Host: d.Host, Replicas: d.Control, Refresh: d.Refresh}
	endpointPicker := &picker.Picker{DataCentre: d.Host.DataCentre, Choose: d.ChooseEndpoint}
	retryBudget := &retry.Budget{Limit: cmp.Or(d.RetryBudget, budget.Default), EntryCount: e.entryCount}
	e.relay = &relay.Relay{Host: d.Host, Picker: endpointPicker, Budget: retryBudget}
	e.relay.Start()
	e.auth = &auth.Auth{}
	e.view = &view.Endpoints{DataCentre: d.Host.DataCentre}
	e.view.Position = func() (index, count int) { return e.feed.Position() }
	e.direct = &direct.Filter{
		Host: d.Host, Endpoints: e.view, Send: d.Send, Budget: retryBudget, ShutdownTime: e.drain.ExitTime,
		Agents:     &pool.Pool{Dial: d.Host.Dial, DialTimeout: agentDialTimeout},
		HedgeShare: d.HedgeShare, Hedges: &hedge.Policy{OnThreshold: d.setHedgeThreshold},
	}
	e.origins = &finder.Finder{Host: d.Host, Agents: e.direct.Agents, Addresses: e.view.Agents, Needed: e.view.MixesSoftware}
	e.direct.RecordOrigin, e.direct.FindOrigin = e.origins.Record, e.origins.Find
	e.direct.OnNoticeChanged = func() { e.feed.ReportLimits() }
	e.direct.Current = func() bool { return e.feed.Valid() }
	e.direct.Confirm = func(ctx context.Context) bool { return e.feed.Confirm(ctx) }
	e.feed = &feed.Feed{
		Host:        d.Host,
		Incarnation: incarnation,
		Uplink:      e.uplink,
		OnConfig:    e.auth.RecheckKeys,
		OnRoster:    endpointPicker.Update,
		OnExpire:    e.auth.CancelAll,
		OnEndpoints: func(usable map[string][]advert.Record) {
			e.view.Update(usable)
			e.crashes.Update(usable)
			e.origins.Update()
		},
		OnEndpointRecords: func(changed []advert.Record) { e.view.RecordSoftware(changed, time.Now()) },
		OnRelease:         e.direct.AddReleases,
		Limits:            func() []advert.LimitReport { return e.view.LimitReports(time.Now()) },
		OnLimits:          func(reports []advert.LimitReport) { e.view.MergeLimits(reports, time.Now()) },
		BootTime:          d.BootTime,
	}
	e.crashes = &crash.Tracker{Entry: d.Host.VM, Report: e.reportCrash, Refuses: e.refusesConnections, Suspected: e.feed.Suspected, Clear: e.clearSuspect}
	e.direct.Config, e.direct.OnConnectionLost, e.direct.OnSuspectCleared = e.feed.Config, e.crashes.RecordLostRequest, e.feed.ClearSuspect
	e.direct.OnAnswered, e.direct.OnCompleted, e.direct.Quarantined = e.crashes.RecordAnswered, e.crashes.RecordCompleted, e.quarantinedFor
	e.direct.QuarantineChanged = func() <-chan struct{} { return e.feed.QuarantineChanged() }
	e.limit = &limit.Limiter{
		Host: d.Host, Incarnation: incarnation, Config: e.feed.Config, Grant: e.grant, BootTime: d.BootTime, RetryLimit: retryBudget.Limit,
		QuotaWindow: d.QuotaWindow,
	}
	retryBudget.Report, retryBudget.Lease, retryBudget.LeaseHedge = e.limit.ReportRequest, e.limit.AcquireRetry, e.limit.AcquireHedge
	if d.Send != nil {
		e.limit.EntryCount = e.feed.KnownEntries
	}
	e.memory = d.Memory
	if e.memory == nil {
		e.memory = buffer.New(defaultMemory)
	}
	e.conns = e.newConnLimiter()
	e.server = &http.Server{
		Handler: e.drain.Announce(e.handler(endpointPicker)),
		ConnState: func(conn net.Conn, state http.ConnState) {
			e.drain.TrackConnection(conn, state)
			e.conns.TrackState(conn, state)
		},
	}
	return e
}

// newConnLimiter returns the limiter of callers' connections, which applies the operators'
// limits on headers and idle connections.
func (e *entry) newConnLimiter() *conns.Limiter {
	return &conns.Limiter{
		Host: e.daemon.Host, Name: "callers", MaxDescriptors: e.daemon.MaxDescriptors, MaxBytes: int64(float64(e.memory.Bound) * connsShare),
		Limits: e.limits, Account: e.memory.Account, YieldRequest: e.memory.YieldRequest,
	}
}

// handler returns the HTTP handler for callers.
func (e *entry) handler(endpointPicker *picker.Picker) http.Handler {
	if e.daemon.NewHandler == nil {
		return e.front(endpointPicker).Handler()
	}
	return e.daemon.NewHandler(&HandlerParts{
		Host: e.daemon.Host, Chain: e.chain(endpointPicker), Ready: e.ready,
		Draining: e.drain.Draining, Enter: e.drain.Enter, Limits: e.limits, Precheck: e.precheck,
	})
}

// setHedgeThreshold shows the time after which requests of a route are hedged, in
// microseconds; 0 means that it is not known.
func (d *Daemon) setHedgeThreshold(service, route string, threshold time.Duration) {
	d.Host.Meter.Set("hedge_threshold_us_"+service+"_"+route, threshold.Microseconds())
}

// entryCount returns the number of entries that control knows of, 0 while it is not
// known.
func (e *entry) entryCount() int { return e.feed.KnownEntries() }

// ready reports whether the entry may get requests. An entry that serves opaque routes
// may get them without authority as well.
func (e *entry) ready() bool {
	if e.daemon.Send != nil {
		return e.feed.Config() != nil
	}
	return e.feed.Valid()
}

func (e *entry) limits() conf.Limits {
	config := e.feed.Config()
	if config == nil {
		return conf.Limits{}
	}
	return config.Limits
}

// precheck returns the refusal of a request whose key or route would be refused whatever its
// body is. It works on a copy, since filters change requests.
func (e *entry) precheck(r *chain.Request) error {
	probe := *r
	probe.Header = r.Header.Clone()
	accept := func(context.Context, *chain.Request, chain.Next) error { return nil }
	checks := &chain.Chain{Filters: []chain.Filter{e.auth.StripKeys, e.routes.Do, accept}}
	return checks.Run(context.Background(), &probe)
}

func (e *entry) front(endpointPicker *picker.Picker) *front.Front {
	return &front.Front{
		Host:         e.daemon.Host,
		Chain:        e.chain(endpointPicker),
		Ready:        e.ready,
		Draining:     e.drain.Draining,
		Enter:        e.drain.Enter,
		MaxBodyBytes: e.daemon.MaxBodyBytes,
		Memory:       e.memory,
	}
}

func (e *entry) chain(endpointPicker *picker.Picker) *chain.Chain {
	e.routes = &match.Matcher{Config: e.feed.Config, Valid: e.feed.Valid}
	e.auth.Config = e.feed.Config
	e.auth.RoutesFor = e.routes.RoutesFor
	claims := &once.Filter{Host: e.daemon.Host, ExchangeClaim: e.claim, ProbeAttempt: e.relay.Probe, FindAgent: endpointPicker.Lookup}
	return &chain.Chain{Filters: []chain.Filter{
		(&trace.Tracer{Host: e.daemon.Host, CountObjective: e.feed.CountRequest}).Do,
		e.drain.RefuseAtExit,
		e.auth.StripKeys,
		e.routes.Do,
		e.drain.RefuseLate,
		e.auth.WatchKey,
		(&guard.Guard{Banned: e.feed.Quarantined}).Do,
		(&class.Classifier{Infer: e.daemon.InferClass}).Do,
		claims.Do,
		e.limit.Do,
		e.direct.Do,
		e.relay.Do,
	}}
}

func (e *entry) grant(ctx context.Context, request *plane.GrantRequest, reply *plane.GrantReply) error {
	if e.daemon.Grant != nil {
		return e.daemon.Grant(ctx, request, reply)
	}
	return callControl(ctx, e.uplink, plane.MethodGrant, request, reply)
}

func (e *entry) claim(ctx context.Context, request *plane.ClaimRequest, reply *plane.ClaimReply) error {
	return callControl(ctx, e.uplink, plane.MethodClaim, request, reply)
}

// callControl calls control and returns when ctx ends at the latest, even if the
// replica does not reply. A reply that comes later is dropped.
func callControl[R any](ctx context.Context, link *uplink.Uplink, method string, request any, reply *R) error {
	type result struct {
		reply R
		err   error
	}
	done := make(chan result, 1)
	go func() {
		var r result
		r.err = link.Call(ctx, method, request, &r.reply)
		done <- r
	}()
	select {
	case r := <-done:
		*reply = r.reply
		return r.err
	case <-ctx.Done():
		return &Error{Op: method, Kind: KindControl, Err: ctx.Err()}
	}
}
