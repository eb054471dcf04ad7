package wlog_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/ctrl/wlog"
)

// dataBytes is the size of a typical command, such as a claim.
const dataBytes = 200

func entries(first uint64, count int) []raft.Entry {
	made := make([]raft.Entry, count)
	for i := range made {
		made[i] = raft.Entry{
			Index: first + uint64(i), Term: 3, Time: 1_800_000_000_000_000_000,
			Kind: raft.EntryCommand, Data: make([]byte, dataBytes),
		}
	}
	return made
}

// BenchmarkAppend writes batches of commands to a file system and syncs each.
func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			d, err := disk.Open(b.TempDir())
			require.NoError(b, err)
			log, _, err := wlog.Open(d, raft.Snapshot{})
			require.NoError(b, err)
			next := uint64(1)
			for b.Loop() {
				require.NoError(b, log.Append(nil, entries(next, size)))
				next += uint64(size)
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(log.WrittenBytes)/float64(next-1), "bytes/commit")
		})
	}
}

// BenchmarkOpen reads logs of several lengths.
func BenchmarkOpen(b *testing.B) {
	for _, length := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", length), func(b *testing.B) {
			d, err := disk.Open(b.TempDir())
			require.NoError(b, err)
			log, _, err := wlog.Open(d, raft.Snapshot{})
			require.NoError(b, err)
			const batch = 100
			for first := 1; first <= length; first += batch {
				require.NoError(b, log.Append(nil, entries(uint64(first), batch)))
			}
			for b.Loop() {
				opened, content, err := wlog.Open(d, raft.Snapshot{})
				require.NoError(b, err)
				require.Len(b, content.Entries, length)
				require.NoError(b, opened.Close())
			}
		})
	}
}
