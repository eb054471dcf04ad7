// Package stream splits an event stream (text/event-stream) into complete events,
// so that a stream that is interrupted inside an event can be resumed.
package stream

import (
	"bytes"
	"strconv"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindOrder means that an event's ID is no number or not above the last one.
	KindOrder Kind = "event out of order"
	// KindSize means that an event is too large.
	KindSize Kind = "event too large"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// maxEvent is the maximum size of an incomplete event, in bytes.
const maxEvent = 256 << 10

const newline = '\n'

var (
	carriageReturn = []byte("\r")
	idField        = []byte("id:")
)

// Splitter passes on the complete events of a stream and buffers the incomplete
// event at its end. The zero value is ready for the start of a stream.
type Splitter struct {
	// LastID is the ID of the last event returned by Push that has one. It is valid only
	// if HasLastID is true.
	LastID    int64
	HasLastID bool
	// EventCount is the number of events returned by Push.
	EventCount int

	// unidentified is set if an event without an ID was returned after the one of LastID.
	unidentified bool
	// pending is the incomplete event. Its last line starts at lineStart and has no
	// end before searched.
	pending             []byte
	lineStart, searched int
}

// Push adds the next bytes of the stream. It returns the bytes up to the end of the
// last valid complete event, which are valid until the next call, also together with
// an error. Event IDs must increase.
func (s *Splitter) Push(data []byte) (complete []byte, err error) {
	s.pending = append(s.pending, data...)
	start := 0
	for s.nextEvent() {
		if err = s.recordEvent(s.pending[start:s.lineStart]); err != nil {
			break
		}
		start = s.lineStart
	}
	if err == nil && len(s.pending)-start > maxEvent {
		err = &Error{Op: "cut", Kind: KindSize}
	}
	if start == 0 {
		return nil, err
	}
	complete = s.pending[:start:start]
	s.pending = append([]byte(nil), s.pending[start:]...)
	s.lineStart -= start
	s.searched -= start
	return complete, err
}

// Resumable reports whether a stream that is resumed after LastID, or begun anew without
// one, repeats none of the events that Push has returned. Comments may be repeated.
func (s *Splitter) Resumable() bool { return !s.unidentified }

// Partial returns the bytes after the last complete event.
func (s *Splitter) Partial() []byte { return s.pending }

// Resume discards the incomplete event. The next Push must start with the event
// after the last complete one, as sent when the stream is resumed.
func (s *Splitter) Resume() { s.pending, s.lineStart, s.searched = nil, 0, 0 }

// nextEvent searches on for the empty line that ends an event and moves lineStart
// behind it. It returns false if the event is incomplete.
func (s *Splitter) nextEvent() bool {
	for {
		at := bytes.IndexByte(s.pending[s.searched:], newline)
		if at < 0 {
			s.searched = len(s.pending)
			return false
		}
		end := s.searched + at
		line := bytes.TrimSuffix(s.pending[s.lineStart:end], carriageReturn)
		s.lineStart, s.searched = end+1, end+1
		if len(line) == 0 {
			return true
		}
	}
}

// recordEvent counts a complete event and records its ID. An invalid event changes nothing.
func (s *Splitter) recordEvent(event []byte) error {
	lastID, hasLastID := s.LastID, s.HasLastID
	identified, comment := false, true
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			comment = comment && (line[0] == ':' || len(bytes.TrimRight(line, "\r\n")) == 0)
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || (hasLastID && id <= lastID) {
			return &Error{Op: "read event", Kind: KindOrder, Err: err}
		}
		lastID, hasLastID, identified = id, true, true
	}
	s.LastID, s.HasLastID = lastID, hasLastID
	s.unidentified = !identified && (s.unidentified || !comment)
	s.EventCount++
	return nil
}
