package drain

import (
	"net/http"
	"strconv"
	"time"
)

// Announce returns a handler whose answers tell callers how long they may use the connection:
// not again once the entry is stopping, otherwise for the time that a stop honours.
func (d *Drain) Announce(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		announced := &announcedWriter{ResponseWriter: w, drain: d, request: r}
		defer d.removeReading(announced)
		inner.ServeHTTP(announced, r)
		announced.announce()
	})
}

// announcedWriter adds the connection headers of an answer when its head is written.
type announcedWriter struct {
	http.ResponseWriter
	drain       *Drain
	request     *http.Request
	headWritten bool
	// readDeadline limits the time to read the body. It is guarded by the drain's mutex.
	readDeadline time.Time
}

// Unwrap lets http.ResponseController use the server's own writer.
func (w *announcedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *announcedWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announce()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *announcedWriter) Write(data []byte) (int, error) {
	w.announce()
	return w.ResponseWriter.Write(data)
}

// FlushError lets http.ResponseController flush the answer.
func (w *announcedWriter) FlushError() error {
	w.announce()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// SetReadDeadline lets http.ResponseController limit the time to read the body, which ends when
// the process exits at the latest.
func (w *announcedWriter) SetReadDeadline(deadline time.Time) error {
	w.drain.mutex.Lock()
	defer w.drain.mutex.Unlock()
	w.readDeadline = deadline
	if deadline.IsZero() {
		delete(w.drain.reading, w)
		return w.applyReadDeadline(deadline)
	}
	if w.drain.reading == nil {
		w.drain.reading = map[*announcedWriter]struct{}{}
	}
	w.drain.reading[w] = struct{}{}
	return w.limitReadDeadline()
}

// limitReadDeadline applies the limit on the time to read the body. The caller holds the
// drain's mutex.
func (w *announcedWriter) limitReadDeadline() error {
	if exitTime := w.drain.exitTime; !exitTime.IsZero() && exitTime.Before(w.readDeadline) {
		return w.applyReadDeadline(exitTime)
	}
	return w.applyReadDeadline(w.readDeadline)
}

func (w *announcedWriter) applyReadDeadline(deadline time.Time) error {
	return http.NewResponseController(w.ResponseWriter).SetReadDeadline(deadline)
}

func (d *Drain) removeReading(w *announcedWriter) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.reading, w)
}

// announce adds the headers unless the head has been written.
func (w *announcedWriter) announce() {
	if w.headWritten {
		return
	}
	w.headWritten = true
	header := w.Header()
	if w.drain.Draining() {
		header.Set("Connection", "close")
	}
	if w.request.Close || header.Get("Connection") == "close" {
		return
	}
	if seconds := w.drain.keepAlive() / time.Second; seconds > 0 {
		header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(seconds)))
	}
}
