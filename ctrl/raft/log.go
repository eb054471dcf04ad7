package raft

import "sort"

// memory is the part of the log behind the last compaction. Its entries have
// consecutive indexes.
type memory struct {
	// index, term and time are those of the entry before entries[0].
	index, term uint64
	time        int64
	entries     []Entry
}

func (l *memory) last() uint64 { return l.index + uint64(len(l.entries)) }

func (l *memory) lastTerm() uint64 {
	term, _ := l.termAt(l.last())
	return term
}

func (l *memory) lastTime() int64 {
	if len(l.entries) == 0 {
		return l.time
	}
	return l.entries[len(l.entries)-1].Time
}

// termAt returns the term of an entry, if the log still knows it.
func (l *memory) termAt(index uint64) (uint64, bool) {
	if index == l.index {
		return l.term, true
	}
	if index < l.index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.index-1].Term, true
}

// from returns entries from index on, at least one where there is one, up to
// about limit bytes.
func (l *memory) from(index uint64, limit int) []Entry {
	if index > l.last() {
		return nil
	}
	rest := l.entries[index-l.index-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i > 0 && size > limit {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// between returns the entries with first <= index <= last.
func (l *memory) between(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.index-1 : last-l.index : last-l.index]
}

func (l *memory) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate drops the entries from index on. The slice is copied at the next
// append, since messages may still refer to the old entries.
func (l *memory) truncate(index uint64) {
	kept := index - l.index - 1
	l.entries = l.entries[:kept:kept]
}

// compact drops the entries up to index.
func (l *memory) compact(index uint64) {
	if index <= l.index {
		return
	}
	dropped := l.entries[index-l.index-1]
	l.entries = append([]Entry(nil), l.entries[index-l.index:]...)
	l.index, l.term, l.time = dropped.Index, dropped.Term, dropped.Time
}

func (l *memory) reset(s Snapshot) {
	*l = memory{index: s.Index, term: s.Term, time: s.Time}
}

// agree returns the last entry at or before index whose term is not above
// term, to skip whole terms in search of the place where two logs agree.
func (l *memory) agree(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	if index <= l.index {
		return index, 0
	}
	count := sort.Search(int(index-l.index), func(i int) bool { return l.entries[i].Term > term })
	found := l.index + uint64(count)
	foundTerm, _ := l.termAt(found)
	return found, foundTerm
}
