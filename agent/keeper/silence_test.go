package keeper_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/pace"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// detectionTime is how long an engine may be silent before its agent knows it: the time between
// two reports, and the timeout of a request for one.
const detectionTime = 150*time.Millisecond + 400*time.Millisecond

// silence makes the engine answer nothing for a time.
func (f *fixture) silence(length time.Duration) {
	f.engine.mutex.Lock()
	defer f.engine.mutex.Unlock()
	f.engine.silentUntil = time.Now().Add(length)
}

// patient changes a request to one whose caller waits four seconds at the last engine left to it.
func patient(a *admit.Request) {
	a.LastCandidate, a.Remaining = true, span.Duration(4*time.Second)
	a.FirstTokenRemaining = span.Duration(2 * time.Second)
}

// An engine that answered nothing for a second and then went on counted as down: its agent
// refused the requests that waited, although they could be served in time.
func TestRequestsOutliveTheSilenceOfTheirEngine(t *testing.T) {
	for _, silence := range []time.Duration{900 * time.Millisecond, 1300 * time.Millisecond, 1700 * time.Millisecond} {
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 850 * time.Millisecond} {
			t.Run(fmt.Sprint(silence, " after ", after), func(t *testing.T) {
				run(t, func(f *fixture) {
					f.silence(silence)
					end := time.Now().Add(silence)
					time.Sleep(after)
					reply, _ := f.requestAdmission("a", patient)
					require.Equal(t, admit.ReasonNone, reply.Reason)
					require.Greater(t, time.Until(end), -700*time.Millisecond, "a report and the load of the adapter")
				})
			})
		}
	}
}

// Requests were sent to an engine that had answered nothing for a second, where they could be
// neither refused nor served by another engine.
func TestNothingIsAdmittedWhileTheEngineIsSilent(t *testing.T) {
	run(t, func(f *fixture) {
		f.silence(1300 * time.Millisecond)
		end := time.Now().Add(1300 * time.Millisecond)
		time.Sleep(detectionTime)
		reply, _ := f.requestAdmission("", patient)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.False(t, time.Now().Before(end))
		require.Less(t, time.Since(end), 100*time.Millisecond)
	})
}

// Prompts that were sent to an engine before its silence counted as processed at its end, so that
// all requests that waited were sent at once and delayed its running streams.
func TestPromptsBeforeASilenceAreStillOutstandingAfterIt(t *testing.T) {
	run(t, func(f *fixture) {
		// The prompt takes at least 120 ms at 25 tokens per millisecond.
		long := func(a *admit.Request) { a.PromptTokens = 3000 }
		reply, _ := f.requestAdmission("", long)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		f.silence(1300 * time.Millisecond)
		end := time.Now().Add(1300 * time.Millisecond)
		time.Sleep(700 * time.Millisecond)
		reply, _ = f.requestAdmission("", patient)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.Greater(t, time.Since(end), 100*time.Millisecond)
		require.Less(t, time.Since(end), 400*time.Millisecond)
	})
}

// Prompts that the first report after a silence showed as processed still counted as outstanding,
// so that a request was delayed beside an idle engine.
func TestPromptsProcessedBeforeASilenceDelayNothingAfterIt(t *testing.T) {
	run(t, func(f *fixture) {
		reply, _ := f.requestAdmission("", func(a *admit.Request) { a.ID, a.PromptTokens = "long", 3000 })
		require.Equal(t, admit.ReasonNone, reply.Reason)
		f.silence(1300 * time.Millisecond)
		end := time.Now().Add(1300 * time.Millisecond)
		f.engine.mutex.Lock()
		f.engine.runs = func() []pace.Run {
			f.engine.runs = nil
			return []pace.Run{{ID: "long", Events: 1, Tokens: 3001}}
		}
		f.engine.mutex.Unlock()
		time.Sleep(700 * time.Millisecond)
		reply, _ = f.requestAdmission("", patient)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.False(t, time.Now().Before(end))
		require.Less(t, time.Since(end), 50*time.Millisecond)
	})
}

// Reports that took over 100 ms because the agent was short of processor time counted as the
// silence of a sound engine, and their prompts as outstanding after they had been processed: of
// the requests some were refused and the others waited.
func TestSlowReportsDelayNoAdmission(t *testing.T) {
	for _, millis := range []int{2, 90, 130, 200, 300, 390} {
		t.Run(fmt.Sprint(millis, " ms"), func(t *testing.T) {
			run(t, func(f *fixture) { requireUndelayed(f, time.Duration(millis)*time.Millisecond) })
		})
	}
}

// requireUndelayed sends 25 requests a second of 400 prompt tokens to an engine whose reports take
// a time. The engine makes their first events after 40 ms and ends them after 200 ms.
func requireUndelayed(f *fixture, reportDelay time.Duration) {
	const requests = 150
	var mutex sync.Mutex
	started := map[string]time.Time{}
	f.engine.mutex.Lock()
	f.engine.reportDelay = reportDelay
	f.engine.runs = func() (runs []pace.Run) {
		mutex.Lock()
		defer mutex.Unlock()
		for id, at := range started {
			if time.Since(at) > 40*time.Millisecond {
				runs = append(runs, pace.Run{ID: id, Events: 1, Tokens: 401})
				delete(started, id)
			}
		}
		return runs
	}
	f.engine.mutex.Unlock()
	time.Sleep(700 * time.Millisecond)
	admitted, longest := 0, time.Duration(0)
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			id, began := fmt.Sprint("r", i), time.Now()
			reply, stream := f.requestAdmission("", func(a *admit.Request) {
				patient(a)
				a.ID, a.PromptTokens, a.MaxAnswerTokens = id, 400, 20
				a.FirstTokenRemaining = span.Duration(time.Second)
			})
			if reply.Reason == admit.ReasonNone {
				mutex.Lock()
				admitted++
				longest = max(longest, time.Since(began))
				started[id] = time.Now()
				mutex.Unlock()
				time.Sleep(200 * time.Millisecond)
				mutex.Lock()
				delete(started, id)
				mutex.Unlock()
			}
			require.NoError(f.t, stream.Close())
		})
		time.Sleep(40 * time.Millisecond)
	}
	group.Wait()
	require.Equal(f.t, requests, admitted)
	require.Less(f.t, longest, 50*time.Millisecond)
}

// Loads during which the engine was silent counted as slow ones of an overloaded store, so that
// requests for further adapters were refused although a load took no longer than before.
func TestLoadsBesideASilenceAreNotSlow(t *testing.T) {
	run(t, func(f *fixture) {
		var group sync.WaitGroup
		for _, adapter := range []string{"a", "b"} {
			group.Go(func() {
				reply, stream := f.requestAdmission(adapter, patient)
				require.Equal(t, admit.ReasonNone, reply.Reason)
				require.NoError(t, stream.Close())
			})
		}
		time.Sleep(100 * time.Millisecond)
		f.silence(1300 * time.Millisecond)
		group.Wait()
		reply, _ := f.requestAdmission("c", func(a *admit.Request) { a.FirstTokenRemaining = span.Duration(400 * time.Millisecond) })
		require.Equal(t, admit.ReasonNone, reply.Reason, "a load takes 250 ms")
	})
}

// An agent that is suspended together with its engine finds its requests for a report overdue by
// seconds afterwards, although the engine had no time to answer.
func TestAgentThatWasSuspendedBesideItsEngineRefusesNothing(t *testing.T) {
	run(t, func(f *fixture) {
		f.engine.mutex.Lock()
		f.engine.agentSuspended = true
		f.engine.mutex.Unlock()
		f.silence(2500 * time.Millisecond)
		reply, _ := f.requestAdmission("a", func(a *admit.Request) {
			patient(a)
			a.FirstTokenRemaining = a.Remaining
		})
		require.Equal(t, admit.ReasonNone, reply.Reason)
	})
}

// A request that another engine can serve in time does not wait for a silent one beyond its
// objective, and no request waits for an engine that stays silent.
func TestRequestsLeaveAnEngineThatStaysSilent(t *testing.T) {
	run(t, func(f *fixture) {
		f.silence(time.Minute)
		time.Sleep(detectionTime)
		began := time.Now()
		reply, _ := f.requestAdmission("", func(a *admit.Request) { a.Remaining = span.Duration(4 * time.Second) })
		require.Equal(t, admit.ReasonBusy, reply.Reason, "the engine may go on")
		require.Less(t, time.Since(began), time.Second, "its objective")
		reply, _ = f.requestAdmission("", patient)
		require.NotEqual(t, admit.ReasonNone, reply.Reason)
		require.Less(t, time.Since(began), 2*time.Second, "half of the time that callers wait")
		time.Sleep(time.Second)
		began = time.Now()
		reply, _ = f.requestAdmission("", patient)
		require.Equal(t, admit.ReasonEngineDown, reply.Reason)
		require.Less(t, time.Since(began), 50*time.Millisecond)
	})
}

// Requests waited for a silent engine that did not hold their base model, although another engine
// could begin them at once.
func TestSilentEngineWithoutTheModelRefusesAtOnce(t *testing.T) {
	empty := func(e *engine) { e.model, e.controlDown = false, true }
	runWith(t, empty, func(f *fixture) {
		f.silence(1300 * time.Millisecond)
		time.Sleep(detectionTime)
		began := time.Now()
		reply, _ := f.requestAdmission("a", nil)
		require.Equal(t, admit.ReasonModelMissing, reply.Reason)
		require.Less(t, time.Since(began), 50*time.Millisecond)
	})
}

// An engine that continues after it counted as down still runs its requests and holds its
// adapters.
func TestStateOutlivesALongSilence(t *testing.T) {
	run(t, func(f *fixture) {
		for i := range adapterSlots {
			reply, _ := f.requestAdmission(fmt.Sprint("a", i), nil)
			require.Equal(t, admit.ReasonNone, reply.Reason)
		}
		f.silence(3 * time.Second)
		time.Sleep(2500 * time.Millisecond)
		reply, _ := f.requestAdmission("a0", nil)
		require.Equal(t, admit.ReasonEngineDown, reply.Reason)
		time.Sleep(700 * time.Millisecond)
		reply, _ = f.requestAdmission("a0", nil)
		require.Equal(t, admit.ReasonNone, reply.Reason)
		require.Less(t, reply.Wait.Std(), 50*time.Millisecond)
		reply, _ = f.requestAdmission("b", func(a *admit.Request) { a.Remaining = span.Duration(time.Second) })
		require.Equal(t, admit.ReasonBusy, reply.Reason, "all adapters are in use")
		f.engine.mutex.Lock()
		defer f.engine.mutex.Unlock()
		require.Equal(t, adapterSlots, f.engine.orderCount)
	})
}

// An engine whose connections are refused has ended, which needs no waiting.
func TestRefusedConnectionsShowAtOnceThatAnEngineIsDown(t *testing.T) {
	run(t, func(f *fixture) {
		f.engine.mutex.Lock()
		f.engine.down = true
		f.engine.mutex.Unlock()
		time.Sleep(350 * time.Millisecond)
		began := time.Now()
		reply, _ := f.requestAdmission("", patient)
		require.Equal(t, admit.ReasonEngineDown, reply.Reason)
		require.Less(t, time.Since(began), 50*time.Millisecond)
	})
}

// An engine that ended while it loaded its base model came back empty and was not ordered to
// load the model until the former order had expired, 12 s after it was sent.
func TestEngineThatEndedDuringTheLoadOfItsBaseModelLoadsItAgain(t *testing.T) {
	for name, outage := range map[string]func(f *fixture){
		"refuses connections": func(f *fixture) {
			f.engine.mutex.Lock()
			f.engine.down = true
			f.engine.mutex.Unlock()
		},
		"silent": func(f *fixture) { f.silence(3100 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			empty := func(e *engine) { e.model, e.modelLoadTime = false, 8*time.Second }
			runWith(t, empty, func(f *fixture) {
				outage(f)
				time.Sleep(3 * time.Second)
				f.engine.mutex.Lock()
				f.engine.down, f.engine.seq, f.engine.modelLoadEnd, f.engine.modelLoadTime, f.engine.started = false, 0, time.Time{}, time.Second, 2
				f.engine.mutex.Unlock()
				time.Sleep(2 * time.Second)
				f.engine.mutex.Lock()
				defer f.engine.mutex.Unlock()
				require.True(t, f.engine.model)
			})
		})
	}
}

// Admissions that end before their requests are sent delay other requests as if the engine had
// to process their prompts.
func TestUnusedAdmissionsDelayNoOtherRequest(t *testing.T) {
	run(t, func(f *fixture) {
		_, _ = f.requestAdmission("", nil)
		time.Sleep(300 * time.Millisecond)
		for i := range 5 {
			reply, stream := f.requestAdmission("", func(a *admit.Request) {
				patient(a)
				a.ID, a.PromptTokens, a.Resumed = fmt.Sprint("s", i), 3000, true
			})
			require.Equal(f.t, admit.ReasonNone, reply.Reason)
			time.Sleep(50 * time.Millisecond)
			require.NoError(f.t, stream.Close())
		}
		began := time.Now()
		reply, _ := f.requestAdmission("", func(a *admit.Request) { a.ID, a.FirstTokenRemaining = "other", span.Duration(200*time.Millisecond) })
		require.Equal(f.t, admit.ReasonNone, reply.Reason)
		require.Less(f.t, time.Since(began), 50*time.Millisecond)
	})
}

// The prompt of an ended request no longer counted although the engine had processed it or might
// still do so, so that the next prompt fell into the same gap of the running streams.
func TestPromptsThatMayHaveRunDelayTheNextRequest(t *testing.T) {
	for name, end := range map[string]func(f *fixture, stream *wire.Stream, session *link.Session){
		"end of a request that may have run": func(f *fixture, stream *wire.Stream, _ *link.Session) {
			require.NoError(f.t, stream.Send(&admit.End{MayHaveRun: true}))
			require.NoError(f.t, stream.Close())
		},
		"lost session": func(f *fixture, _ *wire.Stream, session *link.Session) { require.NoError(f.t, session.Close()) },
		"reported run of an entry without admit.End": func(f *fixture, stream *wire.Stream, _ *link.Session) {
			f.engine.mutex.Lock()
			began := time.Now()
			f.engine.runs = func() []pace.Run {
				tokens := int64(1 + time.Since(began)/pace.DefaultStepTime)
				return []pace.Run{{ID: "s", Events: tokens, Tokens: 6000 + tokens}}
			}
			f.engine.mutex.Unlock()
			time.Sleep(160 * time.Millisecond)
			require.NoError(f.t, stream.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *fixture) {
				_, _ = f.requestAdmission("", nil)
				time.Sleep(300 * time.Millisecond)
				first := f.session
				second, err := f.dial()
				require.NoError(t, err)
				f.session = second
				reply, stream := f.requestAdmission("", func(a *admit.Request) { a.ID, a.PromptTokens = "s", 6000 })
				require.Equal(t, admit.ReasonNone, reply.Reason)
				end(f, stream, second)
				f.session = first
				began := time.Now()
				reply, _ = f.requestAdmission("", patient)
				require.Equal(t, admit.ReasonNone, reply.Reason)
				require.Greater(t, time.Since(began), 50*time.Millisecond, "the prompt takes at least 240 ms")
				_ = second.Close()
			})
		})
	}
}
