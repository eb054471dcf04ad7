package gate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/gate"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

var start = time.Unix(1000, 0)

func newRequest(prompt, answer int64, offset time.Duration, change func(*admit.Request)) *gate.Request {
	spec := &admit.Request{
		Endpoint: "e", Model: "m", PromptTokens: prompt, MaxAnswerTokens: answer,
		FirstTokenRemaining: span.Duration(time.Second), Remaining: span.Duration(8 * time.Second),
	}
	if change != nil {
		change(spec)
	}
	return &gate.Request{Spec: spec, Arrived: start.Add(offset)}
}

func TestOrderOfWaitingRequests(t *testing.T) {
	g := &gate.Controller{Slots: 4, TokenCapacity: 10_000}
	late := newRequest(10, 10, -2*time.Second, nil)
	second := newRequest(10, 10, 0, nil)
	first := newRequest(10, 10, -time.Millisecond, nil)
	urgent := newRequest(10, 10, 0, func(a *admit.Request) { a.Priority = -1 })
	resumed := newRequest(10, 10, -3*time.Second, func(a *admit.Request) { a.Resumed = true })
	for _, r := range []*gate.Request{late, second, first, urgent, resumed} {
		g.Add(r)
	}
	require.Equal(t, []*gate.Request{resumed, urgent, first, second, late}, g.Waiting(start))
	require.True(t, g.Remove(first))
	require.False(t, g.Remove(first))
}

// Prompts of a burst are admitted at the speed at which the engine processes them, so that
// running streams do not stall for longer than a few prompts take.
func TestPromptsOfABurstAreAdmittedOneByOne(t *testing.T) {
	g := &gate.Controller{Slots: 64, TokenCapacity: 142_000}
	admitted := 0
	for range 20 {
		r := newRequest(1460, 170, 0, nil)
		if g.Fits(r, start) {
			g.Start(r, start)
			admitted++
		}
	}
	require.Equal(t, 1, admitted)
	require.True(t, g.Fits(newRequest(1460, 170, 0, nil), start.Add(200*time.Millisecond)))
}

// Under a flood of prompts, prefill leaves the engine enough time for tokens: any 250 ms
// leave time for three token steps of 10 ms.
func TestPrefillLeavesTimeForTokens(t *testing.T) {
	g := &gate.Controller{Slots: 1000, TokenCapacity: 1 << 40}
	var admitted []time.Time
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		if r := newRequest(1460, 170, 0, nil); g.Fits(r, now) {
			g.Start(r, now)
			admitted = append(admitted, now)
		}
	}
	const perPrompt = 57 * time.Millisecond
	for first := range admitted {
		prefill := time.Duration(0)
		for _, at := range admitted[first:] {
			if at.Sub(admitted[first]) < 250*time.Millisecond {
				prefill += perPrompt
			}
		}
		require.LessOrEqual(t, prefill, 220*time.Millisecond)
	}
	require.Greater(t, len(admitted), 100, "prefill still takes most of the time")
	require.InDelta(t, 1000, g.Load(start.Add(10*time.Second)), 150)
}

// The engine's memory is not overcommitted: the engine would preempt requests, and process
// their prompts again.
func TestMemoryIsNotOverbooked(t *testing.T) {
	g := &gate.Controller{Slots: 64, TokenCapacity: 10_000}
	var running []*gate.Request
	now := start
	for range 20 {
		now = now.Add(time.Second)
		r := newRequest(1000, 1000, 0, nil)
		if g.Fits(r, now) {
			g.Start(r, now)
			running = append(running, r)
		}
	}
	require.Len(t, running, 4)
	g.End(running[0])
	g.End(running[0])
	require.True(t, g.Fits(newRequest(1000, 1000, 0, nil), now))
	require.True(t, (&gate.Controller{Slots: 1, TokenCapacity: 10}).Fits(newRequest(1000, 1000, 0, nil), now), "an idle engine accepts any request")
}

func TestSlotsAreNotOverbooked(t *testing.T) {
	g := &gate.Controller{Slots: 2, TokenCapacity: 10_000}
	for i := range 2 {
		g.Start(newRequest(1, 1, 0, nil), start.Add(time.Duration(i)*time.Second))
	}
	require.False(t, g.Fits(newRequest(1, 1, 0, nil), start.Add(time.Minute)))
	require.Positive(t, g.EstimateWait(newRequest(1, 1, 0, nil), 0, start))
	require.EqualValues(t, 1000, g.Load(start.Add(time.Second)))
}

func TestRequestsThatWouldBeLateAreRefusedAtOnce(t *testing.T) {
	g := &gate.Controller{Slots: 2, TokenCapacity: 10_000}
	last := func(a *admit.Request) { a.LastCandidate = true }
	for name, test := range map[string]struct {
		request *gate.Request
		wait    time.Duration
		accept  bool
	}{
		"in time":                                  {newRequest(10, 10, 0, nil), 500 * time.Millisecond, true},
		"late, another engine may be in time":      {newRequest(10, 10, 0, nil), 1500 * time.Millisecond, false},
		"late, but no other engine is left":        {newRequest(10, 10, 0, last), 1500 * time.Millisecond, true},
		"late, waiting half of the remaining time": {newRequest(10, 10, 0, last), 4 * time.Second, true},
		"too late at the last engine":              {newRequest(10, 10, 0, last), 4100 * time.Millisecond, false},
		"after the caller's deadline":              {newRequest(10, 10, 0, last), 8 * time.Second, false},
		"resumed":                                  {newRequest(10, 10, 0, func(a *admit.Request) { a.Resumed = true }), 3 * time.Second, true},
	} {
		require.Equal(t, !test.accept, g.ShouldRefuse(test.request, test.wait, start), name)
	}
}

func TestWaitGrowsWithTheWorkAhead(t *testing.T) {
	g := &gate.Controller{Slots: 64, TokenCapacity: 142_000}
	before := g.EstimateWait(newRequest(1460, 170, 0, nil), 0, start)
	for i := range 30 {
		g.Add(newRequest(1460, 170, time.Duration(i-31)*time.Millisecond, nil))
	}
	require.Zero(t, before)
	require.Greater(t, g.EstimateWait(newRequest(1460, 170, 0, nil), 0, start), time.Second)
	require.Equal(t, 9*time.Second, g.EstimateWait(newRequest(1460, 170, 0, nil), 9*time.Second, start))
}

// Withdrawing a request also withdrew the prompts that the engine had processed or that were
// admitted after it, so that more prompts were admitted than the engine could process.
func TestOnlyTheUnprocessedPartOfAPromptIsWithdrawn(t *testing.T) {
	backlogAfter := func(ended int, at time.Duration, withdraw bool) time.Duration {
		g := &gate.Controller{Slots: 8, TokenCapacity: 100_000}
		var requests []*gate.Request
		for range 3 {
			r := newRequest(3000, 10, 0, nil)
			g.Add(r)
			g.Start(r, start)
			requests = append(requests, r)
		}
		if withdraw {
			g.Withdraw(requests[ended], start.Add(at))
		}
		return g.EstimateWait(newRequest(10, 10, 0, nil), 0, start.Add(at))
	}
	full := backlogAfter(0, 0, false)
	prompt := (full + 10*time.Millisecond) / 3
	for _, test := range []struct {
		ended     int
		at        time.Duration
		withdrawn time.Duration
	}{
		{ended: 0, at: 0, withdrawn: prompt},
		{ended: 2, at: 0, withdrawn: prompt},
		{ended: 0, at: prompt / 2, withdrawn: prompt / 2},
		{ended: 1, at: prompt / 2, withdrawn: prompt},
		{ended: 0, at: prompt * 3 / 2, withdrawn: 0},
		{ended: 1, at: prompt * 3 / 2, withdrawn: prompt / 2},
	} {
		left := backlogAfter(test.ended, test.at, true)
		require.InDelta(t, full-test.at-test.withdrawn, left, float64(time.Millisecond), "%+v", test)
	}
}
