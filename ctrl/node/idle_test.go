package node_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countingConn counts the bytes in both directions of a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	c.bytes.Add(int64(len(data)))
	return c.Conn.Write(data)
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// countBytes wraps a dial function so that its connections count their bytes.
func countBytes(bytes *atomic.Int64, dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, bytes}, nil
	}
}

func TestIdleGroupSendsLittle(t *testing.T) {
	inBubble(t, 18, 3, func(g *group) {
		g.put("a", "1")
		time.Sleep(time.Second)
		before := g.sent.Load()
		const length = 60
		time.Sleep(length * time.Second)
		rate := (g.sent.Load() - before) / length
		// Three replicas form three pairs; both directions are counted.
		t.Logf("%d bytes per second in total, %d per pair", rate, rate/3)
		require.Less(t, rate/3, int64(4<<10))
	})
}
