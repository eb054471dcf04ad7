package conns_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/conns"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// serve starts a server that answers each request with the length of its body, and returns its
// address.
func serve(t *testing.T, l *conns.Limiter) string {
	l.Host = host.Host{Meter: meter.New()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprint(w, len(body))
	})}
	go func() { _ = l.Serve(server, listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func limits(header int64, headerTime, idleTime time.Duration) func() conf.Limits {
	return func() conf.Limits {
		return conf.Limits{MaxHeaderBytes: header, HeaderTimeout: span.Duration(headerTime), IdleTimeout: span.Duration(idleTime)}
	}
}

func dial(t *testing.T, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// status returns the status of the answer on a connection, 0 if it ends without one.
func status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"

// Guards against headers beyond the operators' limit that are read, and against the loss of the
// refusal or of a request with the largest header.
func TestHeaderBeyondTheLimitIsRefused(t *testing.T) {
	address := serve(t, &conns.Limiter{Limits: limits(16<<10, time.Minute, time.Minute)})
	large := func(size int) string {
		return strings.Replace(request, "Host: a", "Host: a\r\nX-Long: "+strings.Repeat("h", size), 1)
	}
	require.Equal(t, http.StatusOK, status(dial(t, address, large(16<<10-200))))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status(dial(t, address, large(100<<10))))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status(dial(t, address, "GET / HTTP/1.1\r\nX-Long: "+strings.Repeat("h", 24<<10))))
	conn := dial(t, address, request)
	require.Equal(t, http.StatusOK, status(conn))
	_, err := io.WriteString(conn, large(100<<10))
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status(conn), "also of a later request")
}

// Guards against connections that keep a part of a header, or nothing, for good, and against
// limits that end bodies and connections within them.
func TestHeadersAndIdleConnectionsEndInTheirTime(t *testing.T) {
	const headerTime, idleTime = 200 * time.Millisecond, 600 * time.Millisecond
	address := serve(t, &conns.Limiter{Limits: limits(16<<10, headerTime, idleTime)})
	ended := func(conn net.Conn) time.Duration {
		began := time.Now()
		require.Zero(t, status(conn))
		return time.Since(began)
	}
	partial, silent := dial(t, address, "POST / HTTP/1.1\r\nHost: a\r\n"), dial(t, address, "")
	require.Less(t, ended(partial), idleTime)
	require.Greater(t, ended(silent), headerTime/2)
	head, body, _ := strings.Cut(request, "\r\n\r\n")
	conn := dial(t, address, head+"\r\n\r\n")
	time.Sleep(2 * headerTime)
	_, err := io.WriteString(conn, body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status(conn), "the limit is not that of a body")
	time.Sleep(2 * headerTime)
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status(conn), "the connection was idle for less than its time")
	require.Greater(t, ended(conn), headerTime)
}

// Guards against silent connections that keep callers out, and against memory that stays
// accounted for.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	var held atomic.Int64
	address := serve(t, &conns.Limiter{MaxDescriptors: 20, Account: func(bytes int64) { held.Add(bytes) }})
	var silent []net.Conn
	for range 100 {
		silent = append(silent, dial(t, address, ""))
	}
	require.Eventually(t, func() bool { return status(dial(t, address, request)) == http.StatusOK }, 5*time.Second, 10*time.Millisecond)
	for _, conn := range silent {
		_ = conn.Close()
	}
	require.Eventually(t, func() bool { return held.Load() <= 21*20<<10 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against callers that are kept out by requests whose bodies do not end: such a request
// gives way before a connection is refused.
func TestRequestGivesWayBeforeAConnectionIsRefused(t *testing.T) {
	var yielded atomic.Int64
	head, _, _ := strings.Cut(request, "body")
	address := serve(t, &conns.Limiter{MaxDescriptors: 4, YieldRequest: func(time.Time, bool) bool {
		yielded.Add(1)
		return true
	}})
	for range 2 {
		dial(t, address, head)
	}
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, http.StatusOK, status(dial(t, address, request)))
	require.Positive(t, yielded.Load())
}

// A session counted as a connection without a request again when its first stream was opened
// while more of it was read.
func TestMarkActiveBesideReads(t *testing.T) {
	limiter := &conns.Limiter{Host: host.Host{Meter: meter.New()}, MaxDescriptors: 2}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := limiter.Listen(inner)
	t.Cleanup(func() { _ = listener.Close() })
	peer := dial(t, inner.Addr().String(), "")
	session, err := listener.Accept()
	require.NoError(t, err)
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(io.Discard, session)
	}()
	go func() {
		for range 1000 {
			_, _ = io.WriteString(peer, "ping")
		}
	}()
	session.(interface{ MarkActive() }).MarkActive()
	time.Sleep(50 * time.Millisecond)
	for range 10 {
		dial(t, inner.Addr().String(), "")
	}
	go func() {
		for {
			if _, err := listener.Accept(); err != nil {
				return
			}
		}
	}()
	select {
	case <-read:
		require.Fail(t, "the session was closed")
	case <-time.After(200 * time.Millisecond):
	}
}
