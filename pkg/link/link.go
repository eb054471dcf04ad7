// Package link multiplexes streams between two processes of the system over
// one connection, and closes the connection when the other end goes silent.
package link

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// PingInterval is the time between two pings of one end.
	PingInterval = time.Second
	// closeLimit is how long the multiplexer may take to notice that its
	// connection is closed; it is about to read from it.
	closeLimit = 250 * time.Millisecond
	// PingTimeout is how long a pong may take before the connection is
	// given up.
	PingTimeout = 3 * time.Second
	// streamWindow is the largest flow-control window of one stream, in
	// bytes.
	streamWindow = 512 << 10
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindDial         Kind = "cannot connect"
	KindOpen         Kind = "cannot open stream"
	KindUnresponsive Kind = "connection is silent"
	KindSession      Kind = "cannot start session"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Handler serves one incoming stream; the stream is closed when it returns.
type Handler func(ctx context.Context, stream *wire.Stream) error

// Session is one multiplexed connection. Both ends may open streams.
type Session struct {
	mux      *yamux.Session
	conn     net.Conn
	handlers map[string]Handler
	context  context.Context
	cancel   context.CancelFunc
}

// open is the first message of a stream.
type open struct {
	Method string `protobuf:"bytes,1,opt"`
}

// Client starts the session on the dialling end. The handlers serve streams
// that the other end opens, by method name; nil serves none.
func Client(conn net.Conn, handlers map[string]Handler) (*Session, error) {
	mux, err := yamux.Client(conn, config())
	return start(mux, conn, handlers, err)
}

// Server starts the session on the accepting end.
func Server(conn net.Conn, handlers map[string]Handler) (*Session, error) {
	mux, err := yamux.Server(conn, config())
	return start(mux, conn, handlers, err)
}

// Dial connects and starts a session on the dialling end.
func Dial(ctx context.Context, dial func(context.Context, string) (net.Conn, error), address string) (*Session, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, &Error{Op: "dial " + address, Kind: KindDial, Err: err}
	}
	return Client(conn, nil)
}

func start(mux *yamux.Session, conn net.Conn, handlers map[string]Handler, err error) (*Session, error) {
	if err != nil {
		return nil, &Error{Op: "start session", Kind: KindSession, Err: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Session{mux: mux, conn: conn, handlers: handlers, context: ctx, cancel: cancel}
	go s.accept()
	return s, nil
}

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = true
	c.KeepAliveInterval = PingInterval
	c.ConnectionWriteTimeout = PingTimeout
	c.MaxStreamWindowSize = streamWindow
	c.StreamOpenTimeout = PingTimeout
	c.StreamCloseTimeout = time.Minute
	c.LogOutput = io.Discard
	return c
}

func (s *Session) accept() {
	defer s.cancel()
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
	var first open
	if err := stream.Receive(&first); err != nil {
		return
	}
	handler, ok := s.handlers[first.Method]
	if !ok {
		return
	}
	_ = handler(s.context, stream)
}

// Open starts a stream for the named method. It does not wait for the other
// end; a silent connection shows at the first Receive.
func (s *Session) Open(method string) (*wire.Stream, error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, &Error{Op: "open " + method, Kind: KindOpen, Err: err}
	}
	stream := wire.New(conn)
	if err := stream.Send(&open{Method: method}); err != nil {
		_ = stream.Close()
		return nil, &Error{Op: "open " + method, Kind: KindOpen, Err: err}
	}
	return stream, nil
}

// Call sends one request and receives one reply on a stream of its own. The
// call ends when ctx does.
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

// Ping measures one round trip to the other process and fails when no pong
// arrives within PingTimeout.
func (s *Session) Ping() (time.Duration, error) {
	round, err := s.mux.Ping()
	if err != nil {
		return 0, &Error{Op: "ping", Kind: KindUnresponsive, Err: err}
	}
	return round, nil
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// RemoteAddr returns the address of the other end.
func (s *Session) RemoteAddr() net.Addr { return s.mux.RemoteAddr() }

// Close ends the session and every stream in it. The connection is closed
// first: the multiplexer then ends by itself, its streams with it. When it is
// closed itself, its readers spin until it has closed the connection, and on
// one core they may keep it from that.
func (s *Session) Close() error {
	s.cancel()
	err := s.conn.Close()
	timer := time.NewTimer(closeLimit)
	defer timer.Stop()
	select {
	case <-s.mux.CloseChan():
		return err
	case <-timer.C:
		return s.mux.Close()
	}
}
