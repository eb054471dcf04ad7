// Package member decides who a replica is, how it enters the group and how
// it takes the place of one that lost its disk.
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

// fileName is the file that holds a replica's identity.
const fileName = "replica"

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindForeignFolder Kind = "the data folder belongs to another replica"
	KindFolder        Kind = "cannot use the data folder"
	KindRequest       Kind = "invalid request to join"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Identity says who a replica is. It is made with the data folder and lost
// with it: votes and acknowledgements are promises of this ID alone.
type Identity struct {
	ID   uint64 `protobuf:"varint,1,opt"`
	Name string `protobuf:"bytes,2,opt"`
	// Sum is the CRC-32 of ID and Name, kept in the file.
	Sum uint32 `protobuf:"varint,3,opt"`
}

func (i *Identity) sum() uint32 {
	data := binary.LittleEndian.AppendUint64(nil, i.ID)
	return crc32.ChecksumIEEE(append(data, i.Name...))
}

// Check reports the first invalid field.
func (i *Identity) Check() error {
	if i.ID == 0 || i.Name == "" || i.Sum != i.sum() {
		return &Error{Op: "check identity", Kind: KindFolder}
	}
	return nil
}

// Open returns the identity kept in a folder. A folder without one gets a
// new ID made from random, synced before anything else is written there; a
// nil random means the system's.
func Open(d *disk.Disk, name string, random func() uint64) (Identity, error) {
	if random == nil {
		random = system
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

func system() uint64 {
	var data [8]byte
	_, _ = rand.Read(data[:])
	return binary.LittleEndian.Uint64(data[:])
}
