package event

import "bytes"

const (
	// successShare is the share of a log's buffer that lines about successful
	// requests may use, and refusalShare the one for lines about failures and
	// refusals. The rest is reserved for changes of state, since one such line can
	// explain the outcome of many requests.
	successShare = 0.5
	refusalShare = 0.75
)

// BufferShare returns the share of a log's buffer that a line may use, for
// spool.Spool.
func BufferShare(line []byte) float64 {
	switch {
	case isEvent(line, "request"):
		if bytes.Contains(line, []byte(" status=2")) {
			return successShare
		}
		return refusalShare
	case isEvent(line, "admitted"), isEvent(line, "engine-ordered"), isEvent(line, "stream-ended"), isEvent(line, "hedge-sent"), isEvent(line, "hedge-ended"):
		return successShare
	case isEvent(line, "admission-refused"), isEvent(line, "attempt-failed"), isEvent(line, "agent-unreachable"), isEvent(line, "repeat"), isEvent(line, "prompt-refused"), isEvent(line, "hedge-denied"),
		isEvent(line, "body-refused"), isEvent(line, "answer-aborted"):
		return refusalShare
	}
	return 1
}

// isEvent reports whether a line logs the named event.
func isEvent(line []byte, event string) bool {
	return bytes.Contains(line, []byte(" event="+event+" "))
}
