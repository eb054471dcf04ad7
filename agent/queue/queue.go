// Package queue holds the attempts that wait for the endpoint and selects the next one:
// by urgency, then fairly between workspaces. Attempts become more urgent while they
// wait.
package queue

import (
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// DefaultMaxItems is the default limit on the number of waiting items.
	DefaultMaxItems = 1024
	// DefaultMaxBytes is the default limit on the total size of the waiting items, in
	// bytes.
	DefaultMaxBytes = 64 << 20
	// quantumTokens is the credit in tokens that a flow gets in each round. A flow is a group
	// of items that shares one credit, by default those of one workspace.
	quantumTokens = 512
)

// Queue holds the waiting items of one endpoint. Its exported fields are set before
// use; it is safe for concurrent use.
type Queue struct {
	// MaxItems and MaxBytes limit the queue; zero means DefaultMaxItems and
	// DefaultMaxBytes.
	MaxItems int
	MaxBytes int64
	// Urgency returns the class that an item is served as; nil means AgedClass.
	Urgency func(i *Item, now time.Time) call.Class
	// Flow returns the key of the flow that an item's tokens are charged to; nil means
	// ByWorkspace.
	Flow func(*Item) string

	mutex sync.Mutex
	// items are in the order of Push, and bytes is the total size of their payloads.
	items []*Item
	bytes int64
	// roundRobins selects the next flow within each urgency.
	roundRobins [call.ClassCount]roundRobin
}

// Push adds an item. If that exceeds a limit, it removes and returns items until the
// queue fits: each time the newest item of the least urgent class, from the flow with
// the most work waiting in that class. The pushed item may be among them.
func (q *Queue) Push(i *Item) (shed []*Item) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.items = append(q.items, i)
	q.bytes += i.payloadBytes()
	for len(q.items) > q.maxItems() || (q.bytes > q.maxBytes() && len(q.items) > 0) {
		shed = append(shed, q.shedOne())
	}
	return shed
}

func (q *Queue) shedOne() *Item {
	now := time.Now()
	leastUrgent := call.ClassInteractive
	for _, i := range q.items {
		leastUrgent = max(leastUrgent, q.urgency(i, now))
	}
	work := map[string]int64{}
	for _, i := range q.items {
		if q.urgency(i, now) == leastUrgent {
			work[q.flow(i)] += i.Cost()
		}
	}
	victim := -1
	for index, i := range q.items {
		if q.urgency(i, now) != leastUrgent {
			continue
		}
		if victim < 0 || q.shedsBefore(i, q.items[victim], work) {
			victim = index
		}
	}
	return q.removeAt(victim)
}

// shedsBefore reports whether a is removed rather than b.
func (q *Queue) shedsBefore(a, b *Item, work map[string]int64) bool {
	if q.flow(a) != q.flow(b) {
		if work[q.flow(a)] != work[q.flow(b)] {
			return work[q.flow(a)] > work[q.flow(b)]
		}
	}
	return !a.Arrived.Before(b.Arrived)
}

// Take removes and returns the next item for which ready is true, or nil. ready must
// not call the queue.
func (q *Queue) Take(ready func(*Item) bool) *Item {
	return q.next(ready, true)
}

// Peek returns, without removing it, the first pushed of the items of the most urgent
// class that Take may select, or nil.
func (q *Queue) Peek(ready func(*Item) bool) *Item {
	return q.next(ready, false)
}

func (q *Queue) next(ready func(*Item) bool, take bool) *Item {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	for urgency := call.ClassInteractive; urgency < call.ClassCount; urgency++ {
		heads := q.heads(urgency, now, ready)
		if len(heads) == 0 {
			continue
		}
		if !take {
			return q.items[earliestHead(heads)]
		}
		flow := q.roundRobins[urgency].next(heads)
		return q.removeAt(heads[flow].index)
	}
	return nil
}

// head is the item of one flow that is next to be served at one urgency.
type head struct {
	// index is the item's position in Queue.items.
	index int
	cost  int64
}

// heads returns the ready item with the highest priority of each flow at one urgency.
// Flows without any item of that urgency lose their credits.
func (q *Queue) heads(urgency call.Class, now time.Time, ready func(*Item) bool) map[string]head {
	heads := map[string]head{}
	present := map[string]bool{}
	for index, i := range q.items {
		if q.urgency(i, now) != urgency {
			continue
		}
		flow := q.flow(i)
		present[flow] = true
		current, ok := heads[flow]
		if ok && q.items[current.index].priority(now) >= i.priority(now) {
			continue
		}
		if ready(i) {
			heads[flow] = head{index: index, cost: i.Cost()}
		}
	}
	q.roundRobins[urgency].dropAbsent(present)
	return heads
}

// earliestHead returns the index of the head that is first in the queue.
func earliestHead(heads map[string]head) int {
	earliest := -1
	for _, h := range heads {
		if earliest < 0 || h.index < earliest {
			earliest = h.index
		}
	}
	return earliest
}

// Remove removes an item and reports whether it was waiting.
func (q *Queue) Remove(i *Item) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for index, other := range q.items {
		if other == i {
			q.removeAt(index)
			return true
		}
	}
	return false
}

// RemoveIf removes and returns the items for which match is true. match must not call
// the queue.
func (q *Queue) RemoveIf(match func(*Item) bool) []*Item {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var removed []*Item
	for index := 0; index < len(q.items); {
		if match(q.items[index]) {
			removed = append(removed, q.removeAt(index))
			continue
		}
		index++
	}
	return removed
}

// Each calls visit for each waiting item in the order of Push. visit must not call
// the queue.
func (q *Queue) Each(visit func(*Item)) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, i := range q.items {
		visit(i)
	}
}

// LengthsByClass returns the number of waiting items by class.
func (q *Queue) LengthsByClass() []int32 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	lengths := make([]int32, call.ClassCount)
	for _, i := range q.items {
		lengths[i.Attempt.Class]++
	}
	return lengths
}

func (q *Queue) removeAt(index int) *Item {
	i := q.items[index]
	q.items = append(q.items[:index], q.items[index+1:]...)
	q.bytes -= i.payloadBytes()
	return i
}

func (q *Queue) urgency(i *Item, now time.Time) call.Class {
	if q.Urgency == nil {
		return AgedClass(i, now)
	}
	return q.Urgency(i, now)
}

func (q *Queue) flow(i *Item) string {
	if q.Flow == nil {
		return ByWorkspace(i)
	}
	return q.Flow(i)
}

func (q *Queue) maxItems() int {
	if q.MaxItems == 0 {
		return DefaultMaxItems
	}
	return q.MaxItems
}

func (q *Queue) maxBytes() int64 {
	if q.MaxBytes == 0 {
		return DefaultMaxBytes
	}
	return q.MaxBytes
}
