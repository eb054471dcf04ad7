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

// engine carries out orders as the users' engines do.
type engine struct {
	t      *testing.T
	shelf  *lora.Cache
	held   map[lora.Key]int64
	coming map[lora.Key]int64
	users  map[lora.Key]int
	now    time.Time
}

func newEngine(t *testing.T, places int) *engine {
	return &engine{
		t: t, shelf: &lora.Cache{Capacity: places}, now: start,
		held: map[lora.Key]int64{}, coming: map[lora.Key]int64{}, users: map[lora.Key]int{},
	}
}

func (e *engine) report() {
	var report []lora.Status
	for key, version := range e.held {
		report = append(report, lora.Status{Key: key, Version: version})
	}
	for key, version := range e.coming {
		report = append(report, lora.Status{Key: key, Version: version, Loading: true})
	}
	e.shelf.Sync(report, e.now)
}

// order gives the engine its next order and reports whether there was one.
func (e *engine) order(wanted ...lora.Key) (lora.Order, bool) {
	order, ok := e.shelf.Next(wanted, e.now)
	if !ok {
		return order, false
	}
	e.shelf.Sent(order, e.now)
	if !order.Load {
		require.Zero(e.t, e.users[order.Key], "an adapter in use is unloaded")
		delete(e.held, order.Key)
		return order, true
	}
	e.coming[order.Key] = max(order.Version, 1)
	all := map[lora.Key]bool{}
	for key := range e.held {
		all[key] = true
	}
	for key := range e.coming {
		all[key] = true
	}
	require.LessOrEqual(e.t, len(all), e.shelf.Capacity, "more adapters than places")
	require.LessOrEqual(e.t, len(e.coming), lora.MaxInFlight)
	return order, true
}

func (e *engine) arrive() {
	for key, version := range e.coming {
		if e.users[key] == 0 {
			e.held[key] = version
			delete(e.coming, key)
		}
	}
	e.report()
}

func TestLoadsWantedAdaptersUntilFull(t *testing.T) {
	e := newEngine(t, 2)
	a, b, c := key("a"), key("b"), key("c")
	for _, wanted := range []lora.Key{a, b} {
		e.shelf.Touch(wanted, e.now)
		order, ok := e.order(wanted)
		require.True(t, ok)
		require.Equal(t, lora.Order{Key: wanted, Load: true}, order)
	}
	_, ok := e.order(a, b)
	require.False(t, ok, "both are on their way")
	e.arrive()
	e.shelf.Touch(b, e.now)
	e.shelf.Touch(c, e.now)
	order, ok := e.order(c)
	require.True(t, ok)
	require.Equal(t, lora.Order{Key: a}, order, "used least")
	_, ok = e.order(c)
	require.False(t, ok, "the place is not known to be free yet")
	e.report()
	order, _ = e.order(c)
	require.Equal(t, lora.Order{Key: c, Load: true}, order)
}

// An adapter that has come is not sent away before those who waited for it
// were let through.
func TestWantedAdapterIsNotUnloaded(t *testing.T) {
	e := newEngine(t, 1)
	e.order(key("a"))
	e.arrive()
	_, ok := e.order(key("a"), key("b"))
	require.False(t, ok)
}

// Loads that take long leave fewer on their way, quick ones more.
func TestOverloadedStoreGetsFewerLoads(t *testing.T) {
	e := newEngine(t, 100)
	flight := func(took time.Duration) int {
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
			e.arrive()
			clear(e.held)
			e.report()
		}
		for i := range 10 {
			e.order(key(fmt.Sprint("last", took, i)))
		}
		count := len(e.coming)
		e.arrive()
		return count
	}
	require.Equal(t, 1, flight(time.Second))
	require.Equal(t, lora.MaxInFlight, flight(250*time.Millisecond))
	require.Equal(t, 1, flight(500*time.Millisecond))
	require.Equal(t, 1, flight(25*time.Millisecond), "what comes from the engine's own memory says nothing of the store")
}

func TestAdapterInUseIsNotUnloaded(t *testing.T) {
	e := newEngine(t, 1)
	e.order(key("a"))
	e.arrive()
	e.shelf.Pin(key("a"))
	_, ok := e.order(key("b"))
	require.False(t, ok)
	e.shelf.Unpin(key("a"))
	order, _ := e.order(key("b"))
	require.Equal(t, lora.Order{Key: key("a")}, order)
	_, ok = e.shelf.Ready(key("a"), 0)
	require.False(t, ok, "it is leaving")
}

func TestRefusedAndLostOrders(t *testing.T) {
	e := newEngine(t, 1)
	order, _ := e.shelf.Next([]lora.Key{key("a")}, e.now)
	e.shelf.Sent(order, e.now)
	_, ok := e.shelf.Next([]lora.Key{key("a")}, e.now)
	require.False(t, ok)
	e.shelf.Refused(order)
	order, ok = e.shelf.Next([]lora.Key{key("a")}, e.now)
	require.True(t, ok)
	e.shelf.Sent(order, e.now)
	e.now = e.now.Add(time.Minute)
	e.report()
	_, ok = e.shelf.Next([]lora.Key{key("a")}, e.now)
	require.True(t, ok, "the order has had no effect")
}

// An engine that leaves an order unanswered may carry it out later, until it
// takes another one.
func TestUnansweredOrderIsSentAgain(t *testing.T) {
	e := newEngine(t, 2)
	e.order(key("a"))
	e.arrive()
	lost, ok := e.shelf.Next([]lora.Key{key("b")}, e.now)
	require.True(t, ok)
	e.shelf.Sent(lost, e.now)
	e.shelf.Unanswered(lost)
	_, ok = e.shelf.Next([]lora.Key{key("c")}, e.now)
	require.True(t, ok)
	again, ok := e.shelf.Next([]lora.Key{key("b"), key("c")}, e.now)
	require.True(t, ok)
	require.Equal(t, lost, again, "the place is counted for it")
	other, _ := e.shelf.Next([]lora.Key{key("c")}, e.now)
	require.Equal(t, lora.Order{Key: key("a")}, other, "no place is free while the lost order may come through")
	e.shelf.Sent(again, e.now)
	e.shelf.Accepted(again)
	_, ok = e.shelf.Next([]lora.Key{key("b")}, e.now)
	require.False(t, ok)
}

// A slow store leaves one load on its way at a time. A load that the engine
// left unanswered, and whose request has gone meanwhile, then held up all
// others for three seconds; with a single place nothing else can be ordered,
// and the lost order itself is given again.
func TestUnansweredLoadDoesNotBlockOthers(t *testing.T) {
	for places, next := range map[int]string{100: "c", 1: "b"} {
		e := newEngine(t, places)
		for i := range 4 {
			e.order(key(fmt.Sprint("slow", i)))
			e.report()
			e.now = e.now.Add(time.Second)
			e.arrive()
			clear(e.held)
			e.report()
		}
		lost, ok := e.shelf.Next([]lora.Key{key("b")}, e.now)
		require.True(t, ok)
		e.shelf.Sent(lost, e.now)
		e.shelf.Unanswered(lost)
		order, ok := e.shelf.Next([]lora.Key{key("c")}, e.now)
		require.True(t, ok)
		require.Equal(t, lora.Order{Key: key(next), Load: true}, order)
		_, ok = e.shelf.Next(nil, e.now)
		require.False(t, ok, "nobody waits")
	}
}

func TestAcceptedOrderVoidsUnansweredOnes(t *testing.T) {
	e := newEngine(t, 1)
	lost, _ := e.shelf.Next([]lora.Key{key("a")}, e.now)
	e.shelf.Sent(lost, e.now)
	e.shelf.Unanswered(lost)
	e.shelf.Accepted(lora.Order{Key: key("x"), Load: true})
	order, ok := e.shelf.Next([]lora.Key{key("b")}, e.now)
	require.True(t, ok)
	require.Equal(t, lora.Order{Key: key("b"), Load: true}, order)
}

func TestNewVersionReplacesTheOldOne(t *testing.T) {
	e := newEngine(t, 2)
	e.order(key("a"))
	e.arrive()
	e.shelf.RequireVersion(key("a"), 2)
	for _, needed := range []int64{0, 2} {
		_, ok := e.shelf.Ready(key("a"), needed)
		require.False(t, ok, "no request begins on the old one any more")
	}
	order, ok := e.order()
	require.True(t, ok)
	require.Equal(t, lora.Order{Key: key("a"), Load: true, Version: 2}, order)
	e.arrive()
	version, ok := e.shelf.Ready(key("a"), 2)
	require.True(t, ok)
	require.EqualValues(t, 2, version)
	_, ok = e.order()
	require.False(t, ok)
}

// A new version of an adapter in use comes while others are asked for, as at a
// quiet day's release: they are loaded meanwhile, and the adapter is replaced
// when its last run has ended. The engine would take no order until then.
func TestReplacementWaitsForTheLastRun(t *testing.T) {
	e := newEngine(t, 2)
	e.order(key("a"))
	e.arrive()
	e.shelf.Pin(key("a"))
	e.shelf.RequireVersion(key("a"), 2)
	_, ok := e.shelf.Ready(key("a"), 0)
	require.False(t, ok, "no further request begins on the old version")
	require.True(t, e.shelf.Retiring(key("a")))
	order, ok := e.order(key("a"), key("b"))
	require.True(t, ok)
	require.Equal(t, lora.Order{Key: key("b"), Load: true}, order)
	e.arrive()
	_, ok = e.order(key("a"))
	require.False(t, ok)
	e.shelf.Unpin(key("a"))
	require.False(t, e.shelf.Retiring(key("a")))
	order, ok = e.order(key("a"))
	require.True(t, ok)
	require.Equal(t, lora.Order{Key: key("a"), Load: true, Version: 2}, order)
}

func TestRestartedEngineIsEmpty(t *testing.T) {
	e := newEngine(t, 2)
	e.order(key("a"))
	e.arrive()
	e.shelf.Clear()
	_, ok := e.shelf.Ready(key("a"), 0)
	require.False(t, ok)
	order, _ := e.shelf.Next([]lora.Key{key("a")}, e.now)
	require.True(t, order.Load)
}

// Random demand never overfills the places nor unloads what is in use.
func TestRandomDemand(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	e := newEngine(t, 6)
	for range 5000 {
		e.now = e.now.Add(20 * time.Millisecond)
		name := key(fmt.Sprint(random.IntN(20)))
		switch random.IntN(5) {
		case 0, 1:
			e.shelf.Touch(name, e.now)
			e.order(name)
		case 2:
			if _, ok := e.shelf.Ready(name, 0); ok {
				require.Contains(t, e.held, name)
				e.shelf.Pin(name)
				e.users[name]++
			}
		case 3:
			if e.users[name] > 0 {
				e.users[name]--
				e.shelf.Unpin(name)
			}
		case 4:
			e.arrive()
			if random.IntN(50) == 0 {
				e.shelf.RequireVersion(name, int64(random.IntN(9)+1))
			}
		}
	}
}
