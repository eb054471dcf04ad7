package buffer

import (
	"sync"
	"time"
)

// Hold is the memory of one request in a Pool: its body, and its answer while that is read
// as a whole. It is safe for concurrent use. All methods of a nil Hold accept everything
// and count nothing.
type Hold struct {
	pool *Pool
	held int64
}

// NewHold returns the hold of a request in progress. The caller releases it when the
// request has ended.
func (p *Pool) NewHold() *Hold {
	h := &Hold{pool: p}
	h.Take(requestOverhead)
	return h
}

// Admit reports whether a new body may be read. length is the length that the body's header
// states, negative if it states none. It reserves nothing, since a slow caller need not ever
// send what it stated.
func (h *Hold) Admit(length int64, now time.Time) bool {
	if h == nil {
		return true
	}
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	if h.pool.fits(max(length, 1), newBodyShare, now) {
		return true
	}
	h.pool.counts.BodiesRefused++
	return false
}

// Grow adds bytes of a body that is arriving. It returns false if the pool is full.
func (h *Hold) Grow(bytes int64, now time.Time) bool {
	if h == nil {
		return true
	}
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	if !h.pool.fits(bytes, 1, now) {
		h.pool.counts.BodiesRefused++
		return false
	}
	h.held += bytes
	h.pool.add(bytes)
	return true
}

// Take adds bytes that are held already, whether or not the pool is full. A negative number
// removes bytes.
func (h *Hold) Take(bytes int64) {
	if h == nil {
		return
	}
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	h.held += bytes
	h.pool.add(bytes)
}

// Release removes everything from the pool.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	h.pool.add(-h.held)
	h.held = 0
}

// BeginSend counts a body as unread by an endpoint until the returned function is called,
// which may be more than once. It returns false if the endpoint gets no further body now,
// because it does not read those that it has.
func (h *Hold) BeginSend(endpoint string, bytes int64) (sent func(), ok bool) {
	if h == nil || bytes == 0 {
		return func() {}, true
	}
	if !h.pool.beginSend(endpoint, bytes) {
		return nil, false
	}
	return sync.OnceFunc(func() { h.pool.endSend(endpoint, bytes) }), true
}
