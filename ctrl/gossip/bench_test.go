package gossip_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/locate"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
)

// BenchmarkExchange measures one exchange with one seed over loopback, both ends together.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	var far, near locate.Directory
	far.Learn(plane.ReplicaList{Addresses: []string{"10.1.0.25:7600", "10.2.0.17:7600", "10.3.0.14:7600"}, Index: 1000})
	go func() {
		_ = link.Serve(b.Context(), listener, map[string]link.Handler{plane.MethodLocate: far.Serve(nil)})
	}()
	var bytes atomic.Int64
	dial := vnet.CountBytes(&bytes, func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
	for b.Loop() {
		session, err := link.Dial(b.Context(), dial, listener.Addr().String())
		require.NoError(b, err)
		_, err = near.Exchange(b.Context(), session)
		require.NoError(b, err)
		_ = session.Close()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "net-B/op")
}
