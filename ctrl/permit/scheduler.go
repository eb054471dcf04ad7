package permit

import (
	"math"
	"sort"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// minWeight is the smallest weight used, so that no workspace is starved. The
	// connected agents also count as at least this number, so that the budget still
	// grows when none is connected.
	minWeight = 0.01
	// soonPromotion and longPromotion are how long a request of the class may wait before
	// its load is promoted to the next more urgent class.
	soonPromotion = 15 * time.Second
	longPromotion = time.Minute
	// waitScale is the waiting time that doubles the value of a load.
	waitScale = 5 * time.Second
	// referenceTokens is the number of waiting tokens that raises the value of a load
	// by a factor of two; the factor grows logarithmically.
	referenceTokens = 1024
)

// classWeight is the value of one waiting request, by class.
var classWeight = [call.ClassCount]float64{16, 4, 1}

const (
	// levelIdle is the level of a load for which no request waits.
	levelIdle = call.Class(call.ClassCount)
	// levels counts the classes and levelIdle.
	levels = call.ClassCount + 1
)

// scheduler is a deficit round-robin scheduler over workspaces, with separate state for
// each level of urgency.
type scheduler struct {
	credit     [levels]map[string]float64
	lastServed [levels]string
}

// choose returns the index of the next load. It selects the most urgent level with waiting
// requests, within that level the next workspace in the round-robin, and of that workspace
// the load with the highest value.
func (s *scheduler) choose(candidates []Candidate, weight func(string) float64) int {
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
	return best[s.next(level, best, weight)]
}

// next returns the next workspace in the round-robin of a level and charges it one load.
func (s *scheduler) next(level call.Class, present map[string]int, weight func(string) float64) string {
	if s.credit[level] == nil {
		s.credit[level] = map[string]float64{}
	}
	earned := s.credit[level]
	chosen, fewest := "", math.Inf(1)
	for _, workspace := range s.workspaceOrder(level, present) {
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
	s.lastServed[level] = chosen
	return chosen
}

// workspaceOrder returns the workspaces sorted by name, rotated to start after the one
// served last.
func (s *scheduler) workspaceOrder(level call.Class, present map[string]int) []string {
	names := make([]string, 0, len(present))
	for name := range present {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		first, second := names[i] > s.lastServed[level], names[j] > s.lastServed[level]
		if first != second {
			return first
		}
		return names[i] < names[j]
	})
	return names
}

// level returns the class of the most urgent waiting request, promoted by the longest
// wait.
func (c *Candidate) level() call.Class {
	class := levelIdle
	for index, count := range c.Demand.Waiters {
		if count > 0 {
			class = min(class, call.Class(index))
		}
	}
	switch class {
	case call.ClassSoon:
		return class - call.Class(min(c.LongestWait/soonPromotion, 1))
	case call.ClassLong:
		return class - call.Class(min(c.LongestWait/longPromotion, 2))
	}
	return class
}

// value returns the benefit of the load: it grows with the number and class of the waiting
// requests, with their tokens and with the longest wait.
func (c *Candidate) value() float64 {
	waiting := 0.0
	for index, count := range c.Demand.Waiters {
		if index < call.ClassCount {
			waiting += float64(count) * classWeight[index]
		}
	}
	size := 1 + math.Log2(1+float64(max(c.Demand.WaitingTokens, 0))/referenceTokens)
	return waiting * size * (1 + float64(c.LongestWait)/float64(waitScale))
}

// ChooseOldest chooses the demand that was reported first.
func ChooseOldest(_ time.Time, candidates []Candidate) int {
	first := 0
	for index := range candidates {
		if candidates[index].Since.Before(candidates[first].Since) {
			first = index
		}
	}
	return first
}
