package direct_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// agentSilence is how long a sound agent may send nothing.
const agentSilence = 1300 * time.Millisecond

// isolate cuts the entry off from agents until the returned function is called.
func (s *site) isolate(engines ...int) (rejoin func()) {
	names := make([]string, 0, len(engines))
	for _, i := range engines {
		names = append(names, fmt.Sprint("e", i))
	}
	s.network.Isolate("entry", names...)
	return func() { s.network.Rejoin("entry", names...) }
}

// coldRequests sends requests for adapters of their own, one per interval, and returns their
// errors in order with the time that each took.
func (s *site) coldRequests(t *testing.T, adapters string, count int, interval time.Duration) (errs []error, took []time.Duration) {
	errs, took = make([]error, count), make([]time.Duration, count)
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() {
			started := time.Now()
			_, errs[i] = run(t.Context(), s.filter, func(r *chain.Request) {
				patient(r)
				r.Adapter = fmt.Sprint(adapters, i)
			})
			took[i] = time.Since(started)
		})
		time.Sleep(interval)
	}
	running.Wait()
	return errs, took
}

// Agents that were silent for 1.3 s, whether their sessions were open or not, left no engine
// that could admit a request, and requests were refused as busy after a few hundred
// milliseconds although their callers wait for four seconds.
func TestRequestsOutlastSilenceOfAllAgents(t *testing.T) {
	for name, connected := range map[string]bool{"open sessions": true, "no sessions": false} {
		t.Run(name, func(t *testing.T) {
			inSite(t, 3, func(t *testing.T, s *site) {
				if connected {
					errs, _ := s.coldRequests(t, "former", 30, 0)
					for _, err := range errs {
						require.NoError(t, err)
					}
				}
				time.AfterFunc(agentSilence, s.isolate(0, 1, 2))
				errs, took := s.coldRequests(t, "cold", 26, 50*ms)
				for i := range errs {
					require.NoError(t, errs[i], i)
					require.Less(t, took[i], callerPatience/2)
				}
				require.Zero(t, s.held(), "admissions that no request uses")
			})
		})
	}
}

// The only agent that could admit the request is silent, the others are still loading the
// model.
func TestRequestWaitsForSilentAgentIfNoOtherEngineHasItsModel(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		s.agentReplies["e1"] = admit.Reply{Reason: admit.ReasonModelMissing, Wait: span.Duration(3 * time.Second)}
		s.agentReplies["e2"] = s.agentReplies["e1"]
		time.AfterFunc(agentSilence, s.isolate(0))
		errs, _ := s.coldRequests(t, "cold", 10, 50*ms)
		for _, err := range errs {
			require.NoError(t, err)
		}
	})
}

// Requests are not held for agents that do not come back: not those that arrive first, and
// least of all those that arrive later.
func TestRequestsAreRefusedSoonIfAgentsStayAway(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		s.isolate(0, 1, 2)
		errs, took := s.coldRequests(t, "cold", 200, 50*ms)
		for i := range errs {
			require.Equal(t, "engines_busy", chain.RefusalOf(errs[i]).Code)
			require.Equal(t, chain.RanNo, chain.RefusalOf(errs[i]).Ran)
			// One agent a time is asked for 250 ms, and then no longer by other requests.
			bound := 3 * 250 * ms
			if time.Duration(i)*50*ms < 2500*ms {
				bound = 2600 * ms
			}
			require.LessOrEqual(t, took[i], bound, i)
		}
	})
}

// A preferred engine that answers that it is busy decides: the request is refused at once,
// whatever another agent might say.
func TestBusyEngineRefusesBesideSilentAgent(t *testing.T) {
	inSite(t, 2, func(t *testing.T, s *site) {
		s.agentReplies["e0"] = admit.Reply{Reason: admit.ReasonBusy, Wait: span.Duration(3 * time.Second)}
		s.agentReplies["e1"] = s.agentReplies["e0"]
		s.isolate(1)
		// With all requests for one adapter, both engines are preferred.
		_, _ = run(t.Context(), s.filter, patient)
		started := time.Now()
		_, err := run(t.Context(), s.filter, patient)
		require.Equal(t, "engines_busy", chain.RefusalOf(err).Code)
		require.Less(t, time.Since(started), 300*ms)
	})
}

// A request waits for a silent agent only as long as its caller can wait after that.
func TestWaitForSilentAgentLeavesTimeToRun(t *testing.T) {
	inSite(t, 1, func(t *testing.T, s *site) {
		s.isolate(0)
		started := time.Now()
		_, err := run(t.Context(), s.filter, func(r *chain.Request) {
			model(r)
			r.MaxWait = time.Second
		})
		require.Equal(t, "engines_busy", chain.RefusalOf(err).Code)
		require.Less(t, time.Since(started), 700*ms)
	})
}
