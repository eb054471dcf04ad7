package chain

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// ReadBody reads a request's complete body of at most maxBytes, which must arrive
// within timeout. Its error is a Refusal.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64, timeout time.Duration) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	_ = control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, Refuse(http.StatusRequestEntityTooLarge, "body_too_large", "the request body is too large")
	}
	if err != nil {
		return nil, Refuse(http.StatusBadRequest, "body_unreadable", "the request body could not be read")
	}
	return body, nil
}
