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
// and none is the cause beside an equal one. Their parts count in crashes that are
// begunPartSpacing apart.
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
	// begunPartSpacing is the time within which crashes count as one for a part on which
	// endpoints had begun to answer; a sound one is answered completely elsewhere meanwhile.
	begunPartSpacing = time.Second
	// minBegunListed is the number of crashes from which what endpoints had begun to
	// answer is listed as suspected: most is in one crash only.
	minBegunListed = 2
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

// find returns a candidate for the cause of the crash, nil if it is none.
func (c *Crash) find(digest []byte) *plane.CrashPart {
	i := slices.IndexFunc(c.Parts, func(p plane.CrashPart) bool { return bytes.Equal(p.Digest, digest) })
	if i < 0 {
		return nil
	}
	return &c.Parts[i]
}

// add adds a candidate if there is room for one of its kind, or raises its position.
func (c *Crash) add(part plane.CrashPart) {
	count := 0
	for i := range c.Parts {
		if c.Parts[i].Begun == part.Begun {
			count++
		}
	}
	if count < maxParts || c.find(part.Digest) != nil {
		c.Parts = plane.AddCrashPart(c.Parts, part)
	}
}

// Table is the snapshot of Parts.
type Table struct {
	Revision    uint64      `protobuf:"varint,1,opt"`
	Crashes     []Crash     `protobuf:"bytes,2,rep"`
	Quarantined []plane.Ban `protobuf:"bytes,3,rep"`
}

// Parts holds the crashes and the quarantined parts. The zero value is empty and ready
// for use by one goroutine.
type Parts struct {
	revision uint64
	// crashes are in the order of their first reports.
	crashes     []Crash
	quarantined map[string]*plane.Ban
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
	for digest, ban := range p.quarantined {
		if ban.UntilNanos <= now {
			delete(p.quarantined, digest)
			p.revision++
		}
	}
}

// NextExpiry returns the committed time at which the next crash or quarantine ends, and
// false if there is none.
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
	candidates := p.candidates()
	for _, digest := range slices.Sorted(maps.Keys(candidates)) {
		found := candidates[digest]
		if !found.isListed() {
			continue
		}
		until := found.crashes[len(found.crashes)-1].AtNanos + int64(CrashRetention)
		list = append(list, plane.Ban{
			Digest: []byte(digest), Part: found.position != plane.ContentPosition, Suspect: true, Begun: found.begun > 0, Crashes: int32(len(found.crashes)),
			UntilNanos: until, Remaining: span.Duration(max(until-now, 0)),
		})
	}
	slices.SortFunc(list, func(a, b plane.Ban) int { return bytes.Compare(a.Digest, b.Digest) })
	return list
}

// Snapshot returns a copy of the state for Restore.
func (p *Parts) Snapshot() *Table {
	table := &Table{Revision: p.revision}
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
	p.revision, p.crashes = table.Revision, table.Crashes
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
	// earlier one. begun is the number of those whose endpoint had begun to answer on it.
	crashes []*Crash
	begun   int
}

// add counts a crash, unless it counts as one with the crash before.
func (c *candidate) add(crash *Crash, part *plane.CrashPart) {
	spacing := SimultaneousCrashes
	if part.Begun && part.Position != plane.ContentPosition {
		spacing = begunPartSpacing
	}
	if len(c.crashes) > 0 && crash.AtNanos-c.crashes[len(c.crashes)-1].AtNanos < int64(spacing) {
		return
	}
	c.crashes = append(c.crashes, crash)
	if part.Begun {
		c.begun++
	}
}

// isListed reports whether the candidate is listed as suspected. Package bans lists
// contents without an answer.
func (c *candidate) isListed() bool {
	switch {
	case len(c.crashes) >= minBegunListed && c.begun > 0:
		return true
	case c.position == plane.ContentPosition:
		return false
	}
	return c.begun < len(c.crashes)
}

// candidates returns the candidates by digest.
func (p *Parts) candidates() map[string]*candidate {
	found := map[string]*candidate{}
	for i := range p.crashes {
		crash := &p.crashes[i]
		if p.explained(crash) {
			continue
		}
		for _, part := range crash.Parts {
			known := found[string(part.Digest)]
			if known == nil {
				known = &candidate{digest: part.Digest}
				found[string(part.Digest)] = known
			}
			known.position = max(known.position, part.Position)
			known.add(crash, &part)
		}
	}
	return found
}

// explained reports whether a quarantined part is among the candidates of a crash.
func (p *Parts) explained(crash *Crash) bool {
	return slices.ContainsFunc(crash.Parts, func(part plane.CrashPart) bool { return p.quarantined[string(part.Digest)] != nil })
}

// quarantine quarantines parts until none explains QuarantineThreshold more crashes.
func (p *Parts) quarantine(now int64) {
	for {
		found := findCause(p.candidates())
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
			Digest: found.digest, Part: found.position != plane.ContentPosition, Begun: found.begun > 0,
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
// in its prompt, or nil if none explains enough. A part is not the cause while a later
// part is in all its crashes but one: requests with the later part also have the earlier.
// Nor is it while one content is in all its crashes. What endpoints had begun to answer
// is the cause only if nothing else explains enough.
func findCause(candidates map[string]*candidate) *candidate {
	var cause *candidate
	for _, digest := range slices.Sorted(maps.Keys(candidates)) {
		c := candidates[digest]
		if len(c.crashes) < QuarantineThreshold || hasLaterPart(c, candidates) || hasEqual(c, candidates) {
			continue
		}
		if cause == nil || c.compare(cause) > 0 {
			cause = c
		}
	}
	return cause
}

// compare orders candidates by how likely they are the cause.
func (c *candidate) compare(other *candidate) int {
	if unbegun := c.begun == 0; unbegun != (other.begun == 0) {
		if unbegun {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(c.crashes), len(other.crashes)), cmp.Compare(c.position, other.position))
}

// shared returns the number of crashes of c that another candidate is in too. For a
// candidate without an answer, only those without one count.
func (c *candidate) shared(other *candidate) int {
	count := 0
	for _, crash := range c.crashes {
		if part := crash.find(other.digest); part != nil && (c.begun > 0 || !part.Begun) {
			count++
		}
	}
	return count
}

// hasLaterPart reports whether a part that is later in its prompt is in all crashes of c
// but one.
func hasLaterPart(c *candidate, candidates map[string]*candidate) bool {
	for _, other := range candidates {
		if other.position <= c.position {
			continue
		}
		without := 1
		if other.position == plane.ContentPosition {
			without = 0
		}
		if c.shared(other) >= len(c.crashes)-without {
			return true
		}
	}
	return false
}

// hasEqual reports whether a candidate that endpoints had begun to answer cannot be told
// from one of another prompt: both are in all its crashes, at the same position.
func hasEqual(c *candidate, candidates map[string]*candidate) bool {
	if c.begun == 0 {
		return false
	}
	for _, other := range candidates {
		if other != c && other.position == c.position && c.shared(other) == len(c.crashes) {
			return true
		}
	}
	return false
}
