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

// registry is the court's own book: what was lodged, whoever asked.
type registry struct {
	mutex  sync.Mutex
	lodged []string
	ended  map[string]bool
}

// lodge makes a service run filings in a second, remember them, and answer
// probes as an agent does.
func (w *world) lodge(names ...string) *registry {
	book := &registry{ended: map[string]bool{}}
	for _, name := range names {
		w.agents[name].setRun(func(a *call.Attempt, stream *wire.Stream) error {
			book.add(string(a.ID), string(a.Body))
			time.Sleep(time.Second)
			book.end(string(a.ID))
			return answer(a, stream)
		})
		w.agents[name].probe = book.probe
	}
	return book
}

func (b *registry) add(id, body string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lodged = append(b.lodged, body)
	b.ended[id] = false
}

func (b *registry) end(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ended[id] = true
}

func (b *registry) probe(p *call.Probe) *call.ProbeReply {
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

func (b *registry) count() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.lodged)
}

func TestResendGetsTheRecordedAnswer(t *testing.T) {
	inWorld(t, func(w *world) {
		book := w.lodge("s1", "s2")
		for i, header := range []string{"", "true", "true"} {
			got := w.request("POST", "/filing/1", keyAnand, "one")
			require.Equal(t, 200, got.status, got.body)
			require.Equal(t, "filed one", got.body)
			require.Equal(t, header, got.header.Get("Idempotent-Replayed"), i)
		}
		require.Equal(t, 1, book.count())
		require.Equal(t, 200, w.request("POST", "/filing/1", keyAnand, "two").status)
		require.Equal(t, 2, book.count())
	})
}

func TestIdempotencyKeyIsBoundToItsRequest(t *testing.T) {
	inWorld(t, func(w *world) {
		book := w.lodge("s1", "s2")
		stated := []string{"Idempotency-Key", "k1"}
		require.Equal(t, 200, w.request("POST", "/filing/1", keyAnand, "one", stated...).status)
		got := w.request("POST", "/filing/1", keyAnand, "two", stated...)
		require.Equal(t, 422, got.status)
		require.Contains(t, got.body, `"ran":"no"`)
		require.Equal(t, 200, w.request("POST", "/filing/1", keyAnand, "one", "Idempotency-Key", "k2").status)
		require.Equal(t, 2, book.count())
	})
}

func TestResendWaitsForTheRunningRequest(t *testing.T) {
	inWorld(t, func(w *world) {
		book := w.lodge("s1", "s2")
		got := make(chan reply, 5)
		for range 5 {
			go func() { got <- w.request("POST", "/filing/1", keyAnand, "one") }()
		}
		for range 5 {
			require.Equal(t, "filed one", (<-got).body)
		}
		require.Equal(t, 1, book.count())
	})
}

func TestFilingIsRefusedWithoutControl(t *testing.T) {
	inWorld(t, func(w *world) {
		book := w.lodge("s1", "s2")
		w.control.change(func() { w.control.deaf = true })
		got := w.request("POST", "/filing/1", keyAnand, "one")
		require.Equal(t, 503, got.status)
		require.Contains(t, got.body, `"ran":"unknown"`, "an earlier sending may have run")
		require.Zero(t, book.count())
		w.control.change(func() { w.control.deaf = false })
		require.Equal(t, 200, w.request("POST", "/filing/1", keyAnand, "one").status)
		w.control.change(func() { w.control.deaf = true })
		again := w.request("POST", "/filing/1", keyAnand, "one")
		require.Equal(t, 503, again.status)
		require.NotContains(t, again.body, `"ran":"no"`, "it has run")
		require.Equal(t, 1, book.count())
	})
}

func TestAnswerIsSentOnlyAfterItsOutcomeIsRecorded(t *testing.T) {
	inWorld(t, func(w *world) {
		book := w.lodge("s1", "s2")
		w.control.onClaim = func(ask *plane.ClaimRequest) {
			if ask.Verb == plane.VerbDone {
				w.control.change(func() { w.control.deaf = true })
			}
		}
		got := w.request("POST", "/filing/1", keyAnand, "one")
		require.Equal(t, 409, got.status)
		require.Contains(t, got.body, `"ran":"unknown"`)
		w.control.onClaim = nil
		w.control.change(func() { w.control.deaf = false })
		got = w.request("POST", "/filing/1", keyAnand, "one")
		require.Equal(t, "filed one", got.body)
		require.Equal(t, "true", got.header.Get("Idempotent-Replayed"))
		require.Equal(t, 1, book.count())
	})
}

// TestFilingRunsOnceWhenItsEntryCrashes kills the entry at each step of a
// filing and sends the filing again at another entry.
func TestFilingRunsOnceWhenItsEntryCrashes(t *testing.T) {
	cases := []struct {
		name   string
		step   plane.Verb
		after  time.Duration
		status int
	}{
		{"before the claim is committed", plane.VerbClaim, 0, 200},
		{"after the claim, before the attempt", plane.VerbClaim, 1100 * time.Microsecond, 200},
		{"while it runs", plane.VerbClaim, 500 * time.Millisecond, 200},
		{"before the outcome is committed", plane.VerbDone, 0, 200},
		{"after the outcome, before the answer", plane.VerbDone, 1100 * time.Microsecond, 200},
	}
	for _, c := range cases {
		inWorld(t, func(w *world) {
			book := w.lodge("s1", "s2")
			crash := sync.OnceFunc(func() {
				time.Sleep(c.after)
				w.kill("entry")
			})
			w.control.onClaim = func(ask *plane.ClaimRequest) {
				if ask.Entry != "entry" || ask.Verb != c.step {
					return
				}
				if c.after == 0 {
					crash()
					return
				}
				go crash()
			}
			w.killed = append(w.killed, w.ended)
			go w.try(time.Minute)
			time.Sleep(1500 * time.Millisecond)
			w.startEntry("other")
			time.Sleep(time.Second)
			got := w.requestAt("other", "POST", "/filing/1", keyAnand, "one")
			require.Equal(t, c.status, got.status, c.name+": "+got.body)
			require.Equal(t, "filed one", got.body, c.name)
			require.Equal(t, 1, book.count(), c.name)
		})
	}
}

func TestLostAnswerOfFilingIsRecovered(t *testing.T) {
	inWorld(t, func(w *world) {
		book := w.lodge("s1", "s2")
		go func() {
			time.Sleep(500 * time.Millisecond)
			w.network.Silence("entry", "s1")
			w.network.Silence("entry", "s2")
		}()
		got := w.request("POST", "/filing/1", keyAnand, "one")
		require.Equal(t, 200, got.status, got.body)
		require.Equal(t, "filed one", got.body)
		require.Equal(t, 1, book.count())
	})
}

func TestRejectedFilingIsSentToAnotherEndpoint(t *testing.T) {
	inWorld(t, func(w *world) {
		book := w.lodge("s2")
		w.agents["s1"].setRun(refuse(call.ReasonDraining, false))
		for at := range int64(30) {
			require.Equal(t, 200, w.request("POST", "/filing/1", keyAnand, word(at)).status)
		}
		require.Equal(t, 30, book.count())
		require.NotEmpty(t, w.all("s1"))
	})
}

func TestOutcomeOfFilingAtARestartedAgentIsUnknown(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		inWorld(t, func(w *world) {
			lost := func(*call.Attempt, *wire.Stream) error {
				for _, name := range []string{"s1", "s2"} {
					w.report(name, func(r *roster.Record) { r.Incarnation = 8 })
					if !reachable {
						w.network.Crash(name)
					}
				}
				return nil
			}
			w.first(lost, "s1", "s2")
			got := w.request("POST", "/filing/1", keyAnand, "one")
			require.Contains(t, got.body, `"ran":"unknown"`)
			require.Less(t, got.took, 5*time.Second)
			got = w.request("POST", "/filing/1", keyAnand, "one")
			require.Equal(t, 409, got.status)
			require.Contains(t, got.body, "outcome_unknown")
			require.Len(t, w.all("s1", "s2"), 1)
		})
	}
}

func TestFilingFinishesAfterItsCallerDisconnects(t *testing.T) {
	inWorld(t, func(w *world) {
		book := w.lodge("s1", "s2")
		w.try(500 * time.Millisecond)
		time.Sleep(2 * time.Second)
		require.Equal(t, []plane.ClaimState{plane.ClaimDone}, w.control.claimStates())
		require.Equal(t, "filed one", w.request("POST", "/filing/1", keyAnand, "one").body)
		require.Equal(t, 1, book.count())
	})
}
