// Package spool writes lines without ever making their source wait.
package spool

import (
	"fmt"
	"io"
	"sync"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

// mostBytes is how much may wait to be written; what comes on top is dropped
// and counted. A second of lines of a busy process.
const mostBytes = 256 << 10

// Spool is an io.Writer in front of a slower one. Its fields are set before
// Run; it is safe for concurrent use.
type Spool struct {
	// Out takes the lines.
	Out io.Writer
	// BufferShare returns the part of the space, above 0 and up to 1, that a line may
	// fill: lines with smaller parts are dropped first. Nil gives all to all.
	BufferShare func(line []byte) float64

	once    sync.Once
	mutex   sync.Mutex
	wake    *sync.Cond
	waiting []byte
	// busy says that a write is under way.
	busy    bool
	dropped int
	closed  bool
}

func (s *Spool) prepare() { s.once.Do(func() { s.wake = sync.NewCond(&s.mutex) }) }

// Write takes one line. It never fails and never waits for Out.
func (s *Spool) Write(line []byte) (int, error) {
	s.prepare()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.waiting)+len(line) > s.space(line) {
		s.dropped++
		return len(line), nil
	}
	s.waiting = append(s.waiting, line...)
	s.wake.Broadcast()
	return len(line), nil
}

func (s *Spool) space(line []byte) int {
	if s.BufferShare == nil {
		return mostBytes
	}
	return int(s.BufferShare(line) * mostBytes)
}

// Run writes what waits until Close has been called and nothing is left.
func (s *Spool) Run() {
	s.prepare()
	var spare []byte
	for {
		s.mutex.Lock()
		s.busy = false
		s.wake.Broadcast()
		for len(s.waiting) == 0 && !s.closed {
			s.wake.Wait()
		}
		if len(s.waiting) == 0 {
			s.mutex.Unlock()
			return
		}
		batch, dropped := s.waiting, s.dropped
		s.waiting, s.dropped, s.busy = spare[:0], 0, true
		s.mutex.Unlock()
		if dropped > 0 {
			batch = append(batch, fmt.Sprintf("event=lines-dropped lines=%d\n", dropped)...)
		}
		// There is nowhere to report that the log cannot be written.
		_, _ = s.Out.Write(batch)
		spare = batch
	}
}

// Close lets Run end and waits until what was taken is written.
func (s *Spool) Close() {
	s.prepare()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.wake.Broadcast()
	for len(s.waiting) > 0 || s.busy {
		s.wake.Wait()
	}
}
