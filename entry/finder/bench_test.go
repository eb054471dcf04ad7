package finder_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/finder"
	"github.com/tanagerspindle/tanagerspindle/entry/pool"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
)

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkOrigins measures recording the origin of a stream at two agents, and finding one
// at four, over loopback connections; the processor time is that of both ends.
func BenchmarkOrigins(b *testing.B) {
	var bytes atomic.Int64
	var addresses []string
	for range 12 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		store := &origin.Store{}
		go func() { _ = link.Serve(b.Context(), listener, store.Handlers()) }()
		addresses = append(addresses, listener.Addr().String())
	}
	newEntry := func() *finder.Finder {
		agents := &pool.Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return countedConn{conn, &bytes}, err
		}}
		return &finder.Finder{Host: host.Host{Meter: meter.New()}, Agents: agents, Addresses: func() []string { return addresses }}
	}
	first, second := newEntry(), newEntry()
	named := func(i int) origin.Record {
		return origin.Record{
			Attempt: fmt.Sprintf("%016x", i), Service: "recon-models", SoftwareVersion: "v1.1", Known: true, Endpoint: "i-fac6dab7dc", StartedMillis: 1_790_000_000_000,
		}
	}
	b.Run("record", func(b *testing.B) {
		for i := range b.N {
			first.Record(named(i))
			first.Wait()
		}
		b.ReportMetric(float64(bytes.Swap(0))/float64(b.N), "wire-B/op")
	})
	b.Run("find", func(b *testing.B) {
		for i := range b.N {
			second.Find(b.Context(), named(i).Attempt)
		}
		b.ReportMetric(float64(bytes.Swap(0))/float64(b.N), "wire-B/op")
	})
}

// BenchmarkPass measures the choice of agents in one pass over held records at target size: 435
// streams within the time that records are held, and 600 agents.
func BenchmarkPass(b *testing.B) {
	var addresses []string
	for i := range 600 {
		addresses = append(addresses, fmt.Sprintf("10.1.%d.%d:27601", i/250, i%250))
	}
	for range b.N {
		for i := range 435 {
			finder.Choose(fmt.Sprintf("%016x", i), addresses)
		}
	}
}
