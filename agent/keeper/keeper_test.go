package keeper_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/keeper"
	"github.com/tanagerspindle/tanagerspindle/agent/lora"
	"github.com/tanagerspindle/tanagerspindle/agent/pace"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// engine simulates an engine that loads adapters in 250 ms.
type engine struct {
	t       *testing.T
	mutex   sync.Mutex
	held    map[string]int64
	loading map[string]time.Time
	newest  int64
	seq     uint64
	model   bool
	// started is when the engine's process started; 0 stands for 1.
	started int64
	// modelLoadTime is how long a base model takes to load, modelLoadEnd when the load in
	// progress ends.
	modelLoadTime time.Duration
	modelLoadEnd  time.Time
	// cached is set if the base model is on the VM's disk.
	cached bool
	// unconfigured is set while the agent has no configuration, controlDown if control does
	// not answer; controlDown does not change during a test.
	unconfigured, controlDown bool
	// inUse holds the adapters of running requests, replacing the adapter whose replacement
	// waits for them. The engine accepts no other order meanwhile.
	inUse     map[string]bool
	replacing string
	down      bool
	// silentUntil is until when the engine answers nothing. It carries out the orders of that
	// time afterwards.
	silentUntil time.Time
	// agentSuspended is set while timers of the agent expire late: after the silence.
	agentSuspended bool
	// reportDelay is how long a report takes to arrive. runs returns the progress of the running
	// requests; nil if the engine does not report it.
	reportDelay   time.Duration
	runs          func() []pace.Run
	leaving       bool
	loseNextOrder bool
	lostOrders    []keeper.Order
	orderCount    int
	reportCount   int
}

const adapterSlots = 3

// advance ends the loads that are due.
func (e *engine) advance() {
	if !e.modelLoadEnd.IsZero() && !time.Now().Before(e.modelLoadEnd) {
		e.model, e.modelLoadEnd = true, time.Time{}
	}
	for name, at := range e.loading {
		if !time.Now().Before(at) {
			delete(e.loading, name)
			e.held[name] = max(e.newest, 1)
		}
	}
}

// awaitSilence returns once the engine answers again, with an error if ctx ends before.
func (e *engine) awaitSilence(ctx context.Context) error {
	for {
		e.mutex.Lock()
		left, suspended := time.Until(e.silentUntil), e.agentSuspended
		e.mutex.Unlock()
		if left <= 0 {
			return nil
		}
		if suspended {
			time.Sleep(left)
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(left):
		}
	}
}

func (e *engine) report(ctx context.Context) (*keeper.Report, error) {
	if err := e.awaitSilence(ctx); err != nil {
		return nil, err
	}
	report, err := e.state()
	e.mutex.Lock()
	delay := e.reportDelay
	e.mutex.Unlock()
	if delay == 0 {
		return report, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(delay):
		return report, err
	}
}

// state returns the report of the present state.
func (e *engine) state() (*keeper.Report, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	e.reportCount++
	if e.down {
		return nil, fmt.Errorf("refused")
	}
	report := &keeper.Report{StartedMillis: max(e.started, 1), Seq: e.seq, Draining: e.leaving, Busy: !e.modelLoadEnd.IsZero()}
	if e.model {
		report.Models = []string{"m"}
	}
	if e.cached {
		report.Cached = []string{"m"}
	}
	if e.runs != nil {
		report.Runs = e.runs()
	}
	for name, version := range e.held {
		report.Adapters = append(report.Adapters, lora.Status{Key: lora.Key{Model: "m", Adapter: name}, Version: version})
	}
	for name := range e.loading {
		report.Adapters = append(report.Adapters, lora.Status{Key: lora.Key{Model: "m", Adapter: name}, Loading: true})
	}
	return report, nil
}

func (e *engine) order(ctx context.Context, o *keeper.Order) (keeper.Outcome, error) {
	if err := e.awaitSilence(ctx); err != nil {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.orderCount++
		time.AfterFunc(time.Until(e.silentUntil), func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			e.advance()
			e.execute(o)
		})
		return "", err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	e.orderCount++
	if e.loseNextOrder {
		e.loseNextOrder = false
		e.lostOrders = append(e.lostOrders, *o)
		return "", context.DeadlineExceeded
	}
	return e.execute(o), nil
}

func (e *engine) execute(o *keeper.Order) keeper.Outcome {
	if e.replacing != "" && !e.inUse[e.replacing] {
		e.loading[e.replacing], e.replacing = time.Now().Add(250*time.Millisecond), ""
	}
	if o.ExpectedSeq != e.seq || e.replacing != "" {
		return keeper.OutcomeRefused
	}
	e.seq++
	switch {
	case o.Adapter == "":
		e.modelLoadEnd = time.Now().Add(e.modelLoadTime)
		e.advance()
	case o.Load && e.inUse[o.Adapter]:
		e.replacing = o.Adapter
	case o.Load:
		e.loading[o.Adapter] = time.Now().Add(250 * time.Millisecond)
	default:
		delete(e.held, o.Adapter)
		return keeper.OutcomeNoChange
	}
	require.LessOrEqual(e.t, len(e.held)+len(e.loading), adapterSlots+1, "a replacement counts twice here")
	return keeper.OutcomeAccepted
}

// fixture is a keeper with its engine and a session of an entry.
type fixture struct {
	t       *testing.T
	engine  *engine
	keeper  *keeper.Keeper
	session *link.Session
	// dial opens another session.
	dial func() (*link.Session, error)
}

// run runs a test with an engine that holds its base model.
func run(t *testing.T, test func(f *fixture)) { runWith(t, func(*engine) {}, test) }

// runWith runs a test with an engine that prepare changes before the agent starts.
func runWith(t *testing.T, prepare func(e *engine), test func(f *fixture)) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		e := &engine{t: t, held: map[string]int64{}, loading: map[string]time.Time{}, model: true}
		prepare(e)
		configured := &conf.Engine{Slots: 8, MemoryTokens: 20_000, AdapterSlots: adapterSlots, Models: []conf.Model{{Name: "m", LoadTime: span.Duration(time.Second)}}}
		k := &keeper.Keeper{
			Host: host.Host{VM: "agent", Meter: meter.New(), Listen: network.Listen}, ListenAddress: "agent:1",
			FetchReport: e.report, SendOrder: e.order,
			EngineConfig: func() *conf.Engine {
				e.mutex.Lock()
				defer e.mutex.Unlock()
				if e.unconfigured {
					return nil
				}
				return configured
			},
			Endpoint: func() string { return "e" },
			RequestPermit: func(context.Context) (time.Duration, error) {
				if e.controlDown {
					return 0, fmt.Errorf("no control")
				}
				return 0, nil
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		time.Sleep(500 * time.Millisecond)
		dial := func() (*link.Session, error) {
			return link.Dial(ctx, func(ctx context.Context, address string) (net.Conn, error) {
				return network.Dialer("entry")(ctx, address)
			}, "agent:1")
		}
		session, err := dial()
		require.NoError(t, err)
		test(&fixture{t: t, engine: e, keeper: k, session: session, dial: dial})
		_ = session.Close()
		cancel()
		require.NoError(t, <-ended)
		time.Sleep(5 * time.Minute)
	})
}

// requestAdmission sends an admission request and returns the final reply with the stream.
func (f *fixture) requestAdmission(adapter string, change func(*admit.Request)) (*admit.Reply, *wire.Stream) {
	stream, err := f.session.Open(admit.Method)
	require.NoError(f.t, err)
	request := &admit.Request{
		ID: "r", Endpoint: "e", Model: "m", Adapter: adapter, PromptTokens: 100, MaxAnswerTokens: 50,
		FirstTokenRemaining: span.Duration(time.Second), Remaining: span.Duration(8 * time.Second),
	}
	if change != nil {
		change(request)
	}
	require.NoError(f.t, stream.Send(request))
	for {
		reply := &admit.Reply{}
		require.NoError(f.t, stream.Receive(reply))
		if reply.Reason != admit.ReasonQueued {
			return reply, stream
		}
	}
}

func TestAdapterIsFetchedAndRequestsAdmitted(t *testing.T) {
	run(t, func(f *fixture) {
		reply, _ := f.requestAdmission("a", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.EqualValues(t, 1, reply.Version)
		require.Equal(t, 1, f.engine.orderCount)
		reply, _ = f.requestAdmission("a", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.Equal(t, 1, f.engine.orderCount)
		reply, _ = f.requestAdmission("", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason, "the base model needs no adapter")
	})
}

// A shift in demand sends a burst of requests for adapters that the engine does not hold.
// Requests whose adapter cannot be loaded in time are refused at once with the time to retry,
// and the others are served in time. An estimate without the load queue would hold all
// requests until their objective and then refuse most of them.
func TestBurstOfRareAdapters(t *testing.T) {
	run(t, func(f *fixture) {
		const burst = 16
		type outcome struct {
			reply *admit.Reply
			after time.Duration
		}
		outcomes := make([]outcome, burst)
		var group sync.WaitGroup
		for i := range burst {
			group.Go(func() {
				requested := time.Now()
				reply, stream := f.requestAdmission(fmt.Sprint("rare", i), func(a *admit.Request) { a.Remaining = span.Duration(4 * time.Second) })
				outcomes[i] = outcome{reply, time.Since(requested)}
				require.NoError(t, stream.Close())
			})
		}
		group.Wait()
		served := 0
		for _, o := range outcomes {
			if o.reply.Reason == admit.ReasonNone {
				served++
				require.Less(t, o.after, time.Second)
				continue
			}
			require.Equal(t, admit.ReasonBusy, o.reply.Reason)
			require.Less(t, o.after, 125*time.Millisecond, "an eighth of the objective")
			require.Greater(t, o.reply.Wait.Std(), 500*time.Millisecond)
		}
		require.GreaterOrEqual(t, served, 4, "two loads at a time, 250 ms each")
	})
}

func TestAdapterInUseIsNotUnloaded(t *testing.T) {
	run(t, func(f *fixture) {
		var streams []*wire.Stream
		for i := range adapterSlots {
			reply, stream := f.requestAdmission(fmt.Sprint("a", i), nil)
			require.Equal(t, admit.ReasonNone, reply.Reason)
			streams = append(streams, stream)
		}
		reply, _ := f.requestAdmission("b", func(a *admit.Request) { a.Remaining = span.Duration(time.Second) })
		require.Equal(t, admit.ReasonBusy, reply.Reason, "all slots are in use")
		require.Len(t, f.engine.held, adapterSlots)
		require.NoError(t, streams[1].Close())
		time.Sleep(100 * time.Millisecond)
		reply, _ = f.requestAdmission("b", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.NotContains(t, f.engine.held, "a1")
	})
}

// An order that the engine leaves unanswered and receives later does not exceed its capacity.
func TestLostOrder(t *testing.T) {
	run(t, func(f *fixture) {
		f.engine.mutex.Lock()
		f.engine.loseNextOrder = true
		f.engine.mutex.Unlock()
		reply, _ := f.requestAdmission("a", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.Less(t, reply.Wait.Std(), time.Second)
		f.engine.mutex.Lock()
		require.Equal(t, keeper.OutcomeRefused, f.engine.execute(&f.engine.lostOrders[0]))
		f.engine.mutex.Unlock()
	})
}

// A request that waits at an engine which starts to leave is refused at once, and so are later
// requests.
func TestLeavingEngine(t *testing.T) {
	run(t, func(f *fixture) {
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() {
			f.engine.mutex.Lock()
			defer f.engine.mutex.Unlock()
			f.engine.leaving = true
		})
		reply, _ := f.requestAdmission("a", nil)
		require.Equal(t, admit.ReasonDraining, reply.Reason)
		require.Less(t, time.Since(began), 400*time.Millisecond)
		reply, _ = f.requestAdmission("", nil)
		require.Equal(t, admit.ReasonDraining, reply.Reason)
	})
}

// An engine says in any answer that it is leaving, or that it wants nothing from the
// agent's VM for a time; its successor has said neither.
func TestNoticesOfEngineAreKept(t *testing.T) {
	counts := func(f *fixture) (reports, orders int) {
		f.engine.mutex.Lock()
		defer f.engine.mutex.Unlock()
		return f.engine.reportCount, f.engine.orderCount
	}
	t.Run("leaving", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.keeper.RecordNotice(advert.Notice{Leaving: true}, time.Now())
			f.keeper.RecordNotice(advert.Notice{}, time.Now().Add(-time.Second))
			reply, _ := f.requestAdmission("", nil)
			require.Equal(t, admit.ReasonDraining, reply.Reason, "an older answer does not end it")
			time.Sleep(time.Millisecond)
			f.keeper.RecordNotice(advert.Notice{}, time.Now())
			reply, stream := f.requestAdmission("", nil)
			require.Equal(t, admit.ReasonNone, reply.Reason, "a newer answer does")
			require.NoError(t, stream.Close())
		})
	})
	t.Run("pause", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.keeper.RecordNotice(advert.Notice{Status: 503, Pause: 5 * time.Second}, time.Now())
			time.Sleep(500 * time.Millisecond)
			reports, orders := counts(f)
			time.Sleep(4 * time.Second)
			laterReports, laterOrders := counts(f)
			require.Equal(t, reports, laterReports)
			require.Equal(t, orders, laterOrders)
			reply, stream := f.requestAdmission("", nil)
			require.Equal(t, admit.ReasonNone, reply.Reason, "entries keep their own pauses")
			require.NoError(t, stream.Close())
			time.Sleep(time.Second)
			laterReports, _ = counts(f)
			require.Greater(t, laterReports, reports)
		})
	})
	t.Run("another process", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.keeper.RecordNotice(advert.Notice{Status: 503, Leaving: true, Pause: time.Minute}, time.Now())
			time.Sleep(500 * time.Millisecond)
			reports, _ := counts(f)
			f.keeper.ForgetNotices()
			time.Sleep(500 * time.Millisecond)
			laterReports, _ := counts(f)
			require.Greater(t, laterReports, reports)
			reply, stream := f.requestAdmission("", nil)
			require.Equal(t, admit.ReasonNone, reply.Reason)
			require.NoError(t, stream.Close())
		})
	})
}

func TestEngineDownAndBack(t *testing.T) {
	run(t, func(f *fixture) {
		f.engine.mutex.Lock()
		f.engine.down = true
		f.engine.mutex.Unlock()
		time.Sleep(time.Second)
		reply, _ := f.requestAdmission("a", nil)
		require.Equal(t, admit.ReasonEngineDown, reply.Reason)
		f.engine.mutex.Lock()
		f.engine.down, f.engine.model, f.engine.seq = false, false, 0
		f.engine.mutex.Unlock()
		time.Sleep(time.Second)
		reply, _ = f.requestAdmission("a", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason, "the base model was loaded")
	})
}

// An empty engine loads its base model after control has permitted the load, or after control
// has not answered for seconds.
func TestBaseModelLoadNeedsPermit(t *testing.T) {
	for name, test := range map[string]struct {
		permit       func(requested int) (time.Duration, error)
		before, then time.Duration
	}{
		"granted later": {func(requested int) (time.Duration, error) {
			return time.Duration(2-min(requested, 2)) * time.Second, nil
		}, 500 * time.Millisecond, 2 * time.Second},
		"no answer": {func(int) (time.Duration, error) { return 0, fmt.Errorf("no control") }, 3 * time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *fixture) {
				requested := 0
				f.keeper.RequestPermit = func(context.Context) (time.Duration, error) {
					requested++
					return test.permit(requested)
				}
				f.engine.mutex.Lock()
				f.engine.model, f.engine.seq = false, 0
				f.engine.mutex.Unlock()
				holds := func() bool {
					f.engine.mutex.Lock()
					defer f.engine.mutex.Unlock()
					return f.engine.model
				}
				time.Sleep(test.before)
				require.False(t, holds())
				time.Sleep(test.then)
				require.True(t, holds())
			})
		})
	}
}

// A permit that the agent receives long after it asked, because the process was paused or
// the VM suspended meanwhile, has expired: control has given its place at the weight store
// to another engine. The agent asks again.
func TestExpiredPermitIsNotUsed(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second} {
		run(t, func(f *fixture) {
			requested, suspended := 0, atomic.Int64{}
			f.keeper.BootTime = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
			f.keeper.RequestPermit = func(context.Context) (time.Duration, error) {
				requested++
				if requested == 1 {
					suspended.Store(int64(pause))
					return 0, nil
				}
				return time.Hour, nil
			}
			f.engine.mutex.Lock()
			f.engine.model, f.engine.seq = false, 0
			f.engine.mutex.Unlock()
			time.Sleep(time.Second)
			f.engine.mutex.Lock()
			defer f.engine.mutex.Unlock()
			require.False(t, f.engine.model)
			require.Equal(t, 2, requested)
		})
	}
}

// After a power failure all engines start empty with their base model on disk. Each of them
// loads the model at once, without a permit and before it has a configuration.
func TestBaseModelOnDiskIsLoadedAtOnce(t *testing.T) {
	for name, configured := range map[string]bool{"configured": true, "configuration not known yet": false} {
		t.Run(name, func(t *testing.T) {
			restarted := func(e *engine) { e.model, e.cached, e.unconfigured, e.controlDown = false, true, !configured, true }
			runWith(t, restarted, func(f *fixture) {
				f.engine.mutex.Lock()
				require.True(t, f.engine.model)
				f.engine.mutex.Unlock()
				if !configured {
					reply, _ := f.requestAdmission("a", nil)
					require.Equal(t, admit.ReasonModelMissing, reply.Reason, "the engine's limits are unknown")
				}
				f.engine.mutex.Lock()
				f.engine.unconfigured = false
				f.engine.mutex.Unlock()
				reply, _ := f.requestAdmission("a", nil)
				require.Equal(t, admit.ReasonNone, reply.Reason)
			})
		})
	}
}

// An engine whose base model loads slowly, because other engines load at the same time,
// refuses at once the requests that it cannot start in time, so that other engines get them.
// The stated wait has to grow with the delay. An estimate that does not grow, such as 725 ms
// after 14 s, five times the usual load time, holds requests until their callers give up.
func TestSlowLoadOfTheBaseModelRefusesRequests(t *testing.T) {
	run(t, func(f *fixture) {
		f.engine.mutex.Lock()
		f.engine.down = true
		f.engine.mutex.Unlock()
		time.Sleep(time.Second)
		f.engine.mutex.Lock()
		f.engine.down, f.engine.model, f.engine.seq, f.engine.modelLoadTime = false, false, 0, 8*time.Second
		f.engine.mutex.Unlock()
		time.Sleep(time.Second)
		last := func(a *admit.Request) { a.LastCandidate, a.Remaining = true, span.Duration(20*time.Second) }
		previous := time.Duration(0)
		for range 3 {
			time.Sleep(1500 * time.Millisecond)
			requested := time.Now()
			reply, _ := f.requestAdmission("a", last)
			require.Equal(t, admit.ReasonModelMissing, reply.Reason)
			require.Less(t, time.Since(requested), 50*time.Millisecond, "refused at once, even though no other engine is left")
			require.Greater(t, reply.Wait.Std(), previous)
			previous = reply.Wait.Std()
		}
		time.Sleep(3500 * time.Millisecond)
		reply, _ := f.requestAdmission("a", last)
		require.Equal(t, admit.ReasonNone, reply.Reason)
	})
}

func TestNewVersionIsServed(t *testing.T) {
	run(t, func(f *fixture) {
		reply, stream := f.requestAdmission("a", nil)
		require.EqualValues(t, 1, reply.Version)
		require.NoError(t, stream.Close())
		f.engine.mutex.Lock()
		f.engine.newest = 2
		f.engine.mutex.Unlock()
		f.keeper.ApplyReleases([]plane.Release{{Model: "m", Adapter: "a", Version: 2}})
		reply, _ = f.requestAdmission("a", func(a *admit.Request) { a.MinVersion = 2 })
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.EqualValues(t, 2, reply.Version)
	})
}

// While an outdated adapter is in use, other adapters are loaded, and requests for the new
// version are refused with the time that the running requests still take.
func TestNewVersionOfAnAdapterInUse(t *testing.T) {
	run(t, func(f *fixture) {
		_, stream := f.requestAdmission("a", nil)
		f.engine.mutex.Lock()
		f.engine.newest, f.engine.inUse = 2, map[string]bool{"a": true}
		f.engine.mutex.Unlock()
		f.keeper.ApplyReleases([]plane.Release{{Model: "m", Adapter: "a", Version: 2}})
		time.Sleep(100 * time.Millisecond)
		for _, other := range []string{"b", "c"} {
			requested := time.Now()
			reply, _ := f.requestAdmission(other, nil)
			require.Equal(t, admit.ReasonNone, reply.Reason)
			require.Less(t, time.Since(requested), 500*time.Millisecond)
		}
		newer := func(a *admit.Request) { a.MinVersion, a.FirstTokenRemaining = 2, span.Duration(300*time.Millisecond) }
		reply, _ := f.requestAdmission("a", newer)
		require.Equal(t, admit.ReasonBusy, reply.Reason)
		require.InDelta(t, 600*time.Millisecond, reply.Wait.Std(), float64(400*time.Millisecond), "50 tokens and a load, less the elapsed time")
		f.engine.mutex.Lock()
		f.engine.inUse = nil
		f.engine.mutex.Unlock()
		require.NoError(t, stream.Close())
		time.Sleep(400 * time.Millisecond)
		reply, _ = f.requestAdmission("a", newer)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.EqualValues(t, 2, reply.Version)
	})
}

// The requests of an entry that disconnects release their adapters.
func TestDisconnectedEntryReleasesItsRequests(t *testing.T) {
	run(t, func(f *fixture) {
		for i := range adapterSlots {
			f.requestAdmission(fmt.Sprint("a", i), nil)
		}
		require.NoError(t, f.session.Close())
		time.Sleep(time.Second)
		f.engine.mutex.Lock()
		defer f.engine.mutex.Unlock()
		require.Len(t, f.engine.held, adapterSlots)
	})
}
