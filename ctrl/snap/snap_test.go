package snap_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/ctrl/snap"
)

func TestNewestSnapshotLastsAndTwoAreKept(t *testing.T) {
	memory := &disk.Memory{}
	store := &snap.Store{Disk: memory.Disk()}
	saved, err := store.Load()
	require.NoError(t, err)
	require.Nil(t, saved)
	for index := range uint64(4) {
		at := raft.Snapshot{Index: index + 9, Term: 2, Time: 3, Members: []raft.Member{{ID: 1, Name: "a", Voter: true}}}
		require.NoError(t, store.Save(at, []byte{byte(index)}))
		memory.Crash()
		store = &snap.Store{Disk: memory.Disk()}
		saved, err = store.Load()
		require.NoError(t, err)
		require.Equal(t, &snap.Saved{Snapshot: at, Data: []byte{byte(index)}}, saved)
	}
	names, err := memory.Disk().List()
	require.NoError(t, err)
	require.Equal(t, []string{"000000000000000b.snap", "000000000000000c.snap"}, names)
}

func TestCrashWhileSavingKeepsTheFormerSnapshot(t *testing.T) {
	for at := range 2 {
		memory := &disk.Memory{KeepUnsynced: func(n int) int { return n / 2 }}
		store := &snap.Store{Disk: memory.Disk()}
		require.NoError(t, store.Save(raft.Snapshot{Index: 1, Term: 1}, []byte("one")))
		syncs := 0
		memory.CrashBeforeSync = func() bool {
			syncs++
			return syncs == at+1
		}
		require.ErrorIs(t, store.Save(raft.Snapshot{Index: 2, Term: 1}, []byte("two")), &snap.Error{Kind: snap.KindWrite})
		saved, err := (&snap.Store{Disk: memory.Disk()}).Load()
		require.NoError(t, err)
		require.Equal(t, "one", string(saved.Data))
	}
}

func TestDamagedSnapshotIsRefusedAtEveryByte(t *testing.T) {
	memory := &disk.Memory{}
	store := &snap.Store{Disk: memory.Disk()}
	require.NoError(t, store.Save(raft.Snapshot{Index: 7, Term: 1}, []byte("state")))
	name := "0000000000000007.snap"
	whole, err := memory.Disk().Read(name)
	require.NoError(t, err)
	for at := range whole {
		memory.Modify(name, func([]byte) []byte {
			damaged := append([]byte(nil), whole...)
			damaged[at] ^= 4
			return damaged
		})
		_, err := store.Load()
		require.ErrorIs(t, err, &snap.Error{Kind: snap.KindDamaged}, "byte %d", at)
	}
}
