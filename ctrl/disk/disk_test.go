package disk_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
)

func TestFolderIsLockedAndKeepsWrittenFiles(t *testing.T) {
	folder := t.TempDir()
	d, err := disk.Open(folder)
	require.NoError(t, err)
	_, err = disk.Open(folder)
	require.ErrorIs(t, err, &disk.Error{Kind: disk.KindInUse})

	file, err := d.Create("a")
	require.NoError(t, err)
	require.NoError(t, file.Write([]byte("one")))
	require.NoError(t, file.Sync())
	require.NoError(t, file.Close())
	require.NoError(t, d.Truncate("a", 2))
	file, err = d.Open("a")
	require.NoError(t, err)
	require.NoError(t, file.Write([]byte("wo")))
	require.NoError(t, file.Close())
	require.NoError(t, d.Replace("b", []byte("two")))
	require.NoError(t, d.Replace("b", []byte("three")))
	require.NoError(t, d.Close())

	d, err = disk.Open(folder)
	require.NoError(t, err)
	names, err := d.List()
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, names)
	for name, want := range map[string]string{"a": "onwo", "b": "three"} {
		data, err := d.Read(name)
		require.NoError(t, err)
		require.Equal(t, want, string(data))
	}
	require.NoError(t, d.Close())
}
