package daemon_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// silence is how long a sound agent may send nothing.
const silence = 1300 * time.Millisecond

// withholdRetries empties the fleet's retry budget.
func (h *harness) withholdRetries() {
	h.control.change(func() { h.control.bucketLevel[budget.Account(budget.AllAgents)] = -1e9 })
}

// silenceAgents delays all that the entry and the agents send each other for the time of
// silence.
func (h *harness) silenceAgents(names ...string) {
	h.network.Isolate("entry", names...)
	time.AfterFunc(silence, func() { h.network.Rejoin("entry", names...) })
}

// answerAfter answers in full after a delay, as an agent whose endpoint is busy.
func answerAfter(delay time.Duration) func(*call.Attempt, *wire.Stream) error {
	return func(a *call.Attempt, s *wire.Stream) error {
		time.Sleep(delay)
		return answer(a, s)
	}
}

// pauseAfter answers in full but pauses after the given number of tokens.
func pauseAfter(tokens int64, pause time.Duration) func(*call.Attempt, *wire.Stream) error {
	return func(a *call.Attempt, s *wire.Stream) error {
		if err := s.Send(&call.Frame{ID: a.ID, Type: call.FrameHead, Status: 200}); err != nil {
			return err
		}
		if err := sendParts(a, s, tokens); err != nil {
			return err
		}
		time.Sleep(pause)
		for at := tokens; at < a.MaxTokens; at++ {
			frame := &call.Frame{ID: a.ID, Type: call.FramePart, Index: at, Data: []byte(word(at)), Tokens: 1}
			if err := s.Send(frame); err != nil {
				return err
			}
		}
		return sendEnd(a, s, a.MaxTokens)
	}
}

// A new request pings an agent that has sent nothing for a while. If the agent is silent
// for longer than the ping's timeout and no retry is possible, neither the new request
// nor those that share its session end.
func TestSilentAgentKeepsItsRequestsWithoutRetryBudget(t *testing.T) {
	for _, stream := range []bool{true, false} {
		withHarness(t, func(h *harness) {
			h.report("e2", func(r *roster.Record) { r.Draining = true })
			h.agents["e1"].setRun(pauseAfter(5, 2500*time.Millisecond))
			h.withholdRetries()
			got := make(chan reply, 2)
			send := func() { got <- h.complete(keyAnand, "notes", 20, stream) }
			go send()
			time.Sleep(time.Second)
			h.silenceAgents("e1")
			time.Sleep(100 * time.Millisecond)
			go send()
			for range 2 {
				end := <-got
				require.Equal(t, 200, end.status, end.body)
				text := end.body
				if stream {
					text = streamedText(t, end.body)
				}
				require.Contains(t, text, words(20), end.body)
			}
			require.Len(t, h.attemptsAt("e1", "e2"), 2)
		})
	}
}

// A retry is possible, but the other agent refuses each attempt as full: the request stays
// at the silent agent.
func TestSilentAgentKeepsItsRequestIfTheOtherAgentIsFull(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.report("s2", func(r *roster.Record) { r.Draining = true })
		h.agents["s1"].setRun(answerAfter(2500 * time.Millisecond))
		h.agents["s2"].setRun(refuse(call.ReasonFull, false))
		got := make(chan reply, 2)
		send := func() { got <- h.request("GET", "/lookup/1", keyAnand, "") }
		go send()
		time.Sleep(time.Second)
		h.silenceAgents("s1")
		time.Sleep(100 * time.Millisecond)
		go send()
		time.Sleep(100 * time.Millisecond)
		h.report("s2", func(r *roster.Record) { r.Draining = false })
		h.report("s1", func(r *roster.Record) { r.Draining = true })
		for range 2 {
			end := <-got
			require.Equal(t, 200, end.status, end.body)
			require.Less(t, end.took, 4*time.Second)
		}
		require.Len(t, h.attemptsAt("s1"), 2)
	})
}

// An entry that cannot connect to any agent for the time of a silence has sent nothing, so
// it connects again without using the retry budget.
func TestRequestOutlastsSilenceOfAllAgentsWithoutRetryBudget(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.withholdRetries()
		h.silenceAgents("e1", "e2", "s1", "s2")
		got := make(chan reply, 2)
		go func() { got <- h.complete(keyAnand, "notes", 20, false) }()
		go func() { got <- h.request("GET", "/lookup/1", keyAnand, "") }()
		for range 2 {
			end := <-got
			require.Equal(t, 200, end.status, end.body)
		}
	})
}

// A request that must not run twice pings its agent before it is sent. A ping that is
// not answered in time ends neither other requests on the session nor that request.
func TestSilentAgentKeepsItsRequestsBesideFiling(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.report("s2", func(r *roster.Record) { r.Draining = true })
		h.agents["s1"].setRun(answerAfter(2500 * time.Millisecond))
		h.withholdRetries()
		got := make(chan reply, 2)
		go func() { got <- h.request("GET", "/lookup/1", keyAnand, "") }()
		time.Sleep(time.Second)
		h.silenceAgents("s1")
		time.Sleep(100 * time.Millisecond)
		go func() { got <- h.request("POST", "/filing/1", keyAnand, "one") }()
		for range 2 {
			end := <-got
			require.Equal(t, 200, end.status, end.body)
		}
		require.Len(t, h.attemptsAt("s1", "s2"), 2)
	})
}

// The other agent begins the request within the time of the silence: the answer continues
// there, without loss or duplication, and the attempt at the silent agent is withdrawn.
func TestAnswerOfSilentAgentContinuesAtAnother(t *testing.T) {
	for _, stream := range []bool{true, false} {
		withHarness(t, func(h *harness) {
			h.report("e2", func(r *roster.Record) { r.Draining = true })
			withdrawn := make(chan error, 2)
			h.agents["e1"].setRun(func(a *call.Attempt, s *wire.Stream) error {
				_ = s.Send(&call.Frame{ID: a.ID, Type: call.FrameHead, Status: 200})
				_ = sendParts(a, s, 5)
				withdrawn <- s.Receive(&call.Frame{})
				return nil
			})
			got := make(chan reply, 2)
			send := func() { got <- h.complete(keyAnand, "notes", 20, stream) }
			go send()
			time.Sleep(time.Second)
			h.network.Isolate("entry", "e1")
			go send()
			time.Sleep(100 * time.Millisecond)
			h.report("e1", func(r *roster.Record) { r.Draining = true })
			h.report("e2", func(r *roster.Record) { r.Draining = false })
			for range 2 {
				end := <-got
				require.Equal(t, 200, end.status, end.body)
				text := end.body
				if stream {
					text = streamedText(t, end.body)
				}
				require.Contains(t, text, words(20))
				require.Less(t, end.took, 4*time.Second)
			}
			h.network.Rejoin("entry", "e1")
			time.Sleep(time.Second)
			require.NotEmpty(t, withdrawn)
			require.Error(t, <-withdrawn)
			delivered := map[int64]int32{}
			for _, a := range h.attemptsAt("e2") {
				delivered[a.DeliveredTokens] = a.Index
			}
			require.Equal(t, map[int64]int32{0: 1, 5: 1}, delivered)
		})
	}
}

// stopAgents ends agents; connections to them are refused until serveAgents.
func (h *harness) stopAgents(names ...string) {
	for _, name := range names {
		h.agents[name].stop()
		h.network.Crash(name)
	}
}

func (h *harness) serveAgents(names ...string) {
	for _, name := range names {
		h.agents[name].stop = h.serve(name, h.agents[name].handlers())
	}
}

// Agents that refused connections for a second while they restarted used up the attempts of a
// request within less than that, although nothing of it had been sent.
func TestRequestOutlastsRestartOfAllAgents(t *testing.T) {
	for _, away := range []time.Duration{time.Second, 2500 * time.Millisecond} {
		withHarness(t, func(h *harness) {
			h.withholdRetries()
			h.stopAgents("e1", "e2", "s1", "s2")
			got := make(chan reply, 3)
			go func() { got <- h.complete(keyAnand, "notes", 20, false) }()
			go func() { got <- h.request("GET", "/lookup/1", keyAnand, "") }()
			go func() { got <- h.request("POST", "/filing/1", keyAnand, "one") }()
			time.Sleep(away)
			h.serveAgents("e1", "e2", "s1", "s2")
			for range 3 {
				end := <-got
				require.Equal(t, 200, end.status, end.body)
				require.Less(t, end.took, away+time.Second)
			}
			require.Len(t, h.attemptsAt("e1", "e2"), 1)
			require.Len(t, h.attemptsAt("s1", "s2"), 2)
		})
	}
}

// A request is not attempted for ever at agents that refuse all connections but stay in the
// roster, nor without a pause.
func TestRequestIsRefusedIfAgentsStayAway(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.stopAgents("s1", "s2")
		end := h.request("GET", "/lookup/1", keyAnand, "")
		require.Equal(t, 503, end.status, end.body)
		require.Contains(t, end.body, "attempts_failed")
		require.Less(t, end.took, 9*time.Second)
		require.LessOrEqual(t, h.meter.Value("attempts_failed"), int64(2*9*5), "two agents, five times a second")
	})
}
