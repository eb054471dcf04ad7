package direct_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/buffer"
	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	testBound = 1 << 20
	// pausedWrite is how long a caller with a full buffer may block a write: longer than an
	// endpoint may send nothing (maxEventGap, 1.2 s).
	pausedWrite = 1700 * time.Millisecond
)

// Guards against an endpoint that is taken for a stalled one because its caller reads slowly:
// its connection was reset and the run repeated elsewhere. An endpoint that stalls after such
// a pause must still be left.
func TestPauseForSlowCallerIsNotTheEndpoints(t *testing.T) {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"}
	comments := []string{events[0], events[1], ": nothing\n\n"}
	for name, test := range map[string]struct {
		first reply
		calls int
	}{
		"endpoint goes on":           {reply{status: 200, authentic: true, pieces: events, pause: 10 * time.Millisecond}, 1},
		"endpoint stalls afterwards": {reply{status: 200, authentic: true, pieces: comments, pause: 10 * time.Millisecond, endless: true}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{replies: []reply{test.first, {status: 200, authentic: true, body: events[2]}}}
				pool := &buffer.Pool{Bound: testBound, EndpointBound: testBound}
				got, err := run(context.Background(), newFilter(s, 3), func(r *chain.Request) {
					resumable(r)
					r.Memory = pool.NewHold()
					write, paused := r.Write, false
					r.Write = func(frame *call.Frame) error {
						if frame.Type == call.FramePart && !paused && strings.HasPrefix(string(frame.Data), "id: 2") {
							paused = true
							time.Sleep(pausedWrite)
						}
						return write(frame)
					}
				})
				require.NoError(t, err)
				require.True(t, got.ended)
				require.Equal(t, test.calls, len(s.calls))
				require.Equal(t, strings.Join(events, ""), strings.ReplaceAll(got.text, ": nothing\n\n", ""))
			})
		})
	}
}

// Guards against an endpoint that does not read and gets body after body: its requests wait
// until their deadlines, though other endpoints would take them.
func TestEndpointThatDoesNotReadIsPassedOver(t *testing.T) {
	for name, test := range map[string]struct {
		slow   []string
		status int
	}{
		"one of two":    {[]string{"e0"}, 200},
		"all endpoints": {[]string{"e0", "e1"}, 503},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{replies: []reply{good}}
				filter := newFilter(s, 2)
				pool := &buffer.Pool{Bound: testBound, EndpointBound: testBound / 8}
				for _, endpoint := range test.slow {
					_, ok := pool.NewHold().BeginSend(endpoint, testBound/8)
					require.True(t, ok)
				}
				for range 20 {
					got, err := run(context.Background(), filter, func(r *chain.Request) {
						r.Memory, r.Body = pool.NewHold(), []byte("body")
					})
					if test.status == 200 {
						require.NoError(t, err)
						require.EqualValues(t, 200, got.status)
						continue
					}
					refusal := chain.RefusalOf(err)
					require.Equal(t, test.status, refusal.Status)
					require.Equal(t, chain.RanNo, refusal.Ran)
					require.Positive(t, refusal.RetryAfter)
				}
				for _, sent := range s.calls {
					require.Equal(t, "e1", sent.Endpoint.Name)
				}
				if test.status != 200 {
					require.Empty(t, s.calls)
				}
			})
		})
	}
}

// Guards against answers whose memory stays counted after their request, and against bodies
// that stay counted as unread.
func TestMemoryOfRequestIsReleased(t *testing.T) {
	for name, replies := range map[string][]reply{
		"answered": {good}, "failed": {failed}, "failed, then answered": {failed, good}, "lost": {reset}, "unreached": {unreached}, "stream": {wholeStream},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				pool := &buffer.Pool{Bound: testBound, EndpointBound: testBound}
				hold := pool.NewHold()
				before := pool.Usage().Held
				_, _ = run(context.Background(), newFilter(&service{replies: replies}, 3), func(r *chain.Request) {
					r.Route.Idempotent = true
					r.Memory, r.Body = hold, []byte("body")
				})
				usage := pool.Usage()
				require.Zero(t, usage.Unread)
				if !strings.HasPrefix(name, "failed") {
					require.Equal(t, before, usage.Held)
				}
				hold.Release()
				require.Zero(t, pool.Usage().Held)
			})
		})
	}
}
