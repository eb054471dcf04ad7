package direct_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/entry/hedge"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/bucket"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
)

const (
	// hedgeShare is the operators' limit in the load tests.
	hedgeShare = 0.05
	// loadEntries and loadSlots are the number of entries and the slots of each of the
	// three endpoints. An answer usually takes about 20 ms, so the endpoints can give about
	// 1,100 answers a second.
	loadEntries = 12
	loadSlots   = 8
)

// load is a load of requests that come to all entries at random.
type load struct {
	// rate returns the requests a second at a time, and factor by how much an endpoint is
	// slower than usual.
	rate    func(at time.Duration) float64
	factor  func(endpoint int, at time.Duration) float64
	seconds int
}

// loadResult is what a load came to.
type loadResult struct {
	p50, p99, p999 time.Duration
	served, failed int
	// attempts are those that reached an endpoint, and work is how long endpoints worked,
	// also for attempts that were cancelled.
	attempts int
	work     time.Duration
	// sent are the times of the hedges of each entry, and arrived those of its requests.
	sent, arrived [loadEntries][]time.Duration
	denied        map[hedge.Cause]int64
	won, lost     int64
}

// String formats the result for the log of a test.
func (r *loadResult) String() string {
	return fmt.Sprintf("p50 %v p99 %v p99.9 %v; served %d failed %d; attempts %d work %v; hedges won %d lost %d denied %v",
		r.p50.Round(ms/10), r.p99.Round(ms/10), r.p999.Round(ms/10), r.served, r.failed, r.attempts, r.work.Round(ms), r.won, r.lost, r.denied)
}

// world is a fleet that serves a load.
type world struct {
	load    *load
	result  loadResult
	started time.Time
	mutex   sync.Mutex
	random  *rand.Rand
	// slots are those of each endpoint; a request waits for one.
	slots   [3]chan struct{}
	entries [loadEntries]*direct.Filter
	// limit and pool are the fleet's retry budget at control.
	limit budget.Limit
	pool  *bucket.Bucket
}

// newWorld returns a fleet, with hedges or without.
func newWorld(l *load, hedged bool) *world {
	w := &world{load: l, started: time.Now(), random: rand.New(rand.NewPCG(7, 7)), limit: budget.Limit{Ratio: 0.2, Slack: 86, Window: 10 * time.Second}}
	w.pool = bucket.New(w.limit.Pool().Rate, w.limit.Pool().Burst, 0, w.started)
	config := &conf.Config{Number: 1, Services: map[string]conf.Service{"s": {}}}
	if hedged {
		config.Services["s"] = conf.Service{HedgeShare: hedgeShare}
	}
	for i := range w.slots {
		w.slots[i] = make(chan struct{}, loadSlots)
	}
	usable := map[string][]advert.Record{}
	for i := range w.slots {
		name := fmt.Sprint("e", i)
		usable["s"] = append(usable["s"], advert.Record{Name: name, Service: "s", Address: name + ":1", DataCentre: "d", Slots: loadSlots})
	}
	for i := range w.entries {
		f := newFilter(&service{}, 0)
		f.Config, f.Hedges = func() *conf.Config { return config }, &hedge.Policy{}
		f.Endpoints.Position = func() (int, int) { return i, loadEntries }
		f.Endpoints.Update(usable)
		f.Budget.Report, f.Budget.Lease = w.report, func(context.Context, string) func(bool) {
			if !w.take(0) {
				return nil
			}
			return func(bool) {}
		}
		f.Budget.LeaseHedge = w.leaseHedge
		f.Send = func(ctx context.Context, c *direct.Call) (*direct.Answer, error) {
			if c.NewConnection {
				w.mutex.Lock()
				w.result.sent[i] = append(w.result.sent[i], time.Since(w.started))
				w.mutex.Unlock()
			}
			return w.serve(ctx, c)
		}
		w.entries[i] = f
	}
	return w
}

func (w *world) report(string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.pool.Refund(min(w.limit.Credit(1), w.pool.Burst()-w.pool.Level()))
	return true
}

// take takes one repeat from the pool if that leaves enough in it.
func (w *world) take(keep int64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.pool.Advance(time.Now(), 0)
	return w.pool.Level() >= keep+budget.TokensPerRetry && w.pool.Take(budget.TokensPerRetry) > 0
}

// leaseHedge is an exchange with control, which takes 2 ms.
func (w *world) leaseHedge(context.Context, string) (settle func(sent bool), reached bool) {
	time.Sleep(2 * ms)
	if !w.take(w.pool.Burst() / 2) {
		return nil, true
	}
	return func(sent bool) {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if !sent {
			w.pool.Refund(min(budget.TokensPerRetry, w.pool.Burst()-w.pool.Level()))
		}
	}, true
}

// serve runs one attempt at its endpoint until it ends or is cancelled.
func (w *world) serve(ctx context.Context, c *direct.Call) (*direct.Answer, error) {
	index := int(c.Endpoint.Name[1] - '0')
	w.mutex.Lock()
	w.result.attempts++
	usual := 20 * math.Exp(0.3*w.random.NormFloat64()) * float64(ms)
	w.mutex.Unlock()
	cancelled := &httpc.Error{Kind: httpc.KindCancelled, Err: context.Canceled}
	select {
	case w.slots[index] <- struct{}{}:
	case <-ctx.Done():
		return nil, cancelled
	}
	begun := time.Now()
	defer func() {
		<-w.slots[index]
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.result.work += time.Since(begun)
	}()
	select {
	case <-time.After(time.Duration(usual * w.load.factor(index, time.Since(w.started)))):
	case <-ctx.Done():
		return nil, cancelled
	}
	return &direct.Answer{Status: http.StatusOK, Header: http.Header{}, Authentic: true, Body: io.NopCloser(strings.NewReader("good"))}, nil
}

// play runs a load, with hedges or without.
func (l *load) play(t *testing.T, hedged bool) *loadResult {
	var w *world
	bubble.Test(t, func(*testing.T) {
		w = newWorld(l, hedged)
		var latencies []time.Duration
		var callers sync.WaitGroup
		arrivals := rand.New(rand.NewPCG(3, 3))
		for time.Since(w.started) < time.Duration(l.seconds)*time.Second {
			time.Sleep(time.Duration(arrivals.ExpFloat64() / l.rate(time.Since(w.started)) * float64(time.Second)))
			entry := arrivals.IntN(loadEntries)
			w.result.arrived[entry] = append(w.result.arrived[entry], time.Since(w.started))
			callers.Go(func() {
				began := time.Now()
				_, err := run(context.Background(), w.entries[entry], func(r *chain.Request) {
					r.Route.Idempotent, r.Objective = true, conf.Objective{}
				})
				w.mutex.Lock()
				defer w.mutex.Unlock()
				if err != nil {
					w.result.failed++
					return
				}
				latencies = append(latencies, time.Since(began))
			})
		}
		callers.Wait()
		time.Sleep(time.Minute)
		slices.Sort(latencies)
		n := len(latencies)
		w.result.served, w.result.p50, w.result.p99, w.result.p999 = n, latencies[n/2], latencies[n*99/100], latencies[n*999/1000]
	})
	w.count()
	return &w.result
}

// count reads the counters of all entries.
func (w *world) count() {
	w.result.denied = map[hedge.Cause]int64{}
	for _, f := range w.entries {
		w.result.won += f.Host.Meter.Value("hedges_won_s_")
		w.result.lost += f.Host.Meter.Value("hedges_lost_s_")
		for _, cause := range []hedge.Cause{hedge.CausePeak, hedge.CauseLoad, hedge.CauseShare, hedge.CauseBudget, hedge.CauseEndpoint, hedge.CauseTime} {
			if n := f.Host.Meter.Value("hedges_denied_" + string(cause) + "_s_"); n > 0 {
				w.result.denied[cause] += n
			}
		}
	}
}

// playBoth runs a load without and with hedges and checks what must hold of every load: no
// further request fails, and each entry keeps the operators' limit in any ten seconds that
// end with a hedge.
func (l *load) playBoth(t *testing.T) (off, on *loadResult) {
	off, on = l.play(t, false), l.play(t, true)
	t.Logf("off: %v", off)
	t.Logf("on:  %v", on)
	require.LessOrEqual(t, on.failed, off.failed)
	for entry := range loadEntries {
		require.Empty(t, off.sent[entry])
		for _, last := range on.sent[entry] {
			hedges, requests := within(on.sent[entry], last-10*time.Second, last), within(on.arrived[entry], last-10*time.Second, last)
			require.LessOrEqual(t, float64(hedges), hedgeShare*float64(requests), "entry %d at %v", entry, last)
		}
	}
	return off, on
}

// within counts the times of a span, with both ends.
func within(times []time.Duration, from, to time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= from && at <= to {
			count++
		}
	}
	return count
}

// all returns the times of all entries.
func all(times [loadEntries][]time.Duration) []time.Duration { return slices.Concat(times[:]...) }

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// One endpoint of three is ten times slower than usual for 600 ms out of every 4 s, as the
// engines of the newer sites are at times. Each entry finds that out by a few slow answers
// of its own, which are the slowest in a hundred. With hedges, p99 falls by a third or
// more and p99.9 falls, for at most the operators' share of additional attempts.
func TestLoadWithOneSlowEndpointOfThree(t *testing.T) {
	l := &load{seconds: 100, rate: steady(300), factor: func(endpoint int, at time.Duration) float64 {
		if endpoint == 0 && at%(4*time.Second) < 600*ms {
			return 10
		}
		return 1
	}}
	off, on := l.playBoth(t)
	require.Less(t, on.p99, off.p99*2/3)
	require.Less(t, on.p999, off.p999)
	require.LessOrEqual(t, on.p50, off.p50+ms)
	require.LessOrEqual(t, float64(on.attempts-off.attempts), hedgeShare*float64(off.attempts))
	require.LessOrEqual(t, float64(on.work), (1+hedgeShare)*float64(off.work))
}

// All endpoints become five times slower for good. No endpoint is better than another, so
// hedges gain little and must cost no more than the operators' share, and nobody waits
// longer for them.
func TestLoadWithAllEndpointsSlow(t *testing.T) {
	l := &load{seconds: 100, rate: steady(100), factor: func(_ int, at time.Duration) float64 {
		if at > 30*time.Second {
			return 5
		}
		return 1
	}}
	off, on := l.playBoth(t)
	require.LessOrEqual(t, on.p50, off.p50*21/20)
	require.LessOrEqual(t, on.p99, off.p99*21/20)
	require.LessOrEqual(t, on.p999, off.p999*21/20)
	require.LessOrEqual(t, float64(on.work), (1+hedgeShare)*float64(off.work))
}

// The load rises above what the endpoints can do for 10 s. Hedging stops by itself: after
// one second of the peak no more than one request in two hundred is hedged, although almost
// every answer is late by the threshold learned before, and no more requests fail.
func TestLoadAtThePeak(t *testing.T) {
	const begin, end = 40 * time.Second, 50 * time.Second
	l := &load{seconds: 80, rate: func(at time.Duration) float64 {
		if at >= begin && at < end {
			return 1300
		}
		return 300
	}, factor: func(int, time.Duration) float64 { return 1 }}
	off, on := l.playBoth(t)
	hedges, requests := within(all(on.sent), begin+time.Second, end), within(all(on.arrived), begin+time.Second, end)
	t.Logf("hedges during the peak: %d of %d requests", hedges, requests)
	require.LessOrEqual(t, float64(hedges), 0.005*float64(requests))
	require.Positive(t, on.denied[hedge.CausePeak])
	require.LessOrEqual(t, on.p99, off.p99*21/20)
}
