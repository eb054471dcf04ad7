package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/engine"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// An engine in trouble sends answers whose heads HTTP does not allow. They were believed: a
// load order as executed, a state as the engine's.
func TestAnswerWithMalformedHeadIsNotBelieved(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 \r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Bad: v\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01: v\r\n",
		"other version":          "HTTP/2.0 200 OK\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			const body = "{\"boot\":7}\n\ndata: [DONE]\n\n"
			e := startEngine(t, head+"\r\n"+body)
			isMalformed := func(err error) bool {
				return errors.Is(err, &engine.Error{Kind: engine.KindMalformedAnswer}) || engine.Lost(err)
			}
			_, err := e.Run(t.Context(), &call.Attempt{}, func(string, string) error { return nil })
			require.True(t, isMalformed(err), err)
			_, err = e.State(t.Context())
			require.True(t, isMalformed(err), err)
			err = e.Load(t.Context(), "a", "v", 1)
			require.True(t, isMalformed(err), err)
		})
	}
}

// startEngine starts an engine that gives every request the same answer, and returns its
// client.
func startEngine(t *testing.T, answer string) *engine.Engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, answer)
				}
				_ = conn.Close()
			}()
		}
	}()
	e := &engine.Engine{Address: listener.Addr().String(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
	e.Start()
	t.Cleanup(func() {
		e.Stop()
		_ = listener.Close()
	})
	return e
}
