// Package notify provides a coalescing notification that some state has changed.
package notify

import "sync"

// Signal notifies one receiver. All calls of Set until the receiver reads from C are
// delivered as one value. The zero value is ready to use; it is safe for concurrent
// use.
type Signal struct {
	once    sync.Once
	channel chan struct{}
}

// Set notifies the receiver. It never blocks: if no receiver waits on C, the next
// receive from C returns immediately.
func (s *Signal) Set() {
	select {
	case s.lazyChannel() <- struct{}{}:
	default:
	}
}

// C returns the channel that delivers one value for all calls of Set since the last
// receive.
func (s *Signal) C() <-chan struct{} { return s.lazyChannel() }

// lazyChannel returns the channel, which the first call creates.
func (s *Signal) lazyChannel() chan struct{} {
	s.once.Do(func() { s.channel = make(chan struct{}, 1) })
	return s.channel
}
