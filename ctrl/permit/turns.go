package permit

import (
	"math"
	"sort"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// minWeight keeps a workspace from being starved by its weight.
	minWeight = 0.01
	// soonAge and longAge are how long a request of that class waits before
	// its load counts as one class more urgent.
	soonAge = 15 * time.Second
	longAge = time.Minute
	// waitScale is the wait that doubles the value of a load.
	waitScale = 5 * time.Second
	// longSize is the waiting work, in tokens, from which a load for long
	// runs counts more.
	longSize = 1024
)

// urgency is how much one waiting request of each class counts.
var urgency = [call.ClassCount]float64{16, 4, 1}

const (
	// levelIdle is the level of a load that nobody waits for.
	levelIdle = call.Class(call.ClassCount)
	// levels counts the classes and levelIdle.
	levels = call.ClassCount + 1
)

// turns is a deficit round-robin over workspaces, one at each level.
type turns struct {
	earned [levels]map[string]float64
	last   [levels]string
}

// choose returns the index of the next load: the most urgent class with
// waiting requests, in it the workspace whose turn it is, of that the load
// that serves most.
func (t *turns) choose(candidates []Candidate, weight func(string) float64) int {
	level := levelIdle
	for index := range candidates {
		level = min(level, candidates[index].level())
	}
	best := map[string]int{}
	for index := range candidates {
		candidate := &candidates[index]
		if candidate.level() != level {
			continue
		}
		known, ok := best[candidate.Demand.Workspace]
		if !ok || candidate.value() > candidates[known].value() {
			best[candidate.Demand.Workspace] = index
		}
	}
	return best[t.next(level, best, weight)]
}

// next returns the workspace whose turn it is at a level and charges it one
// load.
func (t *turns) next(level call.Class, present map[string]int, weight func(string) float64) string {
	if t.earned[level] == nil {
		t.earned[level] = map[string]float64{}
	}
	earned := t.earned[level]
	chosen, fewest := "", math.Inf(1)
	for _, workspace := range t.order(level, present) {
		rounds := max(0, (1-earned[workspace])/weight(workspace))
		if rounds < fewest {
			chosen, fewest = workspace, rounds
		}
	}
	for workspace := range earned {
		if _, ok := present[workspace]; !ok {
			delete(earned, workspace)
		}
	}
	for workspace := range present {
		earned[workspace] += fewest * weight(workspace)
	}
	earned[chosen]--
	t.last[level] = chosen
	return chosen
}

// order returns the workspaces in turn, starting after the one served last.
func (t *turns) order(level call.Class, present map[string]int) []string {
	names := make([]string, 0, len(present))
	for name := range present {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		first, second := names[i] > t.last[level], names[j] > t.last[level]
		if first != second {
			return first
		}
		return names[i] < names[j]
	})
	return names
}

// level is the class of the most urgent waiting request, made more urgent by
// the longest wait.
func (c *Candidate) level() call.Class {
	class := levelIdle
	for index, count := range c.Demand.Waiters {
		if count > 0 {
			class = min(class, call.Class(index))
		}
	}
	switch class {
	case call.ClassSoon:
		return class - call.Class(min(c.LongestWait/soonAge, 1))
	case call.ClassLong:
		return class - call.Class(min(c.LongestWait/longAge, 2))
	}
	return class
}

// value is how much the load serves.
func (c *Candidate) value() float64 {
	waiting := 0.0
	for index, count := range c.Demand.Waiters {
		if index < call.ClassCount {
			waiting += float64(count) * urgency[index]
		}
	}
	size := 1 + math.Log2(1+float64(max(c.Demand.WaitingTokens, 0))/longSize)
	return waiting * size * (1 + float64(c.LongestWait)/float64(waitScale))
}

// ChooseOldest chooses the wish that has been known longest.
func ChooseOldest(_ time.Time, candidates []Candidate) int {
	first := 0
	for index := range candidates {
		if candidates[index].Since.Before(candidates[first].Since) {
			first = index
		}
	}
	return first
}
