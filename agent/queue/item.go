package queue

import (
	"math"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// soonPromotionTime is how long a ClassSoon request waits before it is treated as
	// ClassInteractive.
	soonPromotionTime = 15 * time.Second
	// longPromotionTime is how long a small ClassLong request waits before it is
	// treated as one class more urgent; larger ones age faster, see AgingFactor.
	longPromotionTime = 2 * time.Minute
	// longSizeTokens is the size in tokens at which a ClassLong request ages twice as fast
	// as a very small one.
	longSizeTokens = 1024
)

// Item is one waiting attempt.
type Item struct {
	// Attempt is the waiting attempt. It is not modified while it is queued.
	Attempt *call.Attempt
	// Arrived is when the attempt arrived at the agent.
	Arrived time.Time
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
	// Start runs the attempt and Refuse rejects it, both without blocking. They are called
	// by the user of the queue, not by the queue.
	Start  func()
	Refuse func(reason call.Reason)
}

// Cost returns the remaining work of the item in tokens, at least 1.
func (i *Item) Cost() int64 {
	return max(1, i.Attempt.PromptTokens+i.Attempt.MaxTokens-i.Attempt.DeliveredTokens)
}

// WaitTime returns how long the item has waited.
func (i *Item) WaitTime(now time.Time) time.Duration { return now.Sub(i.Arrived) }

// AgingFactor returns how fast the item ages. It is 1 for all classes but ClassLong,
// where it starts at 1 and grows by about one for each doubling of the tokens above
// longSizeTokens.
func (i *Item) AgingFactor() float64 {
	if i.Attempt.Class != call.ClassLong {
		return 1
	}
	return 1 + math.Log2(1+float64(i.Cost())/longSizeTokens)
}

// AgedClass is the default of Queue.Urgency: the item's class, made more urgent by
// waiting so that every item is served eventually.
func AgedClass(i *Item, now time.Time) call.Class {
	waited := i.WaitTime(now)
	switch i.Attempt.Class {
	case call.ClassSoon:
		if waited >= soonPromotionTime {
			return call.ClassInteractive
		}
	case call.ClassLong:
		steps := float64(waited) * i.AgingFactor() / float64(longPromotionTime)
		return call.ClassLong - call.Class(min(steps, float64(call.ClassLong)))
	}
	return i.Attempt.Class
}

// ByWorkspace is the default of Queue.Flow: the items of each workspace form a flow, which
// shares one credit of tokens in the fair round robin.
func ByWorkspace(i *Item) string { return i.Attempt.Workspace }

func (i *Item) payloadBytes() int64 {
	return int64(len(i.Attempt.Body) + len(i.Attempt.DeliveredText))
}

// priority orders items of the same urgency and flow: the larger value is served first.
func (i *Item) priority(now time.Time) float64 {
	return float64(i.WaitTime(now)) * i.AgingFactor()
}
