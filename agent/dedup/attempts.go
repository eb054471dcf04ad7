// Package dedup records attempts, so that each attempt runs at most once at this agent and a
// probe for an attempt gets a correct answer. An attempt is one try to run a request at one
// agent; a probe asks what became of it.
package dedup

import (
	"container/list"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// DefaultRetention is how long an ended at-most-once attempt is kept. It exceeds
	// conf.DefaultReplayWindow, which is how long a claim is kept by default. A claim is
	// control's record of the attempt that may run an at-most-once request.
	DefaultRetention = 26 * time.Hour
	// retryableRetention is how long an ended idempotent attempt is kept.
	retryableRetention = 2 * time.Minute
	// DefaultMaxAttempts is the largest number of attempts kept.
	DefaultMaxAttempts = 200_000
	// DefaultMaxBodyBytes is the largest total size of the response bodies kept, in bytes.
	DefaultMaxBodyBytes = 64 << 20
)

// stage is the progress of an attempt.
type stage int

const (
	// stageRunning also covers an attempt that is still queued.
	stageRunning stage = iota
	stageDone
	// stageTombstone marks an attempt that has not run and never will.
	stageTombstone
)

// entry is one attempt.
type entry struct {
	id         string
	atMostOnce bool
	stage      stage
	// outcome is kept for at-most-once attempts that ended with a complete response. It has
	// only the checksum of a body that limitBody left out.
	outcome *call.Outcome
	// ended is when the attempt ended or became a tombstone; zero while it runs.
	ended time.Time
}

// Attempts records the attempts of one agent incarnation. Exported fields are set before use.
// It is safe for concurrent use.
type Attempts struct {
	// Incarnation is the number of this start of the agent's process, larger than those of
	// earlier starts. Attempts addressed to another incarnation are refused.
	Incarnation uint64
	// Retention is how long an ended at-most-once attempt is kept; zero means
	// DefaultRetention. It must not be shorter than the retention of claims.
	Retention time.Duration
	// MaxAttempts is the largest number of attempts kept, and MaxBodyBytes the largest total
	// size of their response bodies; zero means the defaults. Only the checksum is kept of a
	// body that would exceed MaxBodyBytes.
	MaxAttempts  int
	MaxBodyBytes int64

	mutex   sync.Mutex
	entries map[string]*list.Element
	// ended holds the ended attempts, the oldest first: at-most-once attempts in the first
	// list, all others in the second.
	ended     [2]list.List
	bodyBytes int64
	// unknownUntil is the time before which an attempt without an entry may have been removed
	// early, so that its state is unknown.
	unknownUntil time.Time
}

// Begin records an attempt that has arrived. It returns call.ReasonNone if the attempt may
// run, and otherwise the reason why not.
func (s *Attempts) Begin(a *call.Attempt) call.Reason {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if a.AgentIncarnation != s.Incarnation {
		return call.ReasonOtherIncarnation
	}
	if known, ok := s.entries[string(a.ID)]; ok {
		if known.Value.(*entry).stage == stageTombstone {
			return call.ReasonTombstone
		}
		return call.ReasonDuplicate
	}
	s.expire()
	if !s.makeRoom() {
		return call.ReasonFull
	}
	s.insert(&entry{id: string(a.ID), atMostOnce: !a.Idempotent})
	return call.ReasonNone
}

func (s *Attempts) insert(e *entry) {
	if s.entries == nil {
		s.entries = map[string]*list.Element{}
	}
	s.entries[e.id] = &list.Element{Value: e}
}

// MarkNotRun turns an attempt that has arrived but was not executed into a tombstone: it will
// never be executed.
func (s *Attempts) MarkNotRun(id []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finish(string(id), stageTombstone, nil)
}

// Done records that an attempt has ended; outcome is nil if its response is incomplete. The
// outcome is kept only for an at-most-once attempt.
func (s *Attempts) Done(id []byte, outcome *call.Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finish(string(id), stageDone, outcome)
}

// finish moves a running attempt to its final stage.
func (s *Attempts) finish(id string, to stage, outcome *call.Outcome) {
	element, ok := s.entries[id]
	if !ok {
		return
	}
	e := element.Value.(*entry)
	if e.stage != stageRunning {
		return
	}
	e.stage = to
	e.ended = time.Now()
	if e.atMostOnce && outcome != nil {
		e.outcome = s.limitBody(outcome)
	}
	s.entries[id] = s.endedList(e).PushBack(e)
}

// limitBody replaces the response body by its checksum if it would exceed the limit on all
// bodies.
func (s *Attempts) limitBody(outcome *call.Outcome) *call.Outcome {
	size := int64(len(outcome.Body))
	if s.bodyBytes+size <= orElse(s.MaxBodyBytes, DefaultMaxBodyBytes) {
		s.bodyBytes += size
		return outcome
	}
	sum := sha256.Sum256(outcome.Body)
	return &call.Outcome{Status: outcome.Status, Header: outcome.Header, Truncated: true, BodyDigest: sum[:]}
}

// endedList returns the list that holds an attempt after its end.
func (s *Attempts) endedList(e *entry) *list.List {
	if e.atMostOnce {
		return &s.ended[0]
	}
	return &s.ended[1]
}

// Probe reports the state of an attempt. An attempt that has not arrived yet is refused from
// then on.
func (s *Attempts) Probe(p *call.Probe) *call.ProbeReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply := &call.ProbeReply{State: call.StateUnknown, Incarnation: s.Incarnation}
	if p.AgentIncarnation != s.Incarnation {
		return reply
	}
	element, ok := s.entries[string(p.ID)]
	if !ok {
		reply.State = s.addTombstone(string(p.ID))
		return reply
	}
	e := element.Value.(*entry)
	switch e.stage {
	case stageRunning:
		reply.State = call.StateRunning
	case stageTombstone:
		reply.State = call.StateNotRun
	case stageDone:
		reply.State = call.StateDone
		reply.Outcome = e.outcome
	}
	return reply
}

// addTombstone adds a tombstone for an attempt that has no entry and returns the attempt's
// state. The state is unknown while the attempt may be one that was removed early, and if there
// is no room for the tombstone.
func (s *Attempts) addTombstone(id string) call.State {
	s.expire()
	if time.Now().Before(s.unknownUntil) || !s.makeRoom() {
		return call.StateUnknown
	}
	e := &entry{id: id, atMostOnce: true}
	s.insert(e)
	s.finish(id, stageTombstone, nil)
	return call.StateNotRun
}

// expire removes the attempts whose retention has ended.
func (s *Attempts) expire() {
	s.expireList(&s.ended[0], orElse(s.Retention, DefaultRetention))
	s.expireList(&s.ended[1], retryableRetention)
}

func (s *Attempts) expireList(ended *list.List, retention time.Duration) {
	for front := ended.Front(); front != nil; front = ended.Front() {
		if time.Since(front.Value.(*entry).ended) < retention {
			return
		}
		s.remove(ended, front)
	}
}

// remove removes an ended attempt from its list.
func (s *Attempts) remove(ended *list.List, element *list.Element) {
	e := ended.Remove(element).(*entry)
	delete(s.entries, e.id)
	if e.outcome != nil {
		s.bodyBytes -= int64(len(e.outcome.Body))
	}
}

// makeRoom makes room for one more attempt and reports whether it succeeded. It removes
// idempotent attempts first and never a running one. After the early removal of an
// at-most-once attempt, the state of attempts without an entry is unknown for the retention
// time.
func (s *Attempts) makeRoom() bool {
	if len(s.entries) < orElse(s.MaxAttempts, DefaultMaxAttempts) {
		return true
	}
	if front := s.ended[1].Front(); front != nil {
		s.remove(&s.ended[1], front)
		return true
	}
	front := s.ended[0].Front()
	if front == nil {
		return false
	}
	s.remove(&s.ended[0], front)
	s.unknownUntil = time.Now().Add(orElse(s.Retention, DefaultRetention))
	return true
}

// orElse returns the value, or the fallback if the value is zero.
func orElse[N int | int64 | time.Duration](value, fallback N) N {
	if value == 0 {
		return fallback
	}
	return value
}
