package direct

import (
	"sync"
	"time"
)

const (
	// minAnewDelay is the shortest retry delay of a caller whose stream cannot go on: it can
	// begin a new one at once.
	minAnewDelay = 10 * time.Millisecond
	// anewRate is how many such callers come back in a second, and maxAnewWindow the longest
	// time over which they are spread. After the loss of all entries, several hundred streams
	// come back within a second, about twelve at each of 23 entries; new streams begin there
	// at 4 a second. The window is short against the first-token objectives of some seconds.
	anewRate      = 25
	maxAnewWindow = time.Second
)

// anewSpread spreads the callers over time that begin streams anew because these cannot go on.
// The zero value is ready to use; it is safe for concurrent use.
type anewSpread struct {
	mutex sync.Mutex
	// level is how many callers were told to come back and have not by their delays, as of
	// updated.
	level   float64
	updated time.Time
}

// delay returns the retry delay of the next caller; random is between 0 and 1.
func (s *anewSpread) delay(random float64, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.level = max(s.level-anewRate*now.Sub(s.updated).Seconds(), 0)
	s.updated = now
	window := min(time.Duration(s.level/anewRate*float64(time.Second)), maxAnewWindow)
	s.level++
	return minAnewDelay + time.Duration(random*float64(window))
}
