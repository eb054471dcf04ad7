// Package proxy forwards attempts to a plain service over HTTP. No other package knows
// how such a service is called.
package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/idle"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
	"github.com/tanagerspindle/tanagerspindle/pkg/stream"
)

const (
	// maxPieceBytes is the size of the largest piece of an answer passed on at once.
	maxPieceBytes = 16 << 10
	// dialTimeout bounds connecting to the service.
	dialTimeout = 2 * time.Second
	// pieceTimeout is the longest wait for each piece of an answer.
	pieceTimeout = 30 * time.Second
)

// Client is the HTTP client of one plain service. Its exported fields are set before
// use; it is safe for concurrent use.
type Client struct {
	// Address is where the service is reached, as IP:port.
	Address string
	// Dial connects to the service.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Run sends an attempt to the service and calls head once and then part for each piece
// of the body, in order. Each attempt gets its own connection, since a reused one may have
// been lost unnoticed.
func (c *Client) Run(ctx context.Context, a *call.Attempt, head func(int32, []call.Field) error, part func([]byte) error) error {
	request, err := c.request(ctx, a)
	if err != nil {
		return err
	}
	client := &httpc.Client{Dial: c.dial, DialTimeout: dialTimeout}
	answer, err := client.Do(ctx, c.Address, request, true, nil)
	if err != nil {
		return &Error{Op: "send", Kind: kindOf(err), Err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	if err := head(int32(answer.StatusCode), endToEndFields(answer.Header)); err != nil {
		return err
	}
	end, err := copyBody(answer.Body, part)
	if err != nil {
		return err
	}
	return checkEnd(answer, end)
}

// kindOf classifies an error of httpc.
func kindOf(err error) Kind {
	switch {
	case errors.Is(err, &httpc.Error{Kind: httpc.KindDial}):
		return KindNotSent
	case errors.Is(err, &httpc.Error{Kind: httpc.KindAnswer}):
		return KindMalformedAnswer
	}
	return KindLost
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &idle.Conn{Conn: conn, FirstReadTimeout: pieceTimeout, ReadTimeout: pieceTimeout}, nil
}

// checkEnd returns an error if the body of an event stream has ended but the stream is
// incomplete. A service that crashes may close its connection regularly. end holds the
// last bytes of the body.
func checkEnd(answer *httpc.Answer, end []byte) error {
	if !stream.IsContentType(answer.Header.Get("Content-Type")) {
		return nil
	}
	if !stream.EndsBetweenEvents(end) || len(end) == 0 && answer.EndsWithConnection {
		return &Error{Op: "read stream", Kind: KindLost, Err: io.ErrUnexpectedEOF}
	}
	return nil
}

func (c *Client) request(ctx context.Context, a *call.Attempt) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, a.Method, "http://"+c.Address+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return nil, &Error{Op: "build request", Kind: KindMalformedRequest, Err: err}
	}
	request.Close = true
	for _, field := range a.Header {
		request.Header.Add(field.Name, field.Value)
	}
	return request, nil
}

// hopByHopHeaders are the header fields that apply to a single connection only.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

func endToEndFields(header http.Header) []call.Field {
	var list []call.Field
	for name, values := range header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, value := range values {
			list = append(list, call.Field{Name: name, Value: value})
		}
	}
	return list
}

// copyBody passes on the pieces of a body and returns its last stream.EndSize bytes.
func copyBody(body io.Reader, part func([]byte) error) (end []byte, err error) {
	buffer := make([]byte, maxPieceBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := part(append([]byte(nil), buffer[:n]...)); err != nil {
				return nil, err
			}
			end = append(end, buffer[max(0, n-stream.EndSize):n]...)
			end = end[max(0, len(end)-stream.EndSize):]
		}
		if errors.Is(err, io.EOF) {
			return end, nil
		}
		if err != nil {
			return nil, &Error{Op: "read answer", Kind: KindLost, Err: err}
		}
	}
}

// Lost reports whether err means that the connection broke after the request may have
// been sent.
func Lost(err error) bool { return errors.Is(err, &Error{Kind: KindLost}) }

// NotSent reports whether err means that no byte of the request was sent.
func NotSent(err error) bool { return errors.Is(err, &Error{Kind: KindNotSent}) }
