package model

import (
	"container/heap"
	"context"
	"sync"
)

// scheduler hands out the engine's places by priority, then by arrival.
type scheduler struct {
	mutex       sync.Mutex
	running     int
	lastArrival int64
	waiting     waiters
}

// waiter is a request without a place.
type waiter struct {
	priority int
	arrival  int64
	granted  chan struct{}
	index    int
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

func (w *waiters) Push(x any) {
	entry := x.(*waiter)
	entry.index = len(*w)
	*w = append(*w, entry)
}

func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	last.index = -1
	return last
}

// acquire waits for a place.
func (b *scheduler) acquire(ctx context.Context, places, priority int) error {
	b.mutex.Lock()
	if b.running < places {
		b.running++
		b.mutex.Unlock()
		return nil
	}
	b.lastArrival++
	mine := &waiter{priority: priority, arrival: b.lastArrival, granted: make(chan struct{})}
	heap.Push(&b.waiting, mine)
	b.mutex.Unlock()
	select {
	case <-mine.granted:
		return nil
	case <-ctx.Done():
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if mine.index >= 0 {
		heap.Remove(&b.waiting, mine.index)
		return ctx.Err()
	}
	b.releaseLocked()
	return ctx.Err()
}

func (b *scheduler) done() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.releaseLocked()
}

// releaseLocked gives the place to the first waiter. The mutex is held.
func (b *scheduler) releaseLocked() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	next := heap.Pop(&b.waiting).(*waiter)
	close(next.granted)
}

func (b *scheduler) counts() (running, waiting int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.running, len(b.waiting)
}
