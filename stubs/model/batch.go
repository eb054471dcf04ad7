package model

import (
	"container/heap"
	"context"
	"sync"
)

// scheduler limits the number of requests that run in the engine's batch. Requests
// beyond the limit wait in order of priority, then of arrival.
type scheduler struct {
	mutex       sync.Mutex
	running     int
	lastArrival int64
	waiting     waiters
}

// waiter is a request that waits to run. Its index in the heap is -1 once it was removed.
type waiter struct {
	priority int
	arrival  int64
	granted  chan struct{}
	index    int
}

// waiters is a heap of requests, the most urgent first.
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

// acquire waits until the request may run beside at most limit-1 others, or ctx ends.
func (s *scheduler) acquire(ctx context.Context, limit, priority int) error {
	s.mutex.Lock()
	if s.running < limit {
		s.running++
		s.mutex.Unlock()
		return nil
	}
	s.lastArrival++
	own := &waiter{priority: priority, arrival: s.lastArrival, granted: make(chan struct{})}
	heap.Push(&s.waiting, own)
	s.mutex.Unlock()
	select {
	case <-own.granted:
		return nil
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if own.index >= 0 {
		heap.Remove(&s.waiting, own.index)
		return ctx.Err()
	}
	s.releaseLocked()
	return ctx.Err()
}

// done ends a running request.
func (s *scheduler) done() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.releaseLocked()
}

// releaseLocked starts the first waiter in place of the request that ended. The caller
// holds the mutex.
func (s *scheduler) releaseLocked() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	next := heap.Pop(&s.waiting).(*waiter)
	close(next.granted)
}

// counts returns the number of running and of waiting requests.
func (s *scheduler) counts() (running, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running, len(s.waiting)
}
