// Package queue holds the attempts that wait for the endpoint and chooses the
// next one: by urgency, fairly over workspaces, long runs aging.
package queue

import (
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// DefaultMaxItems is the largest number of waiting items.
	DefaultMaxItems = 1024
	// DefaultMaxBytes is the largest size of the waiting items, in bytes.
	DefaultMaxBytes = 64 << 20
	// quantum is the tokens that a share earns in one round.
	quantum = 512
)

// Queue holds the waiting items of one endpoint. Its exported fields are set
// before use; it is safe for concurrent use.
type Queue struct {
	// MaxItems and Bytes limit the queue; zero means DefaultBound and
	// DefaultBytes.
	MaxItems int
	MaxBytes int64
	// Urgency returns the urgency an item is served at; nil means Aged.
	Urgency func(i *Item, now time.Time) call.Class
	// Flow names who an item's tokens are counted for; nil means
	// ByWorkspace.
	Flow func(*Item) string

	mutex  sync.Mutex
	items  []*Item
	bytes  int64
	rounds [call.ClassCount]round
}

// Push adds an item. When that exceeds a bound it returns the item that has
// to go: of the least urgent class, of the share with the most work waiting in
// it, the newest. It may be the pushed one.
func (q *Queue) Push(i *Item) (shed []*Item) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.items = append(q.items, i)
	q.bytes += i.bytes()
	for len(q.items) > q.bound() || (q.bytes > q.maxBytes() && len(q.items) > 0) {
		shed = append(shed, q.shed())
	}
	return shed
}

func (q *Queue) shed() *Item {
	now := time.Now()
	worst := call.ClassInteractive
	for _, i := range q.items {
		worst = max(worst, q.level(i, now))
	}
	work := map[string]int64{}
	for _, i := range q.items {
		if q.level(i, now) == worst {
			work[q.share(i)] += i.Cost()
		}
	}
	victim := -1
	for index, i := range q.items {
		if q.level(i, now) != worst {
			continue
		}
		if victim < 0 || q.shedsBefore(i, q.items[victim], work) {
			victim = index
		}
	}
	return q.remove(victim)
}

// shedsBefore reports whether a goes before b.
func (q *Queue) shedsBefore(a, b *Item, work map[string]int64) bool {
	if q.share(a) != q.share(b) {
		if work[q.share(a)] != work[q.share(b)] {
			return work[q.share(a)] > work[q.share(b)]
		}
	}
	return !a.Arrived.Before(b.Arrived)
}

// Take removes and returns the next item for which ready is true, or nil.
// ready must not call the queue.
func (q *Queue) Take(ready func(*Item) bool) *Item {
	return q.next(ready, true)
}

// Peek returns the most urgent item for which ready is true, or nil, and
// leaves it.
func (q *Queue) Peek(ready func(*Item) bool) *Item {
	return q.next(ready, false)
}

func (q *Queue) next(ready func(*Item) bool, take bool) *Item {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	for level := call.ClassInteractive; level < call.ClassCount; level++ {
		heads := q.heads(level, now, ready)
		if len(heads) == 0 {
			continue
		}
		if !take {
			return q.items[first(heads)]
		}
		share := q.rounds[level].next(heads)
		return q.remove(heads[share].index)
	}
	return nil
}

// head is the first item of one share at one level; index is -1 when none of
// the share's items is ready.
type head struct {
	index int
	cost  int64
}

// heads returns the first ready item of each share at a level. Shares without
// any item there lose what they have earned.
func (q *Queue) heads(level call.Class, now time.Time, ready func(*Item) bool) map[string]head {
	heads := map[string]head{}
	present := map[string]bool{}
	for index, i := range q.items {
		if q.level(i, now) != level {
			continue
		}
		share := q.share(i)
		present[share] = true
		known, ok := heads[share]
		if ok && q.items[known.index].rank(now) >= i.rank(now) {
			continue
		}
		if ready(i) {
			heads[share] = head{index: index, cost: i.Cost()}
		}
	}
	q.rounds[level].forget(present)
	return heads
}

// first returns the index of the earliest head.
func first(heads map[string]head) int {
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
			q.remove(index)
			return true
		}
	}
	return false
}

// RemoveIf removes and returns the items for which gone is true. gone must not
// call the queue.
func (q *Queue) RemoveIf(gone func(*Item) bool) []*Item {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var swept []*Item
	for index := 0; index < len(q.items); {
		if gone(q.items[index]) {
			swept = append(swept, q.remove(index))
			continue
		}
		index++
	}
	return swept
}

// Each calls visit for each waiting item in the order of arrival. visit must
// not call the queue.
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

func (q *Queue) remove(index int) *Item {
	i := q.items[index]
	q.items = append(q.items[:index], q.items[index+1:]...)
	q.bytes -= i.bytes()
	return i
}

func (q *Queue) level(i *Item, now time.Time) call.Class {
	if q.Urgency == nil {
		return AgedClass(i, now)
	}
	return q.Urgency(i, now)
}

func (q *Queue) share(i *Item) string {
	if q.Flow == nil {
		return ByWorkspace(i)
	}
	return q.Flow(i)
}

func (q *Queue) bound() int {
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
