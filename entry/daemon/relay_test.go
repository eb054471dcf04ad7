package daemon_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// scriptFirstAttempt makes the first attempt at any of the agents run a script; all
// later attempts are answered in full.
func (h *harness) scriptFirstAttempt(run func(*call.Attempt, *wire.Stream) error, names ...string) {
	scripts := make(chan func(*call.Attempt, *wire.Stream) error, 1)
	scripts <- run
	for _, name := range names {
		h.agents[name].setRun(func(a *call.Attempt, stream *wire.Stream) error {
			select {
			case run := <-scripts:
				return run(a, stream)
			default:
				return answer(a, stream)
			}
		})
	}
}

func (h *harness) attemptsAt(names ...string) []call.Attempt {
	var all []call.Attempt
	for _, name := range names {
		all = append(all, h.agents[name].receivedAttempts()...)
	}
	return all
}

func TestInterruptedAnswerIsResumedWithoutLossOrDuplication(t *testing.T) {
	foreign := func(a *call.Attempt) *call.Frame {
		id := make([]byte, call.IDSize)
		return &call.Frame{ID: id, Type: call.FramePart, Index: 20, Data: []byte("FOREIGN "), Tokens: 1}
	}
	breaks := map[string]func(a *call.Attempt, stream *wire.Stream) error{
		"closed without an end mark": func(*call.Attempt, *wire.Stream) error { return nil },
		"endpoint lost":              refuse(call.ReasonEngineLost, true),
		"end mark with a part missing": func(a *call.Attempt, stream *wire.Stream) error {
			return sendEnd(a, stream, 30)
		},
		"part missing": func(a *call.Attempt, stream *wire.Stream) error {
			_ = stream.Send(&call.Frame{ID: a.ID, Type: call.FramePart, Index: 21, Data: []byte("LATER "), Tokens: 1})
			return sendEnd(a, stream, 21)
		},
		"another attempt's part": func(a *call.Attempt, stream *wire.Stream) error {
			_ = stream.Send(foreign(a))
			return sendEnd(a, stream, 21)
		},
		"part twice, then closed": func(a *call.Attempt, stream *wire.Stream) error {
			return stream.Send(&call.Frame{ID: a.ID, Type: call.FramePart, Index: 19, Data: []byte("TWICE "), Tokens: 1})
		},
	}
	for name, broken := range breaks {
		for _, stream := range []bool{true, false} {
			withHarness(t, func(h *harness) {
				h.scriptFirstAttempt(func(a *call.Attempt, s *wire.Stream) error {
					_ = s.Send(&call.Frame{ID: a.ID, Type: call.FrameHead, Status: 200})
					_ = sendParts(a, s, 20)
					return broken(a, s)
				}, "e1", "e2")
				h.control.setConfig(switchVersion)
				got := h.complete(keyAnand, "notes", 100, stream)
				require.Equal(t, 200, got.status, name)
				text := got.body
				if stream {
					text = streamedText(t, got.body)
					require.Equal(t, words(100), text, name)
				}
				require.Contains(t, text, words(100), name)
				all := h.attemptsAt("e1", "e2")
				require.Len(t, all, 2, name)
				require.Equal(t, all[0].Version, all[1].Version, name)
				require.NotEqual(t, all[0].ID, all[1].ID, name)
			})
		}
	}
}

func TestResumedAnswerStaysWithinItsReservedTokens(t *testing.T) {
	for _, at := range []int64{1, 40, 63, 64, 65, 100} {
		withHarness(t, func(h *harness) {
			h.scriptFirstAttempt(func(a *call.Attempt, s *wire.Stream) error {
				_ = s.Send(&call.Frame{ID: a.ID, Type: call.FrameHead, Status: 200})
				return sendParts(a, s, at)
			}, "e1", "e2")
			got := h.complete(keyAnand, "notes", 100, true)
			require.Equal(t, words(100), streamedText(t, got.body), at)
			require.Contains(t, got.body, "[DONE]", at)
			all := h.attemptsAt("e1", "e2")
			if at == 100 {
				require.Len(t, all, 1, "only the end mark was lost")
				return
			}
			slices.SortFunc(all, func(a, b call.Attempt) int { return int(a.Index - b.Index) })
			require.Equal(t, at, all[1].DeliveredTokens)
			require.Positive(t, all[1].ReservedTokens, at)
			require.LessOrEqual(t, all[1].DeliveredTokens+all[1].ReservedTokens, int64(100), at)
			time.Sleep(time.Second)
			h.control.mutex.Lock()
			defer h.control.mutex.Unlock()
			require.Equal(t, int64(2+100), h.control.granted["anand"]-h.control.returned["anand"])
			require.Equal(t, int64(2+100), h.control.spent["anand"])
		})
	}
}

func TestResumedAnswerWaitsForItsTokens(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.scriptFirstAttempt(func(a *call.Attempt, s *wire.Stream) error {
			h.control.change(func() { h.control.bucketLevel["anand"] = -3000 })
			return sendParts(a, s, a.ReservedTokens)
		}, "e1", "e2")
		got := h.complete(keyAnand, "notes", 100, false)
		require.Contains(t, got.body, words(100))
		require.Greater(t, got.took, 2*time.Second)
		for _, attempt := range h.attemptsAt("e1", "e2") {
			require.Positive(t, attempt.ReservedTokens, "an agent treats 0 tokens as no limit")
		}
	})
}

func TestInterruptedLargeAnswerIsNotRetried(t *testing.T) {
	withHarness(t, func(h *harness) {
		for _, name := range []string{"s1", "s2"} {
			h.agents[name].setRun(func(a *call.Attempt, s *wire.Stream) error {
				_ = s.Send(&call.Frame{ID: a.ID, Type: call.FrameHead, Status: 200})
				for at := range int64(10) {
					_ = s.Send(&call.Frame{ID: a.ID, Type: call.FramePart, Index: at, Data: make([]byte, 1<<20)})
				}
				return nil
			})
		}
		got := h.request("GET", "/lookup/1", keyAnand, "")
		require.Contains(t, got.body, "(answer interrupted)")
		require.Len(t, h.attemptsAt("s1", "s2"), 1)
	})
}

func TestAnswerWithoutBodyIsPassedOn(t *testing.T) {
	withHarness(t, func(h *harness) {
		for _, name := range []string{"s1", "s2"} {
			h.agents[name].setRun(func(a *call.Attempt, s *wire.Stream) error {
				_ = s.Send(&call.Frame{ID: a.ID, Type: call.FrameHead, Status: 204, Header: []call.Field{{Name: "X-Register", Value: "7"}}})
				_ = s.Send(&call.Frame{ID: a.ID, Type: call.FramePart, Data: []byte("no body belongs here")})
				return s.Send(&call.Frame{ID: a.ID, Type: call.FrameEnd})
			})
		}
		got := h.request("DELETE", "/lookup/1", keyAnand, "")
		require.Equal(t, 204, got.status)
		require.Equal(t, "7", got.header.Get("X-Register"))
	})
}

func TestWrongVersionIsNotAnswered(t *testing.T) {
	withHarness(t, func(h *harness) {
		for _, name := range []string{"e1", "e2"} {
			h.agents[name].setRun(func(a *call.Attempt, s *wire.Stream) error {
				_ = sendParts(a, s, a.MaxTokens)
				return s.Send(&call.Frame{ID: a.ID, Type: call.FrameEnd, Tokens: a.MaxTokens, Version: "v0"})
			})
		}
		got := h.complete(keyAnand, "notes", 3, false)
		require.Equal(t, 502, got.status)
		require.Contains(t, got.body, "wrong_version")
		require.NotContains(t, got.body, word(0))
	})
}

func TestRejectedAttemptIsSentToAnotherEndpoint(t *testing.T) {
	for _, reason := range []call.Reason{call.ReasonDraining, call.ReasonFull, call.ReasonOtherIncarnation, call.ReasonLeaseExpired, call.ReasonSuspect} {
		withHarness(t, func(h *harness) {
			for range 60 {
				h.scriptFirstAttempt(refuse(reason, false), "e1", "e2")
				require.Equal(t, 200, h.complete(keyAnand, "notes", 1, false).status, string(reason))
			}
		})
	}
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.agents["s1"].setRun(refuse(call.ReasonEngineLost, true))
		h.agents["s2"].setRun(refuse(call.ReasonLoadFailed, false))
		refused := 0
		for range 100 {
			got := h.request("GET", "/lookup/1", keyAnand, "")
			require.NotEqual(t, 200, got.status)
			refused++
		}
		attempts := len(h.attemptsAt("s1", "s2"))
		require.LessOrEqual(t, attempts, refused+refused/10+20)
	})
}

// An entry that replaces a crashed one sends no more retries than its predecessor left
// of the fleet's budget.
func TestRetriesStayWithinTheBudgetAcrossRestarts(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.agents["s1"].setRun(refuse(call.ReasonEngineLost, true))
		h.agents["s2"].setRun(refuse(call.ReasonLoadFailed, false))
		sent, entry := 0, "entry"
		for _, next := range []string{"second", "third", ""} {
			for range 30 {
				got := h.requestAt(entry, "GET", "/lookup/1", keyAnand, "")
				require.NotEqual(t, 200, got.status)
				sent++
			}
			if next == "" {
				break
			}
			h.killEntry(entry)
			h.killed = append(h.killed, h.ended)
			h.startEntry(next)
			time.Sleep(500 * time.Millisecond)
			entry = next
		}
		require.LessOrEqual(t, len(h.attemptsAt("s1", "s2")), sent+sent/10+20)
	})
}

func TestRequestIsRefusedWithRetryAfterIfNoEndpointIsAvailable(t *testing.T) {
	withHarness(t, func(h *harness) {
		for _, name := range []string{"e1", "e2"} {
			h.report(name, func(r *roster.Record) { r.Draining = true })
		}
		got := h.complete(keyAnand, "notes", 1, false)
		require.Equal(t, 503, got.status)
		require.Contains(t, got.body, `"ran":"no"`)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Empty(t, h.attemptsAt("e1", "e2"))
		done := make(chan reply, 1)
		go func() { done <- h.complete(keyAnand, "notes", 1, false) }()
		time.Sleep(3 * time.Second)
		h.report("e2", func(r *roster.Record) { r.Draining = false })
		require.Equal(t, 200, (<-done).status)
	})
}

func TestDisconnectOfCallerCancelsItsAttempt(t *testing.T) {
	withHarness(t, func(h *harness) {
		cancelled := make(chan bool, 2)
		for _, name := range []string{"e1", "e2"} {
			h.agents[name].setRun(func(a *call.Attempt, s *wire.Stream) error {
				var frame call.Frame
				err := s.Receive(&frame)
				cancelled <- err == nil && frame.Type == call.FrameCancel
				return err
			})
		}
		h.client.Timeout = time.Second
		_, err := h.client.Post("http://entry:80/v1/completions", "", strings.NewReader(`{}`))
		require.NoError(t, err)
		go h.sendAndDisconnect()
		require.True(t, <-cancelled)
	})
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	withHarness(t, func(h *harness) {
		for range 8 {
			require.Equal(t, 200, h.request("GET", "/lookup/1", keyAnand, "").status)
		}
		time.Sleep(time.Second)
		h.network.Silence("entry", "s1")
		h.network.Silence("entry", "s2")
		got := h.request("GET", "/lookup/2", keyAnand, "")
		require.Equal(t, 200, got.status, got.body)
		require.Less(t, got.took, 3*time.Second)
	})
}

func TestFilingIsNotSentOnUnresponsiveConnection(t *testing.T) {
	withHarness(t, func(h *harness) {
		for range 8 {
			require.Equal(t, 200, h.request("GET", "/lookup/1", keyAnand, "").status)
		}
		h.network.Silence("entry", "s1")
		h.network.Silence("entry", "s2")
		before := len(h.attemptsAt("s1", "s2"))
		claims := 0
		h.control.onClaim = func(request *plane.ClaimRequest) {
			if request.Verb == plane.VerbClaim {
				claims++
			}
		}
		got := h.request("POST", "/filing/1", keyAnand, "one")
		require.Equal(t, 200, got.status, got.body)
		require.Less(t, got.took, 3*time.Second)
		require.Len(t, h.attemptsAt("s1", "s2"), before+1)
		require.Equal(t, 1, claims)
	})
}

func TestQuarantinedRequestIsRefusedBetweenAttempts(t *testing.T) {
	withHarness(t, func(h *harness) {
		ban := func(a *call.Attempt, suspect bool) {
			h.control.change(func() {
				h.control.bansRevision++
				h.control.bans = []plane.Ban{{Digest: a.Digest, Suspect: suspect, Remaining: 60e9}}
			})
			time.Sleep(100 * time.Millisecond)
		}
		h.scriptFirstAttempt(func(a *call.Attempt, s *wire.Stream) error {
			ban(a, true)
			return refuse(call.ReasonEngineLost, true)(a, s)
		}, "e1", "e2")
		require.Equal(t, 200, h.complete(keyAnand, "notes", 1, false).status)
		all := h.attemptsAt("e1", "e2")
		require.Len(t, all, 2)
		require.True(t, all[0].Suspect != all[1].Suspect)

		h.scriptFirstAttempt(func(a *call.Attempt, s *wire.Stream) error {
			ban(a, false)
			return refuse(call.ReasonEngineLost, true)(a, s)
		}, "e1", "e2")
		got := h.complete(keyAnand, "notes", 1, false)
		require.Equal(t, 422, got.status)
		require.Contains(t, got.body, `"ran":"unknown"`)
		got = h.complete(keyAnand, "notes", 1, false)
		require.Equal(t, 422, got.status)
		require.Contains(t, got.body, `"ran":"no"`)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Len(t, h.attemptsAt("e1", "e2"), 3)
		other := h.request("POST", "/v1/completions", keyAnand, `{"model":"notes","prompt":"other","max_tokens":1}`)
		require.Equal(t, 200, other.status)
	})
}

func TestRequestThatCrashesTwoEndpointsIsNotRetried(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startAgent("e3", roster.Record{Model: "base", AdapterSlots: 4, RequestSlots: 8})
		for _, name := range []string{"e1", "e2", "e3"} {
			h.agents[name].setRun(refuse(call.ReasonEngineLost, true))
		}
		time.Sleep(100 * time.Millisecond)
		got := h.complete(keyAnand, "notes", 1, false)
		require.Equal(t, 502, got.status)
		require.Contains(t, got.body, `"ran":"unknown"`)
		require.Len(t, h.attemptsAt("e1", "e2", "e3"), 2)
	})
}

func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	withHarness(t, func(h *harness) {
		got := make(chan reply, 3)
		go func() { got <- h.complete(keyAnand, "notes", 1000, true) }()
		go func() { got <- h.complete(keyAnand, "notes", 800, false) }()
		time.Sleep(time.Second)
		h.stop()
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 503, h.request("GET", "/healthz/ready", "", "").status)
		go func() { got <- h.complete(keyAnand, "notes", 500, true) }()
		for range 3 {
			end := <-got
			require.Equal(t, 200, end.status)
			require.NotContains(t, end.body, "error")
			require.NotContains(t, end.body, "answer interrupted")
		}
		require.NoError(t, <-h.ended)
		h.ended <- nil
		h.control.mutex.Lock()
		defer h.control.mutex.Unlock()
		require.True(t, h.control.heartbeats[len(h.control.heartbeats)-1].Departing)
		require.Equal(t, int64(2+1000+2+800+2+500), h.control.granted["anand"]-h.control.returned["anand"])
	})
}
