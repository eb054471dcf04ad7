package engine_test

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

	"github.com/tanagerspindle/tanagerspindle/agent/engine"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// An engine that crashes inside an event leaves half of the event's JSON. It was read
// as a malformed answer, so that neither the crash nor its request was recorded.
func TestAnswerCutInsideEventIsLost(t *testing.T) {
	const token = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	for name, test := range map[string]struct {
		body string
		kind engine.Kind
	}{
		"complete":                   {token + "data: [DONE]\n\n", ""},
		"marker without line end":    {token + "data: [DONE]", ""},
		"cut between events":         {token, engine.KindLost},
		"cut inside an event":        {token + token[:20], engine.KindLost},
		"cut inside the field name":  {token + "dat", engine.KindLost},
		"malformed event":            {token + "data: {\n\n" + token, engine.KindMalformedAnswer},
		"malformed event, then lost": {token + "data: {\n", engine.KindMalformedAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+test.body)
				_ = conn.Close()
			}))
			defer server.Close()
			e := &engine.Engine{Address: server.Listener.Addr().String(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}}
			e.Start()
			defer e.Stop()
			var text strings.Builder
			_, err := e.Run(t.Context(), &call.Attempt{}, func(token, _ string) error {
				text.WriteString(token)
				return nil
			})
			require.Equal(t, test.kind == "", err == nil)
			if err != nil {
				require.True(t, errors.Is(err, &engine.Error{Kind: test.kind}), err)
			}
			require.Equal(t, "a", text.String())
		})
	}
}
