package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// harnessLinger is the time for which a stopping entry of the harness accepts connections.
const harnessLinger = time.Second

// firstRequestDelay is the time for which it then waits for a connection's first request.
const firstRequestDelay = 500 * time.Millisecond

// bapuTokens is less than the burst of the workspace bapu, and more than it gets in the time
// that a stop takes.
const bapuTokens = 380

// lookup is a whole request on a connection that the caller keeps.
const lookup = "GET /lookup/1 HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + keyAnand + "\r\n\r\n"

// dial opens a caller's connection to the entry.
func (h *harness) dial() (net.Conn, *bufio.Reader) {
	conn, err := h.network.Dialer("caller")(context.Background(), "entry:80")
	require.NoError(h.t, err)
	return conn, bufio.NewReader(conn)
}

// startGraceful starts the entry "graceful", which has a grace time; stop then stops that one.
func (h *harness) startGraceful(grace time.Duration) {
	h.killed = append(h.killed, h.ended)
	h.grace = grace
	h.startEntry("graceful")
	time.Sleep(100 * time.Millisecond)
}

// dialGraceful opens a caller's connection to the entry of startGraceful.
func (h *harness) dialGraceful() (net.Conn, *bufio.Reader) {
	conn, err := h.network.Dialer("caller")(context.Background(), "graceful:80")
	require.NoError(h.t, err)
	return conn, bufio.NewReader(conn)
}

// readAnswer reads one answer from a caller's connection.
func readAnswer(t *testing.T, reader *bufio.Reader) *http.Response {
	answer, err := http.ReadResponse(reader, nil)
	require.NoError(t, err, "a request that was read has an answer")
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.NotEmpty(t, body)
	return answer
}

// A stopping entry read the first request of a connection that it had accepted before, and
// closed the connection without an answer.
func TestRequestOnConnectionAcceptedBeforeStopIsAnswered(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.stop()
		time.Sleep(harnessLinger - 100*time.Millisecond)
		conn, reader := h.dial()
		time.Sleep(200 * time.Millisecond)
		_, err := io.WriteString(conn, lookup)
		require.NoError(t, err)
		answer := readAnswer(t, reader)
		require.Equal(t, http.StatusOK, answer.StatusCode)
		require.True(t, answer.Close, "the connection is not used again")
	})
}

// A connection on which its caller sends nothing does not hold up a stop.
func TestConnectionWithoutRequestDelaysStopBriefly(t *testing.T) {
	withHarness(t, func(h *harness) {
		conn, reader := h.dial()
		defer func() { _ = conn.Close() }()
		h.stop()
		stopped := time.Now()
		_, err := reader.ReadByte()
		require.Equal(t, io.EOF, err)
		require.Equal(t, harnessLinger+firstRequestDelay, time.Since(stopped).Round(10*time.Millisecond))
	})
}

// A request that was waiting when a stopping entry was killed at the end of its grace time
// ended without an answer.
func TestWaitingRequestIsRefusedBeforeStoppingEntryExits(t *testing.T) {
	for _, test := range []struct {
		name   string
		run    func(a *call.Attempt, stream *wire.Stream) error
		status int
		ran    string
	}{
		{"not passed on", nil, http.StatusServiceUnavailable, `"ran":"no"`},
		{"passed on", func(_ *call.Attempt, stream *wire.Stream) error { return stream.Receive(&call.Frame{}) }, http.StatusBadGateway, `"ran":"unknown"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				const grace = 3 * time.Second
				h.startGraceful(grace)
				key, path, body := keyAnand, "/lookup/1", ""
				if test.run == nil {
					// The first such request uses the workspace's tokens up.
					key, path = keyBapu, "/v1/completions"
					body = fmt.Sprintf(`{"model":"books","prompt":%q,"max_tokens":1}`, strings.Repeat("word", bapuTokens))
					require.Equal(t, http.StatusOK, h.requestAt("graceful", http.MethodPost, path, key, body).status)
				} else {
					h.agents["s1"].setRun(test.run)
					h.agents["s2"].setRun(test.run)
				}
				got := make(chan reply, 1)
				go func() { got <- h.requestAt("graceful", http.MethodPost, path, key, body) }()
				time.Sleep(100 * time.Millisecond)
				stopped := time.Now()
				h.stop()
				answer := <-got
				require.LessOrEqual(t, time.Since(stopped).Round(10*time.Millisecond), grace)
				require.Equal(t, test.status, answer.status, answer.body)
				require.Contains(t, answer.body, test.ran)
			})
		})
	}
}
