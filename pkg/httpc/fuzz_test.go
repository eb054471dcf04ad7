package httpc_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
)

// FuzzAnswer checks that whatever a server sends ends the exchange, with an answer
// or an error, when the server closes the connection.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nTrailer: x\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: a\r\n\r\nrest"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		near, far := net.Pipe()
		go func() {
			go func() { _, _ = io.Copy(io.Discard, far) }()
			_, _ = far.Write(sent)
			_ = far.Close()
		}()
		c := &httpc.Client{Dial: func(context.Context, string) (net.Conn, error) { return near, nil }}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		answer, err := c.Do(ctx, "server:1", request("server:1", "a"), true, func(r *http.Response) bool { return r.Header.Get("Id") == "a" })
		if err == nil {
			_, _ = answer.ReadAll(1 << 20)
			_ = answer.Body.Close()
		}
		c.CloseIdle("server:1")
		_ = near.Close()
		if ctx.Err() != nil {
			t.Fatal("the exchange did not end with its connection")
		}
	})
}
