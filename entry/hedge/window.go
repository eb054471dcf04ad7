package hedge

import "time"

const (
	// limitTime is the time over which the operators' limit holds.
	limitTime = 10 * time.Second
	// slotTime is the resolution of a window.
	slotTime = 100 * time.Millisecond
	// slotCount covers limitTime and the slot in progress.
	slotCount = int64(limitTime/slotTime) + 1
)

// window counts the requests and hedges of the last ten seconds. Where a slot lies only
// partly within them, its hedges count and its requests do not, so that the limit holds
// for every ten seconds that end with a hedge.
type window struct {
	// start is the time of slot 0.
	start time.Time
	slots [slotCount]slot
}

// slot counts what happened in one slotTime; number is the number of the slot since the
// start of the window.
type slot struct {
	number, requests, hedges int64
}

// at returns the slot of a time, or nil if it was overwritten by a later one.
func (w *window) at(now time.Time) *slot {
	number := w.number(now)
	s := &w.slots[number%slotCount]
	if s.number < number {
		*s = slot{number: number}
	}
	if s.number > number {
		return nil
	}
	return s
}

func (w *window) number(now time.Time) int64 {
	if w.start.IsZero() {
		w.start = now
	}
	return max(int64(now.Sub(w.start)/slotTime), 0)
}

func (w *window) requests(now time.Time) {
	if s := w.at(now); s != nil {
		s.requests++
	}
}

// hedges adds to the hedges at a time.
func (w *window) hedges(at time.Time, delta int64) {
	if s := w.at(at); s != nil {
		s.hedges += delta
	}
}

// allows reports whether one more hedge now keeps the hedges of the last ten seconds
// within a share of their requests. A share of 0 sets no limit.
func (w *window) allows(share float64, now time.Time) bool {
	if share <= 0 {
		return true
	}
	newest := w.number(now)
	requests, hedges := int64(0), int64(0)
	for _, s := range w.slots {
		if newest-s.number < slotCount {
			hedges += s.hedges
		}
		if newest-s.number < slotCount-1 {
			requests += s.requests
		}
	}
	return float64(hedges+1) <= share*float64(requests)
}
