package chain

import "net/http"

// AbortAnswer ends an answer that has begun and stays incomplete, so that its caller
// cannot take it for a complete one. It does not return.
func AbortAnswer(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// Without chunks, only a reset distinguishes the end of the connection from the
		// end of the answer.
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the connection of an answer instead of closing it.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		// The caller has disconnected, or the server does not give the connection away.
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// If this fails, the connection is closed regularly; there is no better way.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
