package buffer_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/buffer"
)

// kilobyte is the unit of the sizes in these tests; a chunk holds four.
const kilobyte = 1 << 10

var start = time.Unix(1_000_000, 0)

func newPool(bound, stream int64) *buffer.Pool {
	return &buffer.Pool{Bound: bound, StreamBound: stream, EndpointBound: bound / 8}
}

// drain takes everything that is in the stream.
func drain(s *buffer.Stream, now time.Time) []byte {
	var taken []byte
	for {
		data, _ := s.Next()
		if data == nil {
			return taken
		}
		taken = append(taken, data...)
		s.Taken(now)
	}
}

// Guards against bytes that leave a stream in another order, twice or not at all, and
// against memory that stays counted: a process would refuse bodies for good.
func TestStreamKeepsOrderAndCountsAllBytes(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		pool := newPool(1<<20, 64*kilobyte)
		stream := pool.NewStream(nil)
		var pushed, taken []byte
		full := 0
		for range 2000 {
			if random.IntN(3) > 0 {
				data := make([]byte, 1+random.IntN(1+random.IntN(12*kilobyte)))
				for i := range data {
					data[i] = byte(random.Uint32())
				}
				before := bytes.Clone(data)
				switch stream.Push(data, start) {
				case buffer.Accepted:
					pushed = append(pushed, before...)
					// The caller of Push uses its bytes again.
					clear(data)
				case buffer.Full:
					full++
				}
			} else if data, _ := stream.Next(); data != nil {
				taken = append(taken, data...)
				stream.Taken(start)
			}
			require.LessOrEqual(t, pool.Usage().Held, int64(64*kilobyte))
		}
		taken = append(taken, drain(stream, start)...)
		require.True(t, bytes.Equal(pushed, taken), "seed %d", seed)
		require.Positive(t, full, "the bound was reached")
		require.Zero(t, pool.Usage().Held)
		stream.Close()
	}
}

// Guards against an event larger than a stream's bound that could never be delivered.
func TestEmptyStreamAcceptsOneLargeEvent(t *testing.T) {
	pool := newPool(64*kilobyte, 16*kilobyte)
	stream := pool.NewStream(nil)
	event := bytes.Repeat([]byte("x"), 256*kilobyte)
	require.Equal(t, buffer.Accepted, stream.Push(event, start))
	require.Equal(t, buffer.Full, stream.Push([]byte("y"), start))
	require.Equal(t, event, drain(stream, start))
	require.Equal(t, buffer.Accepted, stream.Push([]byte("y"), start))
}

// Guards against callers that read in time and wait because others have filled the memory.
func TestFullPoolDelaysNoCallerThatReadsInTime(t *testing.T) {
	pool := newPool(64*kilobyte, 64*kilobyte)
	slow, fast := pool.NewStream(nil), pool.NewStream(nil)
	now := start
	for slow.Push(make([]byte, 4*kilobyte), now) == buffer.Accepted {
		now = now.Add(time.Millisecond)
	}
	require.Equal(t, int64(40*kilobyte), pool.Usage().Held, "the rest is for bodies")
	hold := pool.NewHold()
	hold.Take(24*kilobyte - pool.Usage().Held + 40*kilobyte)
	for range 100 {
		require.Equal(t, buffer.Accepted, fast.Push([]byte("event"), now))
		require.Equal(t, "event", string(drain(fast, now)))
		now = now.Add(10 * time.Millisecond)
	}
	require.Equal(t, int64(0), pool.Usage().StreamsAborted, "the slow caller is within its time")
}

// Guards against one caller that reads nothing and keeps the memory from all others, and
// against the abort of an answer whose caller does read or has an ended answer to fetch.
func TestFullPoolAbortsTheLongestStalledAnswer(t *testing.T) {
	pool := newPool(64*kilobyte, 32*kilobyte)
	aborted := map[string]bool{}
	open := func(name string) *buffer.Stream {
		s := pool.NewStream(func() { aborted[name] = true })
		require.Equal(t, buffer.Accepted, s.Push(make([]byte, 16*kilobyte), start))
		return s
	}
	ended, first, reading := open("ended"), open("first"), open("reading")
	second := pool.NewStream(func() { aborted["second"] = true })
	require.Equal(t, buffer.Accepted, second.Push(make([]byte, 16*kilobyte), start.Add(time.Second)))
	ended.End()
	hold := pool.NewHold()
	hold.Take(-pool.Usage().Held + 64*kilobyte)
	admit := func(at time.Duration) bool { return hold.Admit(8*kilobyte, start.Add(at), nil) }

	require.False(t, admit(1900*time.Millisecond), "all are within their time")
	reading.Next()
	reading.Taken(start.Add(2 * time.Second))
	require.Equal(t, buffer.Accepted, reading.Push(make([]byte, 16*kilobyte), start.Add(2*time.Second)))
	require.True(t, admit(2100*time.Millisecond))
	require.Equal(t, map[string]bool{"first": true}, aborted)
	require.Equal(t, buffer.Aborted, first.Push([]byte("x"), start.Add(2100*time.Millisecond)))
	data, done := first.Next()
	require.Nil(t, data)
	require.True(t, done)

	hold.Take(16 * kilobyte)
	require.True(t, admit(3100*time.Millisecond))
	hold.Take(16 * kilobyte)
	require.Equal(t, map[string]bool{"first": true, "second": true}, aborted)
	reading.Next()
	reading.Taken(start.Add(9 * time.Second))
	require.Equal(t, buffer.Accepted, reading.Push(make([]byte, 16*kilobyte), start.Add(9*time.Second)))
	require.False(t, admit(9*time.Second), "an answer that has ended gets more time")
	require.True(t, admit(10*time.Second))
	require.Equal(t, map[string]bool{"first": true, "second": true, "ended": true}, aborted)
	require.EqualValues(t, 3, pool.Usage().StreamsAborted)
}

// Guards against bodies beyond the bound, and against a bound that keeps bodies that have
// begun to arrive from their last bytes while new ones take them.
func TestBodiesBeyondTheBoundAreRefused(t *testing.T) {
	pool := buffer.New(184 << 20)
	require.EqualValues(t, 92<<20, pool.Bound, "half of the memory limit")
	now := start
	const body = 1 << 20
	var holds []*buffer.Hold
	for {
		hold := pool.NewHold()
		if !hold.Admit(body, now, nil) {
			break
		}
		require.True(t, hold.Grow(body/2, now))
		holds = append(holds, hold)
		require.Less(t, len(holds), 1000)
	}
	require.Greater(t, len(holds), 100)
	arriving := 0
	for _, hold := range holds {
		if hold.Grow(body/2, now) {
			arriving++
		}
		require.LessOrEqual(t, pool.Usage().Held, pool.Bound)
	}
	require.Greater(t, arriving*body/2, int(pool.Bound/10), "space is left for bodies that have begun to arrive")
	require.Positive(t, pool.Usage().BodiesRefused)
	for _, hold := range holds {
		hold.Release()
	}
	require.True(t, pool.NewHold().Admit(body, now, nil))
	var off *buffer.Hold
	require.True(t, off.Admit(1<<40, now, nil), "without a bound")
}

// Guards against an endpoint that does not read: it gets body after body until the memory
// is full, and no other endpoint gets any.
func TestEndpointThatDoesNotReadGetsNoFurtherBodies(t *testing.T) {
	pool := newPool(64*kilobyte, 64*kilobyte)
	hold := pool.NewHold()
	sent, ok := hold.BeginSend("slow", 100*kilobyte)
	require.True(t, ok, "one body always")
	_, ok = hold.BeginSend("slow", 1)
	require.False(t, ok)
	_, ok = hold.BeginSend("other", 6*kilobyte)
	require.True(t, ok)
	_, ok = hold.BeginSend("other", 6*kilobyte)
	require.False(t, ok, "beyond the bound of one endpoint")
	require.EqualValues(t, 106*kilobyte, pool.Usage().Unread)
	require.EqualValues(t, 2, pool.Usage().BodiesWithheld)
	sent()
	sent()
	_, ok = hold.BeginSend("slow", 6*kilobyte)
	require.True(t, ok)
}
