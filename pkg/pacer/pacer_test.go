package pacer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/pacer"
)

// span is the time in which an endpoint counts its requests against its limit.
const span = 4 * time.Second

// fleet is a number of entries that send to one process.
type fleet struct {
	random *rand.Rand
	pacers []*pacer.Pacer
	now    time.Time
	sent   []time.Time
}

func newFleet(seed uint64, entries int, limit float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Now()}
	for i := range entries {
		p := &pacer.Pacer{Process: fmt.Sprint("process-", seed), Random: f.random.Float64}
		p.Limit(limit, i, entries, f.now)
		f.pacers = append(f.pacers, p)
	}
	return f
}

// play lets the entries send as they may for some time, each at most once a step with the
// given probability. After a pause without requests all try at the same moment.
func (f *fleet) play(length, step time.Duration, probability float64) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for _, at := range f.random.Perm(len(f.pacers)) {
			if f.random.Float64() < probability && f.pacers[at].Take(f.now) {
				f.sent = append(f.sent, f.now)
			}
		}
	}
}

func (f *fleet) mostWithinSpan() int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Entries that each kept the whole limit, or each had one request of it in hand, sent a
// limited endpoint a request each at the same moment.
func TestFleetStaysWithinLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.1, 0.5, 1, 1.5, 3.7, 20, 300, 1e20} {
		for _, entries := range []int{1, 2, 8, 50, 380} {
			t.Run(fmt.Sprintf("%v of %d", limit, entries), func(t *testing.T) {
				for seed := range uint64(3) {
					f := newFleet(seed, entries, limit)
					length, step := 30*time.Second, 50*time.Millisecond
					f.play(length, step, 0.5)
					f.now = f.now.Add(time.Minute)
					f.play(length, step, 1)
					require.LessOrEqual(t, float64(f.mostWithinSpan()), 1.5*limit*span.Seconds()+5)
					// Each entry tries once a step, and half as often in the first part.
					tries := float64(entries) / step.Seconds()
					possible := (min(limit, tries/2) + min(limit, tries)) * length.Seconds()
					require.GreaterOrEqual(t, float64(len(f.sent)), 0.8*possible-1, "the limit is used")
				}
			})
		}
	}
}

// A limit that is raised or lowered holds from then on, and one that ends leaves no trace.
func TestChangedLimit(t *testing.T) {
	f := newFleet(1, 8, 10)
	f.play(20*time.Second, 50*time.Millisecond, 1)
	for i, p := range f.pacers {
		p.Limit(1, i, 8, f.now)
	}
	f.sent = nil
	f.play(20*time.Second, 50*time.Millisecond, 1)
	require.LessOrEqual(t, f.mostWithinSpan(), 11)
	for _, p := range f.pacers {
		p.Unlimit()
		require.Zero(t, p.Wait(3, f.now))
		require.True(t, p.Take(f.now))
	}
}

// VMs whose views of the entries differ are members beside each other for a time.
func TestDifferentViewsOfTheEntries(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 1.5} {
		f := newFleet(1, 8, limit)
		for i, p := range f.pacers[4:] {
			p.Limit(limit, i+3, 7, f.now)
		}
		f.play(time.Minute, 50*time.Millisecond, 1)
		require.LessOrEqual(t, float64(f.mostWithinSpan()), 1.5*limit*span.Seconds()+5)
	}
}

// An entry that does not know its position sends hardly anything, but not nothing.
func TestUnknownPosition(t *testing.T) {
	p := &pacer.Pacer{Process: "p"}
	now := time.Now()
	p.Limit(5, -1, 0, now)
	sent := 0
	for range 20 * 60 * 10 {
		if p.Take(now) {
			sent++
		}
		now = now.Add(100 * time.Millisecond)
	}
	require.InDelta(t, 20*60/(64/0.5), sent, 5)
	require.False(t, p.Member())
}

// The wait of a request counts those that wait before it.
func TestWaitCountsRequestsAhead(t *testing.T) {
	now := time.Now()
	p := &pacer.Pacer{Process: "p"}
	p.Limit(2, 0, 1, now)
	require.InDelta(t, 0.5, p.Wait(0, now).Seconds(), 0.01)
	require.InDelta(t, 1.5, p.Wait(2, now).Seconds(), 0.01)
	now = now.Add(500 * time.Millisecond)
	require.Zero(t, p.Wait(0, now))
	require.True(t, p.Take(now))
	require.False(t, p.Take(now))
	require.Equal(t, 500*time.Millisecond, p.Spacing())
}
