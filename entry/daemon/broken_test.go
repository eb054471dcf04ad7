package daemon_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// malformedHeads are heads that no HTTP answer has. An agent of an earlier revision passes on
// what a service in trouble sent.
var malformedHeads = map[string]call.Frame{
	"no status":              {},
	"informational status":   {Status: 103},
	"status 600":             {Status: 600},
	"negative status":        {Status: -200},
	"blank in a name":        {Status: 200, Header: []call.Field{{Name: "X Bad", Value: "v"}}},
	"control byte in a name": {Status: 200, Header: []call.Field{{Name: "X\x01", Value: "v"}}},
	"empty name":             {Status: 200, Header: []call.Field{{Value: "v"}}},
	"line end in a value":    {Status: 200, Header: []call.Field{{Name: "X", Value: "v\r\nY: z"}}},
}

// Entries took a head without a status for one with status 200.
func TestMalformedHeadFromAgentIsNoAnswer(t *testing.T) {
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.scriptFirstAttempt(func(a *call.Attempt, s *wire.Stream) error {
					_ = s.Send(&call.Frame{ID: a.ID, Type: call.FrameHead, Status: head.Status, Header: head.Header})
					_ = s.Send(&call.Frame{ID: a.ID, Type: call.FramePart, Data: []byte("broken")})
					return s.Send(&call.Frame{ID: a.ID, Type: call.FrameEnd})
				}, "s1", "s2")
				got := h.request("GET", "/lookup/1", keyAnand, "")
				require.Equal(t, 200, got.status, name)
				require.NotContains(t, got.body, "broken", name)
				require.Len(t, h.attemptsAt("s1", "s2"), 2, name)
			})
		})
	}
}

// A service's answer needs a head.
func TestAnswerWithoutHeadFromAgentIsNoAnswer(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.scriptFirstAttempt(func(a *call.Attempt, s *wire.Stream) error {
			_ = s.Send(&call.Frame{ID: a.ID, Type: call.FramePart, Data: []byte("broken")})
			return s.Send(&call.Frame{ID: a.ID, Type: call.FrameEnd})
		}, "s1", "s2")
		got := h.request("GET", "/lookup/1", keyAnand, "")
		require.Equal(t, 200, got.status)
		require.NotContains(t, got.body, "broken")
	})
}

// The answer to a request that must run once is neither delivered nor recorded if its head is
// malformed, also if the agent's record of it is all that is left, and the request is not sent
// again.
func TestMalformedRecordedAnswerIsNoAnswer(t *testing.T) {
	for name, head := range malformedHeads {
		for _, interrupted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, interrupted %t", name, interrupted), func(t *testing.T) {
				withHarness(t, func(h *harness) {
					var runs atomic.Int32
					for _, agent := range []string{"s1", "s2"} {
						h.agents[agent].setRun(func(a *call.Attempt, s *wire.Stream) error {
							runs.Add(1)
							if interrupted {
								return nil
							}
							_ = s.Send(&call.Frame{ID: a.ID, Type: call.FrameHead, Status: head.Status, Header: head.Header})
							_ = s.Send(&call.Frame{ID: a.ID, Type: call.FramePart, Data: []byte("broken")})
							return s.Send(&call.Frame{ID: a.ID, Type: call.FrameEnd})
						})
						h.agents[agent].probe = func(*call.Probe) *call.ProbeReply {
							return &call.ProbeReply{State: call.StateDone, Outcome: &call.Outcome{Status: head.Status, Header: head.Header, Body: []byte("broken")}}
						}
					}
					for _, status := range []int{502, 409} {
						got := h.request("POST", "/filing/1", keyAnand, "one")
						require.Equal(t, status, got.status, "%s %v", name, got.body)
						require.Contains(t, got.body, `"ran":"unknown"`, name)
					}
					require.Equal(t, int32(1), runs.Load(), name)
				})
			})
		}
	}
}

// An answer that was recorded with a malformed head, by an earlier revision, is not given to a
// caller that sends its request again.
func TestMalformedRecordAtControlIsNotReplayed(t *testing.T) {
	withHarness(t, func(h *harness) {
		log := h.recordFilings("s1", "s2")
		require.Equal(t, 200, h.request("POST", "/filing/1", keyAnand, "one").status)
		h.control.change(func() {
			for _, stored := range h.control.claims {
				stored.Outcome.Status = 0
			}
		})
		got := h.request("POST", "/filing/1", keyAnand, "one")
		require.Equal(t, 409, got.status)
		require.Contains(t, got.body, `"ran":"unknown"`)
		require.Equal(t, 1, log.count())
	})
}
