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

func want(prompt, answer int64, after time.Duration, change func(*admit.Request)) *gate.Request {
	ask := &admit.Request{
		Endpoint: "e", Model: "m", PromptTokens: prompt, MaxAnswerTokens: answer,
		FirstTokenRemaining: span.Duration(time.Second), Remaining: span.Duration(8 * time.Second),
	}
	if change != nil {
		change(ask)
	}
	return &gate.Request{Spec: ask, Arrived: start.Add(after)}
}

func TestOrderOfWaitingRequests(t *testing.T) {
	g := &gate.Controller{Slots: 4, TokenCapacity: 10_000}
	late := want(10, 10, -2*time.Second, nil)
	second := want(10, 10, 0, nil)
	first := want(10, 10, -time.Millisecond, nil)
	urgent := want(10, 10, 0, func(a *admit.Request) { a.Priority = -1 })
	resumed := want(10, 10, -3*time.Second, func(a *admit.Request) { a.Resumed = true })
	for _, w := range []*gate.Request{late, second, first, urgent, resumed} {
		g.Add(w)
	}
	require.Equal(t, []*gate.Request{resumed, urgent, first, second, late}, g.Waiting(start))
	require.True(t, g.Remove(first))
	require.False(t, g.Remove(first))
}

// A burst of prompts is admitted at the speed at which the engine reads them,
// so that running streams do not stall for longer than a few prompts take.
func TestPromptsOfABurstAreAdmittedOneByOne(t *testing.T) {
	g := &gate.Controller{Slots: 64, TokenCapacity: 142_000}
	admitted := 0
	for range 20 {
		w := want(1460, 170, 0, nil)
		if g.Fits(w, start) {
			g.Start(w, start)
			admitted++
		}
	}
	require.Equal(t, 1, admitted)
	require.True(t, g.Fits(want(1460, 170, 0, nil), start.Add(200*time.Millisecond)))
}

// Under a flood of prompts, reading leaves the engine enough time for tokens:
// in any 250 ms no more is read than leaves three steps of 10 ms beside.
func TestPrefillLeavesTimeForTokens(t *testing.T) {
	g := &gate.Controller{Slots: 1000, TokenCapacity: 1 << 40}
	var admitted []time.Time
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		if w := want(1460, 170, 0, nil); g.Fits(w, now) {
			g.Start(w, now)
			admitted = append(admitted, now)
		}
	}
	const read = 57 * time.Millisecond
	for first := range admitted {
		spent := time.Duration(0)
		for _, at := range admitted[first:] {
			if at.Sub(admitted[first]) < 250*time.Millisecond {
				spent += read
			}
		}
		require.LessOrEqual(t, spent, 220*time.Millisecond)
	}
	require.Greater(t, len(admitted), 100, "most of the time goes into reading all the same")
	require.InDelta(t, 1000, g.Load(start.Add(10*time.Second)), 150)
}

// Memory is not promised twice: a preempted request reads its prompt anew.
func TestMemoryIsNotOverbooked(t *testing.T) {
	g := &gate.Controller{Slots: 64, TokenCapacity: 10_000}
	var running []*gate.Request
	now := start
	for range 20 {
		now = now.Add(time.Second)
		w := want(1000, 1000, 0, nil)
		if g.Fits(w, now) {
			g.Start(w, now)
			running = append(running, w)
		}
	}
	require.Len(t, running, 4)
	g.End(running[0])
	g.End(running[0])
	require.True(t, g.Fits(want(1000, 1000, 0, nil), now))
	require.True(t, (&gate.Controller{Slots: 1, TokenCapacity: 10}).Fits(want(1000, 1000, 0, nil), now), "an empty engine decides itself")
}

func TestSlotsAreNotOverbooked(t *testing.T) {
	g := &gate.Controller{Slots: 2, TokenCapacity: 10_000}
	for i := range 2 {
		g.Start(want(1, 1, 0, nil), start.Add(time.Duration(i)*time.Second))
	}
	require.False(t, g.Fits(want(1, 1, 0, nil), start.Add(time.Minute)))
	require.Positive(t, g.EstimateWait(want(1, 1, 0, nil), 0, start))
	require.EqualValues(t, 1000, g.Load(start.Add(time.Second)))
}

func TestRequestsThatWouldBeLateAreRefusedAtOnce(t *testing.T) {
	g := &gate.Controller{Slots: 2, TokenCapacity: 10_000}
	last := func(a *admit.Request) { a.LastCandidate = true }
	for name, test := range map[string]struct {
		want *gate.Request
		wait time.Duration
		hope bool
	}{
		"in time":                     {want(10, 10, 0, nil), 500 * time.Millisecond, true},
		"late, others may do better":  {want(10, 10, 0, nil), 1500 * time.Millisecond, false},
		"late, but there is no other": {want(10, 10, 0, last), 1500 * time.Millisecond, true},
		"late by half its time":       {want(10, 10, 0, last), 4 * time.Second, true},
		"too late at the last one":    {want(10, 10, 0, last), 4100 * time.Millisecond, false},
		"after the caller has gone":   {want(10, 10, 0, last), 8 * time.Second, false},
		"resumed":                     {want(10, 10, 0, func(a *admit.Request) { a.Resumed = true }), 3 * time.Second, true},
	} {
		require.Equal(t, !test.hope, g.ShouldRefuse(test.want, test.wait, start), name)
	}
}

func TestWaitGrowsWithTheWorkAhead(t *testing.T) {
	g := &gate.Controller{Slots: 64, TokenCapacity: 142_000}
	before := g.EstimateWait(want(1460, 170, 0, nil), 0, start)
	for i := range 30 {
		g.Add(want(1460, 170, time.Duration(i-31)*time.Millisecond, nil))
	}
	require.Zero(t, before)
	require.Greater(t, g.EstimateWait(want(1460, 170, 0, nil), 0, start), time.Second)
	require.Equal(t, 9*time.Second, g.EstimateWait(want(1460, 170, 0, nil), 9*time.Second, start))
}
