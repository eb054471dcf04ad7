// Package wlog keeps a replica's log and hard state in append-only segment
// files. Everything given to one Append is one record and one sync.
package wlog

import (
	"fmt"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// DefaultSegmentBytes is the size at which a new segment file begins.
const DefaultSegmentBytes = 8 << 20

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindDamaged says that bytes which had been synced are not as written.
	// The replica must not go on with this folder.
	KindDamaged Kind = "log is damaged"
	// KindUnusable says that a write or sync failed before; what reached the
	// disk is unknown.
	KindUnusable Kind = "log is unusable after a failed write"
	KindWrite    Kind = "cannot write log"
	KindRead     Kind = "cannot read log"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Content is what a log holds.
type Content struct {
	Hard    raft.HardState
	Entries []raft.Entry
	// TruncatedBytes is the number of bytes of an unfinished last record that were
	// dropped.
	TruncatedBytes int
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	// SegmentBytes is the size at which a new segment begins; it may be
	// changed before the first Append.
	SegmentBytes int64
	// WrittenBytes counts the bytes written since Open.
	WrittenBytes int64

	disk *disk.Disk
	// segments are the files, oldest first; the last one is written to.
	segments []segment
	file     *disk.File
	size     int64
	hard     raft.HardState
	last     mark
	broken   bool
}

// mark is the place of an entry.
type mark struct {
	Index uint64 `protobuf:"varint,1,opt"`
	Term  uint64 `protobuf:"varint,2,opt"`
}

// segment is one file.
type segment struct {
	number uint64
	// base is the last entry of the log when the file was begun.
	base mark
}

// record is the unit of writing.
type record struct {
	Hard    *raft.HardState `protobuf:"bytes,1,opt"`
	Entries []raft.Entry    `protobuf:"bytes,2,rep"`
	// Number and Base are set in the first record of a segment; Reset says
	// that Base is a snapshot's end and not the former segment's.
	Number uint64 `protobuf:"varint,3,opt"`
	Base   *mark  `protobuf:"bytes,4,opt"`
	Reset  bool   `protobuf:"varint,5,opt"`
}

func (s segment) name() string { return fmt.Sprintf("%016x.log", s.number) }

// Open reads the log behind a snapshot. An unfinished record at the very end
// is cut off; any other fault is KindDamage and names file and offset.
func Open(d *disk.Disk, snapshot raft.Snapshot) (*Log, Content, error) {
	l := &Log{SegmentBytes: DefaultSegmentBytes, disk: d}
	r := &reader{disk: d}
	if err := r.readAll(); err != nil {
		return nil, Content{}, err
	}
	l.segments, l.hard, l.last, l.size = r.segments, r.hard, r.last, r.size
	content := Content{Hard: r.hard, TruncatedBytes: r.cut}
	if len(r.segments) == 0 && snapshot.Index > 0 {
		return nil, Content{}, damage(segment{number: 1}.name(), 0, "there is a snapshot but no log, so the votes given are lost")
	}
	entries, usable := r.behind(snapshot)
	if !usable {
		if err := l.Reset(snapshot); err != nil {
			return nil, Content{}, err
		}
		return l, content, nil
	}
	content.Entries = entries
	file, err := d.Open(l.segments[len(l.segments)-1].name())
	if err != nil {
		return nil, Content{}, &Error{Op: "open segment", Kind: KindRead, Err: err}
	}
	l.file = file
	return l, content, nil
}

// Append writes a change of the hard state, nil for none, and entries, and
// returns once they are synced. An entry whose index is not above the log's
// last one replaces the log from there on.
func (l *Log) Append(hard *raft.HardState, entries []raft.Entry) error {
	if l.broken {
		return &Error{Op: "append", Kind: KindUnusable}
	}
	if l.size >= l.SegmentBytes {
		if err := l.begin(l.last, false); err != nil {
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
		l.last = mark{Index: newest.Index, Term: newest.Term}
	}
	return nil
}

// Reset empties the log; it goes on behind the snapshot, which must be synced
// already.
func (l *Log) Reset(snapshot raft.Snapshot) error {
	if l.broken {
		return &Error{Op: "reset", Kind: KindUnusable}
	}
	l.last = mark{Index: snapshot.Index, Term: snapshot.Term}
	if err := l.begin(l.last, true); err != nil {
		return err
	}
	return l.remove(len(l.segments) - 1)
}

// Compact removes the files that hold nothing behind index, which a synced
// snapshot must contain, and begins a new file, so that the next Compact can
// remove the present one.
func (l *Log) Compact(index uint64) error {
	if l.broken {
		return &Error{Op: "compact", Kind: KindUnusable}
	}
	if l.last.Index > l.segments[len(l.segments)-1].base.Index {
		if err := l.begin(l.last, false); err != nil {
			return err
		}
	}
	unused := 0
	for unused+1 < len(l.segments) && l.segments[unused+1].base.Index <= index {
		unused++
	}
	return l.remove(unused)
}

// Close closes the file.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

// begin starts a new segment. Its name and first record are synced before it
// is used, and everything in the former one was.
func (l *Log) begin(base mark, reset bool) error {
	next := segment{number: 1, base: base}
	if len(l.segments) > 0 {
		next.number = l.segments[len(l.segments)-1].number + 1
	}
	file, err := l.disk.Create(next.name())
	if err != nil {
		return l.fail("create segment", err)
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
		return l.fail("sync folder", err)
	}
	return nil
}

// remove removes the oldest segments, oldest first, so that what a crash
// leaves is still consecutive.
func (l *Log) remove(count int) error {
	for range count {
		if err := l.disk.Remove(l.segments[0].name()); err != nil {
			return l.fail("remove segment", err)
		}
		l.segments = l.segments[1:]
		if err := l.disk.Sync(); err != nil {
			return l.fail("sync folder", err)
		}
	}
	return nil
}

func (l *Log) write(r *record) error {
	body, err := codec.Encode(r)
	if err != nil {
		return l.fail("encode record", err)
	}
	framed := frame(body)
	if err := l.file.Write(framed); err != nil {
		return l.fail("write record", err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync record", err)
	}
	l.size += int64(len(framed))
	l.WrittenBytes += int64(len(framed))
	return nil
}

// fail makes the log unusable: after a failed sync nobody knows what a later
// sync would promise.
func (l *Log) fail(op string, err error) error {
	l.broken = true
	return &Error{Op: op, Kind: KindWrite, Err: err}
}
