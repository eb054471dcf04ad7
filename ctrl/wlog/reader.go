package wlog

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
)

const suffix = ".log"

// reader replays the segments of a folder.
type reader struct {
	disk     *disk.Disk
	segments []segment
	entries  []raft.Entry
	hard     raft.HardState
	last     mark
	size     int64
	cut      int
}

func (r *reader) readAll() error {
	names, err := r.disk.List()
	if err != nil {
		return &Error{Op: "list segments", Kind: KindRead, Err: err}
	}
	var numbers []uint64
	for _, name := range names {
		stem, ok := strings.CutSuffix(name, suffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(stem, 16, 64)
		if err != nil {
			return damage(name, 0, "a file name that no segment has")
		}
		numbers = append(numbers, number)
	}
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return damage(segment{number: number}.name(), 0, "the segment before is missing")
		}
		if err := r.readSegment(number, i == len(numbers)-1); err != nil {
			return err
		}
	}
	return nil
}

// readSegment replays one file. Only the newest one may end in an unfinished
// record.
func (r *reader) readSegment(number uint64, newest bool) error {
	name := segment{number: number}.name()
	data, err := r.disk.Read(name)
	if err != nil {
		return &Error{Op: "read " + name, Kind: KindRead, Err: err}
	}
	offset := 0
	for offset < len(data) || offset == 0 {
		body, state := unframe(data[offset:])
		if state != frameWhole {
			return r.endSegment(number, data, offset, state, newest)
		}
		var next record
		if err := codec.Decode(body, &next); err != nil {
			return damage(name, offset, err.Error())
		}
		if err := r.replay(number, offset, &next); err != nil {
			return err
		}
		offset += headerBytes + len(body)
	}
	r.size = int64(offset)
	return nil
}

// endSegment cuts off an unfinished record, or refuses a damaged one.
func (r *reader) endSegment(number uint64, data []byte, offset, state int, newest bool) error {
	name := segment{number: number}.name()
	if !newest {
		return damage(name, offset, "a record is not as written, and a newer segment exists")
	}
	if state == frameWrong && recordBehind(data[offset+1:]) {
		return damage(name, offset, "a record is not as written, and whole records follow")
	}
	r.cut = len(data) - offset
	r.size = int64(offset)
	if offset == 0 {
		return r.dropSegment(name)
	}
	if err := r.disk.Truncate(name, int64(offset)); err != nil {
		return &Error{Op: "cut " + name, Kind: KindWrite, Err: err}
	}
	return nil
}

// dropSegment removes a segment whose first record was never finished.
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
	former, err := r.disk.Read(r.segments[len(r.segments)-1].name())
	if err != nil {
		return &Error{Op: "read segment", Kind: KindRead, Err: err}
	}
	r.size = int64(len(former))
	return nil
}

func (r *reader) replay(number uint64, offset int, next *record) error {
	name := segment{number: number}.name()
	if (offset == 0) != (next.Base != nil) || (offset == 0 && next.Number != number) {
		return damage(name, offset, "the segment's first record is in the wrong place")
	}
	if next.Base != nil {
		if len(r.segments) > 0 && !next.Reset && *next.Base != r.last {
			return damage(name, offset, fmt.Sprintf("the log went on behind entry %d, but ends at %d", next.Base.Index, r.last.Index))
		}
		r.replayBase(number, next)
	}
	if next.Hard != nil {
		r.hard = *next.Hard
	}
	for _, entry := range next.Entries {
		first := r.last.Index + 1 - uint64(len(r.entries))
		if entry.Index > r.last.Index+1 {
			return damage(name, offset, fmt.Sprintf("entry %d does not follow %d", entry.Index, r.last.Index))
		}
		// An entry before the oldest segment's base replaces some that were
		// in a segment removed since.
		kept := max(entry.Index, first) - first
		r.entries = append(r.entries[:kept], entry)
		r.last = mark{Index: entry.Index, Term: entry.Term}
	}
	return nil
}

// replayBase takes the first record of a segment.
func (r *reader) replayBase(number uint64, first *record) {
	if len(r.segments) == 0 || first.Reset {
		r.entries = nil
		r.last = *first.Base
	}
	r.segments = append(r.segments, segment{number: number, base: *first.Base})
}

// behind returns the entries behind a snapshot; false when the log does not
// continue it and has to be reset.
func (r *reader) behind(snapshot raft.Snapshot) ([]raft.Entry, bool) {
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

func damage(name string, offset int, what string) error {
	return &Error{Op: fmt.Sprintf("read %s at offset %d", name, offset), Kind: KindDamaged, Err: fmt.Errorf("%s", what)}
}
