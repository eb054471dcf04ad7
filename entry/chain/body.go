package chain

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/buffer"
)

const (
	// minBodySpace is the space for the first bytes of a body; it doubles as more arrive.
	minBodySpace = 4 << 10
	// memoryRetryAfter is the least retry delay of a request that was refused for want of
	// memory: an answer takes about that long. Callers are spread over as much again.
	memoryRetryAfter = time.Second
	// unreadBodyTimeout is how long the rest of a refused body may take to arrive. Until
	// then it is read and dropped, since a connection that is closed with unread bytes may
	// lose the refusal.
	unreadBodyTimeout = time.Second
	// CodeMemory is the code of requests refused for want of memory.
	CodeMemory = "memory_full"
)

// serverWriter returns the server's own writer: http.MaxBytesReader makes the server close the
// connection after a body that is too large, but does not unwrap its writer.
func serverWriter(w http.ResponseWriter) http.ResponseWriter {
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = wrapper.Unwrap()
	}
}

// bodyRefusal returns the refusal of a request whose body failed with err.
func bodyRefusal(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return Refuse(http.StatusRequestEntityTooLarge, "body_too_large", "the request body is too large")
	}
	return Refuse(http.StatusBadRequest, "body_unreadable", "the request body could not be read")
}

// BodyLimits bound one request body.
type BodyLimits struct {
	// MaxBytes is the largest size, Timeout the time in which the body must arrive, and
	// GapTimeout the longest time in which nothing of it arrives; 0 means no limit.
	MaxBytes            int64
	Timeout, GapTimeout time.Duration
}

// ReadBodyInto reads a request's complete body and counts it in hold as it arrives. If
// there is no memory for the body, it refuses the request, if possible before it reads
// anything. Its error is a Refusal.
func ReadBodyInto(hold *buffer.Hold, w http.ResponseWriter, r *http.Request, limits BodyLimits) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limits.MaxBytes {
		return nil, RefuseUnread(w, bodyRefusal(&http.MaxBytesError{Limit: limits.MaxBytes}))
	}
	deadlines := &readDeadlines{control: http.NewResponseController(w)}
	if !hold.Admit(r.ContentLength, time.Now(), deadlines.interrupt) {
		return nil, RefuseUnread(w, memoryFull())
	}
	body, err := readGrowing(hold, http.MaxBytesReader(serverWriter(w), r.Body, limits.MaxBytes), r.ContentLength, limits, deadlines)
	deadlines.finish()
	if err != nil {
		return nil, RefuseUnread(w, err)
	}
	return body, nil
}

// readGrowing reads a body of a stated length, negative if it is unknown, into space that
// doubles. Its error is a Refusal.
func readGrowing(hold *buffer.Hold, reader io.Reader, length int64, limits BodyLimits, deadlines *readDeadlines) ([]byte, error) {
	now := time.Now()
	end := now.Add(limits.Timeout)
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := bodySpace(int64(cap(body)), length, limits.MaxBytes)
			if !hold.Grow(grown-int64(cap(body)), now) {
				return nil, memoryFull()
			}
			body = append(make([]byte, 0, grown), body...)
		}
		deadline := end
		if limits.GapTimeout > 0 && now.Add(limits.GapTimeout).Before(end) {
			deadline = now.Add(limits.GapTimeout)
		}
		deadlines.set(deadline)
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			hold.Arrived()
			return body, nil
		case err != nil && hold.Yielded():
			return nil, memoryFull()
		case err != nil:
			return nil, bodyRefusal(err)
		}
		now = time.Now()
	}
}

// readDeadlines sets the deadlines for reading a body, which another goroutine may interrupt.
type readDeadlines struct {
	control *http.ResponseController

	mutex sync.Mutex
	// interrupted is set once the body is not awaited any more, finished once it is not read
	// any more.
	interrupted, finished bool
}

func (d *readDeadlines) set(deadline time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.interrupted {
		_ = d.control.SetReadDeadline(deadline)
	}
}

// interrupt ends a read that waits. It does nothing once the body has been read, since the
// connection may serve the next request.
func (d *readDeadlines) interrupt() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.finished {
		return
	}
	d.interrupted = true
	_ = d.control.SetReadDeadline(time.Unix(1, 0))
}

// finish removes the deadline.
func (d *readDeadlines) finish() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.finished {
		d.finished = true
		_ = d.control.SetReadDeadline(time.Time{})
	}
}

// bodySpace returns the next larger space for a body of a stated length, which is negative
// if it is unknown. One byte beyond the largest body reveals larger ones.
func bodySpace(space, length, maxBytes int64) int64 {
	most := maxBytes + 1
	if length >= 0 && space < length {
		most = length
	}
	return min(max(2*space, minBodySpace), max(most, space+1))
}

// memoryFull returns the refusal of a request for want of memory.
func memoryFull() error {
	wait := memoryRetryAfter + rand.N(memoryRetryAfter)
	return Refuse(http.StatusServiceUnavailable, CodeMemory, "this entry holds too much for other requests").WithRetryAfter(wait)
}

// RefuseUnread prepares the connection for a refusal that is sent before the body has been
// read, and returns the refusal. Without the close, the server reads the rest of the body
// before it answers. The caller writes the refusal with its length and then calls DiscardUnread.
func RefuseUnread(w http.ResponseWriter, refusal error) error {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	return refusal
}

// DiscardUnread sends a refusal that RefuseUnread has prepared, and then reads and drops the rest
// of the body, for a limited time and no more than maxBytes: a connection that is closed with
// unread bytes may lose the refusal.
func DiscardUnread(w http.ResponseWriter, r *http.Request, maxBytes int64) {
	if w.Header().Get("Connection") != "close" {
		return
	}
	// A header of many fields takes much memory.
	r.Header = nil
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	if control.Flush() == nil {
		_, _ = io.CopyN(io.Discard, r.Body, maxBytes)
	}
}
