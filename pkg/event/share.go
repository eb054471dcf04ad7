package event

import "bytes"

const (
	// successShare and refusalShare are the parts of a log's space that lines
	// about requests may fill, those of requests that go well and all others.
	// The rest is kept for changes of state, which explain many requests.
	successShare = 0.5
	refusalShare = 0.75
)

// BufferShare returns the part of a log's space that a line may fill.
func BufferShare(line []byte) float64 {
	switch {
	case has(line, "request"):
		if bytes.Contains(line, []byte(" status=2")) {
			return successShare
		}
		return refusalShare
	case has(line, "admitted"), has(line, "engine-ordered"):
		return successShare
	case has(line, "admission-refused"), has(line, "attempt-failed"), has(line, "agent-unreachable"), has(line, "repeat"):
		return refusalShare
	}
	return 1
}

// has reports whether a line is one of an event.
func has(line []byte, event string) bool { return bytes.Contains(line, []byte(" event="+event+" ")) }
