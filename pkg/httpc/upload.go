package httpc

import (
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"
)

// upload is the writing of one request.
type upload struct {
	conn *persistConn
	// ended is closed when nothing more is written. err is then the result, and connErr the
	// error of the connection in it.
	ended        chan struct{}
	err, connErr error
}

// send writes the request, in a goroutine if its body is large.
func send(pc *persistConn, request *http.Request) (*upload, error) {
	u := &upload{conn: pc, ended: make(chan struct{})}
	if request.ContentLength >= 0 && request.ContentLength < asyncBodySize {
		u.run(request)
		return u, u.err
	}
	go u.run(request)
	return u, nil
}

func (u *upload) run(request *http.Request) {
	defer close(u.ended)
	u.err = request.Write(u)
}

// Write writes a part of the request. It keeps the connection's error, which
// http.Request.Write returns in an error that does not unwrap.
func (u *upload) Write(data []byte) (int, error) {
	n, err := u.conn.Write(data)
	if err != nil {
		u.connErr = err
	}
	return n, err
}

// isComplete reports whether the whole request has been written.
func (u *upload) isComplete() bool {
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}

// connectionError ends the writing and returns the error with which the connection broke,
// nil if the server closed its side regularly. A socket reports a reset only once: if the
// writer gets it, the reader gets io.EOF.
func (u *upload) connectionError() error {
	if err := u.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	<-u.ended
	// With EPIPE, unlike ECONNRESET, the server had closed its side before the reset.
	if errors.Is(u.connErr, os.ErrDeadlineExceeded) || errors.Is(u.connErr, syscall.EPIPE) {
		return nil
	}
	return u.connErr
}
