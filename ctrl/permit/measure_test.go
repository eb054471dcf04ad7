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
	measuredAgents = 9
	measuredTime   = 4 * time.Minute
	floodTime      = time.Minute
	loadTime       = 250 * time.Millisecond
	measuredTick   = 100 * time.Millisecond
)

// waiting is one request that waits for a load.
type waiting struct {
	adapter, workspace string
	class              call.Class
	since              time.Time
}

// loader is an agent with its waiting requests.
type loader struct {
	*agent
	waits   []waiting
	loading map[string]uint64
	until   map[string]time.Time
}

// stalls is the time that requests waited for loads, by class.
type stalls struct {
	total [call.ClassCount]time.Duration
	waits [call.ClassCount][]time.Duration
}

// step ends loads, takes permits, and asks anew.
func (l *loader) step(t *testing.T, now time.Time, seen *stalls) {
	var ended []plane.LoadResult
	for adapter, until := range l.until {
		if now.Before(until) {
			continue
		}
		ended = append(ended, plane.LoadResult{PermitID: l.loading[adapter], Loaded: true})
		delete(l.until, adapter)
		l.waits = slices.DeleteFunc(l.waits, func(w waiting) bool {
			if w.adapter == adapter {
				seen.add(w, now)
			}
			return w.adapter == adapter
		})
	}
	for _, p := range l.drain() {
		l.loading[p.Adapter] = p.ID
		l.until[p.Adapter] = now.Add(loadTime)
	}
	l.ask(t, ended, l.wishes(now)...)
}

func (s *stalls) add(w waiting, now time.Time) {
	s.total[w.class] += now.Sub(w.since)
	s.waits[w.class] = append(s.waits[w.class], now.Sub(w.since))
}

func (l *loader) wishes(now time.Time) []plane.LoadDemand {
	byAdapter := map[string]int{}
	var list []plane.LoadDemand
	for _, w := range l.waits {
		if _, loading := l.until[w.adapter]; loading {
			continue
		}
		index, known := byAdapter[w.adapter]
		if !known {
			index = len(list)
			byAdapter[w.adapter] = index
			list = append(list, wish(w.adapter, w.workspace, 0, 0, 0))
		}
		list[index].Waiters[w.class]++
		list[index].LongestWait = max(list[index].LongestWait, span.Duration(now.Sub(w.since)))
	}
	return list
}

// run lets one workspace ask for more adapters with long runs than the store
// allows for a minute, while four others send requests that people wait for.
func run(t *testing.T, choose func(time.Time, []permit.Candidate) int) *stalls {
	seen := &stalls{}
	bubble.Test(t, func(t *testing.T) {
		f := start(t, 2, 8)
		f.coordinator.Choose = choose
		random := rand.New(rand.NewPCG(11, 12))
		var loaders []*loader
		for n := range measuredAgents {
			loaders = append(loaders, &loader{agent: f.agent(fmt.Sprint("agent", n)), loading: map[string]uint64{}, until: map[string]time.Time{}})
		}
		began := time.Now()
		for serial := 0; time.Since(began) < measuredTime; serial++ {
			now := time.Now()
			chance := random.Float64()
			l := loaders[random.IntN(measuredAgents)]
			switch {
			case chance < 0.3 && now.Sub(began) < floodTime:
				l.waits = append(l.waits, waiting{fmt.Sprint("night", serial), "night", call.ClassLong, now})
			case chance >= 0.3 && chance < 0.36:
				w := random.IntN(4)
				l.waits = append(l.waits, waiting{fmt.Sprint("day", w, "-", serial), fmt.Sprint("day", w), call.ClassInteractive, now})
			}
			for _, l := range loaders {
				l.step(t, now, seen)
			}
			time.Sleep(measuredTick)
		}
		f.stop()
	})
	return seen
}

func (s *stalls) p99(class call.Class) time.Duration {
	slices.Sort(s.waits[class])
	return s.waits[class][len(s.waits[class])*99/100]
}

func TestMeasureCoordinatorAgainstFirstCome(t *testing.T) {
	fair, first := run(t, nil), run(t, permit.ChooseOldest)
	for name, s := range map[string]*stalls{"coordinator": fair, "first come": first} {
		t.Logf("%s: people stalled %.0f s (p99 %.1f s, %d loads), long runs %.0f s (%d loads)", name,
			s.total[call.ClassInteractive].Seconds(), s.p99(call.ClassInteractive).Seconds(), len(s.waits[call.ClassInteractive]),
			s.total[call.ClassLong].Seconds(), len(s.waits[call.ClassLong]))
	}
	require.Less(t, fair.total[call.ClassInteractive], first.total[call.ClassInteractive])
	require.Len(t, fair.waits[call.ClassLong], len(first.waits[call.ClassLong]), "long runs are served as well")
}
