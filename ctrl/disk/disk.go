// Package disk is the file access of a replica's data folder: a flat set of files that
// survive a crash only once they are synced. Tests use an in-memory folder that drops
// unsynced data in a simulated crash.
package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
	// lockName is the file whose lock keeps other processes out of the folder.
	lockName = "lock"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindFolder  Kind = "cannot use the data folder"
	KindInUse   Kind = "another process uses the data folder"
	KindMissing Kind = "no such file"
	KindCrashed Kind = "the in-memory folder has crashed since it was opened"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Disk is a folder without subfolders. Its fields must not change after it was
// created.
type Disk struct {
	// List returns the file names in ascending order.
	List func() ([]string, error)
	// Read returns the content of a file.
	Read func(name string) ([]byte, error)
	// Create makes an empty file; Open opens an existing file for appending.
	Create func(name string) (*File, error)
	Open   func(name string) (*File, error)
	// Truncate shortens a file and syncs it.
	Truncate func(name string, size int64) error
	Rename   func(from, to string) error
	Remove   func(name string) error
	// Sync makes creations, renames and removals durable.
	Sync func() error
	// Close unlocks the folder for other processes.
	Close func() error
}

// File is a file opened for appending.
type File struct {
	Write func(data []byte) error
	// Sync makes all written data durable.
	Sync  func() error
	Close func() error
}

// Open locks a folder of the file system for this process. A missing folder is
// created. The folder's own directory entry is durable once Open returns.
func Open(folder string) (*Disk, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, &Error{Op: "create folder", Kind: KindFolder, Err: err}
	}
	if err := osDirectories.create(folder); err != nil {
		return nil, &Error{Op: "create folder", Kind: KindFolder, Err: err}
	}
	lock, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, &Error{Op: "lock folder", Kind: KindFolder, Err: err}
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, &Error{Op: "lock " + folder, Kind: KindInUse, Err: err}
	}
	return &Disk{
		List:     func() ([]string, error) { return list(folder) },
		Read:     func(name string) ([]byte, error) { return os.ReadFile(filepath.Join(folder, name)) },
		Create:   func(name string) (*File, error) { return open(filepath.Join(folder, name), os.O_CREATE|os.O_TRUNC) },
		Open:     func(name string) (*File, error) { return open(filepath.Join(folder, name), os.O_APPEND) },
		Truncate: func(name string, size int64) error { return truncate(filepath.Join(folder, name), size) },
		Rename: func(from, to string) error {
			return os.Rename(filepath.Join(folder, from), filepath.Join(folder, to))
		},
		Remove: func(name string) error { return os.Remove(filepath.Join(folder, name)) },
		Sync:   func() error { return syncFolder(folder) },
		Close:  lock.Close,
	}, nil
}

func list(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("list folder: %w", err)
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() && entry.Name() != lockName {
			names = append(names, entry.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

func open(path string, flags int) (*File, error) {
	file, err := os.OpenFile(path, flags|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open file: %w", err)
	}
	return &File{
		Write: func(data []byte) error {
			_, err := file.Write(data)
			return err
		},
		Sync:  file.Sync,
		Close: file.Close,
	}, nil
}

func truncate(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("open file: %w", err)
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return fmt.Errorf("truncate file: %w", err)
	}
	return file.Sync()
}

func syncFolder(folder string) error {
	dir, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}

// Replace writes a complete file atomically: after a crash the file has either the old
// or the new content. It writes and syncs a temporary file, renames it and syncs the
// folder.
func (d *Disk) Replace(name string, data []byte) error {
	temporary := name + ".tmp"
	file, err := d.Create(temporary)
	if err != nil {
		return err
	}
	err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	if err := d.Rename(temporary, name); err != nil {
		return fmt.Errorf("rename %s: %w", temporary, err)
	}
	return d.Sync()
}
