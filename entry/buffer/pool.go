// Package buffer bounds the memory that an entry holds for callers and endpoints: request
// bodies, whole answers, and the parts of answers that callers have not taken yet.
//
// A Pool decides what fits, and a Stream is the buffer of one answer. Neither does I/O. A
// Writer moves a Stream's bytes to a caller.
package buffer

import (
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindSlow means that a caller did not take its answer in time.
	KindSlow Kind = "caller reads too slowly"
	// KindGone means that a caller has disconnected.
	KindGone Kind = "caller is gone"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// boundShare is the share of a process's memory limit that a Pool may hold. The Go
	// runtime's soft limit is at 0.7 of the memory limit; what lies between is for the
	// process's own state and for garbage not yet collected.
	boundShare = 0.5
	// newBodyShare is the share of the bound up to which new bodies are accepted. The rest
	// is for bodies that have begun to arrive and for answers.
	newBodyShare = 0.875
	// answersShare is the share of the bound that the answers may have which callers have
	// yet to take. It is below newBodyShare, so that callers that read slowly do not cause
	// the refusal of bodies.
	answersShare = 0.625
	// maxStreamBytes bounds the buffer of one answer, in bytes: some 2,000 events, more than
	// the longest usual answer has. streamShare is the share of the bound that one answer
	// may have at most, which applies to small processes.
	maxStreamBytes = 256 << 10
	streamShare    = 1.0 / 64
	// endpointShare is the share of the bound that the bodies may have which one endpoint
	// has not read yet.
	endpointShare = 1.0 / 8
	// requestOverhead is what a request in progress takes beside its body and answer, in
	// bytes: two connections with their buffers, the headers and the stacks of three
	// goroutines.
	requestOverhead = 32 << 10
	// stallTime is how long a caller may take nothing of an unfinished answer before the
	// answer may be aborted for want of memory. It is longer for an answer that has ended,
	// since only its delivery remains.
	stallTime      = 2 * time.Second
	stallTimeEnded = 10 * time.Second
)

// Pool is the memory that a process holds for callers and endpoints. It is safe for
// concurrent use. The exported fields are set before use; see New.
type Pool struct {
	// Bound is the number of bytes that the pool may hold.
	Bound int64
	// StreamBound is the number of bytes that one answer may hold, EndpointBound the
	// number of bytes of request bodies that one endpoint may leave unread.
	StreamBound, EndpointBound int64

	mutex sync.Mutex
	// held is the sum over all holds and streams.
	held, peak int64
	// inStreams is the part of held that is in streams.
	inStreams int64
	streams   map[*Stream]struct{}
	// unsent is the number of bytes of request bodies that an endpoint has not read, by
	// the endpoint's name.
	unsent map[string]int64
	counts Counts
}

// Counts are the decisions of a Pool since its start that refused or aborted something.
type Counts struct {
	// BodiesRefused counts request bodies refused for want of memory, BodiesWithheld those
	// not sent to an endpoint that does not read, and StreamsAborted the answers aborted
	// because their callers read too slowly.
	BodiesRefused, BodiesWithheld, StreamsAborted int64
}

// New returns a pool for a process with the given memory limit in bytes.
func New(memoryLimit int64) *Pool {
	bound := float64(memoryLimit) * boundShare
	return &Pool{
		Bound:         int64(bound),
		StreamBound:   min(maxStreamBytes, int64(bound*streamShare)),
		EndpointBound: int64(bound * endpointShare),
	}
}

// fits reports whether the pool can hold more bytes of bodies up to a share of the bound.
func (p *Pool) fits(bytes int64, share float64, now time.Time) bool {
	return p.makeRoom(now, func() bool { return p.held+bytes <= int64(float64(p.Bound)*share) })
}

// fitsAnswer reports whether the pool can hold more bytes of answers.
func (p *Pool) fitsAnswer(bytes int64, now time.Time) bool {
	return p.makeRoom(now, func() bool {
		return p.held+bytes <= p.Bound && p.inStreams+bytes <= int64(float64(p.Bound)*answersShare)
	})
}

// makeRoom aborts answers whose callers have taken nothing for long until there is room. It
// returns false if there is none.
func (p *Pool) makeRoom(now time.Time, room func() bool) bool {
	for !room() {
		victim := p.longestStalled(now)
		if victim == nil {
			return false
		}
		victim.abort()
		p.counts.StreamsAborted++
	}
	return true
}

// longestStalled returns the stream whose caller has taken nothing for the longest time,
// nil if no caller is over its time.
func (p *Pool) longestStalled(now time.Time) *Stream {
	var longest *Stream
	for s := range p.streams {
		limit := stallTime
		if s.ended {
			limit = stallTimeEnded
		}
		if s.held == 0 || s.aborted || now.Sub(s.progress) < limit {
			continue
		}
		if longest == nil || s.progress.Before(longest.progress) {
			longest = s
		}
	}
	return longest
}

// add changes the number of bytes held.
func (p *Pool) add(bytes int64) {
	p.held += bytes
	p.peak = max(p.peak, p.held)
}

// Usage is what a Pool holds.
type Usage struct {
	Counts
	// Held is the number of bytes held, Peak the largest since the last call of Usage.
	Held, Peak int64
	// Buffered is the number of answers of which callers have yet to take a part, Unread
	// the number of bytes of request bodies that endpoints have not read yet.
	Buffered int
	Unread   int64
}

// Usage returns what the pool holds.
func (p *Pool) Usage() Usage {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	usage := Usage{Counts: p.counts, Held: p.held, Peak: p.peak}
	p.peak = p.held
	for s := range p.streams {
		if s.held > 0 {
			usage.Buffered++
		}
	}
	for _, bytes := range p.unsent {
		usage.Unread += bytes
	}
	return usage
}

// beginSend counts a body as unread by an endpoint. It returns false if the endpoint has
// left too much unread; a body is always sent to an endpoint that has nothing unread.
func (p *Pool) beginSend(endpoint string, bytes int64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if unread := p.unsent[endpoint]; unread > 0 && unread+bytes > p.EndpointBound {
		p.counts.BodiesWithheld++
		return false
	}
	if p.unsent == nil {
		p.unsent = map[string]int64{}
	}
	p.unsent[endpoint] += bytes
	return true
}

func (p *Pool) endSend(endpoint string, bytes int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unsent[endpoint] -= bytes
	if p.unsent[endpoint] <= 0 {
		delete(p.unsent, endpoint)
	}
}
