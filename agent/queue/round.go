package queue

import "sort"

// round is the state of a deficit round-robin over shares.
type round struct {
	// earned holds the tokens that each share may still spend.
	earned map[string]int64
	// last is the share served last; the turn goes on after it.
	last string
}

// next chooses the share whose head is served, and charges it. Instead of
// walking round by round it adds at once as many rounds as the first payable
// head needs.
func (r *round) next(heads map[string]head) string {
	if r.earned == nil {
		r.earned = map[string]int64{}
	}
	chosen, fewest := "", int64(-1)
	for _, share := range r.order(heads) {
		rounds := r.missing(share, heads[share].cost)
		if fewest < 0 || rounds < fewest {
			chosen, fewest = share, rounds
		}
	}
	for share := range heads {
		r.earned[share] += fewest * quantum
	}
	r.earned[chosen] -= heads[chosen].cost
	r.last = chosen
	return chosen
}

// missing is the number of rounds until a share can pay the cost.
func (r *round) missing(share string, cost int64) int64 {
	short := cost - r.earned[share]
	if short <= 0 {
		return 0
	}
	return (short + quantum - 1) / quantum
}

// order returns the shares in turn, starting after the one served last.
func (r *round) order(heads map[string]head) []string {
	shares := make([]string, 0, len(heads))
	for share := range heads {
		shares = append(shares, share)
	}
	sort.Slice(shares, func(i, j int) bool {
		before, after := shares[i] > r.last, shares[j] > r.last
		if before != after {
			return before
		}
		return shares[i] < shares[j]
	})
	return shares
}

// forget drops what absent shares have earned.
func (r *round) forget(present map[string]bool) {
	for share := range r.earned {
		if !present[share] {
			delete(r.earned, share)
		}
	}
}
