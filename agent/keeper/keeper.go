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
	"github.com/tanagerspindle/tanagerspindle/agent/shelf"
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
	// Listen is where entries reach the agent, as IP:port.
	Listen string
	// Report asks the engine for a report, and Order gives it an order. An
	// error of Order means that the order may have been taken.
	Report func(ctx context.Context) (*Report, error)
	Order  func(ctx context.Context, order *Order) (Outcome, error)
	// Engine returns what is configured of the engine; nil while unknown.
	Engine func() *conf.Engine
	// Endpoint returns the engine's name, empty while unknown.
	Endpoint func() string
	// Permit asks control for leave to load a base model, and returns when to
	// ask again; zero allows the load. Nil needs no leave.
	Permit func(ctx context.Context) (wait time.Duration, err error)

	once  sync.Once
	mutex sync.Mutex
	gate  gate.Gate
	shelf shelf.Shelf
	// tasks are the requests that wait, by their want.
	tasks   map[*gate.Want]*task
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
		k.tasks = map[*gate.Want]*task{}
		k.context = context.Background()
	})
}

// Run serves entries until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.prepare()
	listener, err := k.Host.Listen(k.Listen)
	if err != nil {
		return &Error{Op: "listen on " + k.Listen, Kind: KindListen, Err: err}
	}
	serving, stop := context.WithCancel(ctx)
	defer stop()
	k.mutex.Lock()
	k.context = serving
	k.mutex.Unlock()
	var group tasks.Group
	group.Go(func() { k.poll(serving) })
	group.Go(func() { k.look(serving) })
	k.Host.Log.Write("keeper-started", "listen", k.Listen)
	err = link.Serve(serving, listener, map[string]link.Handler{admit.Method: k.Admit})
	stop()
	group.Wait()
	k.Host.Log.Write("keeper-stopped", "err", err)
	if err != nil && ctx.Err() == nil {
		return &Error{Op: "serve", Kind: KindServe, Err: err}
	}
	return nil
}

// Release takes versions of adapters that new requests need.
func (k *Keeper) Release(releases []plane.Release) {
	k.prepare()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, release := range releases {
		k.shelf.Release(shelf.Key{Model: release.Model, Adapter: release.Adapter}, release.Version)
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
	var wanted []shelf.Key
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
	engine := k.Engine()
	if engine != nil {
		k.gate.Slots, k.gate.Tokens = int(engine.Slots), engine.MemoryTokens
		k.shelf.Places = int(engine.AdapterSlots)
	}
	return k.gate.Slots > 0
}

// admitAll goes through the waiting requests in their order, and returns the
// adapters of those that go on waiting.
func (k *Keeper) admitAll(now time.Time) []shelf.Key {
	var wanted []shelf.Key
	full := false
	for _, w := range k.gate.Waiting(now) {
		t := k.tasks[w]
		if !k.last.holds(w.Ask.Model) {
			if k.refuseModel(t, now) {
				continue
			}
			full = true
			continue
		}
		version, ready := int64(0), true
		if w.Ask.Adapter != "" {
			version, ready = k.shelf.Ready(t.key, w.Ask.MinVersion)
		}
		if ready && !full && k.gate.Fits(w, now) {
			k.begin(t, version, now)
			continue
		}
		full = full || ready
		load := time.Duration(0)
		if !ready {
			load = k.shelf.Wait(t.key, wanted, now)
			if k.shelf.Retiring(t.key) {
				load += k.runsLeft(t.key, now)
			}
		}
		if !k.giveUp(t, load, now) && w.Ask.Adapter != "" {
			wanted = append(wanted, t.key)
		}
	}
	return wanted
}

// runsLeft estimates how long the requests at the engine that use an adapter
// still take.
func (k *Keeper) runsLeft(key shelf.Key, now time.Time) time.Duration {
	left := time.Duration(0)
	for _, t := range k.tasks {
		if t.key == key && !t.begun.IsZero() {
			left = max(left, t.begun.Add(t.want.Life()).Sub(now))
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
		if k.gate.Timely(t.want, wait, now) {
			return false
		}
	}
	k.finish(t, &admit.Reply{Reason: admit.ReasonModelMissing, Wait: waitOf(wait)})
	return true
}

// giveUp refuses a waiting request that could not be served in time after a
// load of its adapter, and reports whether it did.
func (k *Keeper) giveUp(t *task, load time.Duration, now time.Time) bool {
	wait := k.gate.Wait(t.want, load, now)
	if !k.gate.Hopeless(t.want, wait, now) {
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
