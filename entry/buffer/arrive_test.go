package buffer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/buffer"
)

const megabyte = 1 << 20

// crowd fills a pool with bodies of a size that stop short of their ends, at a time, and returns
// those that were accepted.
func crowd(pool *buffer.Pool, count int, size int64, now time.Time) []*buffer.Hold {
	var holds []*buffer.Hold
	for range count {
		hold := pool.NewHold()
		if !hold.Admit(size, now, func() {}) {
			hold.Release()
			continue
		}
		for space := int64(4 * kilobyte); space <= size; space *= 2 {
			if !hold.Grow(min(space, size-space/2), now) {
				break
			}
		}
		holds = append(holds, hold)
	}
	return holds
}

// arrive reads a whole body and reports whether there was memory for it. The request ends.
func arrive(pool *buffer.Pool, size int64, now time.Time) bool {
	hold := pool.NewHold()
	defer hold.Release()
	ok := hold.Admit(size, now, func() {}) && hold.Grow(size, now)
	hold.Arrived()
	return ok
}

// endYielded releases the requests that have given way and returns the number of them.
func endYielded(holds []*buffer.Hold) int {
	count := 0
	for _, hold := range holds {
		if hold.Yielded() {
			hold.Release()
			count++
		}
	}
	return count
}

// Guards against a crowd of large bodies without their last bytes, behind which small requests
// are refused for as long as the bodies are held.
func TestSmallBodiesAreAcceptedBesideACrowdOfLargeOnes(t *testing.T) {
	for _, memory := range []int64{96, 184, 284} {
		pool := buffer.New(memory * megabyte)
		crowd(pool, 1000, megabyte, start)
		require.LessOrEqual(t, pool.Usage().Held, pool.Bound)
		for i := range 1000 {
			require.True(t, arrive(pool, 4*kilobyte, start.Add(time.Duration(i)*time.Millisecond)), "%d MB", memory)
		}
	}
}

// Guards against a crowd of small bodies that takes what is kept free for ordinary callers.
func TestSmallBodiesAreAcceptedBesideACrowdOfSmallOnes(t *testing.T) {
	pool := buffer.New(96 * megabyte)
	holds := crowd(pool, 5000, 48*kilobyte, start)
	require.LessOrEqual(t, pool.Usage().Held, pool.Bound+pool.Bound/8+32*kilobyte, "with those that have given way")
	require.Positive(t, endYielded(holds))
	for range 100 {
		require.True(t, arrive(pool, 4*kilobyte, start.Add(time.Millisecond)))
	}
}

// Guards against bodies that are held until their deadline, while new ones are refused, and
// against bodies in their time that give way to others of their size.
func TestOverdueBodiesGiveWayToLargeOnes(t *testing.T) {
	pool := buffer.New(96 * megabyte)
	holds := crowd(pool, 200, megabyte, start)
	late := pool.NewHold()
	require.False(t, late.Admit(megabyte, start.Add(1900*time.Millisecond), func() {}))
	require.Zero(t, endYielded(holds), "all are within their time")
	require.True(t, late.Admit(megabyte, start.Add(2*time.Second), func() {}))
	require.Positive(t, endYielded(holds))
	require.True(t, late.Grow(megabyte, start.Add(2*time.Second)))
	require.Positive(t, pool.Usage().BodiesYielded)
}

// Guards against a body that gives way although it has arrived, since it may run, and against
// the choice of a body that holds little or has just begun.
func TestBodyThatHoldsMostForLongestGivesWay(t *testing.T) {
	pool := &buffer.Pool{Bound: 10 * megabyte}
	yielded := map[string]bool{}
	begin := func(name string, size int64, at time.Duration) *buffer.Hold {
		hold := pool.NewHold()
		now := start.Add(at)
		require.True(t, hold.Admit(size, now, func() { yielded[name] = true }))
		require.True(t, hold.Grow(size, now))
		return hold
	}
	begin("whole", 4*megabyte, 0).Arrived()
	begin("small and old", 100*kilobyte, 0)
	heavy := begin("heavy", 3*megabyte, time.Second)
	begin("heavy and new", 2500*kilobyte, 3*time.Second)
	late := pool.NewHold()
	require.True(t, late.Admit(megabyte, start.Add(4*time.Second), func() {}))
	require.Equal(t, map[string]bool{"heavy": true}, yielded)
	require.False(t, heavy.Grow(1, start.Add(4*time.Second)), "it gets no more memory")
	heavy.Release()
	require.True(t, late.Grow(megabyte, start.Add(4*time.Second)))
}

// Guards against memory of requests that have given way which is never counted again, or twice.
func TestYieldedMemoryIsReturnedOnce(t *testing.T) {
	pool := buffer.New(96 * megabyte)
	for round := range 20 {
		now := start.Add(time.Duration(round) * 10 * time.Second)
		holds := crowd(pool, 100, megabyte, now)
		require.False(t, pool.YieldRequest(now.Add(time.Second), true), "all are within their time")
		require.True(t, pool.YieldRequest(now.Add(time.Second), false))
		require.True(t, arrive(pool, megabyte, now.Add(3*time.Second)))
		for i, hold := range holds {
			if i%2 == 0 {
				hold.Arrived()
			}
			hold.Release()
		}
		require.Zero(t, pool.Usage().Held)
	}
	require.Len(t, crowd(pool, 100, 512*kilobyte, start), len(crowd(buffer.New(96*megabyte), 100, 512*kilobyte, start)))
}

// Guards against a pool that other memory of the process has filled beyond its bound: nothing gave
// way, and all requests were refused until the crowd's bodies timed out.
func TestOverfullPoolMakesRoom(t *testing.T) {
	pool := buffer.New(96 * megabyte)
	holds := crowd(pool, 2000, 48*kilobyte, start)
	endYielded(holds)
	pool.Account(20 * megabyte)
	for range 10 {
		if arrive(pool, 4*kilobyte, start.Add(time.Millisecond)) {
			break
		}
		require.Positive(t, endYielded(holds), "a request that is refused makes room for the next")
	}
	require.True(t, arrive(pool, 4*kilobyte, start.Add(time.Millisecond)))
}

// Guards against a crowd of whole headers of many fields, whose short bodies do not end: they
// counted as small, and so displaced each other and took what is kept free for small requests.
func TestSmallRequestsAreAcceptedBesideLargeHeaders(t *testing.T) {
	const header = 350 * kilobyte
	pool := buffer.New(96 * megabyte)
	yielded := 0
	var holds []*buffer.Hold
	for range 3000 {
		hold := pool.NewHold()
		hold.Take(header)
		if !hold.Admit(2, start, func() { yielded++ }) || !hold.Grow(4*kilobyte, start) {
			hold.Release()
			continue
		}
		holds = append(holds, hold)
	}
	require.Zero(t, yielded, "none gives way to another one of its size")
	require.NotEmpty(t, holds)
	require.True(t, arrive(pool, 4*kilobyte, start))
	require.Zero(t, yielded, "there is room left")
}
