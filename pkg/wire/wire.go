// Package wire sends and receives length-prefixed protobuf messages over a
// connection.
package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// MaxMessage is the maximum size of a message, in bytes.
const MaxMessage = 16 << 20

// abortDelay is the read deadline that AbortReceive sets, relative to the current
// time. It is not zero, because a timer that has expired before it is waited for
// can crash the runtime in a synctest bubble under the race detector.
const abortDelay = time.Millisecond

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindSize  Kind = "message too large"
	KindRead  Kind = "cannot read"
	KindWrite Kind = "cannot write"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Stream sends and receives messages over one connection. Any number of goroutines
// may send, and one may receive at the same time.
type Stream struct {
	conn       net.Conn
	reader     *bufio.Reader
	writeMutex sync.Mutex
}

// New returns a stream over conn.
func New(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReader(conn)}
}

// Send writes one message. It is safe for concurrent use.
func (s *Stream) Send(message any) error {
	body, err := codec.Encode(message)
	if err != nil {
		return err
	}
	if len(body) > MaxMessage {
		return &Error{Op: "send", Kind: KindSize}
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(body)+binary.MaxVarintLen32), uint64(len(body)))
	frame = append(frame, body...)
	s.writeMutex.Lock()
	defer s.writeMutex.Unlock()
	if _, err := s.conn.Write(frame); err != nil {
		return &Error{Op: "send", Kind: KindWrite, Err: err}
	}
	return nil
}

// Receive reads one message into message, a pointer to a struct, and checks it.
// At the regular end of the stream, the error wraps io.EOF.
func (s *Stream) Receive(message any) error {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return &Error{Op: "receive", Kind: KindRead, Err: err}
	}
	if size > MaxMessage {
		return &Error{Op: "receive", Kind: KindSize}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return &Error{Op: "receive", Kind: KindRead, Err: err}
	}
	return codec.Decode(body, message)
}

// CloseOnDone closes the stream when ctx ends. The returned function unregisters
// this, like the stop function of context.AfterFunc.
func (s *Stream) CloseOnDone(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = s.Close() })
}

// SetDeadline sets the deadline of all reads and writes.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Conn returns the underlying connection. Bytes that the stream has already
// buffered can be read only from Reader.
func (s *Stream) Conn() net.Conn { return s.conn }

// Reader returns the buffered reader of the connection, for copying raw bytes.
func (s *Stream) Reader() io.Reader { return s.reader }

// Close ends the stream in both directions and aborts a blocked Receive; the
// multiplexer's Close ends the sending direction only.
func (s *Stream) Close() error {
	s.AbortReceive()
	return s.conn.Close()
}

// AbortReceive makes a blocked Receive, and each later one, fail within
// abortDelay.
func (s *Stream) AbortReceive() {
	_ = s.conn.SetReadDeadline(time.Now().Add(abortDelay))
}
