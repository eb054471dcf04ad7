package proxy_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/proxy"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// uploadBytes is the size of a request that exceeds the buffers of a connection.
	uploadBytes = 4 << 20
	// uploadTries is how often an upload is tried: which goroutine notices a reset first
	// varies.
	uploadTries = 32
)

// startService starts a service that reads the header of one request on each connection and
// calls answer, and returns its client.
func startService(t *testing.T, answer func(conn *net.TCPConn, body io.Reader)) *proxy.Client {
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
				reader := bufio.NewReader(conn)
				if request, err := http.ReadRequest(reader); err == nil {
					answer(conn.(*net.TCPConn), request.Body)
				}
				_ = conn.Close()
			}()
		}
	}()
	return &proxy.Client{Address: listener.Addr().String(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
}

// run sends a request with a body of the given size and returns the status, 0 without one, and
// the body of the answer.
func run(t *testing.T, client *proxy.Client, size int) (status int32, body string, err error) {
	var received strings.Builder
	attempt := &call.Attempt{Method: http.MethodPost, Path: "/", Body: make([]byte, size)}
	err = client.Run(t.Context(), attempt,
		func(code int32, _ []call.Field) error { status = code; return nil },
		func(data []byte) error { received.Write(data); return nil })
	return status, received.String(), err
}

// A service sent a part of an answer without a length and reset the connection while the
// request was being written. The agent passed that part on as a complete answer.
func TestResetDuringUploadIsLost(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "after a pause": 30 * time.Millisecond} {
		for _, kind := range []string{"text/plain", "text/event-stream"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				client := startService(t, func(conn *net.TCPConn, _ io.Reader) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: "+kind+"\r\n\r\ndata: part\n\n")
					time.Sleep(pause)
					_ = conn.SetLinger(0)
				})
				complete := 0
				for range uploadTries {
					_, _, err := run(t, client, uploadBytes)
					if err == nil {
						complete++
						continue
					}
					require.True(t, proxy.Lost(err), err)
				}
				require.Zero(t, complete, "of %d answers", uploadTries)
			})
		}
	}
}

// An answer without a length ends where the service closes its side of the connection.
func TestAnswerWithoutLengthToUploadIsWhole(t *testing.T) {
	for name, readFirst := range map[string]bool{"request read first": true, "request read afterwards": false} {
		t.Run(name, func(t *testing.T) {
			client := startService(t, func(conn *net.TCPConn, body io.Reader) {
				if readFirst {
					_, _ = io.Copy(io.Discard, body)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			})
			for _, size := range []int{0, 4, uploadBytes} {
				status, body, err := run(t, client, size)
				require.NoError(t, err)
				require.Equal(t, int32(http.StatusOK), status)
				require.Equal(t, "whole", body)
			}
		})
	}
}

// A malformed head was passed on: status 000 with status 0, of which the entry made 200, and
// names of fields as they were.
func TestMalformedHeadIsNotPassedOn(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":              "HTTP/1.1 000 \r\nContent-Length: 4\r\n\r\npart",
		"status 600":              "HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\npart",
		"protocol switched":       "HTTP/1.1 101 Switching Protocols\r\n\r\npart",
		"blank in a name":         "HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 4\r\n\r\npart",
		"blank after the length":  "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\npart and more",
		"control byte in a name":  "HTTP/1.1 200 OK\r\nX\x01: v\r\nContent-Length: 4\r\n\r\npart",
		"chunks in HTTP/1.0":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
		"other version":           "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\npart",
		"chunks and a length":     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
		"control byte in a value": "HTTP/1.1 200 OK\r\nX: \x01\r\nContent-Length: 4\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			client := startService(t, func(conn *net.TCPConn, body io.Reader) {
				_, _ = io.Copy(io.Discard, body)
				_, _ = io.WriteString(conn, answer)
			})
			status, body, err := run(t, client, 4)
			require.Error(t, err, "status %d, body %q", status, body)
			require.False(t, proxy.NotSent(err), "the service may have run the request")
			require.Zero(t, status)
			require.Empty(t, body)
		})
	}
}
