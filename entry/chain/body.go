package chain

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// ReadBody reads a request's whole body of at most so many bytes, which must
// arrive within a time. Its error is a Refusal.
func ReadBody(w http.ResponseWriter, r *http.Request, most int64, limit time.Duration) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(limit))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
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
