package permit_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/permit"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// fleet is a coordinator with agents on pipes.
type fleet struct {
	t           *testing.T
	ctx         context.Context
	stop        func()
	coordinator *permit.Coordinator
}

func start(t *testing.T, loads float64, flight int) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, ctx: ctx, coordinator: &permit.Coordinator{LoadsPerSecond: loads, MaxInFlight: flight}}
	f.coordinator.Reset(1)
	go f.coordinator.Run(ctx)
	f.stop = func() {
		cancel()
		time.Sleep(time.Minute)
	}
	return f
}

// agent is one agent's end of its stream; grants takes its permits.
type agent struct {
	name   string
	stream *wire.Stream
	grants chan *plane.Permit
}

func (f *fleet) agent(name string) *agent {
	near, far := net.Pipe()
	go func() { _ = f.coordinator.Handle(f.ctx, wire.New(far)) }()
	a := &agent{name: name, stream: wire.New(near), grants: make(chan *plane.Permit, 100)}
	context.AfterFunc(f.ctx, func() { _ = near.Close() })
	go func() {
		for {
			p := &plane.Permit{}
			if a.stream.Receive(p) != nil {
				return
			}
			if p.ID != 0 {
				a.grants <- p
			}
		}
	}()
	return a
}

func (a *agent) ask(t *testing.T, ended []plane.LoadResult, wishes ...plane.LoadDemand) {
	require.NoError(t, a.stream.Send(&plane.PermitRequest{Agent: a.name, Incarnation: 1, Demands: wishes, Results: ended}))
}

func wish(adapter, workspace string, waiters ...int32) plane.LoadDemand {
	return plane.LoadDemand{Adapter: adapter, Version: "v1", Workspace: workspace, Waiters: waiters}
}

// drain returns the permits that an agent has been given so far.
func (a *agent) drain() []*plane.Permit {
	var given []*plane.Permit
	for {
		select {
		case p := <-a.grants:
			given = append(given, p)
		default:
			return given
		}
	}
}

func TestRateAndFlightAreNeverExceeded(t *testing.T) {
	for _, test := range []struct {
		name        string
		loads       float64
		flight      int
		ends        bool
		most, least int
	}{
		{name: "rate", loads: 2, flight: 8, ends: true, most: 61, least: 59},
		{name: "flight", loads: 100, flight: 8, ends: false, most: 8, least: 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := start(t, test.loads, test.flight)
				agents := []*agent{f.agent("a"), f.agent("b"), f.agent("c")}
				total := 0
				for round := range 300 {
					for _, a := range agents {
						var ended []plane.LoadResult
						for _, p := range a.drain() {
							total++
							ended = append(ended, plane.LoadResult{PermitID: p.ID, Loaded: true})
						}
						if !test.ends {
							ended = nil
						}
						a.ask(t, ended, wish(fmt.Sprint(a.name, round), "w", 1), wish(fmt.Sprint(a.name, round+1), "w", 1))
					}
					time.Sleep(100 * time.Millisecond)
				}
				require.LessOrEqual(t, total, test.most)
				require.GreaterOrEqual(t, total, test.least)
				f.stop()
			})
		})
	}
}

func TestSameAdapterLoadsOnceAtATime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 100, 8)
		a, b, c := f.agent("a"), f.agent("b"), f.agent("c")
		hot := wish("hot", "w", 1)
		a.ask(t, nil, hot)
		b.ask(t, nil, hot)
		time.Sleep(time.Second)
		first := append(a.drain(), b.drain()...)
		require.Len(t, first, 1)
		again := hot
		again.ExtraCopy = true
		c.ask(t, nil, again)
		time.Sleep(time.Second)
		require.Len(t, c.drain(), 1, "a copy is asked for")
		a.ask(t, []plane.LoadResult{{PermitID: first[0].ID, Loaded: true}})
		b.ask(t, nil, again)
		time.Sleep(time.Second)
		require.LessOrEqual(t, len(b.drain()), 1)
		f.stop()
	})
}

func TestLoadsAreSharedFairlyOverWorkspaces(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 2, 8)
		a := f.agent("a")
		given := map[string]int{}
		for round := range 300 {
			var ended []plane.LoadResult
			for _, p := range a.drain() {
				ended = append(ended, plane.LoadResult{PermitID: p.ID, Loaded: true})
				given[p.Adapter[:1]]++
			}
			wishes := []plane.LoadDemand{wish(fmt.Sprint("s", round/10), "small", 1)}
			for n := range 20 {
				wishes = append(wishes, wish(fmt.Sprint("f", round, n), "flood", 5))
			}
			a.ask(t, ended, wishes...)
			time.Sleep(100 * time.Millisecond)
		}
		require.InDelta(t, given["f"], given["s"], 12)
		f.stop()
	})
}

func TestUrgentFirstAndLongRunsAge(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 1, 8)
		a := f.agent("a")
		began := time.Now()
		person := 0
		for round := 0; ; round++ {
			require.Less(t, time.Since(began), 5*time.Minute, "starved")
			var ended []plane.LoadResult
			long := false
			for _, p := range a.drain() {
				ended = append(ended, plane.LoadResult{PermitID: p.ID, Loaded: true})
				if p.Adapter == "long" {
					long = true
				} else {
					person++
				}
			}
			if long {
				break
			}
			waiting := wish("long", "w", 0, 0, 1)
			waiting.LongestWait = span.Duration(time.Since(began))
			a.ask(t, ended, waiting, wish(fmt.Sprint("p", round), "w", 1))
			time.Sleep(200 * time.Millisecond)
		}
		require.Greater(t, person, 100, "the urgent go first")
		f.stop()
	})
}

func TestPermitsExpireAndUnusedOnesReturn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 1, 1)
		a, b := f.agent("a"), f.agent("b")
		a.ask(t, nil, wish("one", "w", 1))
		time.Sleep(2 * time.Second)
		require.Len(t, a.drain(), 1)
		_ = a.stream.Close()
		b.ask(t, nil, wish("two", "w", 1))
		time.Sleep(30 * time.Second)
		require.Empty(t, b.drain(), "the lost agent may still be loading")
		given := <-b.grants
		before := time.Now()
		b.ask(t, []plane.LoadResult{{PermitID: given.ID, Unused: true}}, wish("three", "w", 1))
		require.Equal(t, "three", (<-b.grants).Adapter)
		require.Less(t, time.Since(before), 200*time.Millisecond)
		f.stop()
	})
}

func TestIdleLoadsComeLast(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 1, 8)
		a := f.agent("a")
		a.ask(t, nil, wish("idle", "a", 0, 0, 0), wish("long", "b", 0, 0, 1))
		require.Equal(t, "long", (<-a.grants).Adapter)
		require.Equal(t, "idle", (<-a.grants).Adapter)
		f.stop()
	})
}

func TestFormerLeadersPermitEndsNothing(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 10, 1)
		a := f.agent("a")
		a.ask(t, nil, wish("one", "w", 1))
		former := <-a.grants
		f.coordinator.Reset(2)
		time.Sleep(time.Second)
		b := f.agent("b")
		b.ask(t, []plane.LoadResult{{PermitID: former.ID, Loaded: true}}, wish("two", "w", 1))
		require.NotEqual(t, former.ID, (<-b.grants).ID)
		b.ask(t, []plane.LoadResult{{PermitID: former.ID, Loaded: true}}, wish("three", "w", 1))
		time.Sleep(time.Second)
		require.Empty(t, b.grants, "one is in flight")
		f.stop()
	})
}
