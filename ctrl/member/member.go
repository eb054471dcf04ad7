// Package member handles a replica's identity, its admission to the group and the
// replacement of a replica that lost its disk.
package member

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// fileName is the file that stores a replica's identity.
const fileName = "replica"

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindForeignFolder Kind = "the data folder belongs to a replica with another name"
	KindFolder        Kind = "cannot use the data folder"
	KindRequest       Kind = "invalid request to join"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Identity identifies a replica. It is stored in the data folder, so that a replica that
// lost its disk gets a new ID and cannot pass for the old one, whose votes and
// acknowledgements it no longer knows.
type Identity struct {
	ID   uint64 `protobuf:"varint,1,opt"`
	Name string `protobuf:"bytes,2,opt"`
	// Sum is the CRC-32 of ID and Name; it detects damage to the file.
	Sum uint32 `protobuf:"varint,3,opt"`
}

// sum returns the checksum of ID and name.
func (i *Identity) sum() uint32 {
	data := binary.LittleEndian.AppendUint64(nil, i.ID)
	return crc32.ChecksumIEEE(append(data, i.Name...))
}

// Check returns an error if a field is invalid. The error does not name the field.
func (i *Identity) Check() error {
	if i.ID == 0 || i.Name == "" || i.Sum != i.sum() {
		return &Error{Op: "check identity", Kind: KindFolder}
	}
	return nil
}

// Open returns the identity stored in a folder. For an empty folder it creates an ID
// with random and syncs the identity before anything else is written there. A nil
// random means the random generator of the system.
func Open(d *disk.Disk, name string, random func() uint64) (Identity, error) {
	if random == nil {
		random = systemRandom
	}
	data, err := d.Read(fileName)
	if errors.Is(err, fs.ErrNotExist) {
		return create(d, name, random)
	}
	if err != nil {
		return Identity{}, &Error{Op: "read identity", Kind: KindFolder, Err: err}
	}
	var identity Identity
	if err := codec.Decode(data, &identity); err != nil {
		return Identity{}, &Error{Op: "read identity", Kind: KindFolder, Err: err}
	}
	if identity.Name != name {
		return Identity{}, &Error{Op: "open folder of " + identity.Name, Kind: KindForeignFolder}
	}
	return identity, nil
}

// create makes a new identity in an empty folder.
func create(d *disk.Disk, name string, random func() uint64) (Identity, error) {
	files, err := d.List()
	if err != nil {
		return Identity{}, &Error{Op: "list folder", Kind: KindFolder, Err: err}
	}
	for _, file := range files {
		if file != fileName+".tmp" {
			return Identity{}, &Error{Op: "open folder with " + file + " but no identity", Kind: KindFolder}
		}
	}
	// The ID fits in an int64 and is not 0, which means that a replica has no ID.
	identity := Identity{ID: random()>>1 | 1, Name: name}
	identity.Sum = identity.sum()
	data, err := codec.Encode(&identity)
	if err != nil {
		return Identity{}, err
	}
	if err := d.Replace(fileName, data); err != nil {
		return Identity{}, &Error{Op: "write identity", Kind: KindFolder, Err: err}
	}
	return identity, nil
}

func systemRandom() uint64 {
	var data [8]byte
	_, _ = rand.Read(data[:])
	return binary.LittleEndian.Uint64(data[:])
}
