// Package stream cuts an event stream (text/event-stream) into whole events,
// so that a stream which breaks off inside an event can be continued.
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
	// KindOrder says that an event's ID does not follow the one before.
	KindOrder Kind = "event out of order"
	// KindSize says that an event is too large.
	KindSize Kind = "event too large"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// mostEvent is the largest event, in bytes.
const mostEvent = 1 << 20

var (
	newline = []byte("\n")
	idField = []byte("id:")
)

// Splitter holds back the part of a stream behind its last whole event. The zero
// value is at the start of a stream.
type Splitter struct {
	// LastID is the ID of the last whole event, and Seen says that there was one.
	LastID    int64
	HasLastID bool
	// EventCount counts the whole events.
	EventCount int

	rest []byte
}

// Push takes the next bytes and returns those up to the end of the last whole
// event. They are valid until the next call. IDs must grow.
func (c *Splitter) Push(data []byte) (whole []byte, err error) {
	c.rest = append(c.rest, data...)
	end := 0
	for start := 0; ; {
		length := eventLength(c.rest[start:])
		if length == 0 {
			break
		}
		if err := c.note(c.rest[start : start+length]); err != nil {
			return nil, err
		}
		start += length
		end = start
	}
	if len(c.rest)-end > mostEvent {
		return nil, &Error{Op: "cut", Kind: KindSize}
	}
	whole = c.rest[:end:end]
	c.rest = append([]byte(nil), c.rest[end:]...)
	return whole, nil
}

// Partial returns what came behind the last whole event.
func (c *Splitter) Partial() []byte { return c.rest }

// Resume starts with another run of the same stream behind the last event.
func (c *Splitter) Resume() { c.rest = nil }

// eventLength returns the length of the first event with its empty line, 0 if
// that has not come.
func eventLength(data []byte) int {
	for start := 0; ; {
		at := bytes.Index(data[start:], newline)
		if at < 0 {
			return 0
		}
		line := bytes.TrimSuffix(data[start:start+at], []byte("\r"))
		start += at + 1
		if len(line) == 0 {
			return start
		}
	}
}

// note reads the ID of a whole event.
func (c *Splitter) note(event []byte) error {
	c.EventCount++
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || (c.HasLastID && id <= c.LastID) {
			return &Error{Op: "read event", Kind: KindOrder, Err: err}
		}
		c.LastID, c.HasLastID = id, true
	}
	return nil
}
