package buffer_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/buffer"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
)

// caller takes an answer; it may be slow.
type caller struct {
	*buffer.Writer
	// pause is how long the caller takes for each write; negative means for ever.
	pause       time.Duration
	interrupted chan struct{}
	once        sync.Once
	mutex       sync.Mutex
	received    bytes.Buffer
}

func newCaller(pool *buffer.Pool, pause time.Duration) *caller {
	c := &caller{pause: pause, interrupted: make(chan struct{})}
	c.Writer = &buffer.Writer{Pool: pool, Out: c.take, Interrupt: func() { c.once.Do(func() { close(c.interrupted) }) }}
	return c
}

func (c *caller) take(data []byte) error {
	var timer <-chan time.Time
	if c.pause > 0 {
		timer = time.After(c.pause)
	}
	if c.pause != 0 {
		select {
		case <-timer:
		case <-c.interrupted:
			return fmt.Errorf("interrupted")
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.received.Write(data)
	return nil
}

// Guards against a buffer that delays events to a caller that reads in time, or that changes
// their order. In virtual time, a delay by any timer would show.
func TestWriterAddsNoDelay(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		pool := newPool(1<<20, 64*kilobyte)
		c := newCaller(pool, 0)
		started := time.Now()
		var want bytes.Buffer
		for i := range 1000 {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			want.WriteString(event)
			require.NoError(t, c.Write(t.Context(), []byte(event)))
			synctest.Wait()
			require.Equal(t, want.Len(), c.received.Len(), "the event is with the caller")
		}
		require.NoError(t, c.Finish(t.Context()))
		require.Zero(t, time.Since(started))
		require.Equal(t, want.String(), c.received.String())
		require.Zero(t, pool.Usage().Held)
	})
}

// Guards against a caller that reads nothing and makes the entry leave its endpoint's answer
// unread for longer than the endpoint tolerates, two seconds.
func TestWriterAbortsBeforeTheEndpointDoes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		pool := newPool(1<<20, 64*kilobyte)
		c := newCaller(pool, -1)
		started := time.Now()
		for range 16 {
			require.NoError(t, c.Write(t.Context(), make([]byte, 4*kilobyte)))
		}
		require.Zero(t, time.Since(started), "the endpoint is read while the buffer has room")
		err := c.Write(t.Context(), []byte("x"))
		require.ErrorIs(t, err, &buffer.Error{Kind: buffer.KindSlow})
		require.Greater(t, time.Since(started), time.Second, "the caller gets the time that the endpoint tolerates")
		require.Less(t, time.Since(started), 2*time.Second)
		c.Cancel(t.Context())
		require.Less(t, time.Since(started), 2*time.Second)
		require.Zero(t, pool.Usage().Held)
		require.EqualValues(t, 1, pool.Usage().StreamsAborted)
	})
}

// Guards against the abort of an answer whose caller is slow but takes it in time.
func TestWriterWaitsForSlowCaller(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := newCaller(newPool(1<<20, 16*kilobyte), time.Second)
		for range 60 {
			require.NoError(t, c.Write(t.Context(), make([]byte, 4*kilobyte)))
		}
		require.NoError(t, c.Finish(t.Context()))
		require.Equal(t, 240*kilobyte, c.received.Len())
	})
}

// Guards against an answer that has ended and is dropped because its caller comes late for it.
func TestEndedAnswerIsDeliveredLate(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := newCaller(newPool(1<<20, 64*kilobyte), time.Minute)
		for range 10 {
			require.NoError(t, c.Write(t.Context(), make([]byte, 4*kilobyte)))
		}
		require.NoError(t, c.Finish(t.Context()))
		require.Equal(t, 40*kilobyte, c.received.Len())
	})
}

// Guards against a run that goes on after its caller has left: the entry blocked in a full
// buffer, or in the write to a caller that reads nothing.
func TestWriterEndsWithItsCaller(t *testing.T) {
	for name, blocked := range map[string]func(c *caller, ctx context.Context) error{
		"full buffer": func(c *caller, ctx context.Context) error {
			return c.Write(ctx, []byte("x"))
		},
		"ended answer": func(c *caller, ctx context.Context) error { return c.Finish(ctx) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				pool := newPool(1<<20, 16*kilobyte)
				c := newCaller(pool, -1)
				for range 4 {
					require.NoError(t, c.Write(t.Context(), make([]byte, 4*kilobyte)))
				}
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(time.Second, cancel)
				started := time.Now()
				require.ErrorIs(t, blocked(c, ctx), &buffer.Error{Kind: buffer.KindGone})
				require.Equal(t, time.Second, time.Since(started))
				c.Cancel(ctx)
				require.Equal(t, time.Second, time.Since(started))
				require.Zero(t, pool.Usage().Held)
			})
		})
	}
}

// Guards against the loss of events that came before their endpoint broke the answer off: a
// caller would resume further back than it must.
func TestBrokenAnswerDeliversWhatItHas(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := newCaller(newPool(1<<20, 64*kilobyte), 100*time.Millisecond)
		for range 10 {
			require.NoError(t, c.Write(t.Context(), make([]byte, 4*kilobyte)))
		}
		c.Cancel(t.Context())
		require.Equal(t, 40*kilobyte, c.received.Len())
	})
}

// Guards against a process whose memory is taken for good by callers that read nothing of
// answers that have ended: each later stream would pause and be aborted.
func TestStalledCallersDoNotKeepTheMemory(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		pool := newPool(1<<20, 64*kilobyte)
		var group sync.WaitGroup
		for range 200 {
			c := newCaller(pool, -1)
			group.Go(func() {
				for range 4 {
					if c.Write(t.Context(), make([]byte, 8*kilobyte)) != nil {
						c.Cancel(t.Context())
						return
					}
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_ = c.Finish(ctx)
			})
		}
		time.Sleep(15 * time.Second)
		require.LessOrEqual(t, pool.Usage().Held, pool.Bound)
		for range 50 {
			c := newCaller(pool, 20*time.Millisecond)
			started := time.Now()
			for range 20 {
				require.NoError(t, c.Write(t.Context(), []byte("data: x\n\n")))
				time.Sleep(20 * time.Millisecond)
			}
			require.NoError(t, c.Finish(t.Context()))
			require.LessOrEqual(t, time.Since(started), 450*time.Millisecond)
			hold := pool.NewHold()
			require.True(t, hold.Admit(kilobyte, time.Now(), nil), "new bodies are accepted")
			hold.Release()
		}
		group.Wait()
	})
}
