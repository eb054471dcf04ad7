package httpc_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
)

// startPeer starts a server that calls answer for each request, with its index on
// the connection, and returns the server's address. The connection is closed when
// answer returns false.
func startPeer(t *testing.T, answer func(conn net.Conn, request *http.Request, index int) bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for index := 0; ; index++ {
					request, err := http.ReadRequest(reader)
					if err != nil || !answer(conn, request, index) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func client() *httpc.Client { return &httpc.Client{Dial: (&dialer{}).dial} }

type dialer struct{ count int }

func (d *dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	d.count++
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

func request(address, id string) *http.Request {
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Opaque: "/p?q=%2f"}, Host: "site",
		Header: http.Header{"Id": {id}, "User-Agent": {""}}, ContentLength: 4, Body: io.NopCloser(strings.NewReader("body")),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

func hasID(id string) func(*http.Response) bool {
	return func(r *http.Response) bool { return r.Header.Get("Id") == id }
}

func writeAnswer(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func exchange(c *httpc.Client, address, id string) (string, bool, error) {
	answer, err := c.Do(context.Background(), address, request(address, id), false, hasID(id))
	if err != nil {
		return "", false, err
	}
	body, err := answer.ReadAll(100)
	return string(body), answer.Reused, err
}

func TestConnectionsAreReused(t *testing.T) {
	address := startPeer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		require.Equal(t, "/p?q=%2f", r.RequestURI)
		require.Empty(t, r.Header.Get("User-Agent"))
		body, _ := io.ReadAll(r.Body)
		writeAnswer(conn, r.Header.Get("Id"), string(body)+r.Header.Get("Id"))
		return true
	})
	d := &dialer{}
	c := &httpc.Client{Dial: d.dial}
	for i := range 5 {
		body, reused, err := exchange(c, address, fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("body", i), body)
		require.Equal(t, i > 0, reused)
	}
	require.Equal(t, 1, d.count)
	c.CloseIdle(address)
	_, reused, err := exchange(c, address, "x")
	require.NoError(t, err)
	require.False(t, reused)
}

// An answer to another request is not returned as the answer to the current one.
func TestStrayAnswersAreSkipped(t *testing.T) {
	address := startPeer(t, func(conn net.Conn, r *http.Request, index int) bool {
		if index == 1 {
			writeAnswer(conn, "stray", "wrong")
		}
		writeAnswer(conn, r.Header.Get("Id"), "right")
		return true
	})
	c := client()
	for i := range 3 {
		body, _, err := exchange(c, address, fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, "right", body)
	}
}

// A connection is not reused when the server closed it or sent bytes after the end
// of an answer.
func TestUnusableConnectionsAreNotReused(t *testing.T) {
	for name, spoil := range map[string]func(conn net.Conn) bool{
		"extra bytes": func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
			return true
		},
		"closed": func(net.Conn) bool { return false },
	} {
		address := startPeer(t, func(conn net.Conn, r *http.Request, _ int) bool {
			writeAnswer(conn, r.Header.Get("Id"), "right")
			return spoil(conn)
		})
		c := client()
		for i := range 3 {
			body, reused, err := exchange(c, address, fmt.Sprint(i))
			require.NoError(t, err, name)
			require.Equal(t, "right", body)
			require.False(t, reused, name)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func TestErrorKinds(t *testing.T) {
	cut := "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 100\r\n\r\npart"
	for name, test := range map[string]struct {
		text string
		kind httpc.Kind
	}{
		"no answer":         {"", httpc.KindBroken},
		"not HTTP":          {"garbage\r\n\r\n", httpc.KindBroken},
		"body cut short":    {cut, httpc.KindBroken},
		"only stray answer": {"HTTP/1.1 200 OK\r\nId: b\r\nConnection: close\r\n\r\nx", httpc.KindAnswer},
	} {
		address := startPeer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, test.text)
			return false
		})
		_, _, err := exchange(client(), address, "a")
		require.ErrorIs(t, err, &httpc.Error{Kind: test.kind}, name)
	}
	_, _, err := exchange(client(), "127.0.0.1:1", "a")
	require.ErrorIs(t, err, &httpc.Error{Kind: httpc.KindDial}, "no listener at the address")
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	address := startPeer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
		return false
	})
	body, _, err := exchange(client(), address, "a")
	require.NoError(t, err)
	require.Equal(t, "whole", body)
}

// A server may answer before it has read a long body. The connection must not be
// reused then: the server would read the next request as the rest of the body.
func TestOnlyBodiesWithoutLengthEndWithTheConnection(t *testing.T) {
	for head, want := range map[string]bool{
		"":                               true,
		"Content-Length: 0\r\n":          false,
		"Content-Length: 4\r\n":          false,
		"Transfer-Encoding: chunked\r\n": false,
	} {
		for _, method := range []string{http.MethodPost, http.MethodHead} {
			address := startPeer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: a\r\n%s\r\n", head)
				return false
			})
			r := request(address, "a")
			r.Method = method
			answer, err := client().Do(t.Context(), address, r, false, hasID("a"))
			require.NoError(t, err)
			require.Equal(t, want && method == http.MethodPost, answer.EndsWithConnection, "%s %q", method, head)
			require.NoError(t, answer.Body.Close())
		}
	}
}

func TestEarlyAnswerToALongBody(t *testing.T) {
	read := make(chan string, 1)
	address := startPeer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeAnswer(conn, r.Header.Get("Id"), "early")
		time.Sleep(50 * time.Millisecond)
		rest, _ := io.ReadAll(r.Body)
		read <- string(rest)
		return false
	})
	const size = 8 << 20
	long := request(address, "a")
	long.ContentLength, long.Body = size, io.NopCloser(strings.NewReader(strings.Repeat("x", size)))
	c := client()
	answer, err := c.Do(context.Background(), address, long, false, hasID("a"))
	require.NoError(t, err)
	body, err := answer.ReadAll(100)
	require.NoError(t, err)
	require.Equal(t, "early", string(body))
	require.Empty(t, strings.Trim(<-read, "x"))
}

// Cancelling a request resets its connection, which discards unsent bytes.
func TestCancelledRequestIsReset(t *testing.T) {
	ended := make(chan error, 1)
	address := startPeer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client().Do(ctx, address, request(address, "a"), false, hasID("a"))
	require.ErrorIs(t, err, &httpc.Error{Kind: httpc.KindCancelled})
	require.True(t, errors.Is(<-ended, syscall.ECONNRESET))
}

func TestKeepAliveTimeoutIsHonoured(t *testing.T) {
	address := startPeer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		body := "x"
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=%s\r\nContent-Length: 1\r\n\r\n%s", r.Header.Get("Id"), r.Header.Get("Id"), body)
		return true
	})
	c := client()
	_, _, err := exchange(c, address, "0")
	require.NoError(t, err)
	_, reused, err := exchange(c, address, "5")
	require.NoError(t, err)
	require.False(t, reused, "the server announced a timeout of 0 seconds")
	_, reused, err = exchange(c, address, "5")
	require.NoError(t, err)
	require.True(t, reused)
	c.CloseExpired()
	_, reused, _ = exchange(c, address, "5")
	require.True(t, reused)
}

// A server that sends a header without end must not fill the client's memory, and
// its connection is closed long before the caller's deadline.
func TestEndlessHeaderEndsTheExchange(t *testing.T) {
	for name, piece := range map[string]string{
		"one line":                "x",
		"many lines":              "A: b\r\n",
		"informational responses": "\r\n\r\nHTTP/1.1 102 Processing\r\nA: b",
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan int, 1)
			address := startPeer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				written, _ := fmt.Fprint(conn, "HTTP/1.1 102 Processing\r\nName: ")
				block := strings.Repeat(piece, 1000)
				for {
					n, err := fmt.Fprint(conn, block)
					written += n
					if err != nil || written > 1<<28 {
						closed <- written
						return false
					}
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := client().Do(ctx, address, request(address, "a"), false, hasID("a"))
			require.ErrorIs(t, err, &httpc.Error{Kind: httpc.KindAnswer})
			const maxBuffered = 16 << 20
			require.Less(t, <-closed, maxBuffered, "the client read on")
		})
	}
}

// The limit of a header does not apply to the body that follows it.
func TestLargeBodyAfterHeader(t *testing.T) {
	const size = 1 << 20
	address := startPeer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		writeAnswer(conn, "a", strings.Repeat("x", size))
		return true
	})
	c := client()
	for range 2 {
		answer, err := c.Do(context.Background(), address, request(address, "a"), false, hasID("a"))
		require.NoError(t, err)
		body, err := answer.ReadAll(2 * size)
		require.NoError(t, err)
		require.Len(t, body, size)
	}
}

// A connection whose request asks for its end is not kept, even if the server keeps it, and
// the caller learns when it has a connection.
func TestRequestThatClosesItsConnection(t *testing.T) {
	address := startPeer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		require.True(t, r.Close)
		writeAnswer(conn, "a", "whole")
		return true
	})
	c, connections := client(), 0
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connections++
		require.False(t, info.Reused)
	}})
	for range 2 {
		r := request(address, "a")
		r.Close = true
		answer, err := c.Do(ctx, address, r, false, hasID("a"))
		require.NoError(t, err)
		body, err := answer.ReadAll(100)
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
	}
	require.Equal(t, 2, connections)
}
