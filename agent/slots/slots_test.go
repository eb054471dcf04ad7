package slots_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/slots"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

// fakeEngine records its adapters and orders, and fails loads on demand.
type fakeEngine struct {
	mutex      sync.Mutex
	slots      *slots.Slots
	held       map[slots.Key]bool
	pins       map[slots.Key]int
	orders     []string
	violations []string
	failLoad   func(slots.Key) bool
	loadTime   time.Duration
}

func start(capacity int) *fakeEngine {
	f := &fakeEngine{held: map[slots.Key]bool{}, pins: map[slots.Key]int{}, loadTime: 250 * time.Millisecond}
	f.slots = &slots.Slots{Load: f.load, Unload: f.unload, Changed: func() {}}
	f.slots.SetFence(1)
	f.slots.Open(capacity, nil)
	return f
}

func (f *fakeEngine) load(_ context.Context, key slots.Key, _ uint64) error {
	time.Sleep(f.loadTime)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.orders = append(f.orders, "load "+key.Adapter)
	if f.failLoad != nil && f.failLoad(key) {
		return fmt.Errorf("load of %s failed", key.Adapter)
	}
	f.held[key] = true
	return nil
}

func (f *fakeEngine) unload(_ context.Context, key slots.Key, _ uint64) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.orders = append(f.orders, "unload "+key.Adapter)
	if f.pins[key] > 0 {
		f.violations = append(f.violations, "unload of pinned "+key.Adapter)
	}
	delete(f.held, key)
	return nil
}

// orderLog returns the orders so far.
func (f *fakeEngine) orderLog() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.orders...)
}

func (f *fakeEngine) setFailLoad(fail func(slots.Key) bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failLoad = fail
}

func key(name string) slots.Key { return slots.Key{Adapter: name, Version: "v1"} }

// request loads a key for one waiting request and reports whether the load started.
func (f *fakeEngine) request(name string) bool {
	f.slots.Touch(key(name))
	began := f.slots.StartLoad(slots.WaitingKey{Key: key(name), Urgency: 1}, nil, func(error) {})
	time.Sleep(time.Second)
	return began
}

func TestEvictsUnpinnedKeyOfLeastDemand(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(3)
		for _, name := range []string{"hot", "hot", "hot", "pinned", "rare"} {
			f.request(name)
		}
		release, ok := f.slots.Pin(key("pinned"))
		require.True(t, ok)
		time.Sleep(time.Minute)
		f.slots.Touch(key("hot"))
		require.True(t, f.request("next"))
		require.False(t, f.slots.HasSlot(key("rare")))
		require.True(t, f.slots.Ready(key("hot")) && f.slots.Ready(key("pinned")))
		release()
	})
}

func TestVictimHasLowerValueThanTheNewKey(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(1)
		for range 120 {
			f.request("hot")
		}
		require.False(t, f.request("cold"))
		require.Empty(t, f.slots.Plan([]slots.WaitingKey{{Key: key("cold"), Urgency: 1}}, nil))
		require.Equal(t, []slots.Key{key("cold")}, f.slots.Plan([]slots.WaitingKey{{Key: key("cold"), Urgency: 100}}, nil))
	})
}

func TestPinnedSlotDrainsForAMoreValuableKey(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(1)
		f.request("old")
		release, _ := f.slots.Pin(key("old"))
		demand := []slots.WaitingKey{{Key: key("new"), Urgency: 100}}
		require.Empty(t, f.slots.Plan(demand, nil))
		_, ok := f.slots.Pin(key("old"))
		require.False(t, ok, "draining")
		release()
		require.Equal(t, []slots.Key{key("new")}, f.slots.Plan(demand, nil))
		require.Empty(t, f.slots.Plan(nil, nil))
		require.True(t, f.slots.Ready(key("old")), "the other key is no longer demanded")
	})
}

func TestOneSlotDrainsAtATime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(2)
		f.request("one")
		f.request("two")
		for _, name := range []string{"one", "two"} {
			release, _ := f.slots.Pin(key(name))
			defer release()
		}
		require.Empty(t, f.slots.Plan([]slots.WaitingKey{{Key: key("x"), Urgency: 99}, {Key: key("y"), Urgency: 98}}, nil))
		require.NotEqual(t, f.slots.Ready(key("one")), f.slots.Ready(key("two")))
	})
}

func TestNoOrderWithoutFenceOrLease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(1)
		f.slots.SetFence(0)
		require.False(t, f.request("a"))
		require.Empty(t, f.slots.Plan([]slots.WaitingKey{{Key: key("a"), Urgency: 1}}, nil))
		f.slots.SetFence(1)
		f.slots.Allowed = func() bool { return false }
		require.False(t, f.request("a"))
		require.Empty(t, f.orderLog())
	})
}

func TestFailedLoadBacksOffAndFreesTheSlot(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(1)
		f.setFailLoad(func(slots.Key) bool { return true })
		require.True(t, f.request("bad"))
		require.Equal(t, []string{"load bad", "unload bad"}, f.orderLog(), "the engine may have loaded it")
		count, _ := f.slots.LoadFailures(key("bad"))
		require.Equal(t, 1, count)
		require.True(t, f.request("bad"))
		require.False(t, f.request("bad"), "backs off")
		f.setFailLoad(nil)
		require.True(t, f.request("good"))
		require.True(t, f.slots.Ready(key("good")))
	})
}

func TestSyncWithTheEngine(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(3)
		f.slots.Open(3, map[slots.Key]bool{key("foreign"): true})
		f.request("lost")
		revision := f.slots.Revision()
		f.slots.Sync(revision, map[slots.Key]int{key("foreign"): 1, key("stray"): 0})
		time.Sleep(time.Second)
		require.Equal(t, []roster.ResidentAdapter{{Adapter: "foreign", Version: "v1"}}, f.slots.Residents())
		require.Contains(t, f.orderLog(), "unload stray")
		require.Empty(t, f.slots.Plan([]slots.WaitingKey{{Key: key("x"), Urgency: 9}, {Key: key("y"), Urgency: 9}, {Key: key("z"), Urgency: 9}}, nil)[2:])
		f.slots.Sync(f.slots.Revision(), map[slots.Key]int{key("foreign"): 0})
		require.Len(t, f.slots.Plan([]slots.WaitingKey{{Key: key("x"), Urgency: 9}, {Key: key("y"), Urgency: 9}, {Key: key("z"), Urgency: 9}}, nil), 3)
		f.slots.Sync(revision, map[slots.Key]int{})
		require.True(t, f.slots.HasSlot(key("foreign")), "a state older than the last change is ignored")
	})
}

// TestRandomOperations applies random loads, pins and failures and checks that no pinned key
// is unloaded and no slot is used twice.
func TestRandomOperations(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		f := start(4)
		failing := rand.New(rand.NewPCG(3, 4))
		f.setFailLoad(func(slots.Key) bool { return failing.IntN(10) == 0 })
		var releases []func()
		for range 3000 {
			name := key(fmt.Sprint(random.IntN(12)))
			switch random.IntN(4) {
			case 0:
				f.slots.Touch(name)
				f.slots.StartLoad(slots.WaitingKey{Key: name, Urgency: random.Float64() * 5}, nil, func(error) {})
			case 1:
				if release, ok := f.slots.Pin(name); ok {
					f.mutex.Lock()
					require.True(t, f.held[name], "pinned, but not at the engine")
					f.pins[name]++
					f.mutex.Unlock()
					releases = append(releases, func() {
						f.mutex.Lock()
						f.pins[name]--
						f.mutex.Unlock()
						release()
					})
				}
			case 2:
				if len(releases) > 0 {
					releases[0]()
					releases = releases[1:]
				}
			case 3:
				time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			}
			f.mutex.Lock()
			require.LessOrEqual(t, len(f.held), 4)
			require.Empty(t, f.violations)
			f.mutex.Unlock()
		}
		f.slots.Close()
		time.Sleep(time.Minute)
	})
}
