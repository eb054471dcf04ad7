package relay

import (
	"sync"
)

const (
	// retryShare is how many retries each request adds to the budget.
	retryShare = 0.1
	// retryBurst bounds the budget, and is what an idle entry has.
	retryBurst = 20
)

// budget bounds retries to a share of the traffic, so that a failing fleet is
// not loaded with retries on top.
type budget struct {
	mutex sync.Mutex
	spent float64
}

func (b *budget) request() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.spent = max(b.spent-retryShare, 0)
}

func (b *budget) retry() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.spent+1 > retryBurst {
		return false
	}
	b.spent++
	return true
}
