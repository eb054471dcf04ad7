// Package httpc is an HTTP/1.1 client with persistent connections, for callers
// that must know whether a request may have reached the server.
//
// The client of net/http does not report whether any part of a request was sent.
// It also cannot match answers to requests when a server sends a late or an
// additional answer on a connection.
package httpc

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/head"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindDial means that no connection was established; nothing was sent.
	KindDial Kind = "cannot connect"
	// KindBroken means that the connection failed after the request, or a part
	// of it, was sent; the server may have received it.
	KindBroken Kind = "connection broke"
	// KindAnswer means that the server sent no usable answer to the request but
	// only answers to other requests, or an answer that is malformed or too large. It
	// may have received the request.
	KindAnswer Kind = "not an answer to the request"
	// KindCancelled means that the caller's context ended; the server may have
	// received the request.
	KindCancelled Kind = "cancelled"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// readBuffer is the size of a connection's read buffer, in bytes. It fits a
	// header and a few events of a stream.
	readBuffer = 4 << 10
	// defaultIdleTimeout is used when Client.IdleTimeout is zero.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the keep-alive timeout that a server
	// announces, so that no request is sent while the server closes the connection.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerAddress is the maximum number of idle connections to one address.
	maxIdlePerAddress = 16
	// maxHeaderBytes limits what is read, in bytes, until the answer's header is
	// complete, informational responses included.
	maxHeaderBytes = 64 << 10
	// maxStrayAnswers is how many answers to other requests are skipped before
	// the connection is closed.
	maxStrayAnswers = 2
	// maxStrayBody limits the body of an answer that is skipped, in bytes.
	maxStrayBody = 64 << 10
	// asyncBodySize is the size in bytes from which a request is written
	// concurrently with reading its answer, because the server may answer before
	// it has read the whole body.
	asyncBodySize = 4 << 10
)

// Client sends requests to any number of addresses and reuses the connections.
// Its exported fields are set before use; it is safe for concurrent use.
type Client struct {
	// Dial connects to IP:port.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// IdleTimeout is how long an idle connection may be reused, unless the server
	// announces a shorter time; zero means four seconds.
	IdleTimeout time.Duration
	// DialTimeout bounds one attempt to connect; with zero, only ctx does.
	DialTimeout time.Duration

	mutex sync.Mutex
	idle  map[string][]*persistConn
}

// persistConn is one persistent connection.
type persistConn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// readingHeader limits reads to headerBytesLeft and keeps what was read in received.
	readingHeader   bool
	headerBytesLeft int
	received        []byte
	// reusableUntil is the time from which an idle connection is not reused.
	reusableUntil time.Time
	// used reports whether a request was sent on the connection.
	used bool
}

// Read reads from the connection. While a header is read, it fails beyond
// maxHeaderBytes.
func (pc *persistConn) Read(b []byte) (int, error) {
	if !pc.readingHeader {
		return pc.Conn.Read(b)
	}
	if pc.headerBytesLeft == 0 {
		return 0, &Error{Op: "read header", Kind: KindAnswer}
	}
	n, err := pc.Conn.Read(b[:min(len(b), pc.headerBytesLeft)])
	pc.headerBytesLeft -= n
	pc.received = append(pc.received, b[:n]...)
	return n, err
}

// abort resets the connection, which discards unsent bytes: a request that is
// delayed by a network partition must not arrive after the caller gave up.
func (pc *persistConn) abort() { Reset(pc.Conn) }

// Reset closes a connection with a reset, which discards unsent bytes and tells the
// peer that the exchange is incomplete.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// If this fails, Close still sends the pending bytes; there is no better way.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// endsWithConnection reports whether the end of the connection is the only mark of the
// end of a response's body, because the body has neither a length nor chunks.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// Answer is the server's response to a request. Its Body must be read to the end
// or closed.
type Answer struct {
	*http.Response
	client *Client
	conn   *persistConn
	upload *upload
	stop   func() bool
	ended  bool
	// Reused reports whether the connection had carried another request before.
	Reused bool
	// EndsWithConnection reports that the end of the connection is the only mark of the
	// end of the body.
	EndsWithConnection bool
}

// Do sends a request and returns its answer once the header has been read. With
// fresh, it opens a new connection. The function matches reports whether an answer
// belongs to the request; others are skipped, and nil accepts every answer. Do
// closes the request's Body. The connection is reset when ctx ends before the
// answer's body has been read. The GotConn hook of an httptrace.ClientTrace in ctx is called.
func (c *Client) Do(ctx context.Context, address string, request *http.Request, fresh bool, matches func(*http.Response) bool) (*Answer, error) {
	pc, err := c.acquire(ctx, address, fresh)
	if err != nil {
		return nil, &Error{Op: "connect to " + address, Kind: KindDial, Err: err}
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: pc.Conn, Reused: pc.used})
	}
	answer := &Answer{client: c, conn: pc, Reused: pc.used}
	pc.used = true
	answer.stop = context.AfterFunc(ctx, pc.abort)
	answer.upload, err = send(pc, request)
	if err == nil {
		answer.Response, err = receive(pc, request, matches)
	}
	if err != nil {
		answer.discard()
		return nil, answer.wrapError(ctx, address, err)
	}
	answer.EndsWithConnection = endsWithConnection(answer.Response)
	answer.Response.Body = &answerBody{answer: answer, inner: answer.Response.Body, ctx: ctx}
	return answer, nil
}

func (a *Answer) wrapError(ctx context.Context, address string, err error) error {
	if ctx.Err() != nil {
		return &Error{Op: "exchange with " + address, Kind: KindCancelled, Err: ctx.Err()}
	}
	var known *Error
	if errors.As(err, &known) {
		return err
	}
	return &Error{Op: "exchange with " + address, Kind: KindBroken, Err: err}
}

// receive reads the header of the answer. It skips informational responses and
// answers to other requests.
func receive(pc *persistConn, request *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	pc.headerBytesLeft = maxHeaderBytes
	for strays := 0; ; {
		response, err := pc.readHead(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if matches == nil || matches(response) {
			return response, nil
		}
		strays++
		read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBody))
		if err != nil || read == maxStrayBody || response.Close || strays > maxStrayAnswers {
			return nil, &Error{Op: "receive", Kind: KindAnswer, Err: err}
		}
	}
}

// readHead reads and checks the head of one answer, which may be informational.
func (pc *persistConn) readHead(request *http.Request) (*http.Response, error) {
	// Peek does not fail for what is buffered.
	buffered, _ := pc.reader.Peek(pc.reader.Buffered())
	pc.received = append([]byte(nil), buffered...)
	pc.readingHeader = true
	response, err := http.ReadResponse(pc.reader, request)
	pc.readingHeader = false
	text := pc.received[:len(pc.received)-pc.reader.Buffered()]
	pc.received = nil
	if err != nil {
		return nil, err
	}
	if err := head.Check(response, text); err != nil {
		return nil, &Error{Op: "receive", Kind: KindAnswer, Err: err}
	}
	return response, nil
}

// answerBody is the body of an Answer; it releases or resets the connection when
// the body ends or is closed.
type answerBody struct {
	answer *Answer
	inner  io.ReadCloser
	ctx    context.Context
	// err is what Read has returned at the end of the body.
	err error
}

// Read reads the body; at its end, the connection becomes available for reuse.
func (b *answerBody) Read(data []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.inner.Read(data)
	if err != nil {
		b.err = b.end(err)
	}
	return n, b.err
}

// end ends the exchange after the inner body has returned err, and returns the error of Read.
func (b *answerBody) end(err error) error {
	complete := errors.Is(err, io.EOF)
	if complete && b.answer.EndsWithConnection {
		if broken := b.answer.upload.connectionError(); broken != nil {
			complete, err = false, broken
		}
	}
	if complete {
		b.answer.release()
		return err
	}
	b.answer.discard()
	return b.answer.wrapError(b.ctx, b.answer.conn.address, err)
}

// Close ends the exchange. If the body has not been read to its end, it resets the
// connection.
func (b *answerBody) Close() error {
	b.answer.discard()
	return nil
}

// discard ends the exchange and resets the connection.
func (a *Answer) discard() {
	if a.ended {
		return
	}
	a.ended = true
	a.stop()
	a.conn.abort()
}

// release ends the exchange and keeps the connection for reuse. It closes the
// connection instead if the context has ended, the request was not completely
// sent, either side asked for its end, the end of the answer is the end of the
// connection, or unread bytes remain.
func (a *Answer) release() {
	if a.ended {
		return
	}
	if !a.stop() || !a.upload.isComplete() || a.Request.Close || a.Close || a.EndsWithConnection || a.conn.reader.Buffered() > 0 {
		a.ended = true
		_ = a.conn.Close()
		return
	}
	a.ended = true
	a.client.putIdle(a.conn, a.Header.Get("Keep-Alive"))
}
