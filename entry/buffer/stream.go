package buffer

import (
	"sync"
	"time"
)

// chunkSize is the size of a chunk, in bytes. It holds about as many events as an endpoint
// sends at once.
const chunkSize = 4 << 10

var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// Result is what Stream.Push did.
type Result int

// The results of Stream.Push.
const (
	// Accepted means that the stream has taken the bytes.
	Accepted Result = iota
	// Full means that the stream has taken nothing: the endpoint must wait.
	Full
	// Aborted means that the answer must be aborted.
	Aborted
)

// Stream is the queue of the bytes of one answer that its caller has not taken. Bytes leave
// it in the order in which they came. Its methods lock the pool.
type Stream struct {
	pool *Pool
	// queue holds the chunks in order, taken the one that is being written to the caller.
	queue [][]byte
	taken []byte
	// first is the space of a queue of one chunk.
	first [1][]byte
	// held is the number of bytes that the chunks count in the pool.
	held int64
	// progress is when the caller last took a chunk, or when the first chunk came into the
	// empty stream.
	progress time.Time
	// ended is set when no more bytes come, aborted when the answer may not be completed.
	ended, aborted bool
	// onAbort is called with the pool locked when the pool aborts the answer. It may be
	// nil, must not block and must not use the pool.
	onAbort func()
}

// NewStream returns the empty buffer of an answer. The caller closes it.
func (p *Pool) NewStream(onAbort func()) *Stream {
	s := &Stream{pool: p, onAbort: onAbort}
	s.queue = s.first[:0]
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.streams == nil {
		p.streams = map[*Stream]struct{}{}
	}
	p.streams[s] = struct{}{}
	return s
}

// Push adds a copy of the bytes if they fit into the stream and the pool. An empty stream
// accepts any bytes: a caller that reads in time is served however full the pool is.
func (s *Stream) Push(data []byte, now time.Time) Result {
	s.pool.mutex.Lock()
	defer s.pool.mutex.Unlock()
	if s.aborted {
		return Aborted
	}
	rest := data
	free := 0
	if len(s.queue) > 0 {
		last := s.queue[len(s.queue)-1]
		free = min(cap(last)-len(last), len(rest))
	}
	cost := int64(chunkCost(len(rest) - free))
	switch {
	case s.held == 0:
		s.progress = now
	case s.held+cost > s.pool.StreamBound || cost > 0 && !s.pool.fitsAnswer(cost, now):
		// Aborting for want of memory may have hit this stream.
		if s.aborted {
			return Aborted
		}
		return Full
	}
	if s.aborted {
		return Aborted
	}
	if free > 0 {
		last := &s.queue[len(s.queue)-1]
		*last = append(*last, rest[:free]...)
		rest = rest[free:]
	}
	if len(rest) > 0 {
		s.queue = append(s.queue, append(newChunk(len(rest)), rest...))
	}
	s.add(cost)
	return Accepted
}

// chunkCost returns what a chunk for a number of bytes counts.
func chunkCost(size int) int {
	if size == 0 {
		return 0
	}
	return max(size, chunkSize)
}

func newChunk(size int) []byte {
	if size > chunkSize {
		return make([]byte, 0, size)
	}
	return chunks.Get().(*[chunkSize]byte)[:0]
}

func freeChunk(chunk []byte) {
	if cap(chunk) == chunkSize {
		chunks.Put((*[chunkSize]byte)(chunk[:chunkSize]))
	}
}

// Next returns the bytes to write next, nil if there are none now; done reports that none
// will come. The caller calls Taken before the next call.
func (s *Stream) Next() (data []byte, done bool) {
	s.pool.mutex.Lock()
	defer s.pool.mutex.Unlock()
	if s.aborted {
		return nil, true
	}
	if len(s.queue) == 0 {
		return nil, s.ended
	}
	s.taken = s.queue[0]
	s.queue[0] = nil
	if s.queue = s.queue[1:]; len(s.queue) == 0 {
		// Keeps the array, so that a caller that reads in time causes no allocations.
		s.queue = s.first[:0]
	}
	return s.taken, false
}

// Taken frees the bytes that Next returned: the caller has taken them.
func (s *Stream) Taken(now time.Time) {
	s.pool.mutex.Lock()
	defer s.pool.mutex.Unlock()
	s.freeTaken()
	s.progress = now
}

func (s *Stream) freeTaken() {
	if s.taken == nil {
		return
	}
	s.free(s.taken)
	s.taken = nil
}

func (s *Stream) free(chunk []byte) {
	s.add(-int64(cap(chunk)))
	freeChunk(chunk)
}

// add changes the number of bytes held.
func (s *Stream) add(bytes int64) {
	s.held += bytes
	s.pool.inStreams += bytes
	s.pool.add(bytes)
}

// End marks the answer as complete: what is left is delivered.
func (s *Stream) End() {
	s.pool.mutex.Lock()
	defer s.pool.mutex.Unlock()
	s.ended = true
}

// Abort gives the answer up and frees what no one is writing.
func (s *Stream) Abort() {
	s.pool.mutex.Lock()
	defer s.pool.mutex.Unlock()
	s.abort()
}

// abort requires that the pool is locked.
func (s *Stream) abort() {
	if s.aborted {
		return
	}
	s.aborted = true
	for _, chunk := range s.queue {
		s.free(chunk)
	}
	s.queue = nil
	if s.onAbort != nil {
		s.onAbort()
	}
}

// abortSlow aborts the answer because its caller reads too slowly.
func (s *Stream) abortSlow() {
	s.pool.mutex.Lock()
	defer s.pool.mutex.Unlock()
	if !s.aborted {
		s.pool.counts.StreamsAborted++
	}
	s.abort()
}

// Close frees everything and removes the stream from the pool, after which onAbort is not
// called. No one may be writing bytes that Next returned.
func (s *Stream) Close() {
	s.pool.mutex.Lock()
	defer s.pool.mutex.Unlock()
	s.onAbort = nil
	s.abort()
	s.freeTaken()
	delete(s.pool.streams, s)
}

// isAborted reports whether the answer was aborted.
func (s *Stream) isAborted() bool {
	s.pool.mutex.Lock()
	defer s.pool.mutex.Unlock()
	return s.aborted
}
