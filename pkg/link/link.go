// Package link multiplexes streams between two processes of the system over
// one connection, and closes the connection when the peer stops responding.
package link

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// PingInterval is the time between two keep-alive pings sent by one end.
	PingInterval = time.Second
	// closeTimeout is how long Close waits for the multiplexer to end after its
	// connection was closed. Normally its pending read fails at once.
	closeTimeout = 250 * time.Millisecond
	// PingTimeout is how long a pong may take before the session is closed.
	// It also bounds writes to the connection and the opening of a stream.
	PingTimeout = 3 * time.Second
	// streamWindow is the maximum flow-control window of one stream, in bytes.
	streamWindow = 512 << 10
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindDial         Kind = "cannot connect"
	KindOpen         Kind = "cannot open stream"
	KindUnresponsive Kind = "connection is unresponsive"
	KindSession      Kind = "cannot start session"
	KindFrame        Kind = "frame is larger than a stream's window"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Handler serves one incoming stream; the stream is closed when it returns.
type Handler func(ctx context.Context, stream *wire.Stream) error

// Session is one multiplexed connection. Both ends may open streams.
type Session struct {
	mux      *yamux.Session
	conn     *muxConn
	handlers map[string]Handler
	context  context.Context
	cancel   context.CancelFunc
	// markActive runs once the peer has opened a stream for a known method, which exempts the
	// connection from giving way to others; see conns.Limiter.
	markActive sync.Once
}

// openRequest is the first message of a stream and selects its handler.
type openRequest struct {
	Method string `protobuf:"bytes,1,opt"`
}

// Client starts a session on the end that dialled. The handlers, by method
// name, serve the streams that the peer opens; with nil, such streams are
// closed.
func Client(conn net.Conn, handlers map[string]Handler) (*Session, error) {
	return newSession(yamux.Client, conn, handlers)
}

// Server starts a session on the end that accepted the connection.
func Server(conn net.Conn, handlers map[string]Handler) (*Session, error) {
	return newSession(yamux.Server, conn, handlers)
}

// Dial connects to address and starts a client session without handlers.
func Dial(ctx context.Context, dial func(context.Context, string) (net.Conn, error), address string) (*Session, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, &Error{Op: "dial " + address, Kind: KindDial, Err: err}
	}
	return Client(conn, nil)
}

// muxer starts one end of a multiplexer on a connection.
type muxer func(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error)

func newSession(start muxer, conn net.Conn, handlers map[string]Handler) (*Session, error) {
	wrapped := newMuxConn(conn)
	mux, err := start(wrapped, muxConfig())
	if err != nil {
		return nil, &Error{Op: "start session", Kind: KindSession, Err: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Session{mux: mux, conn: wrapped, handlers: handlers, context: ctx, cancel: cancel}
	go s.accept()
	go s.keepAlive()
	return s, nil
}

// muxConfig turns off the time limits by which the multiplexer would shut itself
// down; keepAlive and Open have them, and end the session by Close.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = PingTimeout
	c.MaxStreamWindowSize = streamWindow
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = time.Minute
	c.LogOutput = io.Discard
	return c
}

// keepAlive pings the peer and closes the session when no pong arrives in time.
func (s *Session) keepAlive() {
	ticker := time.NewTicker(PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-ticker.C:
		}
		if _, err := s.mux.Ping(); err != nil {
			_ = s.Close()
			return
		}
	}
}

func (s *Session) accept() {
	defer s.cancel()
	defer close(s.conn.ended)
	for {
		conn, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		go s.serve(wire.New(conn))
	}
}

func (s *Session) serve(stream *wire.Stream) {
	defer func() { _ = stream.Close() }()
	var first openRequest
	if err := stream.Receive(&first); err != nil {
		return
	}
	handler, ok := s.handlers[first.Method]
	if !ok {
		return
	}
	s.markActive.Do(func() {
		if bounded, ok := s.conn.Conn.(interface{ MarkActive() }); ok {
			bounded.MarkActive()
		}
	})
	_ = handler(s.context, stream)
}

// Open starts a stream for the named method. It does not wait for the peer's
// confirmation; the session is closed when nothing is received within PingTimeout.
func (s *Session) Open(method string) (*wire.Stream, error) {
	opened := time.Now()
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, &Error{Op: "open " + method, Kind: KindOpen, Err: err}
	}
	time.AfterFunc(PingTimeout, func() {
		if !s.conn.receivedSince(opened) {
			_ = s.Close()
		}
	})
	stream := wire.New(conn)
	if err := stream.Send(&openRequest{Method: method}); err != nil {
		_ = stream.Close()
		return nil, &Error{Op: "open " + method, Kind: KindOpen, Err: err}
	}
	return stream, nil
}

// SessionEnded reports whether the session of a stream has ended. The streams of a lost
// session end like those that the peer has closed.
func SessionEnded(stream *wire.Stream) bool {
	conn, ok := stream.Conn().(*yamux.Stream)
	return ok && conn.Session().IsClosed()
}

// Call sends one request and receives one reply on a new stream. It fails when
// ctx ends first.
func (s *Session) Call(ctx context.Context, method string, request, reply any) error {
	stream, err := s.Open(method)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	release := stream.CloseOnDone(ctx)
	defer release()
	if err := stream.Send(request); err != nil {
		return err
	}
	return stream.Receive(reply)
}

// Ping measures one round trip to the peer and fails when no pong arrives
// within PingTimeout.
func (s *Session) Ping() (time.Duration, error) {
	roundTrip, err := s.mux.Ping()
	if err != nil {
		return 0, &Error{Op: "ping", Kind: KindUnresponsive, Err: err}
	}
	return roundTrip, nil
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// RemoteAddr returns the peer's address.
func (s *Session) RemoteAddr() net.Addr { return s.mux.RemoteAddr() }

// Close ends the session and all of its streams. It closes the connection
// first, which makes the multiplexer end its streams and itself. Closing the
// multiplexer directly makes its stream readers spin; see muxConn.
func (s *Session) Close() error {
	s.cancel()
	err := s.conn.Close()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-s.mux.CloseChan():
	case <-timer.C:
	}
	return err
}
