package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// The multiplexer's frame header: version, type, flags (2 bytes), stream, length.
const (
	headerSize   = 12
	typeOffset   = 1
	lengthOffset = 8
	// typeData is the type of frames that have a body, of the header's length.
	typeData = 0
	// maxKeptFrame is the size, in bytes, up to which a session keeps its frame
	// buffer for the next frame.
	maxKeptFrame = 16 << 10
)

// muxConn is the connection that a multiplexer reads and writes.
//
// The stream readers of a multiplexer spin from its shutdown until it has closed
// the connection, its reading goroutine has ended, and it has closed its streams;
// on a single core they can keep the goroutines that it waits for from running. A
// muxConn therefore has the multiplexer end only by a failed read, which it
// reports once the connection is closed, so that the shutdown waits for nothing.
//
// The multiplexer locks a stream while it reads the body of a frame. A muxConn
// therefore hands out a frame once it is complete: a receiver's deadline must not
// wait for a peer that sent half a frame.
type muxConn struct {
	net.Conn
	// ended is closed when the multiplexer has shut down.
	ended chan struct{}
	// lastRead is when bytes were last received, in nanoseconds since opened.
	lastRead atomic.Int64
	opened   time.Time

	// The multiplexer's reading goroutine owns the fields below.

	source *bufio.Reader
	// frame holds the current frame and unread the rest of it that Read has not
	// returned yet.
	frame, unread []byte
}

func newMuxConn(conn net.Conn) *muxConn {
	c := &muxConn{Conn: conn, ended: make(chan struct{}), opened: time.Now()}
	c.source = bufio.NewReader(receiver(c.receive))
	return c
}

// receiver is a function as an io.Reader.
type receiver func([]byte) (int, error)

// Read calls the function.
func (r receiver) Read(b []byte) (int, error) { return r(b) }

// receive reads from the connection and notes the time.
func (c *muxConn) receive(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.opened)))
	}
	return n, err
}

// Read reads from the current frame, and waits for the next one at its end. If that
// fails, it closes the connection, which waits for a write in progress.
func (c *muxConn) Read(b []byte) (int, error) {
	if len(c.unread) == 0 {
		if err := c.readFrame(); err != nil {
			_ = c.Conn.Close()
			return 0, err
		}
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *muxConn) readFrame() error {
	if cap(c.frame) < headerSize || cap(c.frame) > maxKeptFrame {
		c.frame = make([]byte, headerSize)
	}
	c.frame = c.frame[:headerSize]
	if _, err := io.ReadFull(c.source, c.frame); err != nil {
		return err
	}
	if c.frame[typeOffset] == typeData {
		size := binary.BigEndian.Uint32(c.frame[lengthOffset:])
		if size > streamWindow {
			return &Error{Op: "read frame", Kind: KindFrame}
		}
		c.frame = append(c.frame, make([]byte, size)...)
		if _, err := io.ReadFull(c.source, c.frame[headerSize:]); err != nil {
			return err
		}
	}
	c.unread = c.frame
	return nil
}

// Write writes to the connection. If that fails, it closes the connection and
// returns once the multiplexer has begun to end by its failed read.
func (c *muxConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err == nil {
		return n, nil
	}
	_ = c.Conn.Close()
	<-c.ended
	return n, err
}

// receivedSince reports whether bytes were received after t.
func (c *muxConn) receivedSince(t time.Time) bool {
	return time.Duration(c.lastRead.Load()) > t.Sub(c.opened)
}
