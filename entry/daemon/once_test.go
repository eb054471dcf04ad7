package daemon_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// filingLog records the filings that the services ran, independent of their answers.
type filingLog struct {
	mutex sync.Mutex
	filed []string
	ended map[string]bool
}

// recordFilings makes services run each filing for a second, record it, and answer
// probes as an agent does.
func (h *harness) recordFilings(names ...string) *filingLog {
	log := &filingLog{ended: map[string]bool{}}
	for _, name := range names {
		h.agents[name].setRun(func(a *call.Attempt, stream *wire.Stream) error {
			log.add(string(a.ID), string(a.Body))
			time.Sleep(time.Second)
			log.end(string(a.ID))
			return answer(a, stream)
		})
		h.agents[name].probe = log.probe
	}
	return log
}

func (b *filingLog) add(id, body string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.filed = append(b.filed, body)
	b.ended[id] = false
}

func (b *filingLog) end(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ended[id] = true
}

func (b *filingLog) probe(p *call.Probe) *call.ProbeReply {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	ended, seen := b.ended[string(p.ID)]
	switch {
	case !seen:
		return &call.ProbeReply{State: call.StateNotRun}
	case !ended:
		return &call.ProbeReply{State: call.StateRunning}
	}
	return &call.ProbeReply{State: call.StateDone, Outcome: outcome(200, "filed one")}
}

func (b *filingLog) count() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.filed)
}

func TestResendGetsTheRecordedAnswer(t *testing.T) {
	withHarness(t, func(h *harness) {
		log := h.recordFilings("s1", "s2")
		for i, header := range []string{"", "true", "true"} {
			got := h.request("POST", "/filing/1", keyAnand, "one")
			require.Equal(t, 200, got.status, got.body)
			require.Equal(t, "filed one", got.body)
			require.Equal(t, header, got.header.Get("Idempotent-Replayed"), i)
		}
		require.Equal(t, 1, log.count())
		require.Equal(t, 200, h.request("POST", "/filing/1", keyAnand, "two").status)
		require.Equal(t, 2, log.count())
	})
}

func TestIdempotencyKeyIsBoundToItsRequest(t *testing.T) {
	withHarness(t, func(h *harness) {
		log := h.recordFilings("s1", "s2")
		stated := []string{"Idempotency-Key", "k1"}
		require.Equal(t, 200, h.request("POST", "/filing/1", keyAnand, "one", stated...).status)
		got := h.request("POST", "/filing/1", keyAnand, "two", stated...)
		require.Equal(t, 422, got.status)
		require.Contains(t, got.body, `"ran":"no"`)
		require.Equal(t, 200, h.request("POST", "/filing/1", keyAnand, "one", "Idempotency-Key", "k2").status)
		require.Equal(t, 2, log.count())
	})
}

func TestResendWaitsForTheRunningRequest(t *testing.T) {
	withHarness(t, func(h *harness) {
		log := h.recordFilings("s1", "s2")
		got := make(chan reply, 5)
		for range 5 {
			go func() { got <- h.request("POST", "/filing/1", keyAnand, "one") }()
		}
		for range 5 {
			require.Equal(t, "filed one", (<-got).body)
		}
		require.Equal(t, 1, log.count())
	})
}

func TestFilingIsRefusedWithoutControl(t *testing.T) {
	withHarness(t, func(h *harness) {
		log := h.recordFilings("s1", "s2")
		h.control.change(func() { h.control.refuseClaims = true })
		got := h.request("POST", "/filing/1", keyAnand, "one")
		require.Equal(t, 503, got.status)
		require.Contains(t, got.body, `"ran":"unknown"`, "an earlier attempt may have run")
		require.Zero(t, log.count())
		h.control.change(func() { h.control.refuseClaims = false })
		require.Equal(t, 200, h.request("POST", "/filing/1", keyAnand, "one").status)
		h.control.change(func() { h.control.refuseClaims = true })
		again := h.request("POST", "/filing/1", keyAnand, "one")
		require.Equal(t, 503, again.status)
		require.NotContains(t, again.body, `"ran":"no"`, "the request has run")
		require.Equal(t, 1, log.count())
	})
}

func TestAnswerIsSentOnlyAfterItsOutcomeIsRecorded(t *testing.T) {
	withHarness(t, func(h *harness) {
		log := h.recordFilings("s1", "s2")
		h.control.onClaim = func(request *plane.ClaimRequest) {
			if request.Verb == plane.VerbDone {
				h.control.change(func() { h.control.refuseClaims = true })
			}
		}
		got := h.request("POST", "/filing/1", keyAnand, "one")
		require.Equal(t, 409, got.status)
		require.Contains(t, got.body, `"ran":"unknown"`)
		h.control.onClaim = nil
		h.control.change(func() { h.control.refuseClaims = false })
		got = h.request("POST", "/filing/1", keyAnand, "one")
		require.Equal(t, "filed one", got.body)
		require.Equal(t, "true", got.header.Get("Idempotent-Replayed"))
		require.Equal(t, 1, log.count())
	})
}

// TestFilingRunsOnceWhenItsEntryCrashes crashes the entry at each step of a filing and
// sends the filing again at another entry.
func TestFilingRunsOnceWhenItsEntryCrashes(t *testing.T) {
	cases := []struct {
		name   string
		step   plane.Verb
		after  time.Duration
		status int
	}{
		{"before the claim is committed", plane.VerbClaim, 0, 200},
		{"after the claim, before the attempt", plane.VerbClaim, 1100 * time.Microsecond, 200},
		{"while the filing runs", plane.VerbClaim, 500 * time.Millisecond, 200},
		{"before the outcome is committed", plane.VerbDone, 0, 200},
		{"after the outcome, before the answer", plane.VerbDone, 1100 * time.Microsecond, 200},
	}
	for _, c := range cases {
		withHarness(t, func(h *harness) {
			log := h.recordFilings("s1", "s2")
			crash := sync.OnceFunc(func() {
				time.Sleep(c.after)
				h.killEntry("entry")
			})
			h.control.onClaim = func(request *plane.ClaimRequest) {
				if request.Entry != "entry" || request.Verb != c.step {
					return
				}
				if c.after == 0 {
					crash()
					return
				}
				go crash()
			}
			h.killed = append(h.killed, h.ended)
			go h.sendFiling(time.Minute)
			time.Sleep(1500 * time.Millisecond)
			h.startEntry("other")
			time.Sleep(time.Second)
			got := h.requestAt("other", "POST", "/filing/1", keyAnand, "one")
			require.Equal(t, c.status, got.status, c.name+": "+got.body)
			require.Equal(t, "filed one", got.body, c.name)
			require.Equal(t, 1, log.count(), c.name)
		})
	}
}

func TestLostAnswerOfFilingIsRecovered(t *testing.T) {
	withHarness(t, func(h *harness) {
		log := h.recordFilings("s1", "s2")
		go func() {
			time.Sleep(500 * time.Millisecond)
			h.network.Silence("entry", "s1")
			h.network.Silence("entry", "s2")
		}()
		got := h.request("POST", "/filing/1", keyAnand, "one")
		require.Equal(t, 200, got.status, got.body)
		require.Equal(t, "filed one", got.body)
		require.Equal(t, 1, log.count())
	})
}

func TestRejectedFilingIsSentToAnotherEndpoint(t *testing.T) {
	withHarness(t, func(h *harness) {
		log := h.recordFilings("s2")
		h.agents["s1"].setRun(refuse(call.ReasonDraining, false))
		for at := range int64(30) {
			require.Equal(t, 200, h.request("POST", "/filing/1", keyAnand, word(at)).status)
		}
		require.Equal(t, 30, log.count())
		require.NotEmpty(t, h.attemptsAt("s1"))
	})
}

func TestOutcomeOfFilingAtARestartedAgentIsUnknown(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		withHarness(t, func(h *harness) {
			lost := func(*call.Attempt, *wire.Stream) error {
				for _, name := range []string{"s1", "s2"} {
					h.report(name, func(r *roster.Record) { r.Incarnation = 8 })
					if !reachable {
						h.network.Crash(name)
					}
				}
				return nil
			}
			h.scriptFirstAttempt(lost, "s1", "s2")
			got := h.request("POST", "/filing/1", keyAnand, "one")
			require.Contains(t, got.body, `"ran":"unknown"`)
			require.Less(t, got.took, 5*time.Second)
			got = h.request("POST", "/filing/1", keyAnand, "one")
			require.Equal(t, 409, got.status)
			require.Contains(t, got.body, "outcome_unknown")
			require.Len(t, h.attemptsAt("s1", "s2"), 1)
		})
	}
}

func TestFilingFinishesAfterItsCallerDisconnects(t *testing.T) {
	withHarness(t, func(h *harness) {
		log := h.recordFilings("s1", "s2")
		h.sendFiling(500 * time.Millisecond)
		time.Sleep(2 * time.Second)
		require.Equal(t, []plane.ClaimState{plane.ClaimDone}, h.control.claimStates())
		require.Equal(t, "filed one", h.request("POST", "/filing/1", keyAnand, "one").body)
		require.Equal(t, 1, log.count())
	})
}
