package chain

import (
	"net/http"

	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
)

// AbortAnswer ends an answer that has begun and stays incomplete, so that its caller
// cannot take it for a complete one. It does not return.
func AbortAnswer(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// Without chunks, only a reset distinguishes the end of the connection from the
		// end of the answer.
		// Hijack fails if the caller has disconnected.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			httpc.Reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}
