// Package poison finds the parts of prompts that crash endpoints. It is part of the
// replicated state machine.
//
// Each crash names the parts of the requests that had no answer yet when their endpoint
// crashed. A part that an endpoint answers on elsewhere is sound and no longer a
// candidate. The part that is left in several crashes is quarantined, which explains
// these crashes for all other parts in them. So does one content that is in all of them;
// package bans quarantines it.
//
// A crash also names the parts and contents of the requests that their endpoint had begun
// to answer. Many sound requests are among them. They are cleared by complete answers only,
// see begun.go.
package poison

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// QuarantineThreshold is the number of crashes that lead to the quarantine of a part.
	QuarantineThreshold = 3
	// SimultaneousCrashes is the time within which crashes count as one: endpoints that
	// crash together more likely have a cause outside their requests.
	SimultaneousCrashes = 100 * time.Millisecond
	// CrashRetention is how long a crash is remembered.
	CrashRetention = 2 * time.Minute
	// QuarantineDuration is how long a part is quarantined.
	QuarantineDuration = 30 * time.Minute
	// maxCrashes and maxParts bound the remembered crashes and the parts of one crash,
	// those that had begun to be answered and the others.
	maxCrashes = 64
	maxParts   = 128
	// maxQuarantined bounds the quarantined parts. If there are more, the one whose
	// quarantine ends first is released.
	maxQuarantined = 1024
)

// Crash is one crash of an endpoint, as reported by any number of entries.
type Crash struct {
	// Endpoint and Incarnation identify the process that crashed.
	Endpoint    string `protobuf:"bytes,1,opt"`
	Incarnation uint64 `protobuf:"varint,2,opt"`
	// AtNanos is when the crash was first reported, in nanoseconds of committed time.
	AtNanos int64 `protobuf:"varint,3,opt"`
	// Parts are the candidates, contents of requests included, without duplicates.
	Parts []plane.CrashPart `protobuf:"bytes,4,rep"`
}

// has reports whether a part is a candidate for the cause of the crash.
func (c *Crash) has(digest []byte) bool {
	return slices.ContainsFunc(c.Parts, func(p plane.CrashPart) bool { return bytes.Equal(p.Digest, digest) })
}

// hasUnanswered reports whether a part is a candidate without an answer.
func (c *Crash) hasUnanswered(digest []byte) bool {
	return slices.ContainsFunc(c.Parts, func(p plane.CrashPart) bool { return !p.Begun && bytes.Equal(p.Digest, digest) })
}

// add adds a candidate if there is room for one of its kind, or raises its position.
func (c *Crash) add(part plane.CrashPart) {
	count := 0
	for i := range c.Parts {
		if c.Parts[i].Begun == part.Begun {
			count++
		}
	}
	if count < maxParts || c.has(part.Digest) {
		c.Parts = plane.AddCrashPart(c.Parts, part)
	}
}

// Table is the snapshot of Parts.
type Table struct {
	Revision    uint64      `protobuf:"varint,1,opt"`
	Crashes     []Crash     `protobuf:"bytes,2,rep"`
	Quarantined []plane.Ban `protobuf:"bytes,3,rep"`
	// SettledUntil is the committed time up to which settled crashes were considered.
	SettledUntil int64 `protobuf:"varint,4,opt"`
}

// Parts holds the crashes and the quarantined parts. The zero value is empty and ready
// for use by one goroutine.
type Parts struct {
	revision uint64
	// crashes are in the order of their first reports.
	crashes     []Crash
	quarantined map[string]*plane.Ban
	// settledUntil is Table.SettledUntil.
	settledUntil int64
}

// Apply adds the candidates of a crash at a committed time. Several reports of one crash
// count once.
func (p *Parts) Apply(crash *plane.Crash, now int64) {
	p.Expire(now)
	if len(crash.Parts) == 0 {
		return
	}
	index := slices.IndexFunc(p.crashes, func(c Crash) bool {
		return c.Endpoint == crash.Endpoint && c.Incarnation == crash.Incarnation
	})
	if index < 0 {
		p.crashes = append(p.crashes, Crash{Endpoint: crash.Endpoint, Incarnation: crash.Incarnation, AtNanos: now})
		p.crashes = p.crashes[max(0, len(p.crashes)-maxCrashes):]
		index = len(p.crashes) - 1
	}
	for _, part := range crash.Parts {
		p.crashes[index].add(part)
	}
	for _, content := range crash.Digests {
		p.crashes[index].add(plane.CrashPart{Digest: content, Position: plane.ContentPosition})
	}
	p.quarantine(now)
	p.revision++
}

// Clear removes a part from the candidates and ends its quarantine, because an endpoint
// has answered on it or an operator orders so. It reports whether the part was known.
func (p *Parts) Clear(digest []byte, now int64) bool {
	found := p.quarantined[string(digest)] != nil
	delete(p.quarantined, string(digest))
	for i := range p.crashes {
		before := len(p.crashes[i].Parts)
		p.crashes[i].Parts = slices.DeleteFunc(p.crashes[i].Parts, func(part plane.CrashPart) bool { return bytes.Equal(part.Digest, digest) })
		found = found || len(p.crashes[i].Parts) < before
	}
	if found {
		// Crashes that the part seemed to explain have their other candidates again.
		p.quarantine(now)
		p.revision++
	}
	return found
}

// Expire removes the crashes and quarantines that have ended at a committed time.
func (p *Parts) Expire(now int64) {
	kept := slices.DeleteFunc(p.crashes, func(c Crash) bool { return c.AtNanos+int64(CrashRetention) <= now })
	if len(kept) < len(p.crashes) {
		p.revision++
	}
	p.crashes = kept
	p.settle(now)
	for digest, ban := range p.quarantined {
		if ban.UntilNanos <= now {
			delete(p.quarantined, digest)
			p.revision++
		}
	}
}

// NextExpiry returns the committed time at which the next crash or quarantine ends or a
// crash settles, and false if there is none.
func (p *Parts) NextExpiry() (int64, bool) {
	due, ok := int64(0), len(p.crashes) > 0
	if ok {
		due = p.crashes[0].AtNanos + int64(CrashRetention)
	}
	for _, ban := range p.quarantined {
		if !ok || ban.UntilNanos < due {
			due, ok = ban.UntilNanos, true
		}
	}
	if settles, unsettled := p.nextSettled(); unsettled {
		return min(due, settles), true
	}
	return due, ok
}

// Revision returns the number of changes made.
func (p *Parts) Revision() uint64 { return p.revision }

// List returns the quarantined parts and the candidates for crashes that they do not
// explain, sorted by digest, with the time remaining at a committed time.
func (p *Parts) List(now int64) []plane.Ban {
	list := make([]plane.Ban, 0, len(p.quarantined))
	for _, ban := range p.quarantined {
		if !ban.Part && !ban.Begun {
			continue
		}
		listed := *ban
		listed.Remaining = span.Duration(max(ban.UntilNanos-now, 0))
		list = append(list, listed)
	}
	suspect := func(found *candidate, begun bool) {
		until := found.crashes[len(found.crashes)-1].AtNanos + int64(CrashRetention)
		list = append(list, plane.Ban{
			Digest: found.digest, Part: found.position != plane.ContentPosition, Suspect: true, Begun: begun, Crashes: int32(len(found.crashes)),
			UntilNanos: until, Remaining: span.Duration(max(until-now, 0)),
		})
	}
	begun := p.begunCandidates(now)
	for _, found := range p.candidates() {
		if found.position != plane.ContentPosition && !begun[string(found.digest)].isListed() {
			suspect(found, false)
		}
	}
	for _, found := range begun {
		if found.isListed() {
			suspect(found, true)
		}
	}
	slices.SortFunc(list, func(a, b plane.Ban) int { return bytes.Compare(a.Digest, b.Digest) })
	return list
}

// Snapshot returns a copy of the state for Restore.
func (p *Parts) Snapshot() *Table {
	table := &Table{Revision: p.revision, SettledUntil: p.settledUntil}
	for _, crash := range p.crashes {
		crash.Parts = slices.Clone(crash.Parts)
		table.Crashes = append(table.Crashes, crash)
	}
	for _, digest := range slices.Sorted(maps.Keys(p.quarantined)) {
		table.Quarantined = append(table.Quarantined, *p.quarantined[digest])
	}
	return table
}

// Restore replaces the state by that of a snapshot; nil means empty.
func (p *Parts) Restore(table *Table) {
	*p = Parts{}
	if table == nil {
		return
	}
	p.revision, p.crashes, p.settledUntil = table.Revision, table.Crashes, table.SettledUntil
	p.quarantined = make(map[string]*plane.Ban, len(table.Quarantined))
	for i := range table.Quarantined {
		p.quarantined[string(table.Quarantined[i].Digest)] = &table.Quarantined[i]
	}
}

// candidate is a part that may have caused the crashes that no quarantined part explains.
type candidate struct {
	digest []byte
	// position is the largest position of the part in a prompt.
	position int32
	// crashes are those with the part, without crashes that count as one with an
	// earlier one.
	crashes []*Crash
}

// add counts a crash, unless it counts as one with the crash before.
func (c *candidate) add(crash *Crash) {
	if len(c.crashes) > 0 && crash.AtNanos-c.crashes[len(c.crashes)-1].AtNanos < int64(SimultaneousCrashes) {
		return
	}
	c.crashes = append(c.crashes, crash)
}

// candidates returns the candidates without an answer by digest.
func (p *Parts) candidates() map[string]*candidate {
	found := map[string]*candidate{}
	for i := range p.crashes {
		crash := &p.crashes[i]
		if p.explained(crash) {
			continue
		}
		for _, part := range crash.Parts {
			if part.Begun {
				continue
			}
			known := found[string(part.Digest)]
			if known == nil {
				known = &candidate{digest: part.Digest}
				found[string(part.Digest)] = known
			}
			known.position = max(known.position, part.Position)
			known.add(crash)
		}
	}
	return found
}

// explained reports whether a quarantined part is among the candidates of a crash.
func (p *Parts) explained(crash *Crash) bool {
	return slices.ContainsFunc(crash.Parts, func(part plane.CrashPart) bool { return p.quarantined[string(part.Digest)] != nil })
}

// quarantine quarantines parts until none explains QuarantineThreshold more crashes. What
// had no answer is the likelier cause.
func (p *Parts) quarantine(now int64) {
	for {
		begun := false
		found := findUnansweredCause(p.candidates())
		if found == nil {
			found, begun = findBegunCause(p.begunCandidates(now)), true
		}
		if found == nil {
			return
		}
		if p.quarantined == nil {
			p.quarantined = map[string]*plane.Ban{}
		}
		if len(p.quarantined) >= maxQuarantined {
			p.release()
		}
		p.quarantined[string(found.digest)] = &plane.Ban{
			Digest: found.digest, Part: found.position != plane.ContentPosition, Begun: begun,
			Crashes: int32(len(found.crashes)), UntilNanos: now + int64(QuarantineDuration),
		}
	}
}

// release ends the quarantine that would end first.
func (p *Parts) release() {
	first := slices.MinFunc(slices.Collect(maps.Values(p.quarantined)), func(a, b *plane.Ban) int {
		return cmp.Or(cmp.Compare(a.UntilNanos, b.UntilNanos), bytes.Compare(a.Digest, b.Digest))
	})
	delete(p.quarantined, string(first.Digest))
}

// findCause returns the part that explains the most crashes, and among equals the last
// in its prompt, or nil if none explains enough. A part is not the cause while another may
// be, as reported by mayBeOther.
func findCause(candidates map[string]*candidate, mayBeOther func(c *candidate) bool) *candidate {
	var cause *candidate
	for _, digest := range slices.Sorted(maps.Keys(candidates)) {
		c := candidates[digest]
		if len(c.crashes) < QuarantineThreshold || mayBeOther(c) {
			continue
		}
		if cause == nil || cmp.Or(cmp.Compare(len(c.crashes), len(cause.crashes)), cmp.Compare(c.position, cause.position)) > 0 {
			cause = c
		}
	}
	return cause
}

// findUnansweredCause returns the cause among the candidates without an answer, nil if none
// explains enough.
func findUnansweredCause(candidates map[string]*candidate) *candidate {
	return findCause(candidates, func(c *candidate) bool { return hasLaterPart(c, candidates, (*Crash).hasUnanswered) })
}

// hasLaterPart reports whether a part that is later in its prompt is in all crashes of c
// but one: requests with the later part also have the earlier. A content counts only if it is
// in all of them. has reports whether a part is a candidate for the cause of a crash.
func hasLaterPart(c *candidate, candidates map[string]*candidate, has func(crash *Crash, digest []byte) bool) bool {
	for _, other := range candidates {
		if other.position <= c.position {
			continue
		}
		without := 1
		if other.position == plane.ContentPosition {
			without = 0
		}
		if c.shared(other, has) >= len(c.crashes)-without {
			return true
		}
	}
	return false
}

// shared returns the number of crashes of c that another candidate may have caused too.
func (c *candidate) shared(other *candidate, has func(crash *Crash, digest []byte) bool) int {
	count := 0
	for _, crash := range c.crashes {
		if has(crash, other.digest) {
			count++
		}
	}
	return count
}
