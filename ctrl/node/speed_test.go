package node_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/node"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
)

// startLoopbackGroup runs replicas over TCP and real files until stop is called,
// and returns the leader.
func startLoopbackGroup(b *testing.B, size int, every uint64, folders []string, sent *atomic.Int64) (leader *node.Node, stop func()) {
	var peers []node.Peer
	var listeners []net.Listener
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		listeners = append(listeners, listener)
		peers = append(peers, node.Peer{Name: fmt.Sprint("c", i+1), Address: listener.Addr().String()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	var nodes []*node.Node
	for i, peer := range peers {
		n := &node.Node{
			Host: host.Host{VM: peer.Name, Meter: meter.New(), Dial: vnet.CountBytes(sent, func(ctx context.Context, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			})},
			Name: peer.Name, Address: peer.Address, Peers: peers, DataDir: folders[i], SnapshotEntries: every,
			Apply:    func(node.Entry) []byte { return nil },
			Snapshot: func() ([]byte, error) { return make([]byte, 1<<20), nil },
			Restore:  func([]byte) error { return nil },
		}
		nodes = append(nodes, n)
		tasks.Go(func() { _ = link.Serve(ctx, listeners[i], n.Handlers()) })
		tasks.Go(func() { _ = n.Run(ctx) })
	}
	stop = func() {
		cancel()
		tasks.Wait()
	}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, n := range nodes {
			if n.Status().Leading {
				return n, stop
			}
		}
	}
	b.Fatal("no leader")
	return nil, stop
}

func tempDirs(b *testing.B, size int) []string {
	var dirs []string
	for range size {
		dirs = append(dirs, b.TempDir())
	}
	return dirs
}

// BenchmarkCommit measures a group of three replicas with a growing number of
// concurrent callers, each of which waits for its commits. The size of the sync
// batches follows from their number.
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			var sent atomic.Int64
			leader, stop := startLoopbackGroup(b, 3, 0, tempDirs(b, 3), &sent)
			defer stop()
			data := make([]byte, 200)
			_, err := leader.Propose(context.Background(), data)
			require.NoError(b, err)
			sent.Store(0)
			logged, synced := leader.Host.Meter.Value("log_bytes"), leader.Host.Meter.Value("log_syncs")
			b.ResetTimer()
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			var tasks conc.WaitGroup
			for range callers {
				tasks.Go(func() {
					for remaining.Add(-1) >= 0 {
						if _, err := leader.Propose(context.Background(), data); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			tasks.Wait()
			b.StopTimer()
			commits := float64(b.N)
			b.ReportMetric(commits/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(commits/float64(leader.Host.Meter.Value("log_syncs")-synced), "commits/sync")
			b.ReportMetric(float64(leader.Host.Meter.Value("log_bytes")-logged)/commits, "disk-bytes/commit")
			b.ReportMetric(float64(sent.Load())/commits, "net-bytes/commit")
		})
	}
}

// BenchmarkRecover measures the time from the start of a single replica to its
// first completed barrier, with a log of some length and no snapshot.
func BenchmarkRecover(b *testing.B) {
	for _, length := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", length), func(b *testing.B) {
			var sent atomic.Int64
			dirs := tempDirs(b, 1)
			leader, stop := startLoopbackGroup(b, 1, 1<<40, dirs, &sent)
			var tasks conc.WaitGroup
			for range 100 {
				tasks.Go(func() {
					for range length / 100 {
						_, _ = leader.Propose(context.Background(), make([]byte, 100))
					}
				})
			}
			tasks.Wait()
			stop()
			for b.Loop() {
				leader, stop = startLoopbackGroup(b, 1, 1<<40, dirs, &sent)
				index, err := leader.Barrier(context.Background())
				require.NoError(b, err)
				require.Greater(b, index, uint64(length))
				b.StopTimer()
				stop()
				b.StartTimer()
			}
		})
	}
}
