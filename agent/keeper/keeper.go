// Package keeper runs the agent beside an engine to which the entries send their requests
// directly. The agent admits the requests, sends the engine its orders and polls its reports.
//
// An engine takes orders from its agent only, so that orders never conflict and need no lease.
// Requests do not pass through the agent, so that none of them is interrupted when the agent
// stops.
package keeper

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/gate"
	"github.com/tanagerspindle/tanagerspindle/agent/lora"
	"github.com/tanagerspindle/tanagerspindle/agent/pace"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/notify"
	"github.com/tanagerspindle/tanagerspindle/pkg/pacer"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindListen Kind = "cannot listen"
	KindServe  Kind = "cannot serve entries"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// idleReportInterval and busyReportInterval are the times between two reports while the
	// engine loads nothing and while it loads a model or an adapter. The latter is a tenth of
	// the time that an adapter load takes.
	idleReportInterval = 150 * time.Millisecond
	busyReportInterval = 25 * time.Millisecond
	// slowReportInterval is the time between two reports of a running engine whose pace is not
	// known yet, or that was slow at a moment within slowRetention. A slow moment takes some
	// hundred milliseconds, and prompts that are admitted before it is noticed delay all running
	// streams.
	slowReportInterval = 30 * time.Millisecond
	slowRetention      = 10 * time.Second
	// reportTimeout bounds the request for a report; the engine is on the same VM.
	reportTimeout = 400 * time.Millisecond
	// maxFailedReports is how many requests for a report in a row may be refused or broken off
	// before the engine counts as down.
	maxFailedReports = 2
	// maxStepInterval is the longest time between two passes over the waiting requests. Their
	// estimates change as time passes, even if nothing happens.
	maxStepInterval = 10 * time.Millisecond
	// engineRetryDelay is the retry delay sent to entries when the engine is down or leaving
	// or holds no model. Entries learn of such a state in about the same time.
	engineRetryDelay = 250 * time.Millisecond
)

// Keeper is one agent. Exported fields are set before Run.
type Keeper struct {
	// Host provides log, metrics and network.
	Host host.Host
	// ListenAddress is the address for entries, as IP:port.
	ListenAddress string
	// FetchReport requests a report from the engine, and SendOrder sends it an order. An error
	// of SendOrder means that the engine may have accepted the order.
	FetchReport func(ctx context.Context) (*Report, error)
	SendOrder   func(ctx context.Context, order *Order) (Outcome, error)
	// EngineConfig returns the engine's configuration; nil while it is unknown.
	EngineConfig func() *conf.Engine
	// Endpoint returns the engine's name; empty while it is unknown.
	Endpoint func() string
	// RequestPermit asks control for permission to load a base model. It returns the time
	// after which to ask again; zero permits the load. If RequestPermit is nil, no permission
	// is needed.
	RequestPermit func(ctx context.Context) (wait time.Duration, err error)
	// Handlers serve further methods to the entries; nil if there are none.
	Handlers map[string]link.Handler
	// BootTime is the boot clock for clock.SuspendDetector; nil means that a suspension of the
	// VM is not detected.
	BootTime func() time.Time

	once      sync.Once
	mutex     sync.Mutex
	admission gate.Controller
	adapters  lora.Cache
	// tasks holds the waiting and the running requests.
	tasks map[*gate.Request]*task
	// lastReport is nil before the first report, and kept while the engine counts as down.
	// failedReports is the number of requests for a report in a row that failed other than by a
	// timeout, and unansweredReports that of those that timed out. unansweredSince is when the
	// first of the requests was sent that the engine has not answered; zero if there is none.
	lastReport        *Report
	failedReports     int
	unansweredReports int
	unansweredSince   time.Time
	// down is set while the engine counts as down.
	down     bool
	stopping bool
	// notices is what the engine said of itself in its answers to this agent.
	notices advert.Notices
	// pacer keeps the engine's limit.
	pacer pacer.Pacer
	// enginePace estimates the engine's pace from its reports. slowAt is when the engine was
	// last seen to be slow.
	enginePace pace.Estimator
	slowAt     time.Time
	// orderInFlight is set while an order is sent to the engine.
	orderInFlight bool
	// nextSeq is the ExpectedSeq of the next order, valid while seqKnown is set. lastAnswer is
	// when the last order was answered or failed.
	nextSeq    uint64
	seqKnown   bool
	lastAnswer time.Time
	// modelLoadStart is when the load of a base model was ordered; zero when none is in
	// progress. permitInFlight is set during a permit request. permit is control's permission
	// to load one, nil without one. permitFailingSince is when the first of the failed permit
	// requests in a row ended; zero after a successful one. nextPermitRequest is the earliest
	// time of the next one.
	modelLoadStart     time.Time
	permitInFlight     bool
	permit             *lease.Lease
	permitFailingSince time.Time
	nextPermitRequest  time.Time
	// changed triggers a step, pollSoon an early request for a report.
	changed    notify.Signal
	pollSoon   notify.Signal
	runContext context.Context
}

func (k *Keeper) prepare() {
	k.once.Do(func() {
		k.tasks = map[*gate.Request]*task{}
		k.runContext = context.Background()
	})
}

// Run serves entries until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.prepare()
	listener, err := k.Host.Listen(k.ListenAddress)
	if err != nil {
		return &Error{Op: "listen on " + k.ListenAddress, Kind: KindListen, Err: err}
	}
	serving, stop := context.WithCancel(ctx)
	defer stop()
	k.mutex.Lock()
	k.runContext = serving
	k.mutex.Unlock()
	var group tasks.Group
	group.Go(func() { k.pollReports(serving) })
	group.Go(func() { k.runSteps(serving) })
	k.Host.Log.Write("keeper-started", "listen", k.ListenAddress)
	handlers := map[string]link.Handler{admit.Method: k.Admit}
	maps.Copy(handlers, k.Handlers)
	err = link.Serve(serving, listener, handlers)
	stop()
	group.Wait()
	k.Host.Log.Write("keeper-stopped", "err", err)
	if err != nil && ctx.Err() == nil {
		return &Error{Op: "serve", Kind: KindServe, Err: err}
	}
	return nil
}

// ApplyReleases sets the adapter versions that new requests need.
func (k *Keeper) ApplyReleases(releases []plane.Release) {
	k.prepare()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, release := range releases {
		k.adapters.RequireVersion(lora.Key{Model: release.Model, Adapter: release.Adapter}, release.Version)
	}
	k.changed.Set()
}

// runSteps calls step after each change, at least every maxStepInterval while requests wait or
// run, and at least every idleReportInterval otherwise.
func (k *Keeper) runSteps(ctx context.Context) {
	timer := time.NewTimer(maxStepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed.C():
		case <-timer.C:
		}
		if k.step(time.Now()) {
			timer.Reset(maxStepInterval)
			continue
		}
		timer.Reset(idleReportInterval)
	}
}

// step admits or refuses the waiting requests, as far as it can decide now, and starts the
// next order. It reports whether requests wait or run; an engine that is leaving counts as
// having none.
func (k *Keeper) step(now time.Time) (hasRequests bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	configured := k.applyConfiguration()
	k.admission.ApplyPace(k.enginePace.Pace(now), k.enginePace.Outstanding(), now)
	if k.down {
		k.refuseAll(admit.ReasonEngineDown)
		return len(k.tasks) > 0
	}
	if k.lastReport == nil {
		if k.silent() {
			k.holdWaiting(now)
		}
		return len(k.tasks) > 0
	}
	if k.lastReport.Draining || k.notices.Leaving() {
		k.refuseAll(admit.ReasonDraining)
		return false
	}
	var wanted []lora.Key
	switch {
	case !configured:
		k.refuseAll(admit.ReasonModelMissing)
	case k.silent():
		k.holdWaiting(now)
		return len(k.tasks) > 0
	default:
		wanted = k.admitWaiting(now)
	}
	k.startNextOrder(wanted, now)
	return len(k.tasks) > 0
}

// applyConfiguration updates the engine's limits from its configuration and reports whether
// they are known.
func (k *Keeper) applyConfiguration() bool {
	engine := k.EngineConfig()
	if engine != nil {
		k.admission.Slots, k.admission.TokenCapacity = int(engine.Slots), engine.MemoryTokens
		k.admission.StepsPerEvent, k.enginePace.StepsPerEvent = int(engine.TokensPerEvent), int(engine.TokensPerEvent)
		k.adapters.Capacity = int(engine.AdapterSlots)
	}
	return k.admission.Slots > 0
}

// admitWaiting goes through the waiting requests in the order of their urgency and admits
// those that fit. It returns the adapters of those that continue to wait.
func (k *Keeper) admitWaiting(now time.Time) []lora.Key {
	var wanted []lora.Key
	full, ahead := false, 0
	k.applyLimit(now)
	for _, r := range k.admission.Waiting(now) {
		t := k.tasks[r]
		limitWait := k.pacer.Wait(ahead, now)
		if limitWait > 0 && now.Sub(r.Arrived)+limitWait > r.Spec.MaxLimitWait.Std() {
			k.refuse(t, &admit.Reply{Reason: admit.ReasonLimited, Wait: retryDelay(limitWait), LoadPermille: k.admission.Load(now)})
			continue
		}
		ahead++
		if !k.lastReport.hasModel(r.Spec.Model) {
			if k.refuseWithoutModel(t, now) {
				continue
			}
			full = true
			continue
		}
		version, ready := int64(0), true
		if r.Spec.Adapter != "" {
			version, ready = k.adapters.Ready(t.adapter, r.Spec.MinVersion)
		}
		if ready && !full && limitWait == 0 && k.admission.Fits(r, now) && k.pacer.Take(now) {
			k.start(t, version, now)
			ahead--
			continue
		}
		full = full || ready
		load := limitWait
		if !ready {
			load = max(load, k.adapters.EstimateWait(t.adapter, wanted, now))
			if k.adapters.Retiring(t.adapter) {
				load += k.remainingRunTime(t.adapter, now)
			}
		}
		if !k.refuseIfLate(t, load, now) && r.Spec.Adapter != "" {
			wanted = append(wanted, t.adapter)
		}
	}
	return wanted
}

// remainingRunTime estimates how long the running requests that use an adapter still take.
func (k *Keeper) remainingRunTime(key lora.Key, now time.Time) time.Duration {
	remaining := time.Duration(0)
	for _, t := range k.tasks {
		if t.adapter == key && !t.started.IsZero() {
			remaining = max(remaining, t.started.Add(k.admission.EstimateRunTime(t.request)).Sub(now))
		}
	}
	return remaining
}

// refuseWithoutModel refuses a request whose base model is not loaded, unless the model is
// loading and expected in time. Another engine that holds the model can start the refused
// request earlier.
func (k *Keeper) refuseWithoutModel(t *task, now time.Time) bool {
	wait := engineRetryDelay
	if k.lastReport.Busy || !k.modelLoadStart.IsZero() {
		wait = k.estimateModelLoad(now)
		if k.admission.MeetsObjective(t.request, wait, now) {
			return false
		}
	}
	k.refuse(t, &admit.Reply{Reason: admit.ReasonModelMissing, Wait: retryDelay(wait)})
	return true
}

// refuseIfLate refuses a waiting request that cannot be served in time after a load of its
// adapter, and reports whether it did.
func (k *Keeper) refuseIfLate(t *task, load time.Duration, now time.Time) bool {
	wait := k.admission.EstimateWait(t.request, load, now)
	if !k.admission.ShouldRefuse(t.request, wait, now) {
		return false
	}
	k.refuse(t, &admit.Reply{Reason: admit.ReasonBusy, Wait: retryDelay(wait), LoadPermille: k.admission.Load(now)})
	return true
}

// refuseAll refuses all waiting requests.
func (k *Keeper) refuseAll(reason admit.Reason) {
	for _, t := range k.tasks {
		if t.started.IsZero() {
			k.refuse(t, &admit.Reply{Reason: reason, Wait: retryDelay(engineRetryDelay)})
		}
	}
}
