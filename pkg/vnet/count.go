package vnet

import (
	"context"
	"net"
	"sync/atomic"
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

// CountBytes wraps a dial function so that its connections add the bytes that they carry, in both
// directions, to a counter. The connections need not be of a Network.
func CountBytes(bytes *atomic.Int64, dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, bytes}, nil
	}
}
