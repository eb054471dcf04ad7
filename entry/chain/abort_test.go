package chain_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
)

// A caller that speaks HTTP/1.0 gets answers that end with their connection. It took
// the regular close of an aborted one for the end of a complete answer.
func TestAbortedAnswerIsNotEndedForCallersWithoutChunks(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "data: a\n\n")
				_ = http.NewResponseController(w).Flush()
				chain.AbortAnswer(w, r)
			}))
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "GET / %s\r\nHost: a\r\n\r\n", version)
			require.NoError(t, err)
			received, err := io.ReadAll(conn)
			if version == "HTTP/1.0" {
				require.Error(t, err)
				return
			}
			require.NotContains(t, string(received), "\r\n0\r\n", "the last chunk")
		})
	}
}
