// Package daemon wires an entry together: callers' requests come in over
// HTTP and go through the chain to agents.
package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/auth"
	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/class"
	"github.com/tanagerspindle/tanagerspindle/entry/crash"
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/entry/drain"
	"github.com/tanagerspindle/tanagerspindle/entry/front"
	"github.com/tanagerspindle/tanagerspindle/entry/guard"
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
	// KindControl says that control did not answer in time.
	KindControl Kind = "no answer from control"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// headerLimit bounds the time in which a caller's header arrives, and
	// idleLimit the time between two requests of a connection.
	headerLimit = 10 * time.Second
	idleLimit   = 2 * time.Minute
	// agentLimit bounds one attempt to connect to an agent that admits
	// requests; another engine can be asked instead.
	agentLimit = 250 * time.Millisecond
	// defaultLinger is how long the balancer needs to notice a red health
	// check, when Daemon.Linger is zero.
	defaultLinger = 3 * time.Second
)

// Daemon is one entry. Its fields are set before Run.
type Daemon struct {
	// Host gives name, log, meter and network. Listen accepts callers on
	// IP:port.
	Host          host.Host
	ListenAddress string
	// NewListener listens for callers; nil means plain TCP.
	NewListener func(address string) (net.Listener, error)
	// Control holds the addresses of the replicas, nearest first.
	Control []string
	// Refresh is that of uplink.Uplink.
	Refresh func() []string
	// Linger is how long requests are accepted after the health check has
	// turned red at a planned stop; zero means three seconds.
	Linger time.Duration
	// Grace is how long the process may run after a planned stop has begun;
	// zero sets no bound.
	Grace time.Duration
	// MaxBodyBytes is the largest request body in bytes; zero means 4 MiB.
	MaxBodyBytes int64
	// ChooseEndpoint replaces the picker's rules, and Infer those of class; nil keeps
	// them.
	ChooseEndpoint func(candidates []picker.Candidate) int
	InferClass     func(class.Features) call.Class
	// Grant replaces the exchange of tokens with control; nil keeps it.
	Grant func(ctx context.Context, ask *plane.GrantRequest, reply *plane.GrantReply) error
	// Send sends requests of opaque routes to endpoints; nil serves no such
	// routes. An entry with it serves them also while control is out of reach.
	Send func(ctx context.Context, c *direct.Call) (*direct.Answer, error)
	// RetryBound bounds the repeats to each service over all entries; zero means
	// repeat.Default. Control has the same bound.
	RetryBound budget.Limit
	// Boot is that of clock.Watch; nil counts in Go's own time.
	Boot func() time.Time
	// NewHandler replaces the handler of callers' requests; nil keeps it.
	NewHandler func(p *HandlerParts) http.Handler
}

// HandlerParts is what a caller's face builds on.
type HandlerParts struct {
	// Host is the daemon's.
	Host host.Host
	// Chain runs the requests.
	Chain *chain.Chain
	// Ready reports whether the entry may get requests, Draining whether it
	// stops; Enter counts a request until the returned function is called.
	Ready    func() bool
	Draining func() bool
	Enter    func() func()
	// Limits returns the configured bounds of requests.
	Limits func() conf.Limits
}

// entry is the running parts of a daemon.
type entry struct {
	daemon *Daemon
	uplink *uplink.Uplink
	feed   *feed.Feed
	auth   *auth.Auth
	limit  *limit.Limiter
	relay  *relay.Relay
	direct *direct.Filter
	view   *view.Endpoints
	blame  *crash.Tracker
	drain  *drain.Drain
	server *http.Server
}

// Run serves callers until ctx ends and then stops without cutting off a
// request. It returns an error when it cannot listen or must stop because a
// later process of the same name has started.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := d.accept()
	if err != nil {
		return &Error{Op: "listen " + d.ListenAddress, Kind: KindListen, Err: err}
	}
	e := d.build()
	served := make(chan error, 1)
	go func() { served <- e.server.Serve(listener) }()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group tasks.Group
	failed := make(chan error, 1)
	uplinked, stopUplink := context.WithCancel(context.WithoutCancel(ctx))
	linked := make(chan struct{})
	go func() { defer close(linked); e.uplink.Run(uplinked) }()
	group.Go(func() { e.limit.Run(running) })
	group.Go(func() { failed <- e.feed.Run(running) })
	d.Host.Log.Write("entry-started", "listen", d.ListenAddress)
	result := e.wait(ctx, served, failed)
	if result == nil {
		e.stop()
	}
	stop()
	group.Wait()
	stopUplink()
	<-linked
	_ = e.server.Close()
	e.relay.Close()
	e.direct.Agents.Close()
	d.Host.Log.Write("entry-stopped", "err", result)
	return result
}

func (d *Daemon) accept() (net.Listener, error) {
	if d.NewListener != nil {
		return d.NewListener(d.ListenAddress)
	}
	return net.Listen("tcp", d.ListenAddress)
}

// wait returns nil when a planned stop begins.
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

// stop keeps accepting while the balancer lets go, then waits for all that
// runs.
func (e *entry) stop() {
	linger := e.daemon.Linger
	if linger == 0 {
		linger = defaultLinger
	}
	e.daemon.Host.Log.Write("entry-draining", "linger", linger)
	e.drain.Begin(linger)
	_ = e.server.Shutdown(context.Background())
	_ = e.drain.Wait(context.Background())
}

func (d *Daemon) build() *entry {
	incarnation := rand.Uint64() | 1
	e := &entry{daemon: d, drain: &drain.Drain{Grace: d.Grace}}
	e.uplink = &uplink.Uplink{Host: d.Host, Replicas: d.Control, Refresh: d.Refresh}
	choice := &picker.Picker{DataCentre: d.Host.DataCentre, Choose: d.ChooseEndpoint}
	budget := &retry.Budget{Bound: cmp.Or(d.RetryBound, budget.Default), EntryCount: e.entries}
	e.relay = &relay.Relay{Host: d.Host, Picker: choice, Budget: budget}
	e.relay.Start()
	e.auth = &auth.Auth{}
	e.view = &view.Endpoints{DataCentre: d.Host.DataCentre}
	e.direct = &direct.Filter{
		Host: d.Host, Endpoints: e.view, Send: d.Send, Budget: budget, ShutdownTime: e.drain.ExitTime,
		Agents: &pool.Pool{Dial: d.Host.Dial, DialTimeout: agentLimit},
	}
	e.feed = &feed.Feed{
		Host:        d.Host,
		Incarnation: incarnation,
		Uplink:      e.uplink,
		OnConfig:    e.auth.RecheckKeys,
		OnRoster:    choice.Update,
		OnExpire:    e.auth.CancelAll,
		OnEndpoints: func(usable map[string][]advert.Record) {
			e.view.Update(usable)
			e.blame.Update(usable)
		},
		OnRelease: e.direct.AddReleases,
		BootTime:  d.Boot,
	}
	e.blame = &crash.Tracker{Entry: d.Host.VM, Report: e.feed.ReportCrash}
	e.direct.Config, e.direct.OnConnectionLost, e.direct.OnSuspectCleared = e.feed.Config, e.blame.RecordLostRequest, e.feed.ClearSuspect
	e.limit = &limit.Limiter{
		Host: d.Host, Incarnation: incarnation, Config: e.feed.Config, Grant: e.grant, Boot: d.Boot, RetryBound: budget.Bound,
	}
	budget.Report, budget.Lease = e.limit.ReportRequest, e.limit.AcquireRetry
	if d.Send != nil {
		e.limit.EntryCount = e.feed.KnownEntries
	}
	e.server = &http.Server{
		Handler:           e.handler(choice),
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleLimit,
	}
	return e
}

// handler returns the face towards callers.
func (e *entry) handler(choice *picker.Picker) http.Handler {
	if e.daemon.NewHandler == nil {
		return e.front(choice).Handler()
	}
	return e.daemon.NewHandler(&HandlerParts{
		Host: e.daemon.Host, Chain: e.chain(choice), Ready: e.ready,
		Draining: e.drain.Draining, Enter: e.drain.Enter, Limits: e.limits,
	})
}

// entries returns how many entries control hears of, 0 while that is not known.
func (e *entry) entries() int { return e.feed.KnownEntries() }

// ready reports whether the entry may get requests. One that serves opaque
// routes does so without authority too.
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

func (e *entry) front(choice *picker.Picker) *front.Front {
	return &front.Front{
		Host:         e.daemon.Host,
		Chain:        e.chain(choice),
		Ready:        e.ready,
		Draining:     e.drain.Draining,
		Enter:        e.drain.Enter,
		MaxBodyBytes: e.daemon.MaxBodyBytes,
	}
}

func (e *entry) chain(choice *picker.Picker) *chain.Chain {
	routes := &match.Matcher{Config: e.feed.Config, Valid: e.feed.Valid}
	e.auth.Config = e.feed.Config
	e.auth.RoutesFor = routes.RoutesFor
	claims := &once.Filter{Host: e.daemon.Host, ExchangeClaim: e.claim, ProbeAttempt: e.relay.Probe, FindAgent: choice.Incarnation}
	return &chain.Chain{Filters: []chain.Filter{
		(&trace.Tracer{Host: e.daemon.Host, CountObjective: e.feed.CountRequest}).Do,
		e.auth.StripKeys,
		routes.Do,
		e.auth.WatchKey,
		(&guard.Guard{Banned: e.feed.Quarantined}).Do,
		(&class.Classifier{Infer: e.daemon.InferClass}).Do,
		claims.Do,
		e.limit.Do,
		e.direct.Do,
		e.relay.Do,
	}}
}

func (e *entry) grant(ctx context.Context, ask *plane.GrantRequest, reply *plane.GrantReply) error {
	if e.daemon.Grant != nil {
		return e.daemon.Grant(ctx, ask, reply)
	}
	return exchange(ctx, e.uplink, plane.MethodGrant, ask, reply)
}

func (e *entry) claim(ctx context.Context, ask *plane.ClaimRequest, reply *plane.ClaimReply) error {
	return exchange(ctx, e.uplink, plane.MethodClaim, ask, reply)
}

// exchange calls control and returns no later than ctx ends, also when the
// replica holds the call up. A reply that comes later is dropped.
func exchange[R any](ctx context.Context, link *uplink.Uplink, method string, ask any, reply *R) error {
	type result struct {
		reply R
		err   error
	}
	done := make(chan result, 1)
	go func() {
		var r result
		r.err = link.Call(ctx, method, ask, &r.reply)
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
