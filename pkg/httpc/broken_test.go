package httpc_test

import (
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

// startUploadPeer starts a server that calls answer with the header of one request read on
// each connection, then closes the connection, and returns the server's address.
func startUploadPeer(t *testing.T, answer func(conn *net.TCPConn, body io.Reader)) string {
	return startPeer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		answer(conn.(*net.TCPConn), r.Body)
		return false
	})
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
				address := startUploadPeer(t, func(conn *net.TCPConn, _ io.Reader) {
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
	for name, answer := range map[string]func(conn *net.TCPConn, body io.Reader){
		"request read first": func(conn *net.TCPConn, body io.Reader) {
			_, _ = io.Copy(io.Discard, body)
			_, _ = io.WriteString(conn, head+"whole")
			_ = conn.Close()
		},
		"request read afterwards": func(conn *net.TCPConn, body io.Reader) {
			_, _ = io.WriteString(conn, head+"whole")
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, body)
			_ = conn.Close()
		},
		"request not read": func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, head+"whole")
			_ = conn.CloseWrite()
			time.Sleep(200 * time.Millisecond)
			_ = conn.Close()
		},
		"reset after the end": func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, head+"whole")
			_ = conn.CloseWrite()
			closeWithReset(conn)
		},
		"with a length, then reset": func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole")
			closeWithReset(conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := startUploadPeer(t, answer)
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
	address := startUploadPeer(t, func(conn *net.TCPConn, body io.Reader) {
		_, _ = io.Copy(io.Discard, body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
		time.Sleep(10 * time.Millisecond)
		closeWithReset(conn)
	})
	for range uploadTries {
		_, err := upload(t, address, 4)
		require.ErrorIs(t, err, &httpc.Error{Kind: httpc.KindBroken})
	}
}

// A head that RFC 9110 or RFC 9112 does not allow is not the head of an answer.
func TestAnswerWithMalformedHeadIsRejected(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole"
	for name, answer := range map[string]string{
		"status 000":                                 "HTTP/1.1 000 \r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"status 000 before a sound answer":           "HTTP/1.1 000 \r\nId: a\r\n\r\n" + sound,
		"status 099 before a sound answer":           "HTTP/1.1 099 X\r\nId: a\r\n\r\n" + sound,
		"status 600":                                 "HTTP/1.1 600 X\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"status 999":                                 "HTTP/1.1 999 X\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"status with a sign":                         "HTTP/1.1 +20 X\r\nId: a\r\n\r\n" + sound,
		"status -00":                                 "HTTP/1.1 -00 X\r\nId: a\r\n\r\n" + sound,
		"status of two digits":                       "HTTP/1.1 20 X\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"protocol switched unasked":                  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + sound,
		"control byte in the reason":                 "HTTP/1.1 200 O\x01K\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"carriage return in the reason":              "HTTP/1.1 200 O\rK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/2.0":                                   "HTTP/2.0 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/0.9":                                   "HTTP/0.9 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"blank in a name":                            "HTTP/1.1 200 OK\r\nId: a\r\nX Bad: v\r\nContent-Length: 5\r\n\r\nwhole",
		"blank after a name":                         "HTTP/1.1 200 OK\r\nId: a\r\nX-Bad : v\r\nContent-Length: 5\r\n\r\nwhole",
		"blank after the length's name":              "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length : 5\r\n\r\nwhole, and more",
		"blank after the transfer encoding's name":   "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"tab in a name":                              "HTTP/1.1 200 OK\r\nId: a\r\nX\tBad: v\r\nContent-Length: 5\r\n\r\nwhole",
		"control byte in a name":                     "HTTP/1.1 200 OK\r\nId: a\r\nX\x01Bad: v\r\nContent-Length: 5\r\n\r\nwhole",
		"byte above 127 in a name":                   "HTTP/1.1 200 OK\r\nId: a\r\nX\xe9: v\r\nContent-Length: 5\r\n\r\nwhole",
		"no name":                                    "HTTP/1.1 200 OK\r\nId: a\r\n: v\r\nContent-Length: 5\r\n\r\nwhole",
		"no colon":                                   "HTTP/1.1 200 OK\r\nId: a\r\nX-Bad\r\nContent-Length: 5\r\n\r\nwhole",
		"control byte in a value":                    "HTTP/1.1 200 OK\r\nId: a\r\nX: \x00\r\nContent-Length: 5\r\n\r\nwhole",
		"blank in a name of an informational answer": "HTTP/1.1 103 Early Hints\r\nX Bad: v\r\n\r\n" + sound,
		"chunks in HTTP/1.0":                         "HTTP/1.0 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"chunks and a length":                        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"chunks and a length in lower case":          "HTTP/1.1 200 OK\r\nId: a\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"other transfer encoding":                    "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: gzip\r\n\r\nwhole",
		"two transfer encodings":                     "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"two lengths":                                "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nwhole",
		"length with a sign":                         "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: +5\r\n\r\nwhole",
		"empty length":                               "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length:\r\n\r\nwhole",
		"no content in chunks":                       "HTTP/1.1 204 No Content\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"no content with a length":                   "HTTP/1.1 204 No Content\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			address := startUploadPeer(t, func(conn *net.TCPConn, body io.Reader) {
				_, _ = io.Copy(io.Discard, body)
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			})
			matched := false
			answer, err := client().Do(t.Context(), address, request(address, "a"), false, func(*http.Response) bool {
				matched = true
				return true
			})
			if err == nil {
				body, _ := io.ReadAll(answer.Body)
				t.Fatalf("accepted with status %d, header %v and body %q", answer.StatusCode, answer.Header, body)
			}
			require.False(t, matched, "nothing in the head is used")
		})
	}
}

// Heads that RFC 9112 lets a recipient accept are accepted.
func TestUnusualSoundHeadsAreAccepted(t *testing.T) {
	for name, answer := range map[string]string{
		"no reason":                    "HTTP/1.1 200 \r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"no blank after the status":    "HTTP/1.1 200\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"informational answers first":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.0 without a length":    "HTTP/1.0 200 OK\r\nId: a\r\n\r\nwhole",
		"later minor version":          "HTTP/1.2 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"chunks":                       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\nTrailer: x\r\n\r\n",
		"the same length twice":        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
		"unusual name":                 "HTTP/1.1 200 OK\r\nId: a\r\n!#$%&'*+-.^_`|~9aZ: v\r\nContent-Length: 5\r\n\r\nwhole",
		"folded value":                 "HTTP/1.1 200 OK\r\nId: a\r\nX: b\r\n Content-Length: 4\r\nContent-Length: 5\r\n\r\nwhole",
		"bytes above 127 in a value":   "HTTP/1.1 200 OK\r\nId: a\r\nX: \xe9\r\nContent-Length: 5\r\n\r\nwhole",
		"blanks around a value":        "HTTP/1.1 200 OK\r\nId:\t a \r\nContent-Length:5 \r\n\r\nwhole",
		"status without registration":  "HTTP/1.1 299 X\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"no length and an error":       "HTTP/1.1 599 X\r\nId: a\r\n\r\nwhole",
		"body that looks like a head":  "HTTP/1.1 200 OK\r\nId: a\r\nX: y\r\nContent-Length: 5\r\n\r\nX y:z",
		"header longer than one read":  "HTTP/1.1 200 OK\r\nId: a\r\nX: " + strings.Repeat("v", 20<<10) + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"stray answer before, chunked": "HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			address := startUploadPeer(t, func(conn *net.TCPConn, body io.Reader) {
				_, _ = io.Copy(io.Discard, body)
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			})
			body, _, err := exchange(client(), address, "a")
			require.NoError(t, err)
			if name == "body that looks like a head" {
				require.Equal(t, "X y:z", body)
				return
			}
			require.Equal(t, "whole", body)
		})
	}
}
