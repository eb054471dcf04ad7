// Package httpc exchanges HTTP/1.1 requests over kept connections, for callers
// that must know whether a request may have reached the other end.
//
// The standard client hides what matters here: whether anything was sent, and
// to which request an answer belongs when a peer answers late or twice on one
// connection.
package httpc

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindDial says that no connection could be made; nothing was sent.
	KindDial Kind = "cannot connect"
	// KindBroken says that the connection failed after the request, or a part
	// of it, was sent; it may have been received.
	KindBroken Kind = "connection broke"
	// KindAnswer says that what came is no answer to the request, which may
	// have been received.
	KindAnswer Kind = "not an answer to the request"
	// KindCancelled says that the caller gave up; the request may have been
	// received.
	KindCancelled Kind = "cancelled"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// readBuffer is the size of a connection's buffer, in bytes: a header and
	// a few events of a stream.
	readBuffer = 4 << 10
	// defaultIdle is how long a connection is kept when neither the client's
	// settings nor the other end name a time.
	defaultIdle = 4 * time.Second
	// idleMargin is how much sooner than the other end says it closes an idle
	// connection it is not used any more.
	idleMargin = 500 * time.Millisecond
	// mostIdle is how many idle connections to one address are kept.
	mostIdle = 16
	// mostStrays is how many answers to other requests are read past before
	// the connection is given up.
	mostStrays = 2
	// mostStray is the largest body of such an answer that is read, in bytes.
	mostStray = 64 << 10
	// longBody is the size in bytes from which a body is sent beside reading,
	// because the other end may answer before it has read it.
	longBody = 4 << 10
)

// Client keeps connections to any number of addresses. Its exported fields
// are set before use; it is safe for concurrent use.
type Client struct {
	// Dial connects to IP:port.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// IdleTimeout is how long a connection is kept without a request; zero means
	// four seconds.
	IdleTimeout time.Duration
	// DialTimeout bounds one attempt to connect; zero leaves it to ctx.
	DialTimeout time.Duration

	mutex sync.Mutex
	idle  map[string][]*conn
}

// conn is one connection.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// until is when an idle connection is no longer used.
	until time.Time
	used  bool
}

// abort closes the connection and drops what is still on its way: a request
// that a partition holds up must not arrive after it was given up.
func (k *conn) abort() {
	if tcp, ok := k.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// Without it the bytes are sent all the same; the close goes on.
		_ = tcp.SetLinger(0)
	}
	_ = k.Close()
}

// Answer is the other end's answer. Its Body must be read to the end or
// closed.
type Answer struct {
	*http.Response
	client *Client
	conn   *conn
	sent   <-chan error
	stop   func() bool
	ended  bool
	// Reused says that the request went over a connection that had served
	// others before.
	Reused bool
}

// Do sends a request and returns the answer's head. mine reports whether an
// answer belongs to the request; one that does not is read past. The request's
// Body is closed. The connection is closed when ctx ends before the answer has
// been read.
func (c *Client) Do(ctx context.Context, address string, request *http.Request, fresh bool, mine func(*http.Response) bool) (*Answer, error) {
	kept, err := c.take(ctx, address, fresh)
	if err != nil {
		return nil, &Error{Op: "connect to " + address, Kind: KindDial, Err: err}
	}
	answer := &Answer{client: c, conn: kept, Reused: kept.used}
	kept.used = true
	answer.stop = context.AfterFunc(ctx, kept.abort)
	answer.sent, err = send(kept, request)
	if err == nil {
		answer.Response, err = receive(kept, request, mine)
	}
	if err != nil {
		answer.drop()
		return nil, answer.failure(ctx, address, err)
	}
	answer.Response.Body = &body{answer: answer, inner: answer.Response.Body, ctx: ctx}
	return answer, nil
}

func (a *Answer) failure(ctx context.Context, address string, err error) error {
	if ctx.Err() != nil {
		return &Error{Op: "exchange with " + address, Kind: KindCancelled, Err: ctx.Err()}
	}
	var known *Error
	if errors.As(err, &known) {
		return err
	}
	return &Error{Op: "exchange with " + address, Kind: KindBroken, Err: err}
}

// send writes the request; a long body goes out beside the reading of the
// answer.
func send(kept *conn, request *http.Request) (<-chan error, error) {
	sent := make(chan error, 1)
	if request.ContentLength >= 0 && request.ContentLength < longBody {
		err := request.Write(kept)
		sent <- err
		return sent, err
	}
	go func() { sent <- request.Write(kept) }()
	return sent, nil
}

// receive reads the head of the answer, past informational ones and those to
// other requests.
func receive(kept *conn, request *http.Request, mine func(*http.Response) bool) (*http.Response, error) {
	for strays := 0; ; {
		response, err := http.ReadResponse(kept.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if mine == nil || mine(response) {
			return response, nil
		}
		strays++
		read, err := io.Copy(io.Discard, io.LimitReader(response.Body, mostStray))
		if err != nil || read == mostStray || response.Close || strays > mostStrays {
			return nil, &Error{Op: "receive", Kind: KindAnswer, Err: err}
		}
	}
}

// body ends the exchange with the answer's body.
type body struct {
	answer *Answer
	inner  io.ReadCloser
	ctx    context.Context
}

// Read reads the body; after its end the connection may serve others.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.inner.Read(data)
	if errors.Is(err, io.EOF) {
		b.answer.finish()
		return n, err
	}
	if err != nil {
		b.answer.drop()
		return n, b.answer.failure(b.ctx, b.answer.conn.address, err)
	}
	return n, nil
}

// Close gives the answer up; a connection with an unread rest is closed.
func (b *body) Close() error {
	b.answer.drop()
	return nil
}

// drop closes the connection.
func (a *Answer) drop() {
	if a.ended {
		return
	}
	a.ended = true
	a.stop()
	a.conn.abort()
}

// finish keeps the connection if nothing speaks against it.
func (a *Answer) finish() {
	if a.ended {
		return
	}
	whole := false
	select {
	case err := <-a.sent:
		whole = err == nil
	default:
	}
	if !a.stop() || !whole || a.Close || a.ContentLength < 0 && len(a.TransferEncoding) == 0 || a.conn.reader.Buffered() > 0 {
		a.ended = true
		_ = a.conn.Close()
		return
	}
	a.ended = true
	a.client.keep(a.conn, a.Header.Get("Keep-Alive"))
}
