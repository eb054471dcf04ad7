package feed

import (
	"context"
	"sync"
)

// confirmations counts heartbeats over all streams, and tells which of them control has
// answered with a renewed lease. Such an answer follows a quorum round, and holds everything
// that was committed before the heartbeat was sent.
type confirmations struct {
	mutex     sync.Mutex
	sent      uint64
	confirmed uint64
	// changed is closed and replaced when confirmed grows.
	changed chan struct{}
}

// begin returns the number of heartbeats sent so far.
func (c *confirmations) begin() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sent
}

// send counts a heartbeat that is about to be sent.
func (c *confirmations) send() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent++
}

// confirm records that control has answered all heartbeats up to a number.
func (c *confirmations) confirm(number uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if number <= c.confirmed {
		return
	}
	c.confirmed = number
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// after reports whether a heartbeat sent after the given number of them is confirmed. If not,
// the channel is closed when that may have changed.
func (c *confirmations) after(number uint64) (bool, <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.confirmed > number, c.changed
}

// Confirm waits until the daemon holds all that control had committed when Confirm was called,
// and reports whether that happened before ctx ended. Calls at the same time share a heartbeat;
// at most one is sent in minHeartbeatGap.
func (f *Feed) Confirm(ctx context.Context) bool {
	number := f.confirmations.begin()
	f.requestHeartbeat()
	for {
		confirmed, changed := f.confirmations.after(number)
		if confirmed {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
