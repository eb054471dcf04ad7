// Package spool provides a buffered writer for log lines that drops lines instead of
// blocking.
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

// bufferSize is the maximum number of buffered bytes: the log lines of a busy
// process in one second. Lines beyond it are dropped and counted.
const bufferSize = 256 << 10

// Spool is an io.Writer that buffers lines for a slower writer. Its exported fields
// are set before use; it is safe for concurrent use.
type Spool struct {
	// Out is the writer to which Run writes the lines.
	Out io.Writer
	// BufferShare returns the share of the buffer, above 0 and up to 1, that may be in
	// use after a line is added; lines with smaller shares are dropped first. With
	// nil, each line may use the whole buffer.
	BufferShare func(line []byte) float64

	once    sync.Once
	mutex   sync.Mutex
	changed *sync.Cond
	buffer  []byte
	// writing reports whether Run is writing a batch to Out.
	writing bool
	dropped int
	closed  bool
}

// prepare initialises the condition variable on first use.
func (s *Spool) prepare() { s.once.Do(func() { s.changed = sync.NewCond(&s.mutex) }) }

// Write adds one line to the buffer, or drops it if the buffer is full. It never
// fails and never waits for Out.
func (s *Spool) Write(line []byte) (int, error) {
	s.prepare()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.buffer)+len(line) > s.limit(line) {
		s.dropped++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	s.changed.Broadcast()
	return len(line), nil
}

// limit returns how many bytes may be buffered including the line.
func (s *Spool) limit(line []byte) int {
	if s.BufferShare == nil {
		return bufferSize
	}
	return int(s.BufferShare(line) * bufferSize)
}

// Run writes the buffered lines to Out until Close has been called and the buffer is
// empty.
func (s *Spool) Run() {
	s.prepare()
	var spare []byte
	for {
		s.mutex.Lock()
		s.writing = false
		s.changed.Broadcast()
		for len(s.buffer) == 0 && !s.closed {
			s.changed.Wait()
		}
		if len(s.buffer) == 0 {
			s.mutex.Unlock()
			return
		}
		batch, dropped := s.buffer, s.dropped
		s.buffer, s.dropped, s.writing = spare[:0], 0, true
		s.mutex.Unlock()
		if dropped > 0 {
			batch = append(batch, fmt.Sprintf("event=lines-dropped lines=%d\n", dropped)...)
		}
		// A failure to write the log cannot be reported anywhere.
		_, _ = s.Out.Write(batch)
		spare = batch
	}
}

// Close makes Run end and waits until all buffered lines have been written. Run must
// have been started if any line was written.
func (s *Spool) Close() {
	s.prepare()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.changed.Broadcast()
	for len(s.buffer) > 0 || s.writing {
		s.changed.Wait()
	}
}
