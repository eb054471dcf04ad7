package stream

import (
	"bytes"
	"strings"
)

// EndSize is how many bytes of a stream's end EndsBetweenEvents needs.
const EndSize = 4

// IsContentType reports whether a Content-Type is that of an event stream.
func IsContentType(value string) bool {
	mediaType, _, _ := strings.Cut(value, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// EndsBetweenEvents reports whether a stream with the given last bytes ends after a
// complete event or is empty. It needs the last EndSize bytes, or the whole of a
// shorter stream.
func EndsBetweenEvents(end []byte) bool {
	if len(end) == 0 {
		return true
	}
	line, ended := bytes.CutSuffix(end, []byte{newline})
	if !ended {
		return false
	}
	line = bytes.TrimSuffix(line, carriageReturn)
	return len(line) == 0 || line[len(line)-1] == newline
}
