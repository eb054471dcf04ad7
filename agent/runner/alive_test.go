package runner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/engine"
)

// An engine in trouble answers the question for its state with a malformed head. It was taken
// for dead, and all that ran there was reported as a possible cause of its crash.
func TestEngineWithMalformedAnswersIsAlive(t *testing.T) {
	const body = "Content-Length: 10\r\n\r\n{\"boot\":7}"
	for name, c := range map[string]struct {
		answer string
		alive  bool
	}{
		"sound":                {"HTTP/1.1 200 OK\r\n" + body, true},
		"status 000":           {"HTTP/1.1 000 \r\n" + body, true},
		"blank in a name":      {"HTTP/1.1 200 OK\r\nX Bad: v\r\n" + body, true},
		"restarted":            {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"boot\":8}", false},
		"connection closed":    {"", false},
		"body cut short":       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"boot\"", false},
		"refused by something": {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, c.answer)
				}
				_ = conn.Close()
			}()
			e := &endpoint{boot: 7, engine: &engine.Engine{
				Address: listener.Addr().String(),
				Dial: func(ctx context.Context, address string) (net.Conn, error) {
					return (&net.Dialer{}).DialContext(ctx, "tcp", address)
				},
			}}
			e.engine.Start()
			defer e.engine.Stop()
			require.Equal(t, c.alive, e.alive(t.Context(), nil))
		})
	}
}
