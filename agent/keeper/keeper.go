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
	"github.com/tanagerspindle/tanagerspindle/pkg/notify"
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
	// idlePoll and busyPoll are the times between two reports while nothing is
	// waited for, and while an adapter is on its way: a tenth of its load.
	idlePoll = 150 * time.Millisecond
	busyPoll = 25 * time.Millisecond
	// reportTimeout bounds one report from the engine on this VM.
	reportTimeout = 400 * time.Millisecond
	// downAfter is how many reports in a row may fail before the engine counts
	// as down.
	downAfter = 2
	// stepInterval is the longest time between two looks at what waits, for
	// what only the passing of time changes.
	stepInterval = 10 * time.Millisecond
	// engineLater is when asking again may help at an engine that is down or
	// leaving, or holds no model: the news of it take about as long.
	engineLater = 250 * time.Millisecond
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

	once  sync.Once
	mutex sync.Mutex
	gate  gate.Controller
	shelf lora.Cache
	// tasks are the requests that wait, by their want.
	tasks   map[*gate.Request]*task
	last    *Report
	failed  int
	leaving bool
	// ordering says that an order is on its way to the engine.
	ordering bool
	// expected is the count of orders that the next one must find; it is known
	// when counted is set. answered is when the last order was answered.
	expected uint64
	counted  bool
	answered time.Time
	// loading is since when a base model is on its way. asking says that leave
	// for it is being asked for, allowed that it was given; refused is since
	// when control has not answered, and askAt when it is asked again.
	loading time.Time
	asking  bool
	allowed bool
	refused time.Time
	askAt   time.Time
	kick    notify.Signal
	polled  notify.Signal
	context context.Context
}

func (k *Keeper) prepare() {
	k.once.Do(func() {
		k.tasks = map[*gate.Request]*task{}
		k.context = context.Background()
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
	k.context = serving
	k.mutex.Unlock()
	var group tasks.Group
	group.Go(func() { k.poll(serving) })
	group.Go(func() { k.look(serving) })
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
		k.shelf.RequireVersion(lora.Key{Model: release.Model, Adapter: release.Adapter}, release.Version)
	}
	k.kick.Set()
}

// look takes a step after each change and each stepInterval.
func (k *Keeper) look(ctx context.Context) {
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.kick.C():
		case <-timer.C:
		}
		if k.step(time.Now()) {
			timer.Reset(stepInterval)
			continue
		}
		timer.Reset(idlePoll)
	}
}

// step admits, refuses and orders what can be now, and reports whether
// anything waits.
func (k *Keeper) step(now time.Time) (waits bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	configured := k.configure()
	if k.last == nil {
		if k.failed >= downAfter {
			k.refuseAll(admit.ReasonEngineDown)
		}
		return len(k.tasks) > 0
	}
	if k.last.Leaving {
		k.refuseAll(admit.ReasonDraining)
		return false
	}
	var wanted []lora.Key
	if configured {
		wanted = k.admitAll(now)
	} else {
		k.refuseAll(admit.ReasonModelMissing)
	}
	k.nextOrder(wanted, now)
	return len(k.tasks) > 0
}

// configure takes the engine's size from the configuration, and reports whether
// it is known.
func (k *Keeper) configure() bool {
	engine := k.EngineConfig()
	if engine != nil {
		k.gate.Slots, k.gate.TokenCapacity = int(engine.Slots), engine.MemoryTokens
		k.shelf.Capacity = int(engine.AdapterSlots)
	}
	return k.gate.Slots > 0
}

// admitAll goes through the waiting requests in their order, and returns the
// adapters of those that go on waiting.
func (k *Keeper) admitAll(now time.Time) []lora.Key {
	var wanted []lora.Key
	full := false
	for _, w := range k.gate.Waiting(now) {
		t := k.tasks[w]
		if !k.last.holds(w.Spec.Model) {
			if k.refuseModel(t, now) {
				continue
			}
			full = true
			continue
		}
		version, ready := int64(0), true
		if w.Spec.Adapter != "" {
			version, ready = k.shelf.Ready(t.key, w.Spec.MinVersion)
		}
		if ready && !full && k.gate.Fits(w, now) {
			k.begin(t, version, now)
			continue
		}
		full = full || ready
		load := time.Duration(0)
		if !ready {
			load = k.shelf.EstimateWait(t.key, wanted, now)
			if k.shelf.Retiring(t.key) {
				load += k.runsLeft(t.key, now)
			}
		}
		if !k.giveUp(t, load, now) && w.Spec.Adapter != "" {
			wanted = append(wanted, t.key)
		}
	}
	return wanted
}

// runsLeft estimates how long the requests at the engine that use an adapter
// still take.
func (k *Keeper) runsLeft(key lora.Key, now time.Time) time.Duration {
	left := time.Duration(0)
	for _, t := range k.tasks {
		if t.key == key && !t.begun.IsZero() {
			left = max(left, t.begun.Add(t.want.EstimateRunTime()).Sub(now))
		}
	}
	return left
}

// refuseModel refuses a request whose base model is not there, unless it comes
// in time. Another engine has it sooner, and takes the request in place of
// this one.
func (k *Keeper) refuseModel(t *task, now time.Time) bool {
	wait := engineLater
	if k.last.Busy || !k.loading.IsZero() {
		wait = k.modelWait(now)
		if k.gate.MeetsObjective(t.want, wait, now) {
			return false
		}
	}
	k.finish(t, &admit.Reply{Reason: admit.ReasonModelMissing, Wait: waitOf(wait)})
	return true
}

// giveUp refuses a waiting request that could not be served in time after a
// load of its adapter, and reports whether it did.
func (k *Keeper) giveUp(t *task, load time.Duration, now time.Time) bool {
	wait := k.gate.EstimateWait(t.want, load, now)
	if !k.gate.ShouldRefuse(t.want, wait, now) {
		return false
	}
	k.finish(t, &admit.Reply{Reason: admit.ReasonBusy, Wait: waitOf(wait), LoadPermille: k.gate.Load(now)})
	return true
}

func (k *Keeper) refuseAll(reason admit.Reason) {
	for _, t := range k.tasks {
		if t.begun.IsZero() {
			k.finish(t, &admit.Reply{Reason: reason, Wait: waitOf(engineLater)})
		}
	}
}
