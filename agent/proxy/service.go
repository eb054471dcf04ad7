// Package proxy puts requests to a plain service. It is the only package that
// knows how such a service is called.
package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/idle"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// readSize is the largest piece of an answer passed on at once, in bytes.
	readSize = 16 << 10
	// dialTimeout bounds the connecting to the service.
	dialTimeout = 2 * time.Second
	// silence is the longest wait for each piece of an answer.
	silence = 30 * time.Second
)

// Client is the client of one plain service. Its exported fields are set
// before use; it is safe for concurrent use.
type Client struct {
	// Address is the service's, as IP:port.
	Address string
	// Dial connects to the service.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Run puts an attempt to the service, on a connection of its own: a reused one
// may have gone silent, and the library sends again on a broken one. It calls
// head once and part with each piece of the body, in order.
func (s *Client) Run(ctx context.Context, a *call.Attempt, head func(int32, []call.Field) error, part func([]byte) error) error {
	var dialled atomic.Bool
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := s.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		dialled.Store(true)
		return &idle.Conn{Conn: conn, FirstReadTimeout: silence, ReadTimeout: silence}, nil
	}
	request, err := s.request(ctx, a)
	if err != nil {
		return err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		kind := KindLost
		if !dialled.Load() {
			kind = KindNotSent
		}
		return &Error{Op: "send", Kind: kind, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if err := head(int32(response.StatusCode), fields(response.Header)); err != nil {
		return err
	}
	return copyBody(response.Body, part)
}

func (s *Client) request(ctx context.Context, a *call.Attempt) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, a.Method, "http://"+s.Address+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return nil, &Error{Op: "build request", Kind: KindMalformedRequest, Err: err}
	}
	// Without GetBody the library cannot send the request a second time.
	request.GetBody = nil
	for _, field := range a.Header {
		request.Header.Add(field.Name, field.Value)
	}
	return request, nil
}

// hopByHop are the header fields that belong to one connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

func fields(header http.Header) []call.Field {
	var list []call.Field
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			list = append(list, call.Field{Name: name, Value: value})
		}
	}
	return list
}

func copyBody(body io.Reader, part func([]byte) error) error {
	buffer := make([]byte, readSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := part(append([]byte(nil), buffer[:n]...)); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &Error{Op: "read answer", Kind: KindLost, Err: err}
		}
	}
}

// Lost reports whether err says that the service broke off; Unsent that no
// byte of the request left.
func Lost(err error) bool { return errors.Is(err, &Error{Kind: KindLost}) }

// NotSent reports whether err says that no byte of the request left.
func NotSent(err error) bool { return errors.Is(err, &Error{Kind: KindNotSent}) }
