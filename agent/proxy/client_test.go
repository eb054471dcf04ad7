package proxy_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/proxy"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// A service that crashes while it writes an event stream without length may close its
// connection like one that has finished.
func TestEventStreamCutInsideEventIsLost(t *testing.T) {
	const events, chunked = "text/event-stream; charset=utf-8", "\r\nTransfer-Encoding: chunked"
	for name, test := range map[string]struct {
		head, body string
		lost       bool
	}{
		"complete":                           {events, "data: a\n\ndata: b\n\n", false},
		"complete with carriage returns":     {events, "data: a\r\n\r\n", false},
		"cut inside an event":                {events, "data: a\n\ndata", true},
		"cut between the lines of an event":  {events, "data: a\n", true},
		"cut before the first event":         {events, "", true},
		"empty stream in chunks":             {events + chunked, "0\r\n\r\n", false},
		"cut inside an event in chunks":      {events + chunked, "4\r\ndata\r\n0\r\n\r\n", true},
		"no body by its length":              {events + "\r\nContent-Length: 0", "", false},
		"other answers may end anywhere":     {"text/plain", "data", false},
		"other answers without any contents": {"text/plain", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: "+test.head+"\r\n\r\n"+test.body)
				_ = conn.Close()
			}))
			defer server.Close()
			client := &proxy.Client{Address: server.Listener.Addr().String(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}}
			var received strings.Builder
			err := client.Run(t.Context(), &call.Attempt{Method: http.MethodGet, Path: "/"},
				func(int32, []call.Field) error { return nil },
				func(data []byte) error { received.Write(data); return nil })
			require.Equal(t, test.lost, err != nil)
			require.Equal(t, test.lost, errors.Is(err, &proxy.Error{Kind: proxy.KindLost}))
			if !strings.Contains(test.head, "chunked") {
				require.Equal(t, test.body, received.String())
			}
		})
	}
}
