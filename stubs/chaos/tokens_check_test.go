package chaos_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (w *traffic) record(events *[]tokenEvent, at time.Duration, tokens int64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	*events = append(*events, tokenEvent{at: at, tokens: tokens})
}

// granted is what the rule grants in a window without its tolerance.
func (w *traffic) granted() int64 {
	return w.limits.Rate*int64(platformWindow/time.Second) + w.limits.Burst
}

// inWindow returns the tokens that arrived in the window that ends at a time.
func (w *traffic) inWindow(end time.Duration) int64 {
	sum := int64(0)
	for _, event := range w.arrived {
		if event.at > end-platformWindow && event.at <= end {
			sum += event.tokens
		}
	}
	return sum
}

// worst returns the most tokens that arrived in any window.
func (w *traffic) worst() int64 {
	slices.SortFunc(w.arrived, func(a, b tokenEvent) int { return int(a.at - b.at) })
	sum, most, first := int64(0), int64(0), 0
	for _, event := range w.arrived {
		sum += event.tokens
		for ; event.at-w.arrived[first].at >= platformWindow; first++ {
			sum -= w.arrived[first].tokens
		}
		most = max(most, sum)
	}
	return most
}

// refusedInside returns how many requests in a span were refused although they would have
// been within what the rule grants, and how many were sent on or refused in it.
func (w *traffic) refusedInside(from, to time.Duration) (refused, all int) {
	for _, event := range w.refused {
		if event.at >= from && event.at < to {
			all++
			if w.inWindow(event.at)+event.tokens <= w.granted() {
				refused++
			}
		}
	}
	for _, event := range w.arrived {
		if event.at >= from && event.at < to {
			all++
		}
	}
	return refused, all
}

// spans returns the times before, soon after and later after a loss.
func spans(number int) map[string][2]time.Duration {
	at := lossTimes(number)
	back := at + lossTime
	return map[string][2]time.Duration{"before": {at - afterLoss, at}, "in 5 s": {back, back + afterLoss}, "after": {back + afterLoss, lossTimes(number + 1)}}
}

// check compares the results with the rule and the targets: at 0.8 times the rate no request
// is refused, at the rate under one in a hundred, counted over both workspaces at the rate
// since each has about sixty requests in a span, and at four times the rate nine tenths of
// what the rule grants arrive, in the windows that end with a loss and with the interval after
// it. A window with a loss in it has a second without processes.
func check(t *testing.T, trial string, loads []*traffic, losses []loss) {
	for _, load := range loads {
		bound := int64(platformFactor*float64(load.granted())) + platformSlack
		t.Logf("%s, %s: at most %d tokens in a window of %d granted, %d allowed", trial, load.name, load.worst(), load.granted(), bound)
		require.LessOrEqual(t, load.worst(), bound, "%s, %s: the rule is kept", trial, load.name)
	}
	for n, lost := range losses {
		for span, times := range spans(n) {
			refusedAtRate, allAtRate := 0, 0
			for _, load := range loads {
				refused, all := load.refusedInside(times[0], times[1])
				name := fmt.Sprintf("%s, %s, loss of %s: %d of %d refused %s", trial, load.name, lost.name, refused, all, span)
				t.Log(name)
				switch load.multiple {
				case 0.8:
					require.Zero(t, refused, name)
				case 1:
					refusedAtRate, allAtRate = refusedAtRate+refused, allAtRate+all
				}
			}
			require.Less(t, 100*refusedAtRate, allAtRate, "%s, at the rate, loss of %s, %s", trial, lost.name, span)
		}
		for _, load := range loads {
			at, next := lossTimes(n), lossTimes(n+1)
			name := fmt.Sprintf("%s, %s, loss of %s", trial, load.name, lost.name)
			t.Logf("%s: tokens before %d, over the loss %d, after %d", name, load.inWindow(at), load.inWindow(at+lossTime+afterLoss), load.inWindow(next))
			if load.multiple == 4 {
				require.GreaterOrEqual(t, load.inWindow(at), load.granted()*9/10, "%s, before", name)
				require.GreaterOrEqual(t, load.inWindow(next), load.granted()*9/10, "%s, after", name)
			}
		}
	}
}
