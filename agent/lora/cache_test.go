package lora_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/lora"
)

var start = time.Unix(1000, 0)

func key(name string) lora.Key { return lora.Key{Model: "m", Adapter: name} }

// engine simulates an engine that executes orders and reports its adapters.
type engine struct {
	t       *testing.T
	cache   *lora.Cache
	held    map[lora.Key]int64
	loading map[lora.Key]int64
	pins    map[lora.Key]int
	now     time.Time
}

func newEngine(t *testing.T, capacity int) *engine {
	return &engine{
		t: t, cache: &lora.Cache{Capacity: capacity}, now: start,
		held: map[lora.Key]int64{}, loading: map[lora.Key]int64{}, pins: map[lora.Key]int{},
	}
}

// report passes the engine's state to the cache.
func (e *engine) report() {
	var report []lora.Status
	for key, version := range e.held {
		report = append(report, lora.Status{Key: key, Version: version})
	}
	for key, version := range e.loading {
		report = append(report, lora.Status{Key: key, Version: version, Loading: true})
	}
	e.cache.Sync(report, e.now)
}

// order executes the next order of the cache and reports whether there was one.
func (e *engine) order(wanted ...lora.Key) (lora.Order, bool) {
	order, ok := e.cache.Next(wanted, e.now)
	if !ok {
		return order, false
	}
	e.cache.Sent(order, e.now)
	if !order.Load {
		require.Zero(e.t, e.pins[order.Key], "an adapter in use is unloaded")
		delete(e.held, order.Key)
		return order, true
	}
	e.loading[order.Key] = max(order.Version, 1)
	all := map[lora.Key]bool{}
	for key := range e.held {
		all[key] = true
	}
	for key := range e.loading {
		all[key] = true
	}
	require.LessOrEqual(e.t, len(all), e.cache.Capacity, "more adapters than slots")
	require.LessOrEqual(e.t, len(e.loading), lora.MaxInFlight)
	return order, true
}

// finishLoads ends all loads, except replacements of adapters in use.
func (e *engine) finishLoads() {
	for key, version := range e.loading {
		if e.pins[key] == 0 {
			e.held[key] = version
			delete(e.loading, key)
		}
	}
	e.report()
}

func TestLoadsWantedAdaptersUntilFull(t *testing.T) {
	e := newEngine(t, 2)
	a, b, c := key("a"), key("b"), key("c")
	for _, wanted := range []lora.Key{a, b} {
		e.cache.Touch(wanted, e.now)
		order, ok := e.order(wanted)
		require.True(t, ok)
		require.Equal(t, lora.Order{Key: wanted, Load: true}, order)
	}
	_, ok := e.order(a, b)
	require.False(t, ok, "both are loading")
	e.finishLoads()
	e.cache.Touch(b, e.now)
	e.cache.Touch(c, e.now)
	order, ok := e.order(c)
	require.True(t, ok)
	require.Equal(t, lora.Order{Key: a}, order, "least popular")
	_, ok = e.order(c)
	require.False(t, ok, "no report shows the free slot yet")
	e.report()
	order, _ = e.order(c)
	require.Equal(t, lora.Order{Key: c, Load: true}, order)
}

// A loaded adapter is not unloaded before the requests that waited for it are admitted.
func TestWantedAdapterIsNotUnloaded(t *testing.T) {
	e := newEngine(t, 1)
	e.order(key("a"))
	e.finishLoads()
	_, ok := e.order(key("a"), key("b"))
	require.False(t, ok)
}

// Slow loads reduce the number of concurrent loads, and loads at full speed raise it.
func TestOverloadedStoreGetsFewerLoads(t *testing.T) {
	e := newEngine(t, 100)
	loadsInFlight := func(took time.Duration) int {
		for round := range 20 {
			var wanted []lora.Key
			for i := range 10 {
				wanted = append(wanted, key(fmt.Sprint(took, round, i)))
			}
			for {
				if _, ok := e.order(wanted...); !ok {
					break
				}
			}
			e.report()
			e.now = e.now.Add(took)
			e.finishLoads()
			clear(e.held)
			e.report()
		}
		for i := range 10 {
			e.order(key(fmt.Sprint("last", took, i)))
		}
		count := len(e.loading)
		e.finishLoads()
		return count
	}
	require.Equal(t, 1, loadsInFlight(time.Second))
	require.Equal(t, lora.MaxInFlight, loadsInFlight(250*time.Millisecond))
	require.Equal(t, 1, loadsInFlight(500*time.Millisecond))
	require.Equal(t, 1, loadsInFlight(25*time.Millisecond), "loads from the engine's own memory do not measure the store")
}

func TestAdapterInUseIsNotUnloaded(t *testing.T) {
	e := newEngine(t, 1)
	e.order(key("a"))
	e.finishLoads()
	e.cache.Pin(key("a"))
	_, ok := e.order(key("b"))
	require.False(t, ok)
	e.cache.Unpin(key("a"))
	order, _ := e.order(key("b"))
	require.Equal(t, lora.Order{Key: key("a")}, order)
	_, ok = e.cache.Ready(key("a"), 0)
	require.False(t, ok, "an unload is pending")
}

func TestRefusedAndLostOrders(t *testing.T) {
	e := newEngine(t, 1)
	order, _ := e.cache.Next([]lora.Key{key("a")}, e.now)
	e.cache.Sent(order, e.now)
	_, ok := e.cache.Next([]lora.Key{key("a")}, e.now)
	require.False(t, ok)
	e.cache.Refused(order)
	order, ok = e.cache.Next([]lora.Key{key("a")}, e.now)
	require.True(t, ok)
	e.cache.Sent(order, e.now)
	e.now = e.now.Add(time.Minute)
	e.report()
	_, ok = e.cache.Next([]lora.Key{key("a")}, e.now)
	require.True(t, ok, "the order has had no effect")
}

// The engine may execute an order that it left unanswered until it accepts another one.
func TestUnansweredOrderIsSentAgain(t *testing.T) {
	e := newEngine(t, 2)
	e.order(key("a"))
	e.finishLoads()
	lost, ok := e.cache.Next([]lora.Key{key("b")}, e.now)
	require.True(t, ok)
	e.cache.Sent(lost, e.now)
	e.cache.Unanswered(lost)
	_, ok = e.cache.Next([]lora.Key{key("c")}, e.now)
	require.True(t, ok)
	again, ok := e.cache.Next([]lora.Key{key("b"), key("c")}, e.now)
	require.True(t, ok)
	require.Equal(t, lost, again, "the slot is reserved for the unanswered load")
	other, _ := e.cache.Next([]lora.Key{key("c")}, e.now)
	require.Equal(t, lora.Order{Key: key("a")}, other, "no slot is free while the engine may execute the lost order")
	e.cache.Sent(again, e.now)
	e.cache.Accepted(again)
	_, ok = e.cache.Next([]lora.Key{key("b")}, e.now)
	require.False(t, ok)
}

// An overloaded store limits the engine to one load at a time. A load that the engine left
// unanswered, and whose request has ended, must not block all other loads until it expires
// after three seconds. With a single slot no other load is possible, and the lost order is
// sent again.
func TestUnansweredLoadDoesNotBlockOthers(t *testing.T) {
	for capacity, next := range map[int]string{100: "c", 1: "b"} {
		e := newEngine(t, capacity)
		for i := range 4 {
			e.order(key(fmt.Sprint("slow", i)))
			e.report()
			e.now = e.now.Add(time.Second)
			e.finishLoads()
			clear(e.held)
			e.report()
		}
		lost, ok := e.cache.Next([]lora.Key{key("b")}, e.now)
		require.True(t, ok)
		e.cache.Sent(lost, e.now)
		e.cache.Unanswered(lost)
		order, ok := e.cache.Next([]lora.Key{key("c")}, e.now)
		require.True(t, ok)
		require.Equal(t, lora.Order{Key: key(next), Load: true}, order)
		_, ok = e.cache.Next(nil, e.now)
		require.False(t, ok, "no request waits")
	}
}

func TestAcceptedOrderVoidsUnansweredOnes(t *testing.T) {
	e := newEngine(t, 1)
	lost, _ := e.cache.Next([]lora.Key{key("a")}, e.now)
	e.cache.Sent(lost, e.now)
	e.cache.Unanswered(lost)
	e.cache.Accepted(lora.Order{Key: key("x"), Load: true})
	order, ok := e.cache.Next([]lora.Key{key("b")}, e.now)
	require.True(t, ok)
	require.Equal(t, lora.Order{Key: key("b"), Load: true}, order)
}

func TestNewVersionReplacesTheOldOne(t *testing.T) {
	e := newEngine(t, 2)
	e.order(key("a"))
	e.finishLoads()
	e.cache.RequireVersion(key("a"), 2)
	for _, needed := range []int64{0, 2} {
		_, ok := e.cache.Ready(key("a"), needed)
		require.False(t, ok, "no request begins on the old version")
	}
	order, ok := e.order()
	require.True(t, ok)
	require.Equal(t, lora.Order{Key: key("a"), Load: true, Version: 2}, order)
	e.finishLoads()
	version, ok := e.cache.Ready(key("a"), 2)
	require.True(t, ok)
	require.EqualValues(t, 2, version)
	_, ok = e.order()
	require.False(t, ok)
}

// While an outdated adapter is in use, other adapters are loaded, and the outdated one is
// replaced after its last run has ended. An engine that waits for the run would accept no
// other order.
func TestReplacementWaitsForTheLastRun(t *testing.T) {
	e := newEngine(t, 2)
	e.order(key("a"))
	e.finishLoads()
	e.cache.Pin(key("a"))
	e.cache.RequireVersion(key("a"), 2)
	_, ok := e.cache.Ready(key("a"), 0)
	require.False(t, ok, "no further request begins on the old version")
	require.True(t, e.cache.Retiring(key("a")))
	order, ok := e.order(key("a"), key("b"))
	require.True(t, ok)
	require.Equal(t, lora.Order{Key: key("b"), Load: true}, order)
	e.finishLoads()
	_, ok = e.order(key("a"))
	require.False(t, ok)
	e.cache.Unpin(key("a"))
	require.False(t, e.cache.Retiring(key("a")))
	order, ok = e.order(key("a"))
	require.True(t, ok)
	require.Equal(t, lora.Order{Key: key("a"), Load: true, Version: 2}, order)
}

func TestRestartedEngineIsEmpty(t *testing.T) {
	e := newEngine(t, 2)
	e.order(key("a"))
	e.finishLoads()
	e.cache.Clear()
	_, ok := e.cache.Ready(key("a"), 0)
	require.False(t, ok)
	order, _ := e.cache.Next([]lora.Key{key("a")}, e.now)
	require.True(t, order.Load)
}

// Random demand never exceeds the capacity and never unloads an adapter in use.
func TestRandomDemand(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	e := newEngine(t, 6)
	for range 5000 {
		e.now = e.now.Add(20 * time.Millisecond)
		name := key(fmt.Sprint(random.IntN(20)))
		switch random.IntN(5) {
		case 0, 1:
			e.cache.Touch(name, e.now)
			e.order(name)
		case 2:
			if _, ok := e.cache.Ready(name, 0); ok {
				require.Contains(t, e.held, name)
				e.cache.Pin(name)
				e.pins[name]++
			}
		case 3:
			if e.pins[name] > 0 {
				e.pins[name]--
				e.cache.Unpin(name)
			}
		case 4:
			e.finishLoads()
			if random.IntN(50) == 0 {
				e.cache.RequireVersion(name, int64(random.IntN(9)+1))
			}
		}
	}
}
