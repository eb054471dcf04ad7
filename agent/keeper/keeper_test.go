package keeper_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/keeper"
	"github.com/tanagerspindle/tanagerspindle/agent/lora"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
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

// engine is a stand-in that loads adapters in 250 ms.
type engine struct {
	t      *testing.T
	mutex  sync.Mutex
	held   map[string]int64
	coming map[string]time.Time
	newest int64
	seq    uint64
	model  bool
	// slow is how long a base model takes to load, which ends at modelAt.
	slow    time.Duration
	modelAt time.Time
	// cached says that the base model is on the VM's disk.
	cached bool
	// unknown says that the agent has no configuration yet, cutOff that control
	// does not answer; it does not change.
	unknown, cutOff bool
	// used are the adapters of running requests, replaced the one whose
	// replacement waits for them; no other order is taken meanwhile.
	used     map[string]bool
	replaced string
	down     bool
	leaving  bool
	lose     bool
	late     []keeper.Order
	orders   int
}

const places = 3

func (e *engine) settle() {
	if !e.modelAt.IsZero() && !time.Now().Before(e.modelAt) {
		e.model, e.modelAt = true, time.Time{}
	}
	for name, at := range e.coming {
		if !time.Now().Before(at) {
			delete(e.coming, name)
			e.held[name] = max(e.newest, 1)
		}
	}
}

func (e *engine) report(context.Context) (*keeper.Report, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.settle()
	if e.down {
		return nil, fmt.Errorf("refused")
	}
	report := &keeper.Report{StartedUnixMs: 1, Seq: e.seq, Leaving: e.leaving, Busy: !e.modelAt.IsZero()}
	if e.model {
		report.Models = []string{"m"}
	}
	if e.cached {
		report.Cached = []string{"m"}
	}
	for name, version := range e.held {
		report.Adapters = append(report.Adapters, lora.Status{Key: lora.Key{Model: "m", Adapter: name}, Version: version})
	}
	for name := range e.coming {
		report.Adapters = append(report.Adapters, lora.Status{Key: lora.Key{Model: "m", Adapter: name}, Loading: true})
	}
	return report, nil
}

func (e *engine) order(ctx context.Context, o *keeper.Order) (keeper.Outcome, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.settle()
	e.orders++
	if e.lose {
		e.lose = false
		e.late = append(e.late, *o)
		return "", context.DeadlineExceeded
	}
	return e.carryOut(o), nil
}

func (e *engine) carryOut(o *keeper.Order) keeper.Outcome {
	if e.replaced != "" && !e.used[e.replaced] {
		e.coming[e.replaced], e.replaced = time.Now().Add(250*time.Millisecond), ""
	}
	if o.ExpectedSeq != e.seq || e.replaced != "" {
		return keeper.OutcomeRefused
	}
	e.seq++
	switch {
	case o.Adapter == "":
		e.modelAt = time.Now().Add(e.slow)
		e.settle()
	case o.Load && e.used[o.Adapter]:
		e.replaced = o.Adapter
	case o.Load:
		e.coming[o.Adapter] = time.Now().Add(250 * time.Millisecond)
	default:
		delete(e.held, o.Adapter)
		return keeper.OutcomeNoChange
	}
	require.LessOrEqual(e.t, len(e.held)+len(e.coming), places+1, "a renewal counts twice here")
	return keeper.OutcomeAccepted
}

// site is a keeper with its engine and a way to ask it.
type site struct {
	t       *testing.T
	engine  *engine
	keeper  *keeper.Keeper
	session *link.Session
}

func inSite(t *testing.T, test func(s *site)) { inSiteOf(t, func(*engine) {}, test) }

// inSiteOf prepares the engine before the agent starts.
func inSiteOf(t *testing.T, prepare func(e *engine), test func(s *site)) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		e := &engine{t: t, held: map[string]int64{}, coming: map[string]time.Time{}, model: true}
		prepare(e)
		configured := &conf.Engine{Slots: 8, MemoryTokens: 20_000, AdapterSlots: places, Models: []conf.Model{{Name: "m", LoadTime: span.Duration(time.Second)}}}
		k := &keeper.Keeper{
			Host: host.Host{VM: "agent", Meter: meter.New(), Listen: network.Listen}, ListenAddress: "agent:1",
			FetchReport: e.report, SendOrder: e.order,
			EngineConfig: func() *conf.Engine {
				e.mutex.Lock()
				defer e.mutex.Unlock()
				if e.unknown {
					return nil
				}
				return configured
			},
			Endpoint: func() string { return "e" },
			RequestPermit: func(context.Context) (time.Duration, error) {
				if e.cutOff {
					return 0, fmt.Errorf("no control")
				}
				return 0, nil
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		time.Sleep(500 * time.Millisecond)
		session, err := link.Dial(ctx, func(ctx context.Context, address string) (net.Conn, error) {
			return network.Dialer("entry")(ctx, address)
		}, "agent:1")
		require.NoError(t, err)
		test(&site{t: t, engine: e, keeper: k, session: session})
		_ = session.Close()
		cancel()
		require.NoError(t, <-ended)
		time.Sleep(5 * time.Minute)
	})
}

// ask asks for admission and returns the final reply with the stream.
func (s *site) ask(adapter string, change func(*admit.Request)) (*admit.Reply, *wire.Stream) {
	stream, err := s.session.Open(admit.Method)
	require.NoError(s.t, err)
	ask := &admit.Request{
		ID: "r", Endpoint: "e", Model: "m", Adapter: adapter, PromptTokens: 100, MaxAnswerTokens: 50,
		FirstTokenRemaining: span.Duration(time.Second), Remaining: span.Duration(8 * time.Second),
	}
	if change != nil {
		change(ask)
	}
	require.NoError(s.t, stream.Send(ask))
	for {
		reply := &admit.Reply{}
		require.NoError(s.t, stream.Receive(reply))
		if reply.Reason != admit.ReasonQueued {
			return reply, stream
		}
	}
}

func TestAdapterIsFetchedAndRequestsAdmitted(t *testing.T) {
	inSite(t, func(s *site) {
		reply, _ := s.ask("a", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.EqualValues(t, 1, reply.Version)
		require.Equal(t, 1, s.engine.orders)
		reply, _ = s.ask("a", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.Equal(t, 1, s.engine.orders)
		reply, _ = s.ask("", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason, "the base model needs no adapter")
	})
}

// A burst of requests for adapters that the engine does not hold, as after a
// shift of the demand: those whose adapter cannot come in time are refused at
// once with the time to come back, and the others are served in time. Without
// the queue in the estimate all were held for their whole goal, and most of
// them refused after it.
func TestBurstOfRareAdapters(t *testing.T) {
	inSite(t, func(s *site) {
		const burst = 16
		type outcome struct {
			reply *admit.Reply
			after time.Duration
		}
		outcomes := make([]outcome, burst)
		var group sync.WaitGroup
		for i := range burst {
			group.Go(func() {
				asked := time.Now()
				reply, stream := s.ask(fmt.Sprint("rare", i), func(a *admit.Request) { a.Remaining = span.Duration(4 * time.Second) })
				outcomes[i] = outcome{reply, time.Since(asked)}
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
			require.Less(t, o.after, 125*time.Millisecond, "an eighth of the goal")
			require.Greater(t, o.reply.Wait.Std(), 500*time.Millisecond)
		}
		require.GreaterOrEqual(t, served, 4, "two at a time in 250 ms")
	})
}

func TestAdapterInUseIsNotUnloaded(t *testing.T) {
	inSite(t, func(s *site) {
		var streams []*wire.Stream
		for i := range places {
			reply, stream := s.ask(fmt.Sprint("a", i), nil)
			require.Equal(t, admit.ReasonNone, reply.Reason)
			streams = append(streams, stream)
		}
		reply, _ := s.ask("b", func(a *admit.Request) { a.Remaining = span.Duration(time.Second) })
		require.Equal(t, admit.ReasonBusy, reply.Reason, "all places are in use")
		require.Len(t, s.engine.held, places)
		require.NoError(t, streams[1].Close())
		time.Sleep(100 * time.Millisecond)
		reply, _ = s.ask("b", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.NotContains(t, s.engine.held, "a1")
	})
}

// An order that the engine leaves unanswered and carries out later never makes
// it hold more than it may.
func TestLostOrder(t *testing.T) {
	inSite(t, func(s *site) {
		s.engine.mutex.Lock()
		s.engine.lose = true
		s.engine.mutex.Unlock()
		reply, _ := s.ask("a", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.Less(t, reply.Wait.Std(), time.Second)
		s.engine.mutex.Lock()
		require.Equal(t, keeper.OutcomeRefused, s.engine.carryOut(&s.engine.late[0]))
		s.engine.mutex.Unlock()
	})
}

// A request that waits at an engine which begins to leave is turned away at
// once, and so are later ones.
func TestLeavingEngine(t *testing.T) {
	inSite(t, func(s *site) {
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() {
			s.engine.mutex.Lock()
			defer s.engine.mutex.Unlock()
			s.engine.leaving = true
		})
		reply, _ := s.ask("a", nil)
		require.Equal(t, admit.ReasonDraining, reply.Reason)
		require.Less(t, time.Since(began), 400*time.Millisecond)
		reply, _ = s.ask("", nil)
		require.Equal(t, admit.ReasonDraining, reply.Reason)
	})
}

func TestEngineDownAndBack(t *testing.T) {
	inSite(t, func(s *site) {
		s.engine.mutex.Lock()
		s.engine.down = true
		s.engine.mutex.Unlock()
		time.Sleep(time.Second)
		reply, _ := s.ask("a", nil)
		require.Equal(t, admit.ReasonEngineDown, reply.Reason)
		s.engine.mutex.Lock()
		s.engine.down, s.engine.model, s.engine.seq = false, false, 0
		s.engine.mutex.Unlock()
		time.Sleep(time.Second)
		reply, _ = s.ask("a", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason, "the base model was loaded")
	})
}

// An empty engine loads its base model when control gives leave, or when
// control has not answered for seconds.
func TestBaseModelLoadNeedsPermit(t *testing.T) {
	for name, test := range map[string]struct {
		permit       func(asked int) (time.Duration, error)
		before, then time.Duration
	}{
		"given later": {func(asked int) (time.Duration, error) {
			return time.Duration(2-min(asked, 2)) * time.Second, nil
		}, 500 * time.Millisecond, 2 * time.Second},
		"no answer": {func(int) (time.Duration, error) { return 0, fmt.Errorf("no control") }, 3 * time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, func(s *site) {
				asked := 0
				s.keeper.RequestPermit = func(context.Context) (time.Duration, error) {
					asked++
					return test.permit(asked)
				}
				s.engine.mutex.Lock()
				s.engine.model, s.engine.seq = false, 0
				s.engine.mutex.Unlock()
				holds := func() bool {
					s.engine.mutex.Lock()
					defer s.engine.mutex.Unlock()
					return s.engine.model
				}
				time.Sleep(test.before)
				require.False(t, holds())
				time.Sleep(test.then)
				require.True(t, holds())
			})
		})
	}
}

// All engines restart empty after a loss of power, with their base model on
// their disks: each loads it at once, without control's leave and before it
// knows a configuration.
func TestBaseModelOnDiskIsLoadedAtOnce(t *testing.T) {
	for name, configured := range map[string]bool{"configured": true, "configuration not known yet": false} {
		t.Run(name, func(t *testing.T) {
			restarted := func(e *engine) { e.model, e.cached, e.unknown, e.cutOff = false, true, !configured, true }
			inSiteOf(t, restarted, func(s *site) {
				s.engine.mutex.Lock()
				require.True(t, s.engine.model)
				s.engine.mutex.Unlock()
				if !configured {
					reply, _ := s.ask("a", nil)
					require.Equal(t, admit.ReasonModelMissing, reply.Reason, "its size is not known")
				}
				s.engine.mutex.Lock()
				s.engine.unknown = false
				s.engine.mutex.Unlock()
				reply, _ := s.ask("a", nil)
				require.Equal(t, admit.ReasonNone, reply.Reason)
			})
		})
	}
}

// A new engine that loads its base model for longer than usual, because others
// load at the same time, turns requests away at once that it cannot begin in
// time, so that other engines get them. What it tells of the wait grows with
// the delay; at 14 s, five times the usual, it once still said 725 ms, and held
// requests until their callers left.
func TestSlowLoadOfTheBaseModelRefusesRequests(t *testing.T) {
	inSite(t, func(s *site) {
		s.engine.mutex.Lock()
		s.engine.down = true
		s.engine.mutex.Unlock()
		time.Sleep(time.Second)
		s.engine.mutex.Lock()
		s.engine.down, s.engine.model, s.engine.seq, s.engine.slow = false, false, 0, 8*time.Second
		s.engine.mutex.Unlock()
		time.Sleep(time.Second)
		last := func(a *admit.Request) { a.LastCandidate, a.Remaining = true, span.Duration(20*time.Second) }
		former := time.Duration(0)
		for range 3 {
			time.Sleep(1500 * time.Millisecond)
			asked := time.Now()
			reply, _ := s.ask("a", last)
			require.Equal(t, admit.ReasonModelMissing, reply.Reason)
			require.Less(t, time.Since(asked), 50*time.Millisecond, "refused at once, also by its last engine")
			require.Greater(t, reply.Wait.Std(), former)
			former = reply.Wait.Std()
		}
		time.Sleep(3500 * time.Millisecond)
		reply, _ := s.ask("a", last)
		require.Equal(t, admit.ReasonNone, reply.Reason)
	})
}

func TestNewVersionIsServed(t *testing.T) {
	inSite(t, func(s *site) {
		reply, stream := s.ask("a", nil)
		require.EqualValues(t, 1, reply.Version)
		require.NoError(t, stream.Close())
		s.engine.mutex.Lock()
		s.engine.newest = 2
		s.engine.mutex.Unlock()
		s.keeper.ApplyReleases([]plane.Release{{Model: "m", Adapter: "a", Version: 2}})
		reply, _ = s.ask("a", func(a *admit.Request) { a.MinVersion = 2 })
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.EqualValues(t, 2, reply.Version)
	})
}

// While an adapter whose version is old is in use, others are fetched, and
// requests for the new version are told how long the runs take.
func TestNewVersionOfAnAdapterInUse(t *testing.T) {
	inSite(t, func(s *site) {
		_, stream := s.ask("a", nil)
		s.engine.mutex.Lock()
		s.engine.newest, s.engine.used = 2, map[string]bool{"a": true}
		s.engine.mutex.Unlock()
		s.keeper.ApplyReleases([]plane.Release{{Model: "m", Adapter: "a", Version: 2}})
		time.Sleep(100 * time.Millisecond)
		for _, other := range []string{"b", "c"} {
			asked := time.Now()
			reply, _ := s.ask(other, nil)
			require.Equal(t, admit.ReasonNone, reply.Reason)
			require.Less(t, time.Since(asked), 500*time.Millisecond)
		}
		newer := func(a *admit.Request) { a.MinVersion, a.FirstTokenRemaining = 2, span.Duration(300*time.Millisecond) }
		reply, _ := s.ask("a", newer)
		require.Equal(t, admit.ReasonBusy, reply.Reason)
		require.InDelta(t, 600*time.Millisecond, reply.Wait.Std(), float64(400*time.Millisecond), "50 tokens and a load, less what has passed")
		s.engine.mutex.Lock()
		s.engine.used = nil
		s.engine.mutex.Unlock()
		require.NoError(t, stream.Close())
		time.Sleep(400 * time.Millisecond)
		reply, _ = s.ask("a", newer)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.EqualValues(t, 2, reply.Version)
	})
}

// An entry that goes away frees what its request held.
func TestDisconnectedEntryReleasesItsRequests(t *testing.T) {
	inSite(t, func(s *site) {
		for i := range places {
			s.ask(fmt.Sprint("a", i), nil)
		}
		require.NoError(t, s.session.Close())
		time.Sleep(time.Second)
		s.engine.mutex.Lock()
		defer s.engine.mutex.Unlock()
		require.Len(t, s.engine.held, places)
	})
}
