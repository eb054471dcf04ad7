package pace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/pace"
)

// silence suspends the engine for a time in which it neither works nor reports.
func (l *load) silence(length time.Duration) {
	l.engine.now = l.engine.now.Add(length)
	l.next = l.next.Add(length)
}

// An engine that was silent for a second counted as one with slow moments for ten seconds
// afterwards, in which its agent sent it one prompt after another.
func TestSilenceIsNoSlowMoment(t *testing.T) {
	for _, length := range []time.Duration{900 * time.Millisecond, 1300 * time.Millisecond, 1700 * time.Millisecond} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			slow, reports := 0, 0
			for seed := range uint64(20) {
				l := newLoad(10.5, 19.2, 3, seed)
				l.run(start.Add(4 * time.Second))
				before := l.estimator.Pace(l.engine.now)
				l.silence(length)
				l.atReport = func() {
					present := l.estimator.Pace(l.engine.now)
					reports++
					if present.Slowdown > 1 {
						slow++
					}
					require.LessOrEqual(t, present.SlowMoments, max(before.SlowMoments, 2), "seed %d", seed)
				}
				l.run(l.engine.now.Add(2 * time.Second))
				require.InEpsilon(t, 19.2, l.estimator.Pace(l.engine.now).PrefillTokensPerMs, 0.1, "seed %d", seed)
			}
			require.Less(t, float64(slow), 0.05*float64(reports), "of %d reports", reports)
		})
	}
}

// Prompts that were sent to an engine before it fell silent for over a second counted as lost,
// so that its agent sent more of them as soon as it continued.
func TestPromptsOutliveASilence(t *testing.T) {
	e := &pace.Estimator{StepsPerEvent: 3}
	e.Admit("a", 3000, start)
	e.Observe(nil, start.Add(30*time.Millisecond))
	e.Observe(nil, start.Add(1400*time.Millisecond))
	require.EqualValues(t, 3000, e.Outstanding())
	for at := 1500 * time.Millisecond; at < 2600*time.Millisecond; at += 100 * time.Millisecond {
		e.Observe(nil, start.Add(at))
	}
	require.Zero(t, e.Outstanding(), "it has not arrived")
}
