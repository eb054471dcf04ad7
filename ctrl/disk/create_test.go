package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

var errKilled = errors.New("killed")

// requireFolderSurvives opens the folder, stores a file and cuts the power.
func requireFolderSurvives(t *testing.T, memory *Memory) {
	t.Helper()
	require.NoError(t, memory.Disk().Replace("a", []byte("one")))
	memory.Crash()
	data, err := memory.Disk().Read("a")
	require.NoError(t, err)
	require.Equal(t, "one", string(data))
}

// The files of a new folder are synced, and so are their entries in the folder. The
// folder's own entry in its parent was not, so all of them could be lost with power.
func TestNewFolderIsLostWithPower(t *testing.T) {
	requireFolderSurvives(t, &Memory{})
}

// A process is killed while it creates the folder, before or after any sync. The process
// after it finds directories whose entries may not be durable.
func TestFolderOfKilledProcessIsLostWithPower(t *testing.T) {
	for done := range 4 {
		t.Run(fmt.Sprint("killed after step ", done), func(t *testing.T) {
			memory, steps := &Memory{}, 0
			killed := memory.directories()
			create, sync := killed.make, killed.sync
			killed.make = func(path string) error {
				if steps++; steps > done {
					return errKilled
				}
				return create(path)
			}
			killed.sync = func(path string) error {
				if steps++; steps > done {
					return errKilled
				}
				return sync(path)
			}
			require.ErrorIs(t, killed.create(memoryPath), errKilled)
			requireFolderSurvives(t, memory)
		})
	}
}

// A folder was prepared in a directory that the process cannot sync. The process then
// refused to start. A sync that did not store the entry is still an error.
func TestPreparedFolderInForeignDirectoryIsRefused(t *testing.T) {
	for _, test := range []struct {
		failure error
		refused bool
	}{
		{syscall.EACCES, false},
		{syscall.EINVAL, false},
		{syscall.EROFS, false},
		{syscall.EIO, true},
		{syscall.ENOSPC, true},
	} {
		memory := &Memory{}
		memory.Disk()
		operations := memory.directories()
		operations.sync = func(string) error { return &fs.PathError{Op: "sync", Err: test.failure} }
		err := operations.create(memoryPath)
		require.Equal(t, test.refused, err != nil, "%v", test.failure)
	}
}

func TestMissingParentsAreCreated(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "a", "b", "c")
	for range 2 {
		d, err := Open(folder)
		require.NoError(t, err)
		require.NoError(t, d.Replace("a", []byte("one")))
		require.NoError(t, d.Close())
	}
}
