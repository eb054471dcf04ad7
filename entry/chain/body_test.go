package chain_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/buffer"
	"github.com/tanagerspindle/tanagerspindle/entry/chain"
)

const (
	testMaxBody = 64 << 10
	testBound   = 1 << 20
)

// bodyServer answers each request with the length of its body, or with its refusal.
func bodyServer(t *testing.T, pool *buffer.Pool, limits chain.BodyLimits) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hold := pool.NewHold()
		defer hold.Release()
		body, err := chain.ReadBodyInto(hold, w, r, limits)
		if err != nil {
			refusal := chain.RefusalOf(err)
			text := fmt.Sprintf("%s %s %v", refusal.Code, refusal.Ran, refusal.RetryAfter > 0)
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			w.WriteHeader(refusal.Status)
			_, _ = io.WriteString(w, text)
			chain.DiscardUnread(w, r, limits.MaxBytes)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func limitsOf(timeout, gap time.Duration) chain.BodyLimits {
	return chain.BodyLimits{MaxBytes: testMaxBody, Timeout: timeout, GapTimeout: gap}
}

// open sends a header and the begin of a body.
func open(t *testing.T, address, framing, begin string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n%s", framing, begin)
	require.NoError(t, err)
	return conn
}

func receive(t *testing.T, conn net.Conn) (status int, text string) {
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// Guards against bodies of any framing and size that are read short, or beyond the limit.
func TestBodiesAreReadWhole(t *testing.T) {
	address := bodyServer(t, &buffer.Pool{Bound: testBound}, limitsOf(5*time.Second, 0))
	for _, size := range []int{0, 1, 4095, 4096, 4097, 8192, 50_000, testMaxBody - 1, testMaxBody, testMaxBody + 1, 3 * testMaxBody} {
		for _, chunked := range []bool{false, true} {
			var body io.Reader = strings.NewReader(strings.Repeat("x", size))
			if chunked {
				body = io.NopCloser(body)
			}
			response, err := http.Post("http://"+address, "text/plain", body)
			require.NoError(t, err)
			text, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			_ = response.Body.Close()
			if size > testMaxBody {
				require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
				continue
			}
			require.Equal(t, fmt.Sprint(size), string(text), "chunked %v", chunked)
		}
	}
}

// Guards against a body that is read, or waited for, before it is refused for want of
// memory: the caller has sent nothing of it.
func TestBodyIsRefusedBeforeItIsRead(t *testing.T) {
	pool := &buffer.Pool{Bound: testBound}
	address := bodyServer(t, pool, limitsOf(5*time.Second, 0))
	full := pool.NewHold()
	full.Take(testBound)
	for _, framing := range []string{"Content-Length: 60000", "Transfer-Encoding: chunked"} {
		started := time.Now()
		status, text := receive(t, open(t, address, framing, ""))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "memory_full no true", text)
		require.Less(t, time.Since(started), 500*time.Millisecond)
	}
	status, text := receive(t, open(t, address, "Content-Length: 0", ""))
	require.Equal(t, http.StatusOK, status, "a request without a body takes no memory")
	require.Equal(t, "0", text)
	full.Release()
	status, _ = receive(t, open(t, address, "Content-Length: 1", "x"))
	require.Equal(t, http.StatusOK, status)
}

// Guards against slow callers that state large bodies and so take the memory without
// sending anything, while other callers are refused.
func TestSlowBodyTakesMemoryForWhatHasArrived(t *testing.T) {
	pool := &buffer.Pool{Bound: 8 << 20}
	address := bodyServer(t, pool, limitsOf(10*time.Second, 0))
	empty := pool.Usage().Held
	var slow []net.Conn
	for range 100 {
		slow = append(slow, open(t, address, "Content-Length: 60000", "x"))
	}
	const perRequest = 32 << 10
	require.Eventually(t, func() bool { return pool.Usage().Held-empty >= 100*perRequest }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	require.LessOrEqual(t, pool.Usage().Held-empty, int64(100*(perRequest+4<<10)))
	started := time.Now()
	status, text := receive(t, open(t, address, "Content-Length: 50000", strings.Repeat("y", 50_000)))
	require.Equal(t, http.StatusOK, status, text)
	require.Less(t, time.Since(started), time.Second)
	_, err := slow[0].Write([]byte(strings.Repeat("z", 59_999)))
	require.NoError(t, err)
	status, text = receive(t, slow[0])
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "60000", text)
	for _, conn := range slow {
		_ = conn.Close()
	}
	require.Eventually(t, func() bool { return pool.Usage().Held == empty }, 5*time.Second, 10*time.Millisecond, "memory is released")
}

// Guards against a caller that sends a part of its body and then nothing, or little by
// little without end.
func TestSlowBodyEndsAtItsLimits(t *testing.T) {
	for name, limits := range map[string]chain.BodyLimits{
		"nothing arrives": limitsOf(5*time.Second, 100*time.Millisecond),
		"too long":        limitsOf(300*time.Millisecond, 200*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			address := bodyServer(t, &buffer.Pool{Bound: testBound}, limits)
			conn := open(t, address, "Content-Length: 60000", "x")
			started := time.Now()
			if name == "too long" {
				go func() {
					for range 40 {
						time.Sleep(20 * time.Millisecond)
						if _, err := conn.Write([]byte("x")); err != nil {
							return
						}
					}
				}()
			}
			status, text := receive(t, conn)
			require.Equal(t, http.StatusBadRequest, status)
			require.Contains(t, text, "body_unreadable")
			require.Less(t, time.Since(started), 800*time.Millisecond)
		})
	}
}

// A request whose body did not arrive in time kept its connection and its handler until the
// caller sent the rest.
func TestConnectionEndsAfterSlowBody(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := chain.ReadBodyInto(nil, w, r, limitsOf(100*time.Millisecond, 0))
		w.WriteHeader(chain.RefusalOf(err).Status)
	}))
	t.Cleanup(server.CloseClientConnections)
	conn := open(t, server.Listener.Addr().String(), "Content-Length: 60000", "x")
	status, _ := receive(t, conn)
	require.Equal(t, http.StatusBadRequest, status)
	_, err := conn.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err, "the connection is closed")
}

// Callers that sent their whole body before they read the answer saw a reset connection in place
// of the refusal.
func TestRefusalArrivesAtCallerThatSendsItsWholeBody(t *testing.T) {
	pool := &buffer.Pool{Bound: testBound}
	limits := limitsOf(5*time.Second, 0)
	limits.MaxBytes = 4 << 20
	address := bodyServer(t, pool, limits)
	full := pool.NewHold()
	full.Take(testBound)
	for _, size := range []int{int(limits.MaxBytes) + 100, int(limits.MaxBytes)} {
		conn := open(t, address, fmt.Sprintf("Content-Length: %d", size), "")
		_, err := conn.Write(make([]byte, size))
		require.NoError(t, err)
		status, text := receive(t, conn)
		if size > int(limits.MaxBytes) {
			require.Equal(t, http.StatusRequestEntityTooLarge, status, text)
		} else {
			require.Equal(t, http.StatusServiceUnavailable, status, text)
		}
	}
}
