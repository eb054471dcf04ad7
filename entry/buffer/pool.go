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
	// newBodyShare is the share of the bound up to which new large requests are accepted. The
	// rest is for bodies that have begun to arrive and for answers.
	newBodyShare = 0.875
	// smallReserveShare is the share of the bound by which small requests may exceed it, so
	// that large ones that wait for their endpoints do not keep them out.
	smallReserveShare = 1.0 / 16
	// maxYieldingShare is the share of the bound by which it may be exceeded until the bodies
	// that have given way are freed.
	maxYieldingShare = 1.0 / 8
	// maxSmallRequest is what the header and the body of a small request take at most, in
	// bytes; smallRequestShare is the share of the bound that they may take, which applies to
	// small processes.
	maxSmallRequest   = 64 << 10
	smallRequestShare = 1.0 / 512
	// arrivalTime is how long a body may arrive before it gives way to any other one: as long
	// as a caller's link needs for the largest body.
	arrivalTime = 2 * time.Second
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
	// Bound is the number of bytes that the pool may hold, but for small requests, which may
	// exceed it by smallReserveShare.
	Bound int64
	// StreamBound is the number of bytes that one answer may hold, EndpointBound the
	// number of bytes of request bodies that one endpoint may leave unread.
	StreamBound, EndpointBound int64

	mutex sync.Mutex
	// held is the sum over all holds and streams.
	held, peak int64
	// inStreams is the part of held that is in streams, yielding that of requests which have
	// given way and have yet to end.
	inStreams, yielding int64
	streams             map[*Stream]struct{}
	// arriving holds the requests whose bodies are arriving.
	arriving map[*Hold]struct{}
	// yields holds the functions to call once the pool is unlocked.
	yields []func()
	// unsent is the number of bytes of request bodies that an endpoint has not read, by
	// the endpoint's name.
	unsent map[string]int64
	counts Counts
}

// Counts are the decisions of a Pool since its start that refused or aborted something.
type Counts struct {
	// BodiesRefused counts request bodies refused for want of memory, BodiesYielded those
	// given up for others while they arrived, BodiesWithheld those not sent to an endpoint
	// that does not read, and StreamsAborted the answers aborted because their callers read
	// too slowly.
	BodiesRefused, BodiesYielded, BodiesWithheld, StreamsAborted int64
}

// New returns a pool for an entry with the given memory limit in bytes.
func New(memoryLimit int64) *Pool { return NewShare(memoryLimit, boundShare) }

// NewShare returns a pool of a share of a process's memory limit in bytes.
func NewShare(memoryLimit int64, share float64) *Pool {
	bound := float64(memoryLimit) * share
	return &Pool{
		Bound:         int64(bound),
		StreamBound:   min(maxStreamBytes, int64(bound*streamShare)),
		EndpointBound: int64(bound * endpointShare),
	}
}

// fits reports whether the pool can hold more bytes for a request up to a share of the bound.
// Bodies that have been arriving for at least minAge may give way. Their memory is not free yet:
// where there is too much of it, the request does not fit, but a later one will.
func (p *Pool) fits(h *Hold, bytes int64, share float64, minAge time.Duration, now time.Time) bool {
	for p.held-p.yielding+bytes > int64(float64(p.Bound)*share) {
		if !p.yieldBody(h, arrivalTime, now) && !p.abortStalled(now) && !p.yieldBody(h, minAge, now) {
			return false
		}
	}
	return p.held+bytes <= int64(float64(p.Bound)*(1+maxYieldingShare))
}

// yieldBody makes the request give way whose arriving body has held most memory for longest,
// of those that have been arriving for at least minAge, except for one. It returns false if
// there is none.
func (p *Pool) yieldBody(except *Hold, minAge time.Duration, now time.Time) bool {
	var victim *Hold
	for h := range p.arriving {
		if h == except || h.yielded || now.Sub(h.began) < minAge {
			continue
		}
		if victim == nil || h.weight(now) > victim.weight(now) {
			victim = h
		}
	}
	if victim == nil {
		return false
	}
	victim.yielded = true
	p.yielding += victim.held
	p.yields = append(p.yields, victim.onYield)
	p.counts.BodiesYielded++
	return true
}

// unlock unlocks the pool and ends the waits for the bodies that have given way.
func (p *Pool) unlock() {
	yields := p.yields
	p.yields = nil
	p.mutex.Unlock()
	for _, onYield := range yields {
		onYield()
	}
}

// YieldRequest makes a request give way whose body is arriving, or only one whose body has had
// its time, and reports whether there was one.
func (p *Pool) YieldRequest(now time.Time, overdue bool) bool {
	p.mutex.Lock()
	defer p.unlock()
	if overdue {
		return p.yieldBody(nil, arrivalTime, now)
	}
	return p.yieldBody(nil, 0, now)
}

// Account adds bytes that the process holds for callers beside their requests. A negative
// number removes bytes.
func (p *Pool) Account(bytes int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.add(bytes)
}

// newBodyPolicy returns the share of the bound up to which the body of a request of a size is
// accepted, and the age of the bodies that give way to it.
func (p *Pool) newBodyPolicy(size int64, lengthKnown bool) (share float64, minAge time.Duration) {
	switch {
	case size > p.maxSmallRequest():
		return newBodyShare, arrivalTime
	case lengthKnown:
		return 1 + smallReserveShare, 0
	}
	return 1, 0
}

// growingBodyPolicy is newBodyPolicy for a request that grows to a size.
func (p *Pool) growingBodyPolicy(size int64) (share float64, minAge time.Duration) {
	if size <= p.maxSmallRequest() {
		return 1 + smallReserveShare, 0
	}
	return 1, arrivalTime
}

func (p *Pool) maxSmallRequest() int64 {
	return min(maxSmallRequest, int64(float64(p.Bound)*smallRequestShare))
}

// IsFilling reports whether the pool is more than half full.
func (p *Pool) IsFilling() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return 2*p.held > p.Bound
}

// fitsAnswer reports whether the pool can hold more bytes of answers.
func (p *Pool) fitsAnswer(bytes int64, now time.Time) bool {
	for p.held+bytes > p.Bound || p.inStreams+bytes > int64(float64(p.Bound)*answersShare) {
		if !p.abortStalled(now) {
			return false
		}
	}
	return true
}

// abortStalled aborts the answer whose caller has taken nothing for the longest time, and
// reports whether there was one.
func (p *Pool) abortStalled(now time.Time) bool {
	victim := p.longestStalled(now)
	if victim == nil {
		return false
	}
	victim.abort()
	p.counts.StreamsAborted++
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
