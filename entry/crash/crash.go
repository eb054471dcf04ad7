// Package crash attributes crashes of endpoints to the requests of opaque
// routes that may have caused them, and to the parts of their prompts.
//
// A request may crash each endpoint that starts to run it and be sent again by
// its caller, or other requests may share the part of its prompt that crashes
// endpoints. No agent stands between the entry and the endpoint, so the entry
// records the requests whose connection to an endpoint broke. It reports them
// once the endpoint's address refuses connections, or another process has
// replaced the endpoint.
package crash

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// retention is how long a request whose connection broke is remembered: an
	// endpoint is back some seconds after a crash.
	retention = 15 * time.Second
	// maxLost bounds the requests of each kind, begun or not, that are remembered for
	// one endpoint; if more connections break together, the cause is not one of the
	// requests.
	maxLost = 64
)

// Request identifies a request for the attribution of crashes.
type Request struct {
	// Digest is the request's content digest.
	Digest []byte
	// Parts are the digests of the parts of its prompt that other requests may
	// share, in order.
	Parts [][]byte
	// Begun means that the caller has a part of the answer.
	Begun bool
}

// Tracker records lost requests and reports crashes. It is safe for concurrent
// use; its exported fields are set before use.
type Tracker struct {
	// Entry is the name of this entry in reports.
	Entry string
	// Report is called with the requests that an endpoint was running when it
	// crashed.
	Report func(crash plane.Crash)
	// Refuses reports whether an address refuses connections. With nil, a crash is
	// known only from the endpoint's replacement.
	Refuses func(ctx context.Context, address string) bool
	// Suspected reports whether a content or a part of a prompt is suspected or
	// quarantined, and whether that includes crashes after the answer had begun.
	Suspected func(digest []byte) (suspected, begun bool)
	// Clear is called with a suspected content or part that is sound: an endpoint has
	// answered on it, completely if Suspected reports such crashes.
	Clear func(digest []byte)

	mutex sync.Mutex
	// lost holds the requests whose connection broke, by the endpoint's
	// address.
	lost map[string]*lostRequests
	// answers are those that have begun, completions those that are complete.
	answers, completions answers
	// accepting holds the start times of the processes that accept requests, by
	// address.
	accepting map[string]int64
}

// lostRequests are the requests whose connections to one process broke.
type lostRequests struct {
	endpoint advert.Record
	requests []Request
	// begun counts the requests that have begun.
	begun    int
	lastLost time.Time
	// reports counts the reports, which included the first reported requests.
	reports  uint64
	reported int
	// checking reports that a check is due, nextCheck when the one after it may be.
	checking  bool
	nextCheck time.Time
}

// RecordLostRequest records a request whose connection to an endpoint broke before
// the answer was complete.
func (t *Tracker) RecordLostRequest(endpoint advert.Record, request Request, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.lost == nil {
		t.lost = map[string]*lostRequests{}
	}
	known := t.lost[endpoint.Address]
	if known == nil || known.endpoint.StartedMillis != endpoint.StartedMillis || now.Sub(known.lastLost) > retention {
		known = &lostRequests{endpoint: endpoint}
		t.lost[endpoint.Address] = known
	}
	known.lastLost = now
	known.add(request)
	t.scheduleCheck(known, now)
}

// add adds a request if there is room for one of its kind.
func (l *lostRequests) add(request Request) {
	count := len(l.requests) - l.begun
	if request.Begun {
		count = l.begun
	}
	if count >= maxLost {
		return
	}
	l.requests = append(l.requests, request)
	if request.Begun {
		l.begun++
	}
}

// RecordAnswered records that an endpoint has begun to answer on a prompt, which
// its parts therefore do not prevent. They may still crash it before the end.
func (t *Tracker) RecordAnswered(parts [][]byte, now time.Time) {
	for _, part := range parts {
		if !t.record(&t.answers, part, now) {
			continue
		}
		if suspected, begun := t.Suspected(part); suspected && !begun {
			t.Clear(part)
		}
	}
}

// RecordCompleted records that an endpoint has answered a request completely.
func (t *Tracker) RecordCompleted(request Request, now time.Time) {
	request.Begun = true
	for _, candidate := range request.candidates() {
		if !t.record(&t.completions, candidate.Digest, now) {
			continue
		}
		if suspected, begun := t.Suspected(candidate.Digest); suspected && begun {
			t.Clear(candidate.Digest)
		}
	}
}

// record records an answer and reports whether it may be reported as sound.
func (t *Tracker) record(known *answers, digest []byte, now time.Time) (mayClear bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return known.record(digest, now)
}

// candidates returns the parts of the prompt and, of a request that has begun, its content,
// which may each be the cause of a crash. Other contents are reported by themselves.
func (r *Request) candidates() []plane.CrashPart {
	found := make([]plane.CrashPart, 0, len(r.Parts)+1)
	for position, part := range r.Parts {
		found = append(found, plane.CrashPart{Digest: part, Position: int32(position), Begun: r.Begun})
	}
	if r.Begun && len(r.Digest) > 0 {
		found = append(found, plane.CrashPart{Digest: r.Digest, Position: plane.ContentPosition, Begun: r.Begun})
	}
	return found
}

// Update takes the endpoints that accept requests, by service, and reports the
// crashes of those that another process has replaced.
func (t *Tracker) Update(usable map[string][]advert.Record) {
	for _, crash := range t.findCrashes(usable, time.Now()) {
		t.Report(*crash)
	}
}

// findCrashes returns the crashes of replaced endpoints and removes expired
// requests.
func (t *Tracker) findCrashes(usable map[string][]advert.Record, now time.Time) []*plane.Crash {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var crashes []*plane.Crash
	t.accepting = map[string]int64{}
	for _, records := range usable {
		for _, record := range records {
			t.accepting[record.Address] = record.StartedMillis
			known := t.lost[record.Address]
			if known == nil || record.StartedMillis <= known.endpoint.StartedMillis {
				continue
			}
			delete(t.lost, record.Address)
			if crash := t.newCrash(known); crash != nil && now.Sub(known.lastLost) <= retention {
				crashes = append(crashes, crash)
			}
		}
	}
	for address, known := range t.lost {
		if now.Sub(known.lastLost) > retention {
			delete(t.lost, address)
		}
	}
	return crashes
}

// newCrash returns a report of the requests that have not been reported yet, nil
// if there is none. It names the process and this entry, since each entry reports
// its own requests of the same crash.
func (t *Tracker) newCrash(known *lostRequests) *plane.Crash {
	requests := known.requests[known.reported:]
	if len(requests) == 0 {
		return nil
	}
	known.reports++
	known.reported = len(known.requests)
	crash := &plane.Crash{
		Source: plane.CrashSource(t.Entry, known.endpoint.Name), Incarnation: uint64(known.endpoint.StartedMillis), Count: known.reports,
		Endpoint: known.endpoint.Name,
	}
	for _, request := range requests {
		answered := &t.completions
		if !request.Begun {
			answered = &t.answers
			crash.Digests = append(crash.Digests, request.Digest)
		}
		for _, candidate := range request.candidates() {
			if !answered.since(candidate.Digest, known.lastLost.Add(-recentAnswer)) {
				crash.Parts = plane.AddCrashPart(crash.Parts, candidate)
			}
		}
	}
	if len(crash.Digests) == 0 && len(crash.Parts) == 0 {
		return nil
	}
	return crash
}
