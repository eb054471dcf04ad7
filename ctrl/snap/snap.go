// Package snap keeps snapshots of the replicated state as files.
package snap

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strings"
	"sync"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

const (
	suffix = ".snap"
	// temporary is what disk.Replace appends while it writes.
	temporary = ".tmp"
	// kept is how many snapshots stay.
	kept = 2
	// headerBytes holds the CRC-32C of the rest and the length of the
	// encoded raft.Snapshot.
	headerBytes = 8
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindDamaged Kind = "snapshot is damaged"
	KindRead    Kind = "cannot read snapshot"
	KindWrite   Kind = "cannot write snapshot"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Store holds the newest snapshots of one folder.
type Store struct {
	Disk *disk.Disk

	// mutex makes one Save at a time.
	mutex sync.Mutex
}

// Saved is a snapshot with the state it holds.
type Saved struct {
	raft.Snapshot
	Data []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func nameOf(index uint64) string { return fmt.Sprintf("%016x%s", index, suffix) }

// Save returns once the snapshot is synced, and removes all but the newest
// two.
func (s *Store) Save(snapshot raft.Snapshot, data []byte) error {
	meta, err := codec.Encode(&snapshot)
	if err != nil {
		return &Error{Op: "encode snapshot", Kind: KindWrite, Err: err}
	}
	content := make([]byte, headerBytes, headerBytes+len(meta)+len(data))
	binary.LittleEndian.PutUint32(content[4:], uint32(len(meta)))
	content = append(content, meta...)
	content = append(content, data...)
	binary.LittleEndian.PutUint32(content, crc32.Checksum(content[4:], castagnoli))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.Disk.Replace(nameOf(snapshot.Index), content); err != nil {
		return &Error{Op: "save snapshot", Kind: KindWrite, Err: err}
	}
	return s.prune()
}

// Load returns the newest snapshot, nil when there is none. The log that the
// newest one replaced may be gone, so a damaged one is not passed over.
func (s *Store) Load() (*Saved, error) {
	names, err := s.names()
	if err != nil || len(names) == 0 {
		return nil, err
	}
	name := names[len(names)-1]
	content, err := s.Disk.Read(name)
	if err != nil {
		return nil, &Error{Op: "read " + name, Kind: KindRead, Err: err}
	}
	if len(content) < headerBytes || binary.LittleEndian.Uint32(content) != crc32.Checksum(content[4:], castagnoli) {
		return nil, &Error{Op: "read " + name, Kind: KindDamaged}
	}
	size := int(binary.LittleEndian.Uint32(content[4:]))
	if size > len(content)-headerBytes {
		return nil, &Error{Op: "read " + name, Kind: KindDamaged}
	}
	saved := &Saved{Data: content[headerBytes+size:]}
	if err := codec.Decode(content[headerBytes:headerBytes+size], &saved.Snapshot); err != nil {
		return nil, &Error{Op: "read " + name, Kind: KindDamaged, Err: err}
	}
	return saved, nil
}

func (s *Store) names() ([]string, error) {
	all, err := s.Disk.List()
	if err != nil {
		return nil, &Error{Op: "list snapshots", Kind: KindRead, Err: err}
	}
	var names []string
	for _, name := range all {
		if strings.HasSuffix(name, suffix) {
			names = append(names, name)
		}
	}
	return names, nil
}

// prune removes old snapshots and what a crash left half written.
func (s *Store) prune() error {
	all, err := s.Disk.List()
	if err != nil {
		return &Error{Op: "list snapshots", Kind: KindRead, Err: err}
	}
	names, err := s.names()
	if err != nil {
		return err
	}
	unused := names[:max(len(names)-kept, 0)]
	for _, name := range all {
		if strings.HasSuffix(name, suffix+temporary) {
			unused = append(unused[:len(unused):len(unused)], name)
		}
	}
	for _, name := range unused {
		if err := s.Disk.Remove(name); err != nil {
			return &Error{Op: "remove " + name, Kind: KindWrite, Err: err}
		}
	}
	if len(unused) == 0 {
		return nil
	}
	if err := s.Disk.Sync(); err != nil {
		return &Error{Op: "sync folder", Kind: KindWrite, Err: err}
	}
	return nil
}
