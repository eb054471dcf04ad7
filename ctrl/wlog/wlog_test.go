package wlog_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/ctrl/wlog"
)

const firstFile = "0000000000000001.log"

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Time: 1, Kind: raft.EntryCommand, Data: fmt.Appendf(nil, "data %d", index)}
}

func open(t *testing.T, memory *disk.Memory) (*wlog.Log, wlog.Content) {
	t.Helper()
	log, content, err := wlog.Open(memory.Disk(), raft.Snapshot{})
	require.NoError(t, err)
	return log, content
}

// fill writes count records of one entry each and returns the file size after each
// record, starting with the segment's first record.
func fill(t *testing.T, memory *disk.Memory, count uint64) []int {
	t.Helper()
	log, _ := open(t, memory)
	sizes := []int{int(log.WrittenBytes)}
	for i := range count {
		require.NoError(t, log.Append(nil, []raft.Entry{entry(i+1, 1)}))
		sizes = append(sizes, int(log.WrittenBytes))
	}
	return sizes
}

func TestAppendIsSyncedOnceAndDurable(t *testing.T) {
	memory := &disk.Memory{}
	log, _ := open(t, memory)
	before := memory.Syncs
	hard := &raft.HardState{Term: 3, Vote: 9}
	require.NoError(t, log.Append(hard, []raft.Entry{entry(1, 2), entry(2, 3)}))
	require.Equal(t, 1, memory.Syncs-before)
	require.NoError(t, log.Append(nil, []raft.Entry{entry(2, 4), entry(3, 4)}))
	memory.Crash()

	_, content := open(t, memory)
	require.Equal(t, *hard, content.Hard)
	require.Equal(t, []raft.Entry{entry(1, 2), entry(2, 4), entry(3, 4)}, content.Entries)
}

func TestIncompleteTailIsTruncatedAtEveryByte(t *testing.T) {
	memory := &disk.Memory{}
	sizes := fill(t, memory, 3)
	original, err := memory.Disk().Read(firstFile)
	require.NoError(t, err)
	for size := sizes[2]; size < sizes[3]; size++ {
		for _, zeros := range []int{0, 5, sizes[3] - size} {
			memory.Modify(firstFile, func([]byte) []byte { return append(original[:size:size], make([]byte, zeros)...) })
			log, content := open(t, memory)
			require.Len(t, content.Entries, 2, "cut at %d, %d zeros", size, zeros)
			require.NoError(t, log.Append(nil, []raft.Entry{entry(3, 2)}))
			_, content = open(t, memory)
			require.Equal(t, entry(3, 2), content.Entries[2])
		}
	}
}

func TestDamageBeforeTheTailIsAnError(t *testing.T) {
	memory := &disk.Memory{}
	sizes := fill(t, memory, 3)
	original, err := memory.Disk().Read(firstFile)
	require.NoError(t, err)
	for at := range sizes[2] {
		memory.Modify(firstFile, func([]byte) []byte {
			damaged := append([]byte(nil), original...)
			damaged[at] ^= 0x10
			return damaged
		})
		_, _, err := wlog.Open(memory.Disk(), raft.Snapshot{})
		require.ErrorIs(t, err, &wlog.Error{Kind: wlog.KindDamaged}, "byte %d", at)
		record := 0
		for i, size := range sizes {
			if at >= size {
				record = sizes[i]
			}
		}
		require.ErrorContains(t, err, fmt.Sprintf("%s at offset %d", firstFile, record), "byte %d", at)
	}
}

func TestDamageInAnOlderSegmentIsAnError(t *testing.T) {
	memory := &disk.Memory{}
	log, _ := open(t, memory)
	log.SegmentBytes = 1
	for i := range uint64(3) {
		require.NoError(t, log.Append(nil, []raft.Entry{entry(i+1, 1)}))
	}
	second := "0000000000000003.log"
	original, err := memory.Disk().Read(second)
	require.NoError(t, err)
	memory.Modify(second, func(data []byte) []byte { return data[:len(data)-1] })
	_, _, err = wlog.Open(memory.Disk(), raft.Snapshot{})
	require.ErrorIs(t, err, &wlog.Error{Kind: wlog.KindDamaged})
	require.ErrorContains(t, err, second)

	memory.Modify(second, func([]byte) []byte { return original })
	require.NoError(t, memory.Disk().Remove(second))
	_, _, err = wlog.Open(memory.Disk(), raft.Snapshot{})
	require.ErrorIs(t, err, &wlog.Error{Kind: wlog.KindDamaged})
}

func TestCompactKeepsEntriesAfterTheSnapshot(t *testing.T) {
	memory := &disk.Memory{}
	fill(t, memory, 10)
	log, _ := open(t, memory)
	snapshot := raft.Snapshot{Index: 6, Term: 1}
	require.NoError(t, log.Compact(snapshot.Index))
	require.NoError(t, log.Append(nil, []raft.Entry{entry(11, 1)}))
	require.NoError(t, log.Compact(10))
	names, err := memory.Disk().List()
	require.NoError(t, err)
	require.NotContains(t, names, firstFile)

	_, content, err := wlog.Open(memory.Disk(), raft.Snapshot{Index: 10, Term: 1})
	require.NoError(t, err)
	require.Equal(t, []raft.Entry{entry(11, 1)}, content.Entries)
}

func TestFailedSyncMakesTheLogUnusable(t *testing.T) {
	memory := &disk.Memory{}
	log, _ := open(t, memory)
	memory.CrashBeforeSync = func() bool { return true }
	require.ErrorIs(t, log.Append(nil, []raft.Entry{entry(1, 1)}), &wlog.Error{Kind: wlog.KindWrite})
	memory.CrashBeforeSync = nil
	require.ErrorIs(t, log.Append(nil, []raft.Entry{entry(1, 1)}), &wlog.Error{Kind: wlog.KindUnusable})
}

func TestSnapshotWithoutLogIsAnError(t *testing.T) {
	_, _, err := wlog.Open((&disk.Memory{}).Disk(), raft.Snapshot{Index: 4, Term: 1})
	require.ErrorIs(t, err, &wlog.Error{Kind: wlog.KindDamaged})
}

// A process is killed between the write of a record and its sync, or the sync fails.
// The next process reads the record from the page cache and counts it as stored, so it
// must still be there after a loss of power.
func TestRecordsReadAtOpeningSurviveALossOfPower(t *testing.T) {
	entries := func(count uint64) (all []raft.Entry) {
		for i := range count {
			all = append(all, entry(i+1, 1))
		}
		return all
	}
	for name, interrupt := range map[string]func(memory *disk.Memory){
		"killed":      func(memory *disk.Memory) { memory.CrashBeforeSync = func() bool { memory.Kill(); return false } },
		"failed sync": func(memory *disk.Memory) { memory.FailSync = func() bool { return true } },
	} {
		for _, newSegment := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", new segment ", newSegment), func(t *testing.T) {
				memory := &disk.Memory{}
				fill(t, memory, 3)
				log, _ := open(t, memory)
				if newSegment {
					log.SegmentBytes = 1
				}
				interrupt(memory)
				require.Error(t, log.Append(&raft.HardState{Term: 1, Vote: 5}, entries(4)[3:]))
				memory.CrashBeforeSync, memory.FailSync = nil, nil
				_, read := open(t, memory)
				require.GreaterOrEqual(t, len(read.Entries), 3)
				memory.Crash()
				_, stored := open(t, memory)
				require.Equal(t, read.Hard, stored.Hard)
				require.Equal(t, read.Entries, stored.Entries)
			})
		}
	}
}

// The name of a new segment is not synced when its process is killed. The next process
// appends to the segment, which must not vanish with the power.
func TestSegmentOfAKilledProcessSurvivesALossOfPower(t *testing.T) {
	memory := &disk.Memory{}
	fill(t, memory, 3)
	log, _ := open(t, memory)
	syncs := 0
	memory.CrashBeforeSync = func() bool {
		syncs++
		if syncs == 2 {
			memory.Kill()
		}
		return false
	}
	require.Error(t, log.Compact(2))
	memory.CrashBeforeSync = nil
	log, _ = open(t, memory)
	require.NoError(t, log.Append(nil, []raft.Entry{entry(4, 1)}))
	memory.Crash()
	_, content := open(t, memory)
	require.Len(t, content.Entries, 4)
}
