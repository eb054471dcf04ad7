// Package bans decides which requests are suspected of crashing endpoints and which are
// quarantined. It is part of the replicated state machine.
//
// A request that was running on an endpoint when the endpoint crashed is a suspect.
// No two suspects are run on the same endpoint. A suspect that is running during a second
// crash is quarantined at once, because waiting for a third crash would cost a third
// endpoint. Several suspects can run together during a second crash only if they were sent
// before the first crash was known. Some of them may be innocent, so they are
// quarantined for a shorter time.
package bans

import (
	"bytes"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

const (
	// SuspectDuration is how long a request is suspected after one crash.
	SuspectDuration = 2 * time.Minute
	// SharedBanDuration is the quarantine of a request that was never the only suspect
	// at a crash.
	SharedBanDuration = 5 * time.Minute
	// BanDuration is the quarantine of any other request.
	BanDuration = 30 * time.Minute
	// maxBans limits the table. If it is full, the suspect that expires first is evicted.
	maxBans = 4096
	// maxCrashes is the number of past crashes kept to detect repeated reports.
	maxCrashes = 1024
	// quarantineThreshold is the number of crashes that lead to quarantine.
	quarantineThreshold = 2
)

// CrashID identifies one crash of one endpoint.
type CrashID struct {
	Source      string `protobuf:"bytes,1,opt"`
	Incarnation uint64 `protobuf:"varint,2,opt"`
	Count       uint64 `protobuf:"varint,3,opt"`
}

// Table is the snapshot of Bans.
type Table struct {
	Revision uint64      `protobuf:"varint,1,opt"`
	Bans     []plane.Ban `protobuf:"bytes,2,rep"`
	Crashes  []CrashID   `protobuf:"bytes,3,rep"`
}

// Bans is the table of suspected and quarantined requests, keyed by digest. The zero
// value is empty and ready for use by one goroutine.
type Bans struct {
	revision uint64
	byDigest map[string]*plane.Ban
	// crashes are the past crashes, oldest first, without duplicates.
	crashes []CrashID
}

// Apply counts a crash at a committed time. A crash that is reported twice counts once.
func (b *Bans) Apply(crash *plane.Crash, now int64) {
	b.Expire(now)
	id := CrashID{Source: crash.Source, Incarnation: crash.Incarnation, Count: crash.Count}
	if slices.Contains(b.crashes, id) {
		return
	}
	b.crashes = append(b.crashes, id)
	if len(b.crashes) > maxCrashes {
		b.crashes = slices.Delete(b.crashes, 0, 1)
	}
	digests := distinct(crash.Digests)
	if len(digests) == 0 {
		return
	}
	alone := len(digests) == 1 || b.countKnown(digests) == 1
	for _, digest := range digests {
		b.countCrash(digest, alone, len(digests) == 1, now)
	}
	b.revision++
}

// distinct returns the digests sorted and without duplicates.
func distinct(digests [][]byte) [][]byte {
	sorted := slices.Clone(digests)
	slices.SortFunc(sorted, bytes.Compare)
	return slices.CompactFunc(sorted, bytes.Equal)
}

// countKnown returns how many of the digests are in the table.
func (b *Bans) countKnown(digests [][]byte) int {
	count := 0
	for _, digest := range digests {
		if b.byDigest[string(digest)] != nil {
			count++
		}
	}
	return count
}

// countCrash counts a crash against one digest. single is set if the crash has no other
// digest. alone is set if single is, or if exactly one of the crash's digests was in the
// table before; a digest that was not in the table counts as alone only if single is set.
func (b *Bans) countCrash(digest []byte, alone, single bool, now int64) {
	ban := b.byDigest[string(digest)]
	if ban == nil {
		ban = b.add(digest)
		alone = single
	}
	ban.Crashes++
	if alone {
		ban.SoleSuspectCrashes++
	}
	ban.Suspect = ban.Crashes < quarantineThreshold
	duration := BanDuration
	switch {
	case ban.Suspect:
		duration = SuspectDuration
	case ban.SoleSuspectCrashes == 0 && ban.Crashes == quarantineThreshold:
		duration = SharedBanDuration
	}
	ban.UntilNanos = max(ban.UntilNanos, now+int64(duration))
}

// add inserts a digest, evicting another one if the table is full.
func (b *Bans) add(digest []byte) *plane.Ban {
	if b.byDigest == nil {
		b.byDigest = map[string]*plane.Ban{}
	}
	if len(b.byDigest) >= maxBans {
		b.evict()
	}
	ban := &plane.Ban{Digest: digest}
	b.byDigest[string(digest)] = ban
	return ban
}

// evict removes the suspect that expires first, or the quarantined request that expires
// first if there are no suspects.
func (b *Bans) evict() {
	var first *plane.Ban
	for _, ban := range b.byDigest {
		if first == nil || evictedBefore(ban, first) {
			first = ban
		}
	}
	delete(b.byDigest, string(first.Digest))
}

// evictedBefore orders by suspicion, expiry and digest, so that all replicas evict the
// same request.
func evictedBefore(a, b *plane.Ban) bool {
	if a.Suspect != b.Suspect {
		return a.Suspect
	}
	if a.UntilNanos != b.UntilNanos {
		return a.UntilNanos < b.UntilNanos
	}
	return bytes.Compare(a.Digest, b.Digest) < 0
}

// Lift ends the suspicion or quarantine of a digest and reports whether the digest was in
// the table.
func (b *Bans) Lift(digest []byte) bool {
	if b.byDigest[string(digest)] == nil {
		return false
	}
	delete(b.byDigest, string(digest))
	b.revision++
	return true
}

// ClearSuspect ends the suspicion of a request that completed without a crash on another
// endpoint. It does not end a quarantine. It reports whether the suspicion was ended.
func (b *Bans) ClearSuspect(digest []byte) bool {
	ban := b.byDigest[string(digest)]
	if ban == nil || !ban.Suspect {
		return false
	}
	return b.Lift(digest)
}

// Expire removes the suspicions and quarantines that have ended at a committed time.
func (b *Bans) Expire(now int64) {
	for digest, ban := range b.byDigest {
		if ban.UntilNanos <= now {
			delete(b.byDigest, digest)
			b.revision++
		}
	}
}

// NextExpiry returns the committed time at which the next suspicion or quarantine ends, and
// false if the table is empty.
func (b *Bans) NextExpiry() (int64, bool) {
	due, ok := int64(0), false
	for _, ban := range b.byDigest {
		if !ok || ban.UntilNanos < due {
			due, ok = ban.UntilNanos, true
		}
	}
	return due, ok
}

// Revision returns the number of changes made to the table.
func (b *Bans) Revision() uint64 { return b.revision }

// List returns the table sorted by digest, with the time remaining at a committed time.
func (b *Bans) List(now int64) []plane.Ban {
	list := make([]plane.Ban, 0, len(b.byDigest))
	for _, ban := range b.byDigest {
		listed := *ban
		listed.Remaining = span.Duration(max(ban.UntilNanos-now, 0))
		list = append(list, listed)
	}
	slices.SortFunc(list, func(x, y plane.Ban) int { return bytes.Compare(x.Digest, y.Digest) })
	return list
}

// Snapshot returns a copy of the state for Restore.
func (b *Bans) Snapshot() *Table {
	return &Table{Revision: b.revision, Bans: b.List(0), Crashes: slices.Clone(b.crashes)}
}

// Restore replaces the state by that of a snapshot; nil means empty.
func (b *Bans) Restore(table *Table) {
	*b = Bans{}
	if table == nil {
		return
	}
	b.revision, b.crashes = table.Revision, table.Crashes
	b.byDigest = make(map[string]*plane.Ban, len(table.Bans))
	for i := range table.Bans {
		b.byDigest[string(table.Bans[i].Digest)] = &table.Bans[i]
	}
}
