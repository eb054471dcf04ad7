// Package keeper runs the agent beside an engine whose requests come from the
// entries directly: it admits them, gives the engine its orders and follows
// its reports.
//
// The agent is the only one to order its engine, so that two never order
// against each other, and none needs a lease for it. Requests do not pass
// through it, so that its end cuts off none of them.
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/gate"
	"github.com/tanagerspindle/tanagerspindle/agent/lora"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/parts"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wake"
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
	// idleReportInterval and busyPoll are the times between two reports while nothing is
	// waited for, and while an adapter is on its way: a tenth of its load.
	idleReportInterval = 150 * time.Millisecond
	busyReportInterval = 25 * time.Millisecond
	// reportTimeout bounds one report from the engine on this VM.
	reportTimeout = 400 * time.Millisecond
	// maxFailedReports is how many reports in a row may fail before the engine counts
	// as down.
	maxFailedReports = 2
	// maxStepInterval is the longest time between two looks at what waits, for
	// what only the passing of time changes.
	maxStepInterval = 10 * time.Millisecond
	// engineRetryDelay is when asking again may help at an engine that is down or
	// leaving, or holds no model: the news of it take about as long.
	engineRetryDelay = 250 * time.Millisecond
)

// Keeper is one agent. Its exported fields are set before Run.
type Keeper struct {
	// Host gives log, meter and network.
	Host host.Host
	// ListenAddress is where entries reach the agent, as IP:port.
	ListenAddress string
	// FetchReport asks the engine for a report, and Order gives it an order. An
	// error of Order means that the order may have been taken.
	FetchReport func(ctx context.Context) (*Report, error)
	SendOrder   func(ctx context.Context, order *Order) (Outcome, error)
	// EngineConfig returns what is configured of the engine; nil while unknown.
	EngineConfig func() *conf.Engine
	// Endpoint returns the engine's name, empty while unknown.
	Endpoint func() string
	// RequestPermit asks control for leave to load a base model, and returns when to
	// ask again; zero allows the load. Nil needs no leave.
	RequestPermit func(ctx context.Context) (wait time.Duration, err error)

	once      sync.Once
	mutex     sync.Mutex
	admission gate.Controller
	adapters  lora.Cache
	// tasks are the requests that wait, by their want.
	tasks         map[*gate.Request]*task
	lastReport    *Report
	failedReports int
	stopping      bool
	// orderInFlight says that an order is on its way to the engine.
	orderInFlight bool
	// nextSeq is the count of orders that the next one must find; it is known
	// when counted is set. answered is when the last order was answered.
	nextSeq    uint64
	seqKnown   bool
	lastAnswer time.Time
	// modelLoadStart is since when a base model is on its way. asking says that leave
	// for it is being asked for, allowed that it was given; refused is since
	// when control has not answered, and askAt when it is asked again.
	modelLoadStart     time.Time
	permitInFlight     bool
	permitGranted      bool
	permitFailingSince time.Time
	nextPermitRequest  time.Time
	changed            wake.Signal
	pollSoon           wake.Signal
	runContext         context.Context
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
	var group parts.Parts
	group.Go(func() { k.pollReports(serving) })
	group.Go(func() { k.runSteps(serving) })
	k.Host.Log.Write("keeper-started", "listen", k.ListenAddress)
	err = link.Serve(serving, listener, map[string]link.Handler{admit.Method: k.Admit})
	stop()
	group.Wait()
	k.Host.Log.Write("keeper-stopped", "err", err)
	if err != nil && ctx.Err() == nil {
		return &Error{Op: "serve", Kind: KindServe, Err: err}
	}
	return nil
}

// ApplyReleases takes versions of adapters that new requests need.
func (k *Keeper) ApplyReleases(releases []plane.Release) {
	k.prepare()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, release := range releases {
		k.adapters.RequireVersion(lora.Key{Model: release.Model, Adapter: release.Adapter}, release.Version)
	}
	k.changed.Set()
}

// runSteps takes a step after each change and each stepInterval.
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

// step admits, refuses and orders what can be now, and reports whether
// anything waits.
func (k *Keeper) step(now time.Time) (waits bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	configured := k.applyConfiguration()
	if k.lastReport == nil {
		if k.failedReports >= maxFailedReports {
			k.refuseAll(admit.ReasonDown)
		}
		return len(k.tasks) > 0
	}
	if k.lastReport.Leaving {
		k.refuseAll(admit.ReasonLeaving)
		return false
	}
	var wanted []lora.Key
	if configured {
		wanted = k.admitWaiting(now)
	} else {
		k.refuseAll(admit.ReasonEmpty)
	}
	k.startNextOrder(wanted, now)
	return len(k.tasks) > 0
}

// applyConfiguration takes the engine's size from the configuration, and reports whether
// it is known.
func (k *Keeper) applyConfiguration() bool {
	engine := k.EngineConfig()
	if engine != nil {
		k.admission.Slots, k.admission.TokenCapacity = int(engine.Slots), engine.Tokens
		k.adapters.Capacity = int(engine.Places)
	}
	return k.admission.Slots > 0
}

// admitWaiting goes through the waiting requests in their order, and returns the
// adapters of those that go on waiting.
func (k *Keeper) admitWaiting(now time.Time) []lora.Key {
	var wanted []lora.Key
	full := false
	for _, w := range k.admission.Waiting(now) {
		t := k.tasks[w]
		if !k.lastReport.hasModel(w.Spec.Model) {
			if k.refuseWithoutModel(t, now) {
				continue
			}
			full = true
			continue
		}
		version, ready := int64(0), true
		if w.Spec.Adapter != "" {
			version, ready = k.adapters.Ready(t.adapter, w.Spec.Version)
		}
		if ready && !full && k.admission.Fits(w, now) {
			k.start(t, version, now)
			continue
		}
		full = full || ready
		load := time.Duration(0)
		if !ready {
			load = k.adapters.EstimateWait(t.adapter, wanted, now)
			if k.adapters.Retiring(t.adapter) {
				load += k.remainingRunTime(t.adapter, now)
			}
		}
		if !k.refuseIfLate(t, load, now) && w.Spec.Adapter != "" {
			wanted = append(wanted, t.adapter)
		}
	}
	return wanted
}

// remainingRunTime estimates how long the requests at the engine that use an adapter
// still take.
func (k *Keeper) remainingRunTime(key lora.Key, now time.Time) time.Duration {
	left := time.Duration(0)
	for _, t := range k.tasks {
		if t.adapter == key && !t.started.IsZero() {
			left = max(left, t.started.Add(t.request.EstimateRunTime()).Sub(now))
		}
	}
	return left
}

// refuseWithoutModel refuses a request whose base model is not there, unless it comes
// in time. Another engine has it sooner, and takes the request in place of
// this one.
func (k *Keeper) refuseWithoutModel(t *task, now time.Time) bool {
	wait := engineRetryDelay
	if k.lastReport.Busy || !k.modelLoadStart.IsZero() {
		wait = k.estimateModelLoad(now)
		if k.admission.MeetsObjective(t.request, wait, now) {
			return false
		}
	}
	k.refuse(t, &admit.Reply{Reason: admit.ReasonEmpty, Wait: retryDelay(wait)})
	return true
}

// refuseIfLate refuses a waiting request that could not be served in time after a
// load of its adapter, and reports whether it did.
func (k *Keeper) refuseIfLate(t *task, load time.Duration, now time.Time) bool {
	wait := k.admission.EstimateWait(t.request, load, now)
	if !k.admission.ShouldRefuse(t.request, wait, now) {
		return false
	}
	k.refuse(t, &admit.Reply{Reason: admit.ReasonBusy, Wait: retryDelay(wait), Load: k.admission.Load(now)})
	return true
}

func (k *Keeper) refuseAll(reason admit.Reason) {
	for _, t := range k.tasks {
		if t.started.IsZero() {
			k.refuse(t, &admit.Reply{Reason: reason, Wait: retryDelay(engineRetryDelay)})
		}
	}
}
