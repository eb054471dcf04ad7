package feed_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/feed"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// replica answers each heartbeat with the update that answer returns; nil sends none.
type replica struct {
	mutex      sync.Mutex
	heartbeats []plane.Heartbeat
	hellos     []plane.Hello
	answer     func(heartbeat *plane.Heartbeat) *plane.Update
}

func (r *replica) serve(_ context.Context, stream *wire.Stream) error {
	var hello plane.Hello
	if err := stream.Receive(&hello); err != nil {
		return err
	}
	r.mutex.Lock()
	r.hellos = append(r.hellos, hello)
	r.mutex.Unlock()
	for {
		var heartbeat plane.Heartbeat
		if err := stream.Receive(&heartbeat); err != nil {
			return err
		}
		r.mutex.Lock()
		r.heartbeats = append(r.heartbeats, heartbeat)
		update := r.answer(&heartbeat)
		r.mutex.Unlock()
		if update == nil {
			continue
		}
		update.Seq = heartbeat.Seq
		if err := stream.Send(update); err != nil {
			return err
		}
	}
}

// withFeed runs a test with a feed that is connected to one replica. ended receives
// the result of Feed.Run.
func withFeed(t *testing.T, r *replica, test func(f *feed.Feed, ended <-chan error)) {
	bubble.Test(t, func(t *testing.T) {
		network := vnet.New()
		listener, err := network.Listen("control:1")
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = link.Serve(ctx, listener, map[string]link.Handler{plane.MethodFeed: r.serve}) }()
		h := host.Host{VM: "entry", Meter: meter.New(), Dial: network.Dialer("entry")}
		up := &uplink.Uplink{Host: h, Replicas: []string{"control:1"}}
		f := &feed.Feed{Host: h, Incarnation: 1, Uplink: up}
		go up.Run(ctx)
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		time.Sleep(50 * time.Millisecond)
		test(f, ended)
		cancel()
		time.Sleep(10 * time.Minute)
	})
}

func completeDelta(number uint64, keys ...string) *conf.Delta {
	config := &conf.Config{Number: number, Keys: map[string]conf.Key{}}
	for _, key := range keys {
		config.Keys[key] = conf.Key{Workspace: "w"}
	}
	return conf.Diff(nil, config)
}

func renewal(number uint64, delta *conf.Delta) *plane.Update {
	return &plane.Update{Lease: span.Duration(lease.Length), ConfigNumber: number, Config: delta}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	r := &replica{}
	r.answer = func(heartbeat *plane.Heartbeat) *plane.Update {
		if heartbeat.ConfigNumber == 0 {
			return renewal(5, completeDelta(5, "new"))
		}
		return renewal(4, completeDelta(4, "withdrawn"))
	}
	withFeed(t, r, func(f *feed.Feed, _ <-chan error) {
		time.Sleep(5 * time.Second)
		require.Equal(t, uint64(5), f.Config().Number)
		require.Contains(t, f.Config().Keys, "new")
		require.NotContains(t, f.Config().Keys, "withdrawn")
	})
}

func TestLeaseIsNotRenewedForANewerConfigurationThanHeld(t *testing.T) {
	r := &replica{}
	r.answer = func(heartbeat *plane.Heartbeat) *plane.Update {
		if heartbeat.ConfigNumber == 0 {
			return renewal(5, completeDelta(5))
		}
		return renewal(6, nil)
	}
	withFeed(t, r, func(f *feed.Feed, _ <-chan error) {
		require.True(t, f.Valid())
		time.Sleep(lease.Length)
		require.False(t, f.Valid())
	})
}

func TestMismatchedDeltaReopensTheStream(t *testing.T) {
	r := &replica{}
	r.answer = func(heartbeat *plane.Heartbeat) *plane.Update {
		if heartbeat.ConfigNumber == 0 {
			return renewal(5, completeDelta(5))
		}
		return renewal(7, &conf.Delta{From: 6, To: 7, Put: &conf.Config{Number: 7}})
	}
	withFeed(t, r, func(f *feed.Feed, _ <-chan error) {
		time.Sleep(5 * time.Second)
		require.Equal(t, uint64(5), f.Config().Number)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		require.Greater(t, len(r.hellos), 1)
		require.Equal(t, uint64(5), r.hellos[len(r.hellos)-1].ConfigNumber)
	})
}

func TestSupersededProcessStops(t *testing.T) {
	r := &replica{answer: func(*plane.Heartbeat) *plane.Update { return renewal(5, completeDelta(5)) }}
	withFeed(t, r, func(f *feed.Feed, ended <-chan error) {
		require.True(t, f.Valid())
		r.mutex.Lock()
		r.answer = func(*plane.Heartbeat) *plane.Update { return &plane.Update{Superseded: true} }
		r.mutex.Unlock()
		require.ErrorIs(t, <-ended, &feed.Error{Kind: feed.KindSuperseded})
		require.False(t, f.Valid())
	})
}

func TestBurnCountsAreSentUntilConfirmed(t *testing.T) {
	unresponsive := true
	r := &replica{}
	r.answer = func(*plane.Heartbeat) *plane.Update {
		if unresponsive {
			return nil
		}
		return renewal(5, completeDelta(5))
	}
	carried := func() int {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		count := 0
		for _, heartbeat := range r.heartbeats {
			for _, burn := range heartbeat.BurnCounts {
				require.Equal(t, plane.BurnCount{Workspace: "w", Route: "route", Good: 1, Bad: 1}, burn)
				count++
			}
		}
		return count
	}
	withFeed(t, r, func(f *feed.Feed, _ <-chan error) {
		f.CountRequest("w", "route", true)
		f.CountRequest("w", "route", false)
		time.Sleep(5 * time.Second)
		lost := carried()
		require.Greater(t, lost, 1, "counts are sent again after each stream that did not confirm them")
		r.mutex.Lock()
		unresponsive = false
		r.mutex.Unlock()
		time.Sleep(5 * time.Second)
		confirmed := carried()
		r.mutex.Lock()
		unresponsive = true
		r.mutex.Unlock()
		time.Sleep(5 * time.Second)
		require.Equal(t, confirmed, carried())
	})
}

// Reports about requests that may crash endpoints are sent again after heartbeats
// without an answer and after streams that ended.
func TestSuspectsAreSentUntilConfirmed(t *testing.T) {
	unresponsive := true
	r := &replica{}
	r.answer = func(*plane.Heartbeat) *plane.Update {
		if unresponsive {
			return nil
		}
		return renewal(0, nil)
	}
	withFeed(t, r, func(f *feed.Feed, _ <-chan error) {
		f.ReportCrash(plane.Crash{Source: "entry/e1", Incarnation: 1, Count: 1, Digests: [][]byte{{1}}})
		time.Sleep(3 * time.Second)
		f.ClearSuspect([]byte{2})
		time.Sleep(time.Second)
		r.mutex.Lock()
		unresponsive = false
		r.mutex.Unlock()
		time.Sleep(5 * time.Second)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		require.Greater(t, len(r.hellos), 1, "the feed closed its stream to the replica that did not answer")
		carried := 0
		for _, heartbeat := range r.heartbeats {
			if len(heartbeat.Crashes) == 1 && len(heartbeat.ClearedSuspects) == 1 {
				carried++
			}
		}
		require.Greater(t, carried, 0)
		last := r.heartbeats[len(r.heartbeats)-1]
		require.Empty(t, last.Crashes)
		require.Empty(t, last.ClearedSuspects)
	})
}

// A daemon took the endpoints that it knew for all that serve, although a change had been
// committed that had not reached it yet.
func TestConfirmationFollowsTheCall(t *testing.T) {
	r := &replica{}
	r.answer = func(*plane.Heartbeat) *plane.Update { return renewal(5, completeDelta(5)) }
	withFeed(t, r, func(f *feed.Feed, _ <-chan error) {
		confirm := func(limit time.Duration) (bool, time.Duration) {
			started := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			return f.Confirm(ctx), time.Since(started)
		}
		sent := func() int {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			return len(r.heartbeats)
		}
		time.Sleep(500 * time.Millisecond)
		before := sent()
		confirmed, waited := confirm(time.Second)
		require.True(t, confirmed)
		require.LessOrEqual(t, waited, 200*time.Millisecond, "does not wait for the next regular heartbeat")
		require.Equal(t, before+1, sent(), "an answer to an earlier heartbeat is not enough")

		before = sent()
		var group sync.WaitGroup
		for range 500 {
			group.Go(func() {
				confirmed, _ := confirm(time.Second)
				require.True(t, confirmed)
			})
		}
		group.Wait()
		require.LessOrEqual(t, sent(), before+2, "calls share a heartbeat")

		r.mutex.Lock()
		r.answer = func(*plane.Heartbeat) *plane.Update { return &plane.Update{ConfigNumber: 5} }
		r.mutex.Unlock()
		confirmed, waited = confirm(250 * time.Millisecond)
		require.False(t, confirmed, "an answer without a lease did not ask the other replicas")
		require.Equal(t, 250*time.Millisecond, waited)
		time.Sleep(5 * time.Second)
		r.mutex.Lock()
		r.answer = func(*plane.Heartbeat) *plane.Update { return renewal(5, nil) }
		r.mutex.Unlock()
		time.Sleep(2 * time.Second)
		confirmed, _ = confirm(time.Second)
		require.True(t, confirmed, "over another stream")
	})
}
