package queue

import "sort"

// roundRobin is the state of a deficit roundRobin-robin over shares.
type roundRobin struct {
	// credits holds the tokens that each share may still spend.
	credits map[string]int64
	// lastFlow is the share served lastFlow; the turn goes on after it.
	lastFlow string
}

// next chooses the share whose head is served, and charges it. Instead of
// walking round by round it adds at once as many rounds as the first payable
// head needs.
func (r *roundRobin) next(heads map[string]head) string {
	if r.credits == nil {
		r.credits = map[string]int64{}
	}
	chosen, fewest := "", int64(-1)
	for _, share := range r.order(heads) {
		rounds := r.roundsUntilPayable(share, heads[share].cost)
		if fewest < 0 || rounds < fewest {
			chosen, fewest = share, rounds
		}
	}
	for share := range heads {
		r.credits[share] += fewest * quantumTokens
	}
	r.credits[chosen] -= heads[chosen].cost
	r.lastFlow = chosen
	return chosen
}

// roundsUntilPayable is the number of rounds until a share can pay the cost.
func (r *roundRobin) roundsUntilPayable(share string, cost int64) int64 {
	short := cost - r.credits[share]
	if short <= 0 {
		return 0
	}
	return (short + quantumTokens - 1) / quantumTokens
}

// order returns the shares in turn, starting after the one served last.
func (r *roundRobin) order(heads map[string]head) []string {
	shares := make([]string, 0, len(heads))
	for share := range heads {
		shares = append(shares, share)
	}
	sort.Slice(shares, func(i, j int) bool {
		before, after := shares[i] > r.lastFlow, shares[j] > r.lastFlow
		if before != after {
			return before
		}
		return shares[i] < shares[j]
	})
	return shares
}

// dropAbsent drops what absent shares have earned.
func (r *roundRobin) dropAbsent(present map[string]bool) {
	for share := range r.credits {
		if !present[share] {
			delete(r.credits, share)
		}
	}
}
