// Package bans decides which requests are suspected of crashing endpoints and
// which are quarantined. It is part of the replicated machine.
//
// A request that was at an endpoint when it died is a suspect; suspects do not
// share an endpoint. A suspect that is present at a second death is
// quarantined at once: waiting for a third would cost a third endpoint. Of
// several suspects that were together at the second death, which happens only
// when they were sent before the first death was known, one may be innocent:
// they are quarantined for a shorter time.
package bans

import (
	"bytes"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

const (
	// SuspectDuration is how long a request is suspected after one death.
	SuspectDuration = 2 * time.Minute
	// SharedBanDuration is the quarantine of a request that was never the only
	// suspect, and BanLife that of any other.
	SharedBanDuration = 5 * time.Minute
	// BanDuration is the full quarantine.
	BanDuration = 30 * time.Minute
	// mostBans bounds the table; suspects that expire first make room.
	mostBans = 4096
	// mostDeaths is how many deaths are remembered, to count each once.
	mostDeaths = 1024
	// quarantineDeaths is the number of deaths that lead to quarantine.
	quarantineDeaths = 2
)

// CrashID identifies one death of one endpoint.
type CrashID struct {
	Agent       string `protobuf:"bytes,1,opt"`
	Incarnation uint64 `protobuf:"varint,2,opt"`
	Count       uint64 `protobuf:"varint,3,opt"`
}

// Table is the snapshot of Bans.
type Table struct {
	Revision uint64      `protobuf:"varint,1,opt"`
	Bans     []plane.Ban `protobuf:"bytes,2,rep"`
	Crashes  []CrashID   `protobuf:"bytes,3,rep"`
}

// Bans is the table of suspects and quarantined requests. The zero value is
// empty and ready for use by one goroutine.
type Bans struct {
	revision uint64
	table    map[string]*plane.Ban
	// deaths is oldest first, without duplicates.
	deaths []CrashID
}

// Apply counts a death at a committed time. A death reported twice counts
// once.
func (b *Bans) Apply(crash *plane.Crash, now int64) {
	b.Expire(now)
	death := CrashID{Agent: crash.Agent, Incarnation: crash.Incarnation, Count: crash.Count}
	if slices.Contains(b.deaths, death) {
		return
	}
	b.deaths = append(b.deaths, death)
	if len(b.deaths) > mostDeaths {
		b.deaths = slices.Delete(b.deaths, 0, 1)
	}
	digests := distinct(crash.Digests)
	if len(digests) == 0 {
		return
	}
	alone := len(digests) == 1 || b.known(digests) == 1
	for _, digest := range digests {
		b.suspect(digest, alone, len(digests) == 1, now)
	}
	b.revision++
}

func distinct(digests [][]byte) [][]byte {
	sorted := slices.Clone(digests)
	slices.SortFunc(sorted, bytes.Compare)
	return slices.CompactFunc(sorted, bytes.Equal)
}

// known returns how many of the digests were suspects before this death.
func (b *Bans) known(digests [][]byte) int {
	count := 0
	for _, digest := range digests {
		if b.table[string(digest)] != nil {
			count++
		}
	}
	return count
}

// suspect counts a death against one digest. alone says that at most one known
// suspect was there, single that nothing else was.
func (b *Bans) suspect(digest []byte, alone, single bool, now int64) {
	ban := b.table[string(digest)]
	if ban == nil {
		ban = b.add(digest)
		alone = single
	}
	ban.Crashes++
	if alone {
		ban.SoleSuspectCrashes++
	}
	ban.Suspect = ban.Crashes < quarantineDeaths
	life := BanDuration
	switch {
	case ban.Suspect:
		life = SuspectDuration
	case ban.SoleSuspectCrashes == 0 && ban.Crashes == quarantineDeaths:
		life = SharedBanDuration
	}
	ban.UntilNanos = max(ban.UntilNanos, now+int64(life))
}

func (b *Bans) add(digest []byte) *plane.Ban {
	if b.table == nil {
		b.table = map[string]*plane.Ban{}
	}
	if len(b.table) >= mostBans {
		b.evict()
	}
	ban := &plane.Ban{Digest: digest}
	b.table[string(digest)] = ban
	return ban
}

// evict removes the suspect that expires first, or the first ban to expire
// when there are no suspects.
func (b *Bans) evict() {
	var first *plane.Ban
	for _, ban := range b.table {
		if first == nil || sooner(ban, first) {
			first = ban
		}
	}
	delete(b.table, string(first.Digest))
}

func sooner(a, b *plane.Ban) bool {
	if a.Suspect != b.Suspect {
		return a.Suspect
	}
	if a.UntilNanos != b.UntilNanos {
		return a.UntilNanos < b.UntilNanos
	}
	return bytes.Compare(a.Digest, b.Digest) < 0
}

// Lift ends the suspicion or quarantine of a digest and reports whether there
// was one.
func (b *Bans) Lift(digest []byte) bool {
	if b.table[string(digest)] == nil {
		return false
	}
	delete(b.table, string(digest))
	b.revision++
	return true
}

// ClearSuspect ends the suspicion of a request that ended well elsewhere. A
// quarantine stays.
func (b *Bans) ClearSuspect(digest []byte) bool {
	ban := b.table[string(digest)]
	if ban == nil || !ban.Suspect {
		return false
	}
	return b.Lift(digest)
}

// Expire removes what is over at a committed time.
func (b *Bans) Expire(now int64) {
	for digest, ban := range b.table {
		if ban.UntilNanos <= now {
			delete(b.table, digest)
			b.revision++
		}
	}
}

// NextExpiry returns the committed time at which the next ban is over; false when
// there is none.
func (b *Bans) NextExpiry() (int64, bool) {
	due, ok := int64(0), false
	for _, ban := range b.table {
		if !ok || ban.UntilNanos < due {
			due, ok = ban.UntilNanos, true
		}
	}
	return due, ok
}

// Revision counts the changes of the table.
func (b *Bans) Revision() uint64 { return b.revision }

// List returns the bans, sorted by digest, with the time left at a committed
// time.
func (b *Bans) List(now int64) []plane.Ban {
	list := make([]plane.Ban, 0, len(b.table))
	for _, ban := range b.table {
		shown := *ban
		shown.Remaining = span.Duration(max(ban.UntilNanos-now, 0))
		list = append(list, shown)
	}
	slices.SortFunc(list, func(x, y plane.Ban) int { return bytes.Compare(x.Digest, y.Digest) })
	return list
}

// Snapshot returns the table.
func (b *Bans) Snapshot() *Table {
	return &Table{Revision: b.revision, Bans: b.List(0), Crashes: slices.Clone(b.deaths)}
}

// Restore replaces the table.
func (b *Bans) Restore(table *Table) {
	*b = Bans{}
	if table == nil {
		return
	}
	b.revision, b.deaths = table.Revision, table.Crashes
	b.table = make(map[string]*plane.Ban, len(table.Bans))
	for i := range table.Bans {
		b.table[string(table.Bans[i].Digest)] = &table.Bans[i]
	}
}
