package finder_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/finder"
	"github.com/tanagerspindle/tanagerspindle/entry/pool"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// fleet is a number of agents, and entries that know all or some of them.
type fleet struct {
	network *vnet.Network
	stores  []*origin.Store
	// stop ends an agent. silent agents receive messages and do not reply.
	stop   []func()
	mutex  sync.Mutex
	silent map[int]bool
	// latency is how long agents take to answer.
	latency time.Duration
}

func inFleet(t *testing.T, agents int, test func(t *testing.T, f *fleet)) {
	bubble.Test(t, func(t *testing.T) {
		f := &fleet{network: vnet.New(), silent: map[int]bool{}}
		var group sync.WaitGroup
		for i := range agents {
			store := &origin.Store{}
			handlers := store.Handlers()
			for method, handler := range handlers {
				handlers[method] = func(ctx context.Context, stream *wire.Stream) error {
					f.mutex.Lock()
					silent, latency := f.silent[i], f.latency
					f.mutex.Unlock()
					time.Sleep(latency)
					if silent {
						<-ctx.Done()
						return ctx.Err()
					}
					return handler(ctx, stream)
				}
			}
			listener, err := f.network.Listen(agentAddress(i))
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			group.Go(func() { _ = link.Serve(ctx, listener, handlers) })
			f.stores, f.stop = append(f.stores, store), append(f.stop, cancel)
		}
		test(t, f)
		for _, stop := range f.stop {
			stop()
		}
		group.Wait()
	})
}

func agentAddress(i int) string { return fmt.Sprintf("agent-%d:1", i) }

// entry returns an entry that knows the agents from first to last.
func (f *fleet) entry(t *testing.T, name string, first, last int) *finder.Finder {
	dial := f.network.Dialer(name)
	agents := &pool.Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, address) }}
	var addresses []string
	for i := first; i <= last; i++ {
		addresses = append(addresses, agentAddress(i))
	}
	found := &finder.Finder{Host: host.Host{Meter: meter.New()}, Agents: agents, Addresses: func() []string { return addresses }}
	t.Cleanup(agents.Close)
	return found
}

func record(i int) origin.Record {
	return origin.Record{Attempt: fmt.Sprint("attempt-", i), Service: "s", SoftwareVersion: fmt.Sprint("v", i%3), Known: true}
}

// known reports whether an entry finds the origin of a stream.
func known(entry *finder.Finder, attempt string) bool {
	found, _ := entry.Find(context.Background(), attempt)
	return found.Known
}

// The origin of a stream was lost with the entry at which it began.
func TestOtherEntriesFindOrigins(t *testing.T) {
	const streams = 100
	for name, test := range map[string]struct {
		// lost are agents that end after the streams began.
		lost []int
		// first is the first agent that the second entry knows.
		first int
		want  int
	}{
		"all agents left":            {nil, 0, streams},
		"one agent lost":             {[]int{3}, 0, streams},
		"agents it does not know of": {nil, 2, streams * 9 / 10},
		"half of the agents lost":    {[]int{0, 1, 2, 3, 4, 5}, 0, streams * 6 / 10},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 12, func(t *testing.T, f *fleet) {
				first, second := f.entry(t, "first", 0, 11), f.entry(t, "second", test.first, 11)
				for i := range streams {
					first.Record(record(i))
				}
				first.Wait()
				stored := 0
				for _, store := range f.stores {
					stored += store.Len()
				}
				require.Equal(t, 2*streams, stored, "two agents hold each")
				for _, i := range test.lost {
					f.stop[i]()
				}
				found := 0
				for i := range streams {
					if got, _ := second.Find(t.Context(), record(i).Attempt); got.Known {
						require.Equal(t, record(i), got)
						found++
					}
				}
				require.GreaterOrEqual(t, found, test.want)
			})
		})
	}
}

// A search that nobody answers ends soon, so that the caller can begin a new stream.
func TestSearchIsBounded(t *testing.T) {
	inFleet(t, 12, func(t *testing.T, f *fleet) {
		f.mutex.Lock()
		for i := range 12 {
			f.silent[i] = true
		}
		f.mutex.Unlock()
		first, second := f.entry(t, "first", 0, 11), f.entry(t, "second", 0, 11)
		first.Record(record(1))
		require.True(t, known(first, record(1).Attempt), "its own streams are known at once")
		for _, attempt := range []string{record(1).Attempt, "", string(make([]byte, 1000))} {
			started := time.Now()
			require.False(t, known(second, attempt))
			require.LessOrEqual(t, time.Since(started), 300*time.Millisecond)
		}
		first.Wait()
		none := &finder.Finder{Host: host.Host{Meter: meter.New()}, Addresses: func() []string { return nil }}
		none.Record(record(1))
		require.False(t, known(none, "attempt-2"), "without agents")
	})
}

// An agent that was silent counted as one that holds no record. One that refuses connections has
// ended, and its records with it.
func TestSilentAgentLeavesTheOriginUndecided(t *testing.T) {
	for name, test := range map[string]struct {
		change   func(f *fleet)
		answered bool
	}{
		"all reply":   {func(*fleet) {}, true},
		"one ended":   {func(f *fleet) { f.stop[0]() }, true},
		"one silent":  {func(f *fleet) { f.silent[0] = true }, false},
		"one cut off": {func(f *fleet) { f.network.Isolate("second", "agent-0") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 3, func(t *testing.T, f *fleet) {
				second := f.entry(t, "second", 0, 2)
				second.Agents.DialTimeout = 250 * time.Millisecond
				require.False(t, known(second, record(1).Attempt))
				f.mutex.Lock()
				test.change(f)
				f.mutex.Unlock()
				time.Sleep(time.Second)
				_, answered := second.Find(t.Context(), record(1).Attempt)
				require.Equal(t, test.answered, answered)
			})
		})
	}
}

// Agents that do not reply must not make an entry collect records without bound.
func TestRecordingIsBounded(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		f.mutex.Lock()
		for i := range 4 {
			f.silent[i] = true
		}
		f.mutex.Unlock()
		first := f.entry(t, "first", 0, 3)
		for i := range 1000 {
			first.Record(record(i))
		}
		require.EqualValues(t, 1000-128, first.Host.Meter.Value("origins_dropped"))
		first.Wait()
	})
}

// While one software version serves, agents are told nothing; once another one appears, they
// learn where the streams began that still go on.
func TestOriginsAreSentOnceTheyAreNeeded(t *testing.T) {
	inFleet(t, 12, func(t *testing.T, f *fleet) {
		first, second := f.entry(t, "first", 0, 11), f.entry(t, "second", 0, 11)
		mixed := false
		first.Needed = func(service string) bool { return service == "s" && mixed }
		other := record(1000)
		other.Service = "other"
		stored := func() (count int) {
			first.Wait()
			for _, store := range f.stores {
				count += store.Len()
			}
			return count
		}
		first.Record(record(0))
		time.Sleep(time.Minute)
		for i := 1; i <= 50; i++ {
			first.Record(record(i))
		}
		first.Record(other)
		first.Update()
		require.Zero(t, stored())
		mixed = true
		first.Update()
		require.Equal(t, 2*50, stored(), "neither the old stream nor that of another service")
		first.Update()
		require.True(t, known(second, record(7).Attempt))
		require.False(t, known(second, record(0).Attempt))
		first.Record(record(60))
		require.Equal(t, 2*51, stored())
		mixed = false
		for i := range 10_000 {
			first.Record(record(100 + i))
		}
		mixed = true
		first.Update()
		require.Equal(t, 2*(51+4096), stored(), "held records are bounded")
	})
}

// The agents that held the origins left with their endpoints in a release; an entry that
// started afterwards did not ask them, and streams that could go on were refused.
func TestOriginsOutliveTheAgentsThatLeave(t *testing.T) {
	const agents, streams = 12, 200
	inFleet(t, agents, func(t *testing.T, f *fleet) {
		first := f.entry(t, "first", 0, agents-1)
		var left atomic.Int32
		left.Store(agents)
		first.Addresses = func() (addresses []string) {
			for i := agents - int(left.Load()); i < agents; i++ {
				addresses = append(addresses, agentAddress(i))
			}
			return addresses
		}
		for i := range streams {
			first.Record(record(i))
		}
		first.Wait()
		for left.Load() > 2 {
			left.Add(-1)
			first.Update()
			time.Sleep(50 * time.Millisecond)
		}
		first.Wait()
		second := f.entry(t, "second", agents-2, agents-1)
		for i := range streams {
			got, _ := second.Find(t.Context(), record(i).Attempt)
			require.Equal(t, record(i), got)
		}
		stored := 0
		for _, store := range f.stores {
			stored += store.Len()
		}
		require.LessOrEqual(t, stored, streams*agents/2, "not all agents are told")
		before := first.Host.Meter.Value("origins_with_few_copies")
		first.Update()
		first.Wait()
		require.Equal(t, before, first.Host.Meter.Value("origins_with_few_copies"), "nothing is sent again without need")
	})
}

// The record of a stream was held at its entry, because one version alone served, when a
// release began and the entry was killed soon after: most records were still waiting for
// their turn to be sent.
func TestHeldOriginsAreSentBeforeTheirEntryIsKilled(t *testing.T) {
	const streams = 400
	inFleet(t, 12, func(t *testing.T, f *fleet) {
		first, second := f.entry(t, "first", 0, 11), f.entry(t, "second", 0, 11)
		var mixed atomic.Bool
		first.Needed = func(string) bool { return mixed.Load() }
		for i := range streams {
			first.Record(record(i))
		}
		f.mutex.Lock()
		f.latency = 2 * time.Millisecond
		f.mutex.Unlock()
		mixed.Store(true)
		first.Update()
		time.Sleep(200 * time.Millisecond)
		found := 0
		for i := range streams {
			if known(second, record(i).Attempt) {
				found++
			}
		}
		require.Equal(t, streams, found)
		first.Wait()
	})
}
