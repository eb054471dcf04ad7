// Package notify carries the news that something changed, without saying what.
package notify

import "sync"

// Signal joins any number of Set calls into one wake-up until it is taken. The
// zero value is ready; it is safe for concurrent use.
type Signal struct {
	once    sync.Once
	channel chan struct{}
}

// Set wakes the one who waits on C, now or at its next look.
func (s *Signal) Set() {
	select {
	case s.made() <- struct{}{}:
	default:
	}
}

// C delivers one value for all Set calls since the last.
func (s *Signal) C() <-chan struct{} { return s.made() }

func (s *Signal) made() chan struct{} {
	s.once.Do(func() { s.channel = make(chan struct{}, 1) })
	return s.channel
}
