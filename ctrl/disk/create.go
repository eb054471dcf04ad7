package disk

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// directories are the operations of a file system with which a folder is created.
type directories struct {
	exists func(path string) (bool, error)
	make   func(path string) error
	// sync makes the entries of a directory durable.
	sync func(path string) error
}

var osDirectories = directories{
	exists: func(path string) (bool, error) {
		_, err := os.Stat(path)
		if errors.Is(err, fs.ErrNotExist) {
			return false, nil
		}
		return err == nil, err
	},
	make: func(path string) error { return os.Mkdir(path, folderMode) },
	sync: syncFolder,
}

// create creates a folder and its missing parents. The entry of each directory is
// durable before anything is created in the directory. A directory that exists may have
// been created by a process that was killed before it synced the entry; therefore the
// entry of the deepest existing one is synced too.
func (d directories) create(folder string) error {
	parent := filepath.Dir(folder)
	exists, err := d.exists(folder)
	switch {
	case err != nil:
		return err
	case exists && parent == folder:
		return nil
	case exists:
		return d.syncExisting(parent)
	}
	if err := d.create(parent); err != nil {
		return err
	}
	if err := d.make(folder); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return d.sync(parent)
}

// syncExisting makes an existing entry of a directory durable. A directory that this
// process cannot open or sync, for example one of another user or another file system, is
// not one that it creates folders in: create syncs after each creation. Only a sync that
// failed to store the entry is an error.
func (d directories) syncExisting(parent string) error {
	err := d.sync(parent)
	for _, failed := range []error{syscall.EIO, syscall.ENOSPC, syscall.EDQUOT} {
		if errors.Is(err, failed) {
			return err
		}
	}
	return nil
}
