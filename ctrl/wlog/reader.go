package wlog

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
)

const (
	suffix = ".log"
	// tempSuffix is appended by disk.Replace to the name of its temporary file.
	tempSuffix = ".tmp"
)

// reader replays the segments of a folder when a log is opened.
type reader struct {
	disk     *disk.Disk
	segments []segment
	entries  []raft.Entry
	hard     raft.HardState
	last     entryID
	// size is the size of the newest segment file.
	size           int64
	truncatedBytes int
}

// readAll replays all segments in order.
func (r *reader) readAll() error {
	names, err := r.disk.List()
	if err != nil {
		return &Error{Op: "list segments", Kind: KindRead, Err: err}
	}
	var numbers []uint64
	for _, name := range names {
		if strings.HasSuffix(name, suffix+tempSuffix) {
			if err := r.disk.Remove(name); err != nil {
				return &Error{Op: "remove " + name, Kind: KindWrite, Err: err}
			}
			continue
		}
		stem, ok := strings.CutSuffix(name, suffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(stem, 16, 64)
		if err != nil {
			return damageError(name, 0, "invalid segment file name")
		}
		numbers = append(numbers, number)
	}
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return damageError(segment{number: number}.name(), 0, "the preceding segment is missing")
		}
		if err := r.readSegment(number, i == len(numbers)-1); err != nil {
			return err
		}
	}
	return nil
}

// readSegment replays one file. Only the newest file may end in an incomplete
// record.
func (r *reader) readSegment(number uint64, newest bool) error {
	name := segment{number: number}.name()
	data, err := r.disk.Read(name)
	if err != nil {
		return &Error{Op: "read " + name, Kind: KindRead, Err: err}
	}
	offset := 0
	for offset < len(data) || offset == 0 {
		body, state := decodeFrame(data[offset:])
		if state != frameComplete {
			return r.handleInvalidFrame(number, data, offset, state, newest)
		}
		var next record
		if err := codec.Decode(body, &next); err != nil {
			return damageError(name, offset, err.Error())
		}
		if err := r.replay(number, offset, &next); err != nil {
			return err
		}
		offset += headerBytes + len(body)
	}
	r.size = int64(offset)
	return nil
}

// handleInvalidFrame truncates the newest segment before an invalid last record, which
// a crash during a write leaves. An invalid record in an older segment is an error, and
// so is a corrupt one with a complete record anywhere after it: its write was finished.
func (r *reader) handleInvalidFrame(number uint64, data []byte, offset, state int, newest bool) error {
	name := segment{number: number}.name()
	if !newest {
		return damageError(name, offset, "invalid record in a segment that is not the newest")
	}
	if state == frameCorrupt && containsFrame(data[offset+1:]) {
		return damageError(name, offset, "corrupt record with complete records after it")
	}
	r.truncatedBytes = len(data) - offset
	r.size = int64(offset)
	if offset == 0 {
		return r.dropSegment(name)
	}
	if err := r.disk.Truncate(name, int64(offset)); err != nil {
		return &Error{Op: "cut " + name, Kind: KindWrite, Err: err}
	}
	return nil
}

// dropSegment removes a segment whose first record is incomplete.
func (r *reader) dropSegment(name string) error {
	if err := r.disk.Remove(name); err != nil {
		return &Error{Op: "remove " + name, Kind: KindWrite, Err: err}
	}
	if err := r.disk.Sync(); err != nil {
		return &Error{Op: "sync folder", Kind: KindWrite, Err: err}
	}
	if len(r.segments) == 0 {
		return nil
	}
	previous, err := r.disk.Read(r.segments[len(r.segments)-1].name())
	if err != nil {
		return &Error{Op: "read segment", Kind: KindRead, Err: err}
	}
	r.size = int64(len(previous))
	return nil
}

// replay applies one record to the log content read so far.
func (r *reader) replay(number uint64, offset int, next *record) error {
	name := segment{number: number}.name()
	if (offset == 0) != (next.Base != nil) || (offset == 0 && next.Number != number) {
		return damageError(name, offset, "the record that starts a segment is missing, misplaced or has a wrong number")
	}
	if next.Base != nil {
		if len(r.segments) > 0 && !next.Reset && *next.Base != r.last {
			return damageError(name, offset, fmt.Sprintf("the segment starts after entry %d, but the previous one ends at %d", next.Base.Index, r.last.Index))
		}
		r.replayBase(number, next)
	}
	if next.Hard != nil {
		r.hard = *next.Hard
	}
	for _, entry := range next.Entries {
		first := r.last.Index + 1 - uint64(len(r.entries))
		if entry.Index > r.last.Index+1 {
			return damageError(name, offset, fmt.Sprintf("entry %d does not follow %d", entry.Index, r.last.Index))
		}
		// An entry at or before the oldest segment's base replaces entries of a
		// segment that has been removed.
		kept := max(entry.Index, first) - first
		r.entries = append(r.entries[:kept], entry)
		r.last = entryID{Index: entry.Index, Term: entry.Term}
	}
	return nil
}

// replayBase applies the first record of a segment.
func (r *reader) replayBase(number uint64, first *record) {
	if len(r.segments) == 0 || first.Reset {
		r.entries = nil
		r.last = *first.Base
	}
	r.segments = append(r.segments, segment{number: number, base: *first.Base})
}

// entriesAfter returns the entries after a snapshot. It returns false if the log does
// not continue the snapshot and has to be reset.
func (r *reader) entriesAfter(snapshot raft.Snapshot) ([]raft.Entry, bool) {
	if len(r.segments) == 0 || r.last.Index < snapshot.Index {
		return nil, false
	}
	first := r.last.Index + 1 - uint64(len(r.entries))
	if snapshot.Index >= first && r.entries[snapshot.Index-first].Term != snapshot.Term {
		return nil, false
	}
	if snapshot.Index < first {
		return r.entries, true
	}
	return r.entries[snapshot.Index+1-first:], true
}

// damageError reports damage at an offset of a segment file.
func damageError(name string, offset int, reason string) error {
	return &Error{Op: fmt.Sprintf("read %s at offset %d", name, offset), Kind: KindDamaged, Err: fmt.Errorf("%s", reason)}
}
