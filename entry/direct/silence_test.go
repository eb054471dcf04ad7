package direct_test

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// callerPatience is how long the callers of these tests wait without data.
const callerPatience = 4 * time.Second

// silentAt returns an answer whose endpoint sends nothing for a time after the given events
// and then continues.
func silentAt(events int, silence time.Duration) reply {
	parts := []string{completeStream[:15], completeStream[15:30], completeStream[30:]}
	r := reply{status: 200, authentic: true, pieces: parts[events:], firstPause: silence, pause: 10 * time.Millisecond}
	for _, part := range parts[:events] {
		r.body += part
	}
	return r
}

func patient(r *chain.Request) {
	model(r)
	r.Route.EventTimeout = span.Duration(callerPatience)
}

// An entry cancelled an attempt whose endpoint was silent before another endpoint had admitted
// the request, and broke off the answer when none did.
func TestSilentAnswerIsNotAbandonedForOneThatIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		events  int
		silence time.Duration
		busy    bool
		retries int
	}{
		"no retry left, between events":        {1, 1700 * time.Millisecond, false, 0},
		"no retry left, before the first":      {0, 2600 * time.Millisecond, false, 0},
		"no retry left, for most of the wait":  {2, 3700 * time.Millisecond, false, 0},
		"engines busy, between events":         {1, 1700 * time.Millisecond, true, 100},
		"engines busy, before the first":       {0, 2600 * time.Millisecond, true, 100},
		"engines busy, before the last events": {2, 2300 * time.Millisecond, true, 100},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, 3, func(t *testing.T, s *site) {
				service := &service{replies: []reply{silentAt(test.events, test.silence), wholeStream}}
				s.filter.Send = service.send
				s.filter.Budget.Lease = limitedRetries(test.retries)
				if test.busy {
					s.refuseElsewhere = admit.ReasonBusy
				}
				got, err := run(t.Context(), s.filter, patient)
				require.NoError(t, err)
				require.True(t, got.ended)
				require.Equal(t, completeStream, got.text)
				require.Len(t, service.calls, 1)
			})
		})
	}
}

// The same for a plain answer that may be repeated, on routes with hedges and without.
func TestSilentPlainAnswerIsNotAbandonedForOneThatIsRefused(t *testing.T) {
	for name, share := range map[string]float64{"without hedges": 0, "with hedges that are denied": 0.5} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				test := newRace(3, answer("a", 900*ms), answer("b", 10*ms))
				test.config.Services["s"] = conf.Service{HedgeShare: share}
				test.leased, test.reached = false, true
				test.filter.Budget.Lease = limitedRetries(0)
				got, err := test.run(t, func(r *chain.Request) { r.Objective.FirstToken = span.Duration(150 * ms) })
				require.NoError(t, err)
				require.Equal(t, "a", got.text)
				require.Len(t, test.calls, 1)
			})
		})
	}
}

// An endpoint that stays silent is left as soon as another one admits the request, though the
// others were busy when the silence was noticed.
func TestStreamOfDeadEndpointContinuesOnceAnotherAdmitsIt(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		service := &service{replies: []reply{silentAt(1, time.Hour), {status: 200, authentic: true, body: completeStream[15:]}}}
		s.filter.Send = service.send
		s.refuseElsewhere = admit.ReasonBusy
		started := time.Now()
		time.AfterFunc(2500*ms, func() { s.setRefusal(admit.ReasonNone) })
		got, err := run(t.Context(), s.filter, patient)
		require.NoError(t, err)
		require.Equal(t, completeStream, got.text)
		require.Len(t, service.calls, 2)
		require.EqualValues(t, 1, *service.calls[1].LastEventID)
		require.Less(t, time.Since(started), 3500*ms)
	})
}

// An endpoint that continues while another one is being secured keeps its stream; the admission
// and the retry are returned.
func TestStreamThatResumesKeepsItsEndpoint(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *site) {
		service := &service{replies: []reply{silentAt(1, 2300*ms), wholeStream}}
		s.filter.Send = service.send
		s.slowElsewhere = 600 * ms
		got, err := run(t.Context(), s.filter, patient)
		require.NoError(t, err)
		require.Equal(t, completeStream, got.text)
		require.Len(t, service.calls, 1)
		time.Sleep(time.Second)
		require.Zero(t, s.held(), "admissions that no request uses")
	})
}

// A retry was taken from the budget again for each further endpoint to which no connection could
// be made, until none was left for a stream that another engine had admitted.
func TestRetryThatReachedNoEndpointIsNotTakenAgain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &service{replies: []reply{reset, unreached, unreached, good}}
		d := newFilter(s, 5)
		d.Budget.Lease = limitedRetries(1)
		got, err := run(t.Context(), d, retryable)
		require.NoError(t, err)
		require.Equal(t, "good", got.text)
		require.Len(t, s.calls, 4)
	})
}

// An endpoint to which a connection could not be made in time got no requests for seconds after
// it had continued its answers.
func TestEndpointThatContinuesIsUsedAfterConnectTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		cause error
		used  bool
	}{"timed out": {context.DeadlineExceeded, true}, "refused": {syscall.ECONNREFUSED, false}} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				streaming := silentAt(1, agentSilence)
				streaming.pause = time.Second
				s := &service{replies: []reply{streaming, {err: &httpc.Error{Kind: httpc.KindDial, Err: test.cause}}}}
				d := newFilter(s, 1)
				var stream sync.WaitGroup
				stream.Go(func() { _, _ = run(t.Context(), d, patient) })
				time.Sleep(1200 * ms)
				_, err := run(t.Context(), d, nil)
				require.Error(t, err)
				time.Sleep(200 * ms)
				require.Equal(t, test.used, d.Endpoints.ExcludeUnresponsive("s", map[string]bool{}, time.Now()) == 1)
				stream.Wait()
			})
		})
	}
}

// silentConnections answers as a service whose endpoints accept no connection before a time.
type silentConnections struct {
	service
	continues time.Time
	refuse    bool
	attempts  int
}

func (s *silentConnections) send(ctx context.Context, c *direct.Call) (*direct.Answer, error) {
	s.mutex.Lock()
	s.attempts++
	s.mutex.Unlock()
	if left := time.Until(s.continues); left > 0 && s.refuse {
		return nil, &httpc.Error{Kind: httpc.KindDial, Err: syscall.ECONNREFUSED}
	} else if left > 0 {
		dialing, cancel := context.WithTimeout(ctx, 400*ms)
		defer cancel()
		if !pause.For(dialing, left) {
			return nil, &httpc.Error{Kind: httpc.KindDial, Err: dialing.Err()}
		}
	}
	return s.service.send(ctx, c)
}

// All endpoints of a service were silent for 1.3 s. Each to which a connection was not made in
// time was no longer considered for the request, which was refused when none was left.
func TestRequestOutlastsSilenceOfAllEndpointsItCannotConnectTo(t *testing.T) {
	for name, test := range map[string]struct {
		endpoints int
		silence   time.Duration
		refuse    bool
		maxWait   time.Duration
		answered  bool
		took      time.Duration
	}{
		"one endpoint":               {1, agentSilence, false, 8 * time.Second, true, agentSilence},
		"two endpoints":              {2, agentSilence, false, 8 * time.Second, true, agentSilence},
		"many endpoints":             {12, agentSilence, false, 8 * time.Second, true, agentSilence},
		"they stay away":             {2, time.Hour, false, 8 * time.Second, false, 2500 * ms},
		"too little time":            {2, agentSilence, false, time.Second, false, 800 * ms},
		"they refuse connections":    {2, time.Hour, true, 8 * time.Second, false, 0},
		"many refuse connections":    {12, time.Hour, true, 8 * time.Second, false, 0},
		"many endpoints, stay away":  {12, time.Hour, false, 8 * time.Second, false, 2500 * ms},
		"one endpoint, not for long": {1, 300 * ms, false, 8 * time.Second, true, 300 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				// Each connection takes 400 ms; nothing was sent, so the request may be sent again.
				s := &silentConnections{service: service{replies: []reply{good}}, continues: time.Now().Add(test.silence), refuse: test.refuse}
				d := newFilter(&s.service, test.endpoints)
				d.Send = s.send
				started := time.Now()
				got, err := run(t.Context(), d, func(r *chain.Request) { r.MaxWait = test.maxWait })
				require.LessOrEqual(t, time.Since(started), test.took)
				if test.answered {
					require.NoError(t, err)
					require.Equal(t, "good", got.text)
					return
				}
				require.Equal(t, chain.RanNo, chain.RefusalOf(err).Ran)
				require.LessOrEqual(t, s.attempts, 8)
			})
		})
	}
}

// The same for engines whose agents are silent, too: one holds the adapter and is used without
// admission.
func TestRequestOutlastsSilenceOfEnginesAndTheirAgents(t *testing.T) {
	for _, engines := range []int{1, 3} {
		inSite(t, engines, func(t *testing.T, s *site) {
			_, err := run(t.Context(), s.filter, patient)
			require.NoError(t, err)
			connections := &silentConnections{service: service{replies: []reply{wholeStream}}, continues: time.Now().Add(agentSilence)}
			s.filter.Send = connections.send
			time.AfterFunc(agentSilence, s.isolate([]int{0, 1, 2}[:engines]...))
			errs := make([]error, 20)
			var running sync.WaitGroup
			for i := range errs {
				running.Go(func() { _, errs[i] = run(t.Context(), s.filter, patient) })
				time.Sleep(50 * ms)
			}
			running.Wait()
			require.NoError(t, errors.Join(errs...))
		})
	}
}
