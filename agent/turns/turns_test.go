package turns_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/turns"
)

var start = time.Unix(1000, 0)

const work = 1000

// entry returns a new request on time that arrived before start.
func entry(workspace string, priority int32, age time.Duration) turns.Entry {
	arrived := start.Add(-age)
	return turns.Entry{Workspace: workspace, Priority: priority, OnTime: true, Arrived: arrived, Objective: arrived.Add(time.Second), Work: work}
}

func with(e turns.Entry, change func(e *turns.Entry)) turns.Entry {
	change(&e)
	return e
}

// admit records requests of a workspace that were admitted at even intervals until start.
func admit(b *turns.Book, workspace string, priority int32, count int) {
	for i := range count {
		at := start.Add(-4*time.Second + 4*time.Second*time.Duration(i)/time.Duration(count))
		e := entry(workspace, priority, 0)
		b.Offer(e, at)
		b.Admit(e, turns.Place{}, at)
	}
}

func order(b *turns.Book, entries []turns.Entry) []int {
	var indices []int
	for _, place := range b.Order(entries, start) {
		indices = append(indices, place.Index)
	}
	return indices
}

// The criteria of the order, each before the ones after it.
func TestOrder(t *testing.T) {
	late := func(e *turns.Entry) { e.OnTime = false }
	resumed := func(e *turns.Entry) { e.Resumed, e.Known, e.OnTime = true, true, false }
	b := &turns.Book{}
	admit(b, "used", 0, 20)
	// The small share is used up, so that it does not change the order.
	b.Admit(entry("used", 0, 0), turns.Place{SmallShare: true}, start)
	b.Admit(entry("used", 0, 0), turns.Place{SmallShare: true}, start)
	b.Admit(entry("used", 0, 0), turns.Place{SmallShare: true}, start)
	entries := []turns.Entry{
		with(entry("new", 0, 3*time.Second), late),
		entry("used", 0, 3*time.Millisecond),
		entry("used", 0, 4*time.Millisecond),
		entry("new", 0, time.Millisecond),
		with(entry("used", 5, time.Second), resumed),
		entry("new", 1, 0),
		with(entry("used", 4, 0), resumed),
	}
	require.Equal(t, []int{6, 4, 3, 2, 1, 5, 0}, order(b, entries))
	require.Empty(t, b.Order(nil, start))
}

// Workspaces alternate by work, not by requests: one with requests of twice the size gets
// every third turn.
func TestSharesAreCountedInWork(t *testing.T) {
	b := &turns.Book{}
	var entries []turns.Entry
	for i := range 12 {
		entries = append(entries, entry("small", 0, time.Duration(i)), with(entry("large", 0, time.Duration(i)), func(e *turns.Entry) { e.Work *= 2 }))
	}
	first := map[string]float64{}
	for _, place := range b.Order(entries, start)[:9] {
		first[entries[place.Index].Workspace] += entries[place.Index].Work
	}
	require.InDelta(t, first["small"], first["large"], 2*work)
}

// A workspace that comes back after it has used nothing gets its turn at once, but not for
// longer than its saved share lasts: the other one is not kept waiting.
func TestSavedShareIsBounded(t *testing.T) {
	b := &turns.Book{}
	admit(b, "busy", 0, 80)
	var entries []turns.Entry
	for i := range 40 {
		entries = append(entries, entry("busy", 0, time.Duration(1000-i)), entry("back", 0, time.Duration(i)))
	}
	places := b.Order(entries, start)
	run := 0
	for entries[places[run].Index].Workspace == "back" {
		run++
	}
	// 80 requests in 4 s are 20 a second, and 250 ms of the engine 5.
	require.GreaterOrEqual(t, run, 2)
	require.LessOrEqual(t, run, 6)
}

// Requests of lower priorities and late ones got nothing while more urgent ones waited.
func TestSmallShare(t *testing.T) {
	b := &turns.Book{}
	admit(b, "a", 0, 40)
	for range 40 {
		b.Offer(entry("a", 1, 0), start.Add(-time.Second))
	}
	var entries []turns.Entry
	for i := range 30 {
		entries = append(entries, entry("a", 0, time.Duration(i)), entry("a", 1, time.Second))
	}
	small, lowWait := 0, time.Duration(0)
	for _, place := range b.Order(entries, start) {
		low := entries[place.Index].Priority == 1
		require.Equal(t, low, place.Low)
		if place.SmallShare {
			require.True(t, low)
			small++
		}
		lowWait = max(lowWait, place.LowWait)
	}
	// 30 urgent requests beside about 25 of recent work that is not yet forgotten.
	require.InDelta(t, 0.05*(30+25), small, 1)
	require.Greater(t, lowWait, 10*time.Second, "30 requests at a twentieth of the engine")
}

// The small share gave a request of a low priority a turn although its priority was served a
// larger part than the more urgent one, or before requests that had waited longer.
func TestSmallShareServesNoKindBetter(t *testing.T) {
	for name, test := range map[string]struct {
		change func(b *turns.Book, low *turns.Entry)
		small  bool
	}{
		"neglected":            {func(b *turns.Book, low *turns.Entry) { b.Offer(*low, start); b.Offer(*low, start) }, true},
		"served a larger part": {func(*turns.Book, *turns.Entry) {}, false},
		"arrived later": {func(b *turns.Book, low *turns.Entry) {
			b.Offer(*low, start)
			b.Offer(*low, start)
			low.Arrived = start.Add(time.Second)
		}, false},
		"of a workspace over its share": {func(b *turns.Book, low *turns.Entry) {
			b.Offer(*low, start)
			b.Offer(*low, start)
			low.Workspace = "a"
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := &turns.Book{}
			admit(b, "a", 0, 40)
			for range 20 {
				b.Offer(entry("a", 0, 0), start)
			}
			low := entry("b", 1, time.Second)
			b.Offer(low, start)
			test.change(b, &low)
			entries := []turns.Entry{entry("b", 0, 0), low}
			if low.Workspace == "a" {
				entries[0].Workspace = "b"
			}
			require.Equal(t, test.small, b.Order(entries, start)[0].SmallShare)
		})
	}
}

// A caller that marks every request as resumed would precede all others.
func TestClaimedResumptionsAreLimited(t *testing.T) {
	claim := func(e *turns.Entry) { e.Resumed = true }
	b := &turns.Book{}
	for i := range 10 {
		admit(b, fmt.Sprint("w", i), 0, 10)
	}
	var entries []turns.Entry
	for i := range 60 {
		entries = append(entries, with(entry("claims", 0, time.Duration(i)), claim), entry("w0", 0, time.Duration(i)))
	}
	entries = append(entries, with(entry("w1", 0, 0), func(e *turns.Entry) { e.Resumed, e.Known = true, true }))
	resumed := 0
	for _, place := range b.Order(entries, start) {
		if place.Resumed && entries[place.Index].Workspace == "claims" {
			resumed++
		}
		require.Equal(t, place.Resumed, place.Resumed && entries[place.Index].Resumed)
	}
	// A tenth of 121 waiting requests and about 63 of recent work that is not yet forgotten.
	require.Positive(t, resumed)
	require.LessOrEqual(t, resumed, 19)
	// A workspace over its share has no precedence by a claim.
	over := []turns.Entry{with(entry("heavy", 0, 0), claim), entry("w0", 0, -time.Millisecond)}
	admit(b, "heavy", 0, 60)
	require.Equal(t, []int{1, 0}, order(b, over))
}

// The share that claimed resumptions have used is counted until it is forgotten.
func TestClaimedShareIsUsedUp(t *testing.T) {
	b := &turns.Book{}
	admit(b, "a", 0, 20)
	admit(b, "b", 0, 20)
	claimed := with(entry("c", 0, 0), func(e *turns.Entry) { e.Resumed = true })
	entries := []turns.Entry{entry("a", 0, time.Second), claimed}
	resumed := func() bool {
		return slices.ContainsFunc(b.Order(entries, start), func(p turns.Place) bool { return p.Resumed })
	}
	require.True(t, resumed())
	for range 4 {
		b.Admit(claimed, turns.Place{Resumed: true}, start)
	}
	require.False(t, resumed())
}

// An estimate that counted only the requests waiting now was too short for a workspace that
// all later requests of others precede.
func TestDelay(t *testing.T) {
	b := &turns.Book{}
	require.EqualValues(t, 1, b.Delay(entry("a", 0, 0), start))
	admit(b, "heavy", 1, 50)
	admit(b, "light", 1, 20)
	admit(b, "urgent", 0, 30)
	require.InDelta(t, 2, b.Delay(entry("heavy", 1, 0), start), 0.1)
	require.InDelta(t, 1/0.7, b.Delay(entry("light", 1, 0), start), 0.1)
	require.InDelta(t, 1, b.Delay(entry("urgent", 0, 0), start), 0.01)
	require.LessOrEqual(t, b.Delay(entry("heavy", 9, 0), start), 20.0, "the small share")
}

// Refused callers come back one after another, as far ahead as a time can hold.
func TestReturnTimesAreSpread(t *testing.T) {
	b := &turns.Book{}
	admit(b, "a", 0, 20)
	admit(b, "b", 0, 20)
	wait := func(final bool) time.Duration { return b.Return(entry("a", 0, 0), time.Second, final, start) }
	require.Equal(t, time.Second, wait(false))
	require.Equal(t, time.Second, wait(true), "a caller that asks other engines does not count")
	second := wait(true)
	require.Greater(t, second, 1100*time.Millisecond)
	require.Less(t, second, 1500*time.Millisecond)
	for range 100 {
		require.LessOrEqual(t, wait(true), 10*time.Second)
	}
	require.Equal(t, 20*time.Second, b.Return(entry("a", 0, 0), 20*time.Second, true, start))
	require.Equal(t, time.Second, b.Return(entry("b", 0, 0), time.Second, true, start), "another workspace")
}

// Workspaces that are gone are forgotten: an agent that runs for months does not grow.
func TestUnusedAccountsAreRemoved(t *testing.T) {
	b := &turns.Book{}
	for i := range 3_000 {
		at := start.Add(time.Duration(i) * 50 * time.Millisecond)
		e := entry(fmt.Sprint("w", i), int32(i%10), 0)
		b.Offer(e, at)
		b.Admit(e, turns.Place{}, at)
		b.Return(e, time.Second, true, at)
	}
	require.Less(t, b.Accounts(), 2_500)
	share, over := b.Share("w0", start.Add(200*time.Second))
	require.Zero(t, share)
	require.False(t, over)
}
