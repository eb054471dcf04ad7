package keeper_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// limited is what entries report of an engine that limits its requests; StartedMillis is
// that of the simulated engine.
func limited(perSecond float64, ago time.Duration) *advert.LimitReport {
	return &advert.LimitReport{Endpoint: "e", StartedMillis: 1, Named: true, RequestsPerSecond: perSecond, SentAgo: span.Duration(ago), ArrivedAgo: span.Duration(ago)}
}

// An engine that had named a limit got as many requests as its slots allow.
func TestEngineGetsNoMoreThanItsLimit(t *testing.T) {
	for name, test := range map[string]struct {
		perSecond float64
		// teach tells the agent the limit with the first request.
		teach func(f *fixture, spec *admit.Request)
	}{
		"named to an entry": {2, func(_ *fixture, spec *admit.Request) { spec.Limit = limited(2, 0) }},
		"named in a report": {2, func(f *fixture, _ *admit.Request) {
			f.keeper.RecordNotice(advert.Notice{Limited: true, RequestsPerSecond: 2}, time.Now())
		}},
		"lowered by another word": {1, func(f *fixture, spec *admit.Request) {
			f.keeper.RecordNotice(advert.Notice{Limited: true, RequestsPerSecond: 50}, time.Now())
			time.Sleep(time.Millisecond)
			spec.Limit = limited(1, 0)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *fixture) {
				admitted := 0
				for i := range 80 {
					reply, stream := f.requestAdmission("", func(spec *admit.Request) {
						if i == 0 {
							test.teach(f, spec)
						}
					})
					switch reply.Reason {
					case admit.ReasonNone:
						admitted++
					case admit.ReasonLimited:
						require.Positive(t, reply.Wait)
						require.LessOrEqual(t, reply.Wait.Std(), time.Duration(1.1*float64(time.Second)/test.perSecond))
					default:
						require.Fail(t, "refused", reply.Reason)
					}
					require.NoError(t, stream.Close())
					time.Sleep(50 * time.Millisecond)
				}
				require.InDelta(t, 4*test.perSecond, admitted, 2)
			})
		})
	}
}

// What ended a limit although the engine still keeps it, or kept one that has ended.
func TestEndOfEngineLimit(t *testing.T) {
	for name, test := range map[string]struct {
		after func(f *fixture, spec *admit.Request)
		kept  bool
	}{
		"a report without it": {func(f *fixture, _ *admit.Request) { f.keeper.RecordNotice(advert.Notice{}, time.Now()) }, true},
		"an older answer without it": {func(_ *fixture, spec *admit.Request) {
			spec.Limit = &advert.LimitReport{Endpoint: "e", StartedMillis: 1, SentAgo: span.Duration(time.Minute), ArrivedAgo: span.Duration(time.Minute)}
		}, true},
		"a newer answer without it": {func(_ *fixture, spec *admit.Request) {
			spec.Limit = &advert.LimitReport{Endpoint: "e", StartedMillis: 1}
		}, false},
		"another process": {func(f *fixture, _ *admit.Request) { f.keeper.ForgetNotices() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *fixture) {
				_, stream := f.requestAdmission("", func(spec *admit.Request) { spec.Limit = limited(0.5, 0) })
				require.NoError(t, stream.Close())
				time.Sleep(10 * time.Millisecond)
				reply, stream := f.requestAdmission("", func(spec *admit.Request) { test.after(f, spec) })
				require.NoError(t, stream.Close())
				require.Equal(t, test.kept, reply.Reason == admit.ReasonLimited, reply.Reason)
			})
		})
	}
	t.Run("named by a former process", func(t *testing.T) {
		run(t, func(f *fixture) {
			for range 3 {
				reply, stream := f.requestAdmission("", func(spec *admit.Request) {
					spec.Limit = limited(0, 0)
					spec.Limit.StartedMillis = 9
				})
				require.Equal(t, admit.ReasonNone, reply.Reason)
				require.NoError(t, stream.Close())
			}
		})
	})
}

// Requests that wait for a limited engine, because no other is left, go in the order of
// their urgency and are refused at once if their turn comes too late.
func TestUrgentRequestsGetTheLimitedEngine(t *testing.T) {
	run(t, func(f *fixture) {
		_, stream := f.requestAdmission("", func(spec *admit.Request) { spec.Limit = limited(4, 0) })
		require.NoError(t, stream.Close())
		var mutex sync.Mutex
		var admitted []int32
		var group sync.WaitGroup
		started := time.Now()
		refused := 0
		for priority := range int32(10) {
			group.Go(func() {
				reply, stream := f.requestAdmission("", func(spec *admit.Request) {
					spec.Priority, spec.MaxLimitWait, spec.LastCandidate = 9-priority, span.Duration(1050*time.Millisecond), true
					spec.FirstTokenRemaining, spec.Remaining = span.Duration(time.Second), span.Duration(2200*time.Millisecond)
				})
				defer func() { require.NoError(t, stream.Close()) }()
				mutex.Lock()
				defer mutex.Unlock()
				if reply.Reason != admit.ReasonNone {
					require.Equal(t, admit.ReasonLimited, reply.Reason)
					require.Greater(t, reply.Wait.Std(), time.Second)
					require.Less(t, time.Since(started), 100*time.Millisecond, "refused at once")
					refused++
					return
				}
				admitted = append(admitted, 9-priority)
			})
		}
		group.Wait()
		require.Equal(t, []int32{0, 1, 2, 3}, admitted)
		require.Equal(t, 10, refused+len(admitted))
		require.Positive(t, refused)
	})
}
