package permit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/permit"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

const (
	testAgents    = 9
	testDuration  = 4 * time.Minute
	floodDuration = time.Minute
	loadTime      = 250 * time.Millisecond
	stepInterval  = 100 * time.Millisecond
)

// waitingRequest is one request that waits for a load.
type waitingRequest struct {
	adapter, workspace string
	class              call.Class
	since              time.Time
}

// simulatedAgent is an agent with its waiting requests and its loads in flight.
type simulatedAgent struct {
	*agent
	requests []waitingRequest
	loading  map[string]uint64
	loadEnds map[string]time.Time
}

// stallTimes holds how long requests waited for loads, by class.
type stallTimes struct {
	total [call.ClassCount]time.Duration
	waits [call.ClassCount][]time.Duration
}

// step ends finished loads, starts permitted ones and reports the demand.
func (a *simulatedAgent) step(t *testing.T, now time.Time, seen *stallTimes) {
	var ended []plane.LoadResult
	for adapter, until := range a.loadEnds {
		if now.Before(until) {
			continue
		}
		ended = append(ended, plane.LoadResult{PermitID: a.loading[adapter], Loaded: true})
		delete(a.loadEnds, adapter)
		a.requests = slices.DeleteFunc(a.requests, func(w waitingRequest) bool {
			if w.adapter == adapter {
				seen.add(w, now)
			}
			return w.adapter == adapter
		})
	}
	for _, p := range a.drain() {
		a.loading[p.Adapter] = p.ID
		a.loadEnds[p.Adapter] = now.Add(loadTime)
	}
	a.sendRequest(t, ended, a.demands(now)...)
}

func (s *stallTimes) add(w waitingRequest, now time.Time) {
	s.total[w.class] += now.Sub(w.since)
	s.waits[w.class] = append(s.waits[w.class], now.Sub(w.since))
}

func (a *simulatedAgent) demands(now time.Time) []plane.LoadDemand {
	byAdapter := map[string]int{}
	var list []plane.LoadDemand
	for _, w := range a.requests {
		if _, loading := a.loadEnds[w.adapter]; loading {
			continue
		}
		index, known := byAdapter[w.adapter]
		if !known {
			index = len(list)
			byAdapter[w.adapter] = index
			list = append(list, demand(w.adapter, w.workspace, 0, 0, 0))
		}
		list[index].Waiters[w.class]++
		list[index].LongestWait = max(list[index].LongestWait, span.Duration(now.Sub(w.since)))
	}
	return list
}

// run simulates a fleet in which, for a minute, one workspace demands more adapters for
// long requests than the load rate allows, while four others send interactive requests.
func run(t *testing.T, choose func(time.Time, []permit.Candidate) int) *stallTimes {
	seen := &stallTimes{}
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 2, 8)
		f.coordinator.Choose = choose
		random := rand.New(rand.NewPCG(11, 12))
		var agents []*simulatedAgent
		for n := range testAgents {
			agents = append(agents, &simulatedAgent{agent: f.agent(fmt.Sprint("agent", n)), loading: map[string]uint64{}, loadEnds: map[string]time.Time{}})
		}
		began := time.Now()
		for serial := 0; time.Since(began) < testDuration; serial++ {
			now := time.Now()
			chance := random.Float64()
			a := agents[random.IntN(testAgents)]
			switch {
			case chance < 0.3 && now.Sub(began) < floodDuration:
				a.requests = append(a.requests, waitingRequest{fmt.Sprint("night", serial), "night", call.ClassLong, now})
			case chance >= 0.3 && chance < 0.36:
				w := random.IntN(4)
				a.requests = append(a.requests, waitingRequest{fmt.Sprint("day", w, "-", serial), fmt.Sprint("day", w), call.ClassInteractive, now})
			}
			for _, a := range agents {
				a.step(t, now, seen)
			}
			time.Sleep(stepInterval)
		}
		f.stop()
	})
	return seen
}

func (s *stallTimes) p99(class call.Class) time.Duration {
	slices.Sort(s.waits[class])
	return s.waits[class][len(s.waits[class])*99/100]
}

func TestFairChoiceStallsInteractiveRequestsLess(t *testing.T) {
	fair, first := run(t, nil), run(t, permit.ChooseOldest)
	for name, s := range map[string]*stallTimes{"coordinator": fair, "first come": first} {
		t.Logf("%s: interactive requests stalled %.0f s (p99 %.1f s, %d loads), long requests %.0f s (%d loads)", name,
			s.total[call.ClassInteractive].Seconds(), s.p99(call.ClassInteractive).Seconds(), len(s.waits[call.ClassInteractive]),
			s.total[call.ClassLong].Seconds(), len(s.waits[call.ClassLong]))
	}
	require.Less(t, fair.total[call.ClassInteractive], first.total[call.ClassInteractive])
	require.Len(t, fair.waits[call.ClassLong], len(first.waits[call.ClassLong]), "long requests are served as well")
}
