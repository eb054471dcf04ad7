package daemon_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// slowBody is a request of which most of the body is missing.
const slowBody = "POST /lookup/1 HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + keyAnand + "\r\nContent-Length: 100\r\n\r\nstart"

// keptCaller sends requests on connections that it keeps as long as the entry allows.
type keptCaller struct {
	h     *harness
	entry string
	pause time.Duration
	// conn is nil without a connection; usableUntil is zero if the entry stated no time.
	conn        net.Conn
	reader      *bufio.Reader
	usableUntil time.Time
	// answered and lost count the requests with and without an answer.
	answered, lost int
}

// run sends requests until the entry refuses connections, or one gets no answer.
func (c *keptCaller) run() {
	for c.send() {
		c.answered++
		time.Sleep(c.pause)
	}
	c.drop()
}

func (c *keptCaller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// closed reports whether the caller knows that the entry has closed the connection.
func (c *keptCaller) closed() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Nanosecond))
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	_, err := c.reader.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// send reports whether a request was answered.
func (c *keptCaller) send() bool {
	if c.conn != nil && (!c.usableUntil.IsZero() && time.Now().After(c.usableUntil) || c.closed()) {
		c.drop()
	}
	if c.conn == nil {
		conn, err := c.h.network.Dialer("caller")(context.Background(), c.entry+":80")
		if err != nil {
			return false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_, err := io.WriteString(c.conn, lookup)
	var answer *http.Response
	if err == nil {
		answer, err = http.ReadResponse(c.reader, nil)
	}
	if err == nil {
		_, err = io.ReadAll(answer.Body)
	}
	if err != nil {
		c.lost++
		return false
	}
	c.usableUntil = time.Time{}
	seconds := 0
	if n, _ := fmt.Sscanf(answer.Header.Get("Keep-Alive"), "timeout=%d", &seconds); n == 1 {
		c.usableUntil = time.Now().Add(time.Duration(seconds) * time.Second)
	}
	if answer.Close {
		c.drop()
	}
	return true
}

// endAfter answers an attempt and ends the answer after a time.
func endAfter(runTime time.Duration) func(a *call.Attempt, stream *wire.Stream) error {
	return func(a *call.Attempt, stream *wire.Stream) error {
		if err := stream.Send(&call.Frame{ID: a.ID, Type: call.FrameHead, Status: http.StatusOK}); err != nil {
			return err
		}
		time.Sleep(runTime)
		return stream.Send(&call.Frame{ID: a.ID, Type: call.FrameEnd})
	}
}

// A stopping entry closed idle connections while their callers still used them: a request that
// was under way at that moment got no answer.
func TestRequestThatCrossesStopIsAnswered(t *testing.T) {
	for _, test := range []struct {
		name  string
		grace time.Duration
		// runTime is the time between the head and the end of an answer.
		runTime time.Duration
	}{
		{"without a limit", 0, 0},
		{"long grace", 8 * time.Second, 0},
		{"short grace", 4 * time.Second, 0},
		{"long answers, without a limit", 0, time.Second},
		{"long answers, long grace", 8 * time.Second, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				if test.runTime > 0 {
					h.agents["s1"].setRun(endAfter(test.runTime))
					h.agents["s2"].setRun(endAfter(test.runTime))
				}
				h.startGraceful(test.grace)
				h.callerLatency.Store(int64(40 * time.Millisecond))
				const (
					step   = 50 * time.Millisecond
					longer = 5 * time.Second
				)
				var callers []*keptCaller
				done := make(chan struct{})
				for pause := time.Duration(0); pause <= longer; pause += step {
					c := &keptCaller{h: h, entry: "graceful", pause: pause}
					callers = append(callers, c)
					go func() { c.run(); done <- struct{}{} }()
				}
				time.Sleep(2 * longer)
				h.stop()
				for range callers {
					<-done
				}
				lost := 0
				for _, c := range callers {
					require.Positive(t, c.answered)
					lost += c.lost
				}
				require.Zero(t, lost, "requests of %d callers ended without an answer", len(callers))
			})
		})
	}
}

// A stopping entry closed a connection on which it had read a part of the first request.
func TestConnectionIsNotClosedWhileItsFirstRequestIsRead(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.stop()
		time.Sleep(harnessLinger - 100*time.Millisecond)
		conn, reader := h.dial()
		time.Sleep(200 * time.Millisecond)
		start, rest, _ := strings.Cut(lookup, "Host")
		_, err := io.WriteString(conn, start)
		require.NoError(t, err)
		time.Sleep(2 * firstRequestDelay)
		_, err = io.WriteString(conn, "Host"+rest)
		require.NoError(t, err)
		answer := readAnswer(t, reader)
		require.Equal(t, http.StatusOK, answer.StatusCode)
		require.True(t, answer.Close, "the connection is not used again")
	})
}

// An answer that began after the stop did not announce that its connection would be closed, if
// the request had arrived before.
func TestAnswerThatBeginsDuringStopClosesConnection(t *testing.T) {
	withHarness(t, func(h *harness) {
		const runTime = 500 * time.Millisecond
		slow := func(a *call.Attempt, stream *wire.Stream) error {
			time.Sleep(runTime)
			return answer(a, stream)
		}
		h.agents["s1"].setRun(slow)
		h.agents["s2"].setRun(slow)
		conn, reader := h.dial()
		_, err := io.WriteString(conn, lookup)
		require.NoError(t, err)
		time.Sleep(runTime / 2)
		h.stop()
		require.True(t, readAnswer(t, reader).Close)
		_, err = reader.ReadByte()
		require.Equal(t, io.EOF, err)
	})
}

// After its linger time, a stopping entry began requests that were cut when it exited.
func TestRequestThatMayOutlastStopIsRefusedAfterLinger(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startGraceful(8 * time.Second)
		conn, reader := h.dialGraceful()
		_, err := io.WriteString(conn, lookup)
		require.NoError(t, err)
		require.Equal(t, "timeout=5", readAnswer(t, reader).Header.Get("Keep-Alive"))
		runs := func() int { return len(h.agents["s1"].receivedAttempts()) + len(h.agents["s2"].receivedAttempts()) }
		before := runs()
		h.stop()
		time.Sleep(harnessLinger + time.Second)
		_, err = io.WriteString(conn, lookup)
		require.NoError(t, err)
		sent := time.Now()
		refusal := readAnswer(t, reader)
		require.Equal(t, http.StatusServiceUnavailable, refusal.StatusCode)
		require.NotEmpty(t, refusal.Header.Get("Retry-After"))
		require.True(t, refusal.Close)
		require.Equal(t, before, runs(), "the request has not run")
		require.Less(t, time.Since(sent), 100*time.Millisecond)
	})
}

// A header or a body that arrives slowly holds up a stop beyond the time at which the process
// is killed.
func TestSlowRequestDoesNotOutlastStop(t *testing.T) {
	withHarness(t, func(h *harness) {
		const grace = 3 * time.Second
		h.startGraceful(grace)
		for _, start := range []string{"G", lookup[:20], slowBody} {
			conn, reader := h.dialGraceful()
			_, err := io.WriteString(conn, lookup)
			require.NoError(t, err)
			readAnswer(t, reader)
			_, err = io.WriteString(conn, start)
			require.NoError(t, err)
		}
		time.Sleep(10 * time.Millisecond)
		stopped := time.Now()
		h.stop()
		err := <-h.ended
		h.ended <- err
		require.LessOrEqual(t, time.Since(stopped), grace+100*time.Millisecond)
	})
}

// A connection on which no more requests arrive holds up a stop after the time for which the
// entry has announced that it stays open.
func TestIdleConnectionDelaysStopForItsAnnouncedTime(t *testing.T) {
	withHarness(t, func(h *harness) {
		const announced, reserve = 5 * time.Second, time.Second
		conn, reader := h.dial()
		_, err := io.WriteString(conn, lookup)
		require.NoError(t, err)
		readAnswer(t, reader)
		answered := time.Now()
		time.Sleep(time.Second)
		h.stop()
		_, err = reader.ReadByte()
		require.Equal(t, io.EOF, err)
		require.Equal(t, announced+reserve, time.Since(answered).Round(10*time.Millisecond))
	})
}
