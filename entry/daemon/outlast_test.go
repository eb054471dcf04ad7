package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// streamOf returns a whole request for a stream of a number of tokens.
func streamOf(tokens int) string {
	body := fmt.Sprintf(`{"model":"notes","prompt":"hello","max_tokens":%d,"stream":true}`, tokens)
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", keyAnand, len(body), body)
}

// A request that the server had read together with the one before it was served while its
// connection counted as idle, so that a stop closed the connection during the answer.
func TestAnswerToRequestReadBehindAnotherIsCutByStop(t *testing.T) {
	for _, grace := range []time.Duration{0, 10 * time.Second} {
		t.Run(fmt.Sprint("grace ", grace), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.startGraceful(grace)
				conn, reader := h.dialGraceful()
				// The stream takes more time than an idle connection is held.
				_, err := io.WriteString(conn, lookup+streamOf(840))
				require.NoError(t, err)
				readAnswer(t, reader)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				h.stop()
				_, err = io.ReadAll(response.Body)
				require.NoError(t, err, "the answer is complete")
			})
		})
	}
}

// A connection whose answer had announced that it may be used again was held beyond the exit
// time, so that the process was killed.
func TestAnswerThatEndsAfterExitTimeDelaysExit(t *testing.T) {
	withHarness(t, func(h *harness) {
		const grace = 3 * time.Second
		h.startGraceful(grace)
		conn, reader := h.dialGraceful()
		_, err := io.WriteString(conn, streamOf(340))
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		stopped := time.Now()
		h.stop()
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err, "the answer is complete")
		require.Greater(t, time.Since(stopped), grace)
		answered := time.Now()
		err = <-h.ended
		h.ended <- err
		require.Less(t, time.Since(answered), 100*time.Millisecond)
	})
}
