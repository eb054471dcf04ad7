package shelf

import "time"

const (
	// mostWindow and leastWindow bound how many adapters are on their way to
	// one engine.
	mostWindow  = 4
	leastWindow = 1
	// quickLoad is the time below which an adapter came from the engine's own
	// memory: a tenth of a load from the weight store.
	quickLoad = 120 * time.Millisecond
	// slowLoad is the time above which the weight store is taken to be
	// overloaded: one and a half times a load at full speed, 250 ms.
	slowLoad = 375 * time.Millisecond
	// windowCut is what the window shrinks to after a slow load, and
	// windowStep what it grows by in as many loads as it allows.
	windowCut  = 0.7
	windowStep = 0.5
)

// window bounds the loads on their way by how long they take. It answers many
// engines that fetch rare adapters at once: the store serves all of them in the
// same time, however many, so that more of them only wait for longer, and no
// longer in the order of their urgency.
type window struct {
	size float64
	// began holds when the loads under way were ordered.
	began map[Key]time.Time
}

func (w *window) most() int {
	if w.size == 0 {
		return mostWindow / 2
	}
	return int(w.size)
}

// loading notes that a load has begun.
func (s *Shelf) loading(key Key, sent time.Time) {
	if s.window.began == nil {
		s.window.began = map[Key]time.Time{}
	}
	s.window.began[key] = sent
}

// arrived measures the loads that have ended.
func (s *Shelf) arrived(now time.Time) {
	for key, sent := range s.window.began {
		held := s.items[key]
		if held != nil && held.coming {
			continue
		}
		delete(s.window.began, key)
		if held != nil {
			s.window.note(now.Sub(sent))
		}
	}
}

func (w *window) note(took time.Duration) {
	if w.size == 0 {
		w.size = mostWindow / 2
	}
	switch {
	case took < quickLoad:
	case took > slowLoad:
		w.size = max(w.size*windowCut, leastWindow)
	default:
		w.size = min(w.size+windowStep/w.size, mostWindow)
	}
}
