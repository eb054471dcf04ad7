// Package wlog stores a replica's Raft log and hard state in append-only segment
// files. Each Append writes one record and syncs once.
package wlog

import (
	"errors"
	"fmt"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// DefaultSegmentBytes is the size from which on the next Append starts a new segment
// file.
const DefaultSegmentBytes = 8 << 20

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindDamaged reports that synced data is corrupt or missing. The replica must
	// not use this folder any more.
	KindDamaged Kind = "log is damaged"
	// KindUnusable reports that an earlier write or sync failed, so the content
	// of the disk is unknown.
	KindUnusable Kind = "log is unusable after a failed write"
	KindWrite    Kind = "cannot write log"
	KindRead     Kind = "cannot read log"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Content is the content of a log when it is opened.
type Content struct {
	Hard    raft.HardState
	Entries []raft.Entry
	// TruncatedBytes is the size of an incomplete last record that was dropped.
	TruncatedBytes int
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	// SegmentBytes is the size from which on a new segment is started. It may be
	// changed before the first Append.
	SegmentBytes int64
	// WrittenBytes counts the bytes written since Open.
	WrittenBytes int64

	disk *disk.Disk
	// segments are the files, oldest first; records are appended to the last one.
	segments []segment
	file     *disk.File
	// size is the size of the current segment file.
	size int64
	hard raft.HardState
	// last is the last entry of the log.
	last entryID
	// failed is set after a failed write or sync.
	failed bool
}

// entryID identifies an entry of the log.
type entryID struct {
	Index uint64 `protobuf:"varint,1,opt"`
	Term  uint64 `protobuf:"varint,2,opt"`
}

// segment is one file.
type segment struct {
	number uint64
	// base is the last entry of the log before this segment.
	base entryID
}

// record is the unit of writing; it is stored completely or not at all.
type record struct {
	Hard    *raft.HardState `protobuf:"bytes,1,opt"`
	Entries []raft.Entry    `protobuf:"bytes,2,rep"`
	// Number and Base are set in the first record of a segment. Reset means that
	// Base is the last entry of a snapshot, and earlier segments are void.
	Number uint64   `protobuf:"varint,3,opt"`
	Base   *entryID `protobuf:"bytes,4,opt"`
	Reset  bool     `protobuf:"varint,5,opt"`
}

func (s segment) name() string { return fmt.Sprintf("%016x.log", s.number) }

// Open reads the log entries after a snapshot. An incomplete record at the end is cut
// off; any other corruption is a KindDamaged error with file name and offset.
func Open(d *disk.Disk, snapshot raft.Snapshot) (*Log, Content, error) {
	l := &Log{SegmentBytes: DefaultSegmentBytes, disk: d}
	r := &reader{disk: d}
	if err := r.readAll(); err != nil {
		return nil, Content{}, err
	}
	l.segments, l.hard, l.last, l.size = r.segments, r.hard, r.last, r.size
	content := Content{Hard: r.hard, TruncatedBytes: r.truncatedBytes}
	if len(r.segments) == 0 && snapshot.Index > 0 {
		return nil, Content{}, damageError(segment{number: 1}.name(), 0, "there is a snapshot but no log, so earlier votes may be lost")
	}
	entries, usable := r.entriesAfter(snapshot)
	if !usable {
		if err := l.Reset(snapshot); err != nil {
			return nil, Content{}, err
		}
		return l, content, nil
	}
	content.Entries = entries
	if err := l.continueSegment(); err != nil {
		return nil, Content{}, err
	}
	return l, content, nil
}

// continueSegment opens the newest segment for appending. If a process was killed
// before a sync, the last record is only in the page cache, and the segment's name may
// not be stored. The content that was read counts as stored from now on, so both are
// synced. A failed sync is not repeated, because it would not store the data; the file
// is rewritten.
func (l *Log) continueSegment() error {
	name := l.segments[len(l.segments)-1].name()
	file, err := l.disk.Open(name)
	if err != nil {
		return &Error{Op: "open segment", Kind: KindRead, Err: err}
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		if file, err = l.rewrite(name); err != nil {
			return &Error{Op: "rewrite " + name, Kind: KindWrite, Err: err}
		}
	}
	l.file = file
	if err := l.disk.Sync(); err != nil {
		return &Error{Op: "sync folder", Kind: KindWrite, Err: err}
	}
	return nil
}

// rewrite replaces a file by a copy and opens the copy for appending.
func (l *Log) rewrite(name string) (*disk.File, error) {
	data, err := l.disk.Read(name)
	if err != nil {
		return nil, err
	}
	if err := l.disk.Replace(name, data); err != nil {
		return nil, err
	}
	return l.disk.Open(name)
}

// Append writes entries and, if hard is not nil, a new hard state, and returns once
// they are synced. An entry whose index is not above the last one in the log replaces
// the log from that index on.
func (l *Log) Append(hard *raft.HardState, entries []raft.Entry) error {
	if l.failed {
		return &Error{Op: "append", Kind: KindUnusable}
	}
	if l.size >= l.SegmentBytes {
		if err := l.startSegment(l.last, false); err != nil {
			return err
		}
	}
	if err := l.write(&record{Hard: hard, Entries: entries}); err != nil {
		return err
	}
	if hard != nil {
		l.hard = *hard
	}
	if len(entries) > 0 {
		newest := entries[len(entries)-1]
		l.last = entryID{Index: newest.Index, Term: newest.Term}
	}
	return nil
}

// Reset empties the log, which continues after the snapshot. The snapshot must be
// synced already.
func (l *Log) Reset(snapshot raft.Snapshot) error {
	if l.failed {
		return &Error{Op: "reset", Kind: KindUnusable}
	}
	l.last = entryID{Index: snapshot.Index, Term: snapshot.Term}
	if err := l.startSegment(l.last, true); err != nil {
		return err
	}
	return l.removeOldest(len(l.segments) - 1)
}

// Compact removes the files without entries after index; a synced snapshot must
// contain that index. It starts a new file unless the current one has no entries, so
// that a later Compact can remove the current file.
func (l *Log) Compact(index uint64) error {
	if l.failed {
		return &Error{Op: "compact", Kind: KindUnusable}
	}
	if l.last.Index > l.segments[len(l.segments)-1].base.Index {
		if err := l.startSegment(l.last, false); err != nil {
			return err
		}
	}
	unused := 0
	for unused+1 < len(l.segments) && l.segments[unused+1].base.Index <= index {
		unused++
	}
	return l.removeOldest(unused)
}

// Close closes the current segment file.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

// startSegment starts a new segment. Its name and first record are synced before it
// is used; all records of the previous segment are synced already.
func (l *Log) startSegment(base entryID, reset bool) error {
	next := segment{number: 1, base: base}
	if len(l.segments) > 0 {
		next.number = l.segments[len(l.segments)-1].number + 1
	}
	file, err := l.disk.Create(next.name())
	if err != nil {
		return l.markFailed("create segment", err)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file, l.size = file, 0
	l.segments = append(l.segments, next)
	hard := l.hard
	if err := l.write(&record{Hard: &hard, Number: next.number, Base: &base, Reset: reset}); err != nil {
		return err
	}
	if err := l.disk.Sync(); err != nil {
		return l.markFailed("sync folder", err)
	}
	return nil
}

// removeOldest removes the oldest segments one by one, oldest first, so that the
// remaining numbers are consecutive after a crash.
func (l *Log) removeOldest(count int) error {
	for range count {
		if err := l.disk.Remove(l.segments[0].name()); err != nil {
			return l.markFailed("remove segment", err)
		}
		l.segments = l.segments[1:]
		if err := l.disk.Sync(); err != nil {
			return l.markFailed("sync folder", err)
		}
	}
	return nil
}

// write appends a record to the current segment and syncs it.
func (l *Log) write(r *record) error {
	body, err := codec.Encode(r)
	if err != nil {
		return l.markFailed("encode record", err)
	}
	framed := encodeFrame(body)
	if err := l.file.Write(framed); err != nil {
		return l.markFailed("write record", err)
	}
	if err := l.file.Sync(); err != nil {
		// The record can still be read, but no later sync would store it.
		name := l.segments[len(l.segments)-1].name()
		return l.markFailed("sync record", errors.Join(err, l.disk.Truncate(name, l.size)))
	}
	l.size += int64(len(framed))
	l.WrittenBytes += int64(len(framed))
	return nil
}

// markFailed makes the log unusable: after a failed sync, a later successful sync
// does not guarantee that earlier writes are on disk.
func (l *Log) markFailed(op string, err error) error {
	l.failed = true
	return &Error{Op: op, Kind: KindWrite, Err: err}
}
