// Package dedup remembers attempts, so that each runs at most once at this
// agent and a probe gets a true answer.
package dedup

import (
	"container/list"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// DefaultRetention is how long an attempt that must not repeat is kept.
	DefaultRetention = 26 * time.Hour
	// repeatWindow is how long any other attempt is kept.
	repeatWindow = 2 * time.Minute
	// DefaultMaxAttempts is the largest number of attempts kept.
	DefaultMaxAttempts = 200_000
	// DefaultMaxBodyBytes is the largest size of all answers kept, in bytes.
	DefaultMaxBodyBytes = 64 << 20
)

// stage is how far an attempt has come.
type stage int

const (
	stageOpen stage = iota
	stageDone
	stageTomb
)

// entry is one attempt.
type entry struct {
	id      string
	once    bool
	stage   stage
	outcome *call.Outcome
	ended   time.Time
}

// Attempts holds the attempts of one agent incarnation. Its exported fields are
// set before use; it is safe for concurrent use.
type Attempts struct {
	// Incarnation is the agent's; attempts meant for another are refused.
	Incarnation uint64
	// Retention is how long an ended attempt that must not repeat is kept; zero
	// means DefaultWindow. It is not shorter than a claim is kept.
	Retention time.Duration
	// MaxAttempts is the largest number of attempts kept and Bytes the largest size
	// of their answers; zero means DefaultBound and DefaultBytes.
	MaxAttempts  int
	MaxBodyBytes int64

	mutex   sync.Mutex
	entries map[string]*list.Element
	// ended holds ended attempts, oldest first: those that must not repeat
	// and the others.
	ended  [2]list.List
	bytes  int64
	forgot time.Time
}

// Begin notes an attempt that has arrived. It returns call.ReasonNone when
// the attempt may run, else why it must not.
func (b *Attempts) Begin(a *call.Attempt) call.Reason {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a.AgentIncarnation != b.Incarnation {
		return call.ReasonOtherIncarnation
	}
	if known, ok := b.entries[string(a.ID)]; ok {
		if known.Value.(*entry).stage == stageTomb {
			return call.ReasonTombstone
		}
		return call.ReasonDuplicate
	}
	b.expire()
	if !b.room() {
		return call.ReasonFull
	}
	b.insert(&entry{id: string(a.ID), once: !a.Idempotent})
	return call.ReasonNone
}

func (b *Attempts) insert(e *entry) {
	if b.entries == nil {
		b.entries = map[string]*list.Element{}
	}
	b.entries[e.id] = &list.Element{Value: e}
}

// MarkNotRun turns an attempt into a tombstone: it has not run and never will.
func (b *Attempts) MarkNotRun(id []byte) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.end(string(id), stageTomb, nil)
}

// Done notes that an attempt ended; outcome is nil when its answer is not
// whole.
func (b *Attempts) Done(id []byte, outcome *call.Outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.end(string(id), stageDone, outcome)
}

func (b *Attempts) end(id string, to stage, outcome *call.Outcome) {
	element, ok := b.entries[id]
	if !ok {
		return
	}
	e := element.Value.(*entry)
	if e.stage != stageOpen {
		return
	}
	e.stage = to
	e.ended = time.Now()
	if e.once && outcome != nil {
		e.outcome = b.fit(outcome)
	}
	b.entries[id] = b.queue(e).PushBack(e)
}

// fit cuts an answer that would exceed the bound on all answers.
func (b *Attempts) fit(outcome *call.Outcome) *call.Outcome {
	size := int64(len(outcome.Body))
	if b.bytes+size <= orElse(b.MaxBodyBytes, DefaultMaxBodyBytes) {
		b.bytes += size
		return outcome
	}
	sum := sha256.Sum256(outcome.Body)
	return &call.Outcome{Status: outcome.Status, Header: outcome.Header, Truncated: true, BodyDigest: sum[:]}
}

func (b *Attempts) queue(e *entry) *list.List {
	if e.once {
		return &b.ended[0]
	}
	return &b.ended[1]
}

// Probe tells what became of an attempt. One that was never seen is refused
// from then on.
func (b *Attempts) Probe(p *call.Probe) *call.ProbeReply {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	verdict := &call.ProbeReply{State: call.StateUnknown, Incarnation: b.Incarnation}
	if p.AgentIncarnation != b.Incarnation {
		return verdict
	}
	element, ok := b.entries[string(p.ID)]
	if !ok {
		verdict.State = b.bury(string(p.ID))
		return verdict
	}
	e := element.Value.(*entry)
	switch e.stage {
	case stageOpen:
		verdict.State = call.StateRunning
	case stageTomb:
		verdict.State = call.StateNotRun
	case stageDone:
		verdict.State = call.StateDone
		verdict.Outcome = e.outcome
	}
	return verdict
}

// bury makes a tombstone for an attempt that was never seen. It cannot tell
// while an attempt that was forgotten early could be the one asked for.
func (b *Attempts) bury(id string) call.State {
	b.expire()
	if time.Now().Before(b.forgot) || !b.room() {
		return call.StateUnknown
	}
	e := &entry{id: id, once: true}
	b.insert(e)
	b.end(id, stageTomb, nil)
	return call.StateNotRun
}

// expire forgets attempts whose window is over.
func (b *Attempts) expire() {
	b.expireList(&b.ended[0], orElse(b.Retention, DefaultRetention))
	b.expireList(&b.ended[1], repeatWindow)
}

func (b *Attempts) expireList(ended *list.List, window time.Duration) {
	for front := ended.Front(); front != nil; front = ended.Front() {
		if time.Since(front.Value.(*entry).ended) < window {
			return
		}
		b.forget(ended, front)
	}
}

func (b *Attempts) forget(ended *list.List, element *list.Element) {
	e := ended.Remove(element).(*entry)
	delete(b.entries, e.id)
	if e.outcome != nil {
		b.bytes -= int64(len(e.outcome.Body))
	}
}

// room makes room for one attempt and reports whether there is any. Repeatable
// ones go first; once one that must not repeat goes early, no probe of an
// unseen attempt is answered for a window.
func (b *Attempts) room() bool {
	if len(b.entries) < orElse(b.MaxAttempts, DefaultMaxAttempts) {
		return true
	}
	if front := b.ended[1].Front(); front != nil {
		b.forget(&b.ended[1], front)
		return true
	}
	front := b.ended[0].Front()
	if front == nil {
		return false
	}
	b.forget(&b.ended[0], front)
	b.forgot = time.Now().Add(orElse(b.Retention, DefaultRetention))
	return true
}

func orElse[N int | int64 | time.Duration](value, fallback N) N {
	if value == 0 {
		return fallback
	}
	return value
}
