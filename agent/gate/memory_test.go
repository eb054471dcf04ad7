package gate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/gate"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
)

// Answers that had become longer than estimated were counted as estimated, so that the engine
// ran out of memory and preempted running requests.
func TestAnswersBeyondTheirEstimateTakeMemory(t *testing.T) {
	for name, test := range map[string]struct {
		workspace string
		after     time.Duration
		starts    bool
	}{
		"as estimated":         {"b", 11 * time.Second, true},
		"beyond the estimate":  {"b", 18 * time.Second, false},
		"of the one workspace": {"a", 18 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := &gate.Controller{Slots: 64, TokenCapacity: 10_000}
			for range 4 {
				r := newRequest(1000, 4000, 0, func(a *admit.Request) { a.Workspace, a.ExpectedAnswerTokens = "a", 500 })
				g.Start(r, start)
			}
			now := start.Add(test.after)
			r := newRequest(1000, 200, test.after, func(a *admit.Request) { a.Workspace, a.ExpectedAnswerTokens = test.workspace, 100 })
			require.True(t, g.Fits(r, now), "by the estimates")
			require.Equal(t, test.starts, g.MayStart(r, now))
			require.Equal(t, !test.starts, g.EstimateWait(r, 0, now) > 0)
			require.Equal(t, !test.starts, g.Explain(r, now).HeldForMemory)
		})
	}
}

// The engine preempts the newest of the least urgent requests. A resumed stream of a low
// priority was preempted by a new request of a higher one that the order admits after it.
func TestNewRequestsDoNotPreemptResumedStreams(t *testing.T) {
	for name, test := range map[string]struct {
		running  admit.Request
		priority int32
		starts   bool
	}{
		"resumed, less urgent at the engine": {admit.Request{Workspace: "a", Resumed: true, Priority: 5}, 0, false},
		"resumed, as urgent":                 {admit.Request{Workspace: "a", Resumed: true}, 0, true},
		"new, less urgent":                   {admit.Request{Workspace: "a", Priority: 5}, 0, true},
		"of the same workspace":              {admit.Request{Workspace: "b", Resumed: true, Priority: 5}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := &gate.Controller{Slots: 64, TokenCapacity: 10_000}
			running := newRequest(3000, 2000, 0, func(a *admit.Request) {
				a.Workspace, a.Resumed, a.Priority = test.running.Workspace, test.running.Resumed, test.running.Priority
			})
			g.Start(running, start)
			now := start.Add(time.Second)
			r := newRequest(1000, 4000, time.Second, func(a *admit.Request) {
				a.Workspace, a.Priority, a.ExpectedAnswerTokens = "b", test.priority, 500
			})
			require.True(t, g.Fits(r, now))
			require.Equal(t, test.starts, g.MayStart(r, now))
			g.End(running)
			require.True(t, g.MayStart(r, now), "an idle engine accepts any request")
		})
	}
}

// The sum over the running requests was that of a former set, because one had ended and
// another one started in the same moment.
func TestMemoryOfRunningRequestsIsCurrent(t *testing.T) {
	g := &gate.Controller{Slots: 64, TokenCapacity: 10_000}
	plain := newRequest(100, 100, 0, func(a *admit.Request) { a.Workspace, a.Priority = "a", 5 })
	g.Start(plain, start)
	now := start.Add(time.Second)
	r := newRequest(1000, 8000, time.Second, func(a *admit.Request) { a.Workspace, a.ExpectedAnswerTokens = "b", 100 })
	require.True(t, g.MayStart(r, now))
	g.End(plain)
	g.Start(newRequest(1, 1000, 0, func(a *admit.Request) { a.Workspace, a.Resumed, a.Priority = "a", true, 5 }), now)
	require.False(t, g.MayStart(r, now))
}
