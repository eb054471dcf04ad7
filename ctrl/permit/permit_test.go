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

// fleet is a coordinator with agents connected by pipes.
type fleet struct {
	t           *testing.T
	ctx         context.Context
	stop        func()
	coordinator *permit.Coordinator
}

func start(t *testing.T, loads float64, maxInFlight int) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, ctx: ctx, coordinator: &permit.Coordinator{LoadsPerSecond: loads, MaxInFlight: maxInFlight}}
	f.coordinator.Reset(1)
	go f.coordinator.Run(ctx)
	f.stop = func() {
		cancel()
		time.Sleep(time.Minute)
	}
	return f
}

// agent is the agent's end of a stream; grants receives its permits.
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

func (a *agent) sendRequest(t *testing.T, results []plane.LoadResult, demands ...plane.LoadDemand) {
	require.NoError(t, a.stream.Send(&plane.PermitRequest{Agent: a.name, Incarnation: 1, Demands: demands, Results: results}))
}

func demand(adapter, workspace string, waiters ...int32) plane.LoadDemand {
	return plane.LoadDemand{Adapter: adapter, Version: "v1", Workspace: workspace, Waiters: waiters}
}

// drain returns the permits that have been received since the last call.
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

func TestRateAndLoadsInFlightAreNeverExceeded(t *testing.T) {
	for _, test := range []struct {
		name               string
		loads              float64
		maxInFlight        int
		ends               bool
		maxTotal, minTotal int
	}{
		{name: "rate", loads: 2, maxInFlight: 8, ends: true, maxTotal: 61, minTotal: 59},
		{name: "flight", loads: 100, maxInFlight: 8, ends: false, maxTotal: 8, minTotal: 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := start(t, test.loads, test.maxInFlight)
				agents := []*agent{f.agent("a"), f.agent("b"), f.agent("c")}
				total := 0
				for round := range 300 {
					for _, a := range agents {
						var results []plane.LoadResult
						for _, p := range a.drain() {
							total++
							results = append(results, plane.LoadResult{PermitID: p.ID, Loaded: true})
						}
						if !test.ends {
							results = nil
						}
						a.sendRequest(t, results, demand(fmt.Sprint(a.name, round), "w", 1), demand(fmt.Sprint(a.name, round+1), "w", 1))
					}
					time.Sleep(100 * time.Millisecond)
				}
				require.LessOrEqual(t, total, test.maxTotal)
				require.GreaterOrEqual(t, total, test.minTotal)
				f.stop()
			})
		})
	}
}

func TestSameAdapterLoadsOnceAtATime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 100, 8)
		a, b, c := f.agent("a"), f.agent("b"), f.agent("c")
		hot := demand("hot", "w", 1)
		a.sendRequest(t, nil, hot)
		b.sendRequest(t, nil, hot)
		time.Sleep(time.Second)
		first := append(a.drain(), b.drain()...)
		require.Len(t, first, 1)
		again := hot
		again.ExtraCopy = true
		c.sendRequest(t, nil, again)
		time.Sleep(time.Second)
		require.Len(t, c.drain(), 1, "an extra copy is requested")
		a.sendRequest(t, []plane.LoadResult{{PermitID: first[0].ID, Loaded: true}})
		b.sendRequest(t, nil, again)
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
			var results []plane.LoadResult
			for _, p := range a.drain() {
				results = append(results, plane.LoadResult{PermitID: p.ID, Loaded: true})
				given[p.Adapter[:1]]++
			}
			demands := []plane.LoadDemand{demand(fmt.Sprint("s", round/10), "small", 1)}
			for n := range 20 {
				demands = append(demands, demand(fmt.Sprint("f", round, n), "flood", 5))
			}
			a.sendRequest(t, results, demands...)
			time.Sleep(100 * time.Millisecond)
		}
		require.InDelta(t, given["f"], given["s"], 12)
		f.stop()
	})
}

func TestUrgentRequestsFirstAndLongRequestsArePromoted(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 1, 8)
		a := f.agent("a")
		began := time.Now()
		urgent := 0
		for round := 0; ; round++ {
			require.Less(t, time.Since(began), 5*time.Minute, "starved")
			var results []plane.LoadResult
			long := false
			for _, p := range a.drain() {
				results = append(results, plane.LoadResult{PermitID: p.ID, Loaded: true})
				if p.Adapter == "long" {
					long = true
				} else {
					urgent++
				}
			}
			if long {
				break
			}
			waiting := demand("long", "w", 0, 0, 1)
			waiting.LongestWait = span.Duration(time.Since(began))
			a.sendRequest(t, results, waiting, demand(fmt.Sprint("p", round), "w", 1))
			time.Sleep(200 * time.Millisecond)
		}
		require.Greater(t, urgent, 100, "urgent requests go first")
		f.stop()
	})
}

func TestPermitsExpireAndUnusedOnesReturnTheirToken(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 1, 1)
		a, b := f.agent("a"), f.agent("b")
		a.sendRequest(t, nil, demand("one", "w", 1))
		time.Sleep(2 * time.Second)
		require.Len(t, a.drain(), 1)
		_ = a.stream.Close()
		b.sendRequest(t, nil, demand("two", "w", 1))
		time.Sleep(30 * time.Second)
		require.Empty(t, b.drain(), "the lost agent may still be loading")
		given := <-b.grants
		before := time.Now()
		b.sendRequest(t, []plane.LoadResult{{PermitID: given.ID, Unused: true}}, demand("three", "w", 1))
		require.Equal(t, "three", (<-b.grants).Adapter)
		require.Less(t, time.Since(before), 200*time.Millisecond)
		f.stop()
	})
}

func TestLoadsWithoutWaitersComeLast(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 1, 8)
		a := f.agent("a")
		a.sendRequest(t, nil, demand("idle", "a", 0, 0, 0), demand("long", "b", 0, 0, 1))
		require.Equal(t, "long", (<-a.grants).Adapter)
		require.Equal(t, "idle", (<-a.grants).Adapter)
		f.stop()
	})
}

func TestPermitOfPreviousTermSettlesNothing(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 10, 1)
		a := f.agent("a")
		a.sendRequest(t, nil, demand("one", "w", 1))
		former := <-a.grants
		f.coordinator.Reset(2)
		time.Sleep(time.Second)
		b := f.agent("b")
		b.sendRequest(t, []plane.LoadResult{{PermitID: former.ID, Loaded: true}}, demand("two", "w", 1))
		require.NotEqual(t, former.ID, (<-b.grants).ID)
		b.sendRequest(t, []plane.LoadResult{{PermitID: former.ID, Loaded: true}}, demand("three", "w", 1))
		time.Sleep(time.Second)
		require.Empty(t, b.grants, "one load is in flight")
		f.stop()
	})
}
