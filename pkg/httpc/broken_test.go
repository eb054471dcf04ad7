package httpc_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
)

const (
	// uploadBytes is the size of a request that exceeds the buffers of a connection.
	uploadBytes = 4 << 20
	// uploadTries is how often an upload is tried: which goroutine notices a reset first
	// varies.
	uploadTries = 32
)

// startRawPeer starts a server that reads the header of one request on each connection and
// calls answer, which closes the connection, and returns the server's address.
func startRawPeer(t *testing.T, answer func(conn *net.TCPConn, reader *bufio.Reader)) string {
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
				if _, err := http.ReadRequest(reader); err == nil {
					answer(conn.(*net.TCPConn), reader)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// upload sends a request with a body of the given size and returns what was read of the
// answer's body.
func upload(t *testing.T, address string, size int) (string, error) {
	long := request(address, "a")
	long.ContentLength, long.Body = int64(size), io.NopCloser(strings.NewReader(strings.Repeat("x", size)))
	answer, err := client().Do(t.Context(), address, long, false, hasID("a"))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return string(body), err
	}
	n, again := answer.Body.Read(make([]byte, 1))
	require.Zero(t, n)
	require.Equal(t, io.EOF, again, "the end of the body is read again")
	return string(body), nil
}

func closeWithReset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// A server sent a part of an answer without a length and reset the connection while the
// request was being written. The goroutine that writes the request took the socket's error,
// so that the reader saw a regular end.
func TestResetDuringUploadCutsAnswerWithoutLength(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "after a pause": 30 * time.Millisecond} {
		for _, kind := range []string{"text/plain", "text/event-stream"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				address := startRawPeer(t, func(conn *net.TCPConn, _ *bufio.Reader) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: %s\r\n\r\ndata: part\n\n", kind)
					time.Sleep(pause)
					closeWithReset(conn)
				})
				complete := 0
				for range uploadTries {
					_, err := upload(t, address, uploadBytes)
					if err == nil {
						complete++
						continue
					}
					require.ErrorIs(t, err, &httpc.Error{Kind: httpc.KindBroken})
				}
				require.Zero(t, complete, "of %d answers", uploadTries)
			})
		}
	}
}

// An answer without a length ends where the server closes its side of the connection,
// whether or not it still reads the request.
func TestAnswerWithoutLengthToUploadIsWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
	for name, answer := range map[string]func(conn *net.TCPConn, reader *bufio.Reader){
		"request read first": func(conn *net.TCPConn, reader *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, reader, uploadBytes)
			_, _ = io.WriteString(conn, head+"whole")
			_ = conn.Close()
		},
		"request read afterwards": func(conn *net.TCPConn, reader *bufio.Reader) {
			_, _ = io.WriteString(conn, head+"whole")
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, reader)
			_ = conn.Close()
		},
		"request not read": func(conn *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, head+"whole")
			_ = conn.CloseWrite()
			time.Sleep(200 * time.Millisecond)
			_ = conn.Close()
		},
		"reset after the end": func(conn *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, head+"whole")
			_ = conn.CloseWrite()
			closeWithReset(conn)
		},
		"with a length, then reset": func(conn *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole")
			closeWithReset(conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := startRawPeer(t, answer)
			for range uploadTries {
				started := time.Now()
				body, err := upload(t, address, uploadBytes)
				require.NoError(t, err)
				require.Equal(t, "whole", body)
				require.Less(t, time.Since(started), 10*time.Second)
			}
		})
	}
}

// A reset after a small request, which is written at once, reaches the reader.
func TestResetAfterSmallRequestCutsAnswerWithoutLength(t *testing.T) {
	address := startRawPeer(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, reader, 4)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
		time.Sleep(10 * time.Millisecond)
		closeWithReset(conn)
	})
	for range uploadTries {
		_, err := upload(t, address, 4)
		require.ErrorIs(t, err, &httpc.Error{Kind: httpc.KindBroken})
	}
}
