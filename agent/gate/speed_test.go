package gate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/gate"
	"github.com/tanagerspindle/tanagerspindle/agent/pace"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// flood offers prompts to an engine for ten seconds and returns the prompt tokens that it admits
// within the given time at most, and in all. A stream with the required gap runs beside them.
func flood(p pace.Pace, stepsPerEvent int, gap, window time.Duration, promptTokens int64) (most, sum int64) {
	g := &gate.Controller{Slots: 1000, TokenCapacity: 1 << 40, StepsPerEvent: stepsPerEvent}
	withGap := func(a *admit.Request) { a.MaxTokenGap = span.Duration(gap) }
	g.Start(newRequest(1, 1000, 0, withGap), start)
	var admitted []time.Time
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		g.ApplyPace(p, 0, now)
		if r := newRequest(promptTokens, 170, 0, withGap); g.Fits(r, now) {
			g.Start(r, now)
			admitted = append(admitted, now)
		}
	}
	for i := range admitted {
		inWindow := int64(0)
		for _, at := range admitted[i:] {
			if at.Sub(admitted[i]) < window {
				inWindow += promptTokens
			}
		}
		most = max(most, inWindow)
	}
	return most, int64(len(admitted)) * promptTokens
}

// A flood of prompts at engines of several speeds: within any required gap, the engine has time
// for the prompts admitted meanwhile and for the steps of one event. With the speed of another
// engine, running streams stall at a slow engine and prompts wait for nothing at a fast one.
func TestPromptsArePacedBySpeedAndGap(t *testing.T) {
	for name, c := range map[string]struct {
		pace  pace.Pace
		steps int
		gap   time.Duration
	}{
		"defaults":   {pace.Default, 3, 250 * time.Millisecond},
		"slower":     {pace.Pace{PrefillTokensPerMs: 19.2, StepTime: 11 * time.Millisecond, Slowdown: 1}, 3, 300 * time.Millisecond},
		"other gap":  {pace.Pace{PrefillTokensPerMs: 14.7, StepTime: 12 * time.Millisecond, Slowdown: 1}, 4, 400 * time.Millisecond},
		"faster":     {pace.Pace{PrefillTokensPerMs: 40.8, StepTime: 14 * time.Millisecond, Slowdown: 1}, 6, 250 * time.Millisecond},
		"short gap":  {pace.Pace{PrefillTokensPerMs: 25, StepTime: 10 * time.Millisecond, Slowdown: 1}, 3, 71 * time.Millisecond},
		"slow phase": {pace.Pace{PrefillTokensPerMs: 19.2, StepTime: 11 * time.Millisecond, Slowdown: 2.5}, 3, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			most, sum := flood(c.pace, c.steps, c.gap, c.gap, 300)
			step := time.Duration(float64(c.pace.StepTime) * c.pace.Slowdown)
			tokensPerMs := c.pace.PrefillTokensPerMs / c.pace.Slowdown
			free := c.gap - time.Duration(c.steps)*step
			require.LessOrEqual(t, float64(most)/tokensPerMs, 1000*free.Seconds())
			require.Greater(t, float64(sum)/tokensPerMs, 0.5*10_000*free.Seconds()/c.gap.Seconds(), "prefill still takes most of the free time")
		})
	}
}

// An engine turns slow for a moment: a prompt that would stall a running stream waits for the
// moment to pass, but not for ever, and not where no stream runs.
func TestLongPromptWaitsForSlowMoment(t *testing.T) {
	slow := pace.Pace{PrefillTokensPerMs: 19.2, StepTime: 11 * time.Millisecond, Slowdown: 2.5, SlowMoments: 2.5}
	usual := slow
	usual.Slowdown = 1
	g := &gate.Controller{Slots: 64, TokenCapacity: 130_000, StepsPerEvent: 3}
	long, short := newRequest(2500, 170, 0, nil), newRequest(500, 170, 0, nil)
	g.ApplyPace(slow, 0, start)
	require.True(t, g.Fits(long, start), "an idle engine")
	g.Start(newRequest(1, 100, 0, nil), start.Add(-time.Second))
	g.ApplyPace(slow, 0, start)
	require.False(t, g.Fits(long, start))
	require.True(t, g.Fits(short, start))
	require.True(t, g.Fits(long, start.Add(time.Second)))
	g.ApplyPace(usual, 0, start)
	require.True(t, g.Fits(long, start), "the engine is as fast as usual again")
}

// An engine that turns slow at moments gets no second prompt while it processes one, if both
// would not fit into a gap in such a moment. At one that does not, only the backlog counts.
func TestPromptsFollowEachOtherWhereSlowMomentsAreExpected(t *testing.T) {
	g := &gate.Controller{Slots: 64, TokenCapacity: 130_000, StepsPerEvent: 3}
	g.Start(newRequest(1, 100, 0, nil), start.Add(-time.Second))
	even := pace.Pace{PrefillTokensPerMs: 19.2, StepTime: 11 * time.Millisecond, Slowdown: 1, SlowMoments: 1}
	uneven := even
	uneven.SlowMoments = 2.5
	next := newRequest(1000, 170, 0, nil)
	g.ApplyPace(even, 1000, start)
	require.True(t, g.Fits(next, start))
	g.ApplyPace(uneven, 1000, start)
	require.False(t, g.Fits(next, start))
	require.True(t, g.Fits(newRequest(50, 170, 0, nil), start))
	g.ApplyPace(uneven, 0, start)
	require.True(t, g.Fits(next, start), "the prompt before has been processed")
}
