package raft

import "sort"

// entryLog is the part of the log after the last compaction. Its entries have
// consecutive indexes.
type entryLog struct {
	// baseIndex, baseTerm and baseTime belong to the entry before entries[0].
	baseIndex, baseTerm uint64
	baseTime            int64
	entries             []Entry
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.last())
	return term
}

func (l *entryLog) lastTime() int64 {
	if len(l.entries) == 0 {
		return l.baseTime
	}
	return l.entries[len(l.entries)-1].Time
}

// termAt returns the term of an entry, and false if the entry was compacted or
// does not exist.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// entriesFrom returns the entries starting at index up to limit bytes of data, but
// at least one if there is any.
func (l *entryLog) entriesFrom(index uint64, limit int) []Entry {
	if index > l.last() {
		return nil
	}
	rest := l.entries[index-l.baseIndex-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i > 0 && size > limit {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// entriesBetween returns the entries with first <= index <= last.
func (l *entryLog) entriesBetween(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.baseIndex-1 : last-l.baseIndex : last-l.baseIndex]
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate drops index and all later entries. The next append copies the slice,
// since messages may still refer to the old entries.
func (l *entryLog) truncate(index uint64) {
	kept := index - l.baseIndex - 1
	l.entries = l.entries[:kept:kept]
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	dropped := l.entries[index-l.baseIndex-1]
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm, l.baseTime = dropped.Index, dropped.Term, dropped.Time
}

func (l *entryLog) reset(s Snapshot) {
	*l = entryLog{baseIndex: s.Index, baseTerm: s.Term, baseTime: s.Time}
}

// lastIndexAtOrBelowTerm returns index and term of the last entry at or before
// index whose term is not above term. The search for the last common entry of two
// logs thereby skips complete terms.
func (l *entryLog) lastIndexAtOrBelowTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	if index <= l.baseIndex {
		return index, 0
	}
	count := sort.Search(int(index-l.baseIndex), func(i int) bool { return l.entries[i].Term > term })
	found := l.baseIndex + uint64(count)
	foundTerm, _ := l.termAt(found)
	return found, foundTerm
}
