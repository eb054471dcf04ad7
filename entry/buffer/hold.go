package buffer

import (
	"sync"
	"time"
)

// Hold is the memory of one request in a Pool: its header, its body, and its answer while that
// is read as a whole. It is safe for concurrent use. All methods of a nil Hold accept everything
// and count nothing.
type Hold struct {
	pool *Pool
	held int64
	// began is when the body began to arrive.
	began time.Time
	// onYield is called when the body must give way while it arrives. It must not block.
	onYield func()
	yielded bool
}

// NewHold returns the hold of a request in progress, nil for a nil Pool. The caller releases it
// when the request has ended.
func (p *Pool) NewHold() *Hold {
	if p == nil {
		return nil
	}
	h := &Hold{pool: p}
	h.Take(requestOverhead)
	return h
}

// Admit reports whether a new body may be read. length is the length that the body's header
// states, negative if it states none. It reserves nothing, since a slow caller need not ever
// send what it stated. Until Arrived, the body may have to give way: onYield must end the wait
// for its rest, and may be called once later than Arrived. With nil, the body does not give way.
func (h *Hold) Admit(length int64, now time.Time, onYield func()) bool {
	if h == nil {
		return true
	}
	h.pool.mutex.Lock()
	defer h.pool.unlock()
	share, minAge := h.pool.newBodyPolicy(h.size()+max(length, 0), length >= 0)
	if !h.pool.fits(h, max(length, 1), share, minAge, now) {
		h.pool.counts.BodiesRefused++
		return false
	}
	h.began, h.onYield = now, onYield
	if onYield != nil {
		if h.pool.arriving == nil {
			h.pool.arriving = map[*Hold]struct{}{}
		}
		h.pool.arriving[h] = struct{}{}
	}
	return true
}

// Grow adds bytes of a body that is arriving. It returns false if the pool is full, or if the
// body has given way.
func (h *Hold) Grow(bytes int64, now time.Time) bool {
	if h == nil {
		return true
	}
	h.pool.mutex.Lock()
	defer h.pool.unlock()
	if h.yielded {
		return false
	}
	share, minAge := h.pool.growingBodyPolicy(h.size() + bytes)
	if !h.pool.fits(h, bytes, share, minAge, now) {
		h.pool.counts.BodiesRefused++
		return false
	}
	h.held += bytes
	h.pool.add(bytes)
	return true
}

// Arrived records that the body has arrived: it does not give way any more.
func (h *Hold) Arrived() {
	if h == nil {
		return
	}
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	h.arrived()
}

// arrived requires that the pool is locked.
func (h *Hold) arrived() {
	delete(h.pool.arriving, h)
	if h.yielded {
		h.yielded = false
		h.pool.yielding -= h.held
	}
}

// Yielded reports whether the body has given way.
func (h *Hold) Yielded() bool {
	if h == nil {
		return false
	}
	h.pool.mutex.Lock()
	defer h.pool.mutex.Unlock()
	return h.yielded
}

// weight is the memory that the request has taken, times the time for which its body has been
// arriving.
func (h *Hold) weight(now time.Time) float64 { return float64(h.held) * float64(now.Sub(h.began)) }

// size returns what the header and the body take.
func (h *Hold) size() int64 { return h.held - requestOverhead }

// IsLarge reports whether a request with a body of a stated length, negative if none is stated,
// may be large.
func (h *Hold) IsLarge(length int64) bool {
	return h != nil && (length < 0 || h.size()+length > h.pool.maxSmallRequest())
}

// IsFilling reports whether the pool is more than half full.
func (h *Hold) IsFilling() bool { return h != nil && h.pool.IsFilling() }

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
	h.arrived()
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
