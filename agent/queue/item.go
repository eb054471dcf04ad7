package queue

import (
	"math"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// soonAge is how long a ClassSoon request waits before it counts as
	// ClassPerson.
	soonAge = 15 * time.Second
	// longAge is how long a small ClassLong request waits before it counts as
	// one class more urgent.
	longAge = 2 * time.Minute
	// longSize is the size in tokens from which a long run counts more.
	longSize = 1024
)

// Item is one waiting attempt.
type Item struct {
	// Attempt is what waits. It is not changed while it is queued.
	Attempt *call.Attempt
	// Arrived is when the attempt came to the agent.
	Arrived time.Time
	// Deadline is when its caller gives up; zero means never.
	Deadline time.Time
	// Start runs it and Refuse turns it away; neither blocks. The queue calls
	// neither.
	Start  func()
	Refuse func(reason call.Reason)
}

// Cost is the work of the item in tokens.
func (i *Item) Cost() int64 {
	return max(1, i.Attempt.PromptTokens+i.Attempt.MaxTokens-i.Attempt.DeliveredTokens)
}

// WaitTime is how long the item has waited.
func (i *Item) WaitTime(now time.Time) time.Duration { return now.Sub(i.Arrived) }

// AgingFactor is how much a long run counts: it doubles the speed of aging for each
// doubling of the tokens above longSize.
func (i *Item) AgingFactor() float64 {
	if i.Attempt.Class != call.ClassLong {
		return 1
	}
	return 1 + math.Log2(1+float64(i.Cost())/longSize)
}

// AgedClass is the default of Queue.Level: the item's class, made more urgent by
// waiting so that every item is served in the end.
func AgedClass(i *Item, now time.Time) call.Class {
	waited := i.WaitTime(now)
	switch i.Attempt.Class {
	case call.ClassSoon:
		if waited >= soonAge {
			return call.ClassInteractive
		}
	case call.ClassLong:
		steps := float64(waited) * i.AgingFactor() / float64(longAge)
		return call.ClassLong - call.Class(min(steps, float64(call.ClassLong)))
	}
	return i.Attempt.Class
}

// ByWorkspace is the default of Queue.Share.
func ByWorkspace(i *Item) string { return i.Attempt.Workspace }

func (i *Item) bytes() int64 {
	return int64(len(i.Attempt.Body) + len(i.Attempt.DeliveredText))
}

// rank orders items of one level and share: the larger goes first.
func (i *Item) rank(now time.Time) float64 {
	return float64(i.WaitTime(now)) * i.AgingFactor()
}
