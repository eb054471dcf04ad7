// Package wire carries length-prefixed protobuf messages over one stream.
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

// MaxMessage is the largest message accepted, in bytes.
const MaxMessage = 16 << 20

// endDelay is how soon a Receive ends. It is not zero, because a timer that has
// expired before it is waited for can crash the runtime in a synctest bubble
// under the race detector.
const endDelay = time.Millisecond

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

// Stream sends and receives messages over one connection. One goroutine may
// receive while others send.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	write  sync.Mutex
}

// New returns a stream over conn.
func New(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReader(conn)}
}

// Send writes one message.
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
	s.write.Lock()
	defer s.write.Unlock()
	if _, err := s.conn.Write(frame); err != nil {
		return &Error{Op: "send", Kind: KindWrite, Err: err}
	}
	return nil
}

// Receive reads one message into a pointer to a struct and checks it. At the
// regular end of the stream the cause is io.EOF.
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

// CloseOnDone closes the stream when ctx ends; the returned function releases the
// binding.
func (s *Stream) CloseOnDone(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = s.Close() })
}

// SetDeadline bounds all reads and writes.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Conn returns what is below the stream; bytes already buffered stay in
// Reader.
func (s *Stream) Conn() net.Conn { return s.conn }

// Reader returns the buffered reading side, for copying raw bytes onward.
func (s *Stream) Reader() io.Reader { return s.reader }

// Close ends the stream in both directions, and a Receive under way with it:
// the multiplexer's own Close ends the sending direction only.
func (s *Stream) Close() error {
	s.AbortReceive()
	return s.conn.Close()
}

// AbortReceive makes a Receive under way, and each later one, fail within
// endDelay.
func (s *Stream) AbortReceive() {
	_ = s.conn.SetReadDeadline(time.Now().Add(endDelay))
}
