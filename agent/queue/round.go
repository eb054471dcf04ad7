package queue

import "sort"

// roundRobin is the state of a deficit round-robin over the flows with items of one urgency.
type roundRobin struct {
	// credits is the number of tokens that each flow may still spend.
	credits map[string]int64
	// lastFlow is the flow served last; the next round starts after it.
	lastFlow string
}

// next selects the flow whose head is served and charges the flow for it. Instead of
// simulating single rounds, it credits all flows at once for the number of rounds after
// which the first head can be paid for.
func (r *roundRobin) next(heads map[string]head) string {
	if r.credits == nil {
		r.credits = map[string]int64{}
	}
	chosen, minRounds := "", int64(-1)
	for _, flow := range r.order(heads) {
		rounds := r.roundsUntilPayable(flow, heads[flow].cost)
		if minRounds < 0 || rounds < minRounds {
			chosen, minRounds = flow, rounds
		}
	}
	for flow := range heads {
		r.credits[flow] += minRounds * quantumTokens
	}
	r.credits[chosen] -= heads[chosen].cost
	r.lastFlow = chosen
	return chosen
}

// roundsUntilPayable returns the number of rounds until a flow has the credits for a
// cost.
func (r *roundRobin) roundsUntilPayable(flow string, cost int64) int64 {
	deficit := cost - r.credits[flow]
	if deficit <= 0 {
		return 0
	}
	return (deficit + quantumTokens - 1) / quantumTokens
}

// order returns the flows in round-robin order, starting after the one served last.
func (r *roundRobin) order(heads map[string]head) []string {
	flows := make([]string, 0, len(heads))
	for flow := range heads {
		flows = append(flows, flow)
	}
	sort.Slice(flows, func(i, j int) bool {
		before, after := flows[i] > r.lastFlow, flows[j] > r.lastFlow
		if before != after {
			return before
		}
		return flows[i] < flows[j]
	})
	return flows
}

// dropAbsent removes the credits of flows that are not present.
func (r *roundRobin) dropAbsent(present map[string]bool) {
	for flow := range r.credits {
		if !present[flow] {
			delete(r.credits, flow)
		}
	}
}
