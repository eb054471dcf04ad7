package limit_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/limit"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// owner grants tokens as a test says.
type owner struct {
	mutex sync.Mutex
	asks  []*plane.GrantRequest
	grant func(ask *plane.GrantRequest) (*plane.GrantReply, error)
	// entries is among how many the rate is divided without control; 0 lets
	// requests wait.
	entries atomic.Int64
}

func (o *owner) exchange(ctx context.Context, ask *plane.GrantRequest, reply *plane.GrantReply) error {
	o.mutex.Lock()
	o.asks = append(o.asks, ask)
	o.mutex.Unlock()
	got, err := o.grant(ask)
	if err != nil {
		<-ctx.Done()
		return err
	}
	*reply = *got
	return nil
}

// inLimit runs a test with a limit of 100 tokens per second.
func inLimit(t *testing.T, grant func(ask *plane.GrantRequest) (*plane.GrantReply, error), test func(l *limit.Limiter, o *owner)) {
	bubble.Test(t, func(t *testing.T) {
		o := &owner{grant: grant}
		config := &conf.Config{Number: 1, Workspaces: map[string]conf.Workspace{"w": {Rate: 100, Burst: 1000}}}
		l := &limit.Limiter{
			Host:        host.Host{VM: "entry", Meter: meter.New()},
			Incarnation: 1,
			Config:      func() *conf.Config { return config },
			Grant:       o.exchange,
			EntryCount:  func() int { return int(o.entries.Load()) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		synctest.Wait()
		test(l, o)
		cancel()
		time.Sleep(10 * time.Minute)
	})
}

// pay runs a request through the filter and returns how it ended.
func pay(l *limit.Limiter, prompt, tokens int64, patience time.Duration) error {
	r := &chain.Request{
		Workspace:    "w",
		PromptTokens: prompt,
		MaxTokens:    tokens,
		Start:        time.Now(),
		MaxWait:      patience,
		Write:        func(*call.Frame) error { return nil },
	}
	return l.Do(context.Background(), r, func(context.Context, *chain.Request) error {
		return r.Write(&call.Frame{Type: call.FramePart, Tokens: tokens})
	})
}

func granted(tokens int64, life, wait time.Duration) *plane.GrantReply {
	return &plane.GrantReply{Grants: []plane.Grant{{Workspace: "w", Tokens: tokens, LeaseID: 9, Lifetime: span.Duration(life), Wait: span.Duration(wait)}}}
}

func TestExpiredLeaseIsNotUsed(t *testing.T) {
	answers := 0
	grant := func(*plane.GrantRequest) (*plane.GrantReply, error) {
		answers++
		if answers == 1 {
			return granted(500, 2*time.Second, 0), nil
		}
		return nil, context.DeadlineExceeded
	}
	inLimit(t, grant, func(l *limit.Limiter, _ *owner) {
		require.NoError(t, pay(l, 10, 10, time.Second))
		require.Error(t, pay(l, 900, 10, 3*time.Second))
		require.Error(t, pay(l, 10, 10, time.Second))
	})
}

func TestWaiterIsServedAfterRefill(t *testing.T) {
	var start time.Time
	grant := func(ask *plane.GrantRequest) (*plane.GrantReply, error) {
		if start.IsZero() {
			start = time.Now()
		}
		if left := 3*time.Second - time.Since(start); left > 0 {
			return granted(0, 0, left), nil
		}
		return granted(ask.TokenRequests[0].WantedTokens, time.Second, 0), nil
	}
	inLimit(t, grant, func(l *limit.Limiter, _ *owner) {
		require.NoError(t, pay(l, 10, 10, 5*time.Second))
		require.InDelta(t, 3, time.Since(start).Seconds(), 0.6)
	})
}

func TestResentRequestKeepsItsSequenceNumber(t *testing.T) {
	answers := 0
	grant := func(*plane.GrantRequest) (*plane.GrantReply, error) {
		answers++
		if answers < 3 {
			return nil, context.DeadlineExceeded
		}
		return granted(500, 2*time.Second, 0), nil
	}
	inLimit(t, grant, func(l *limit.Limiter, o *owner) {
		require.NoError(t, pay(l, 10, 10, 5*time.Second))
		o.mutex.Lock()
		defer o.mutex.Unlock()
		require.GreaterOrEqual(t, len(o.asks), 4)
		require.Equal(t, o.asks[0].Seq, o.asks[1].Seq)
		require.Equal(t, o.asks[0].Seq, o.asks[2].Seq)
		require.NotEqual(t, o.asks[0].Seq, o.asks[3].Seq, "the first grant, counted from its first sending, is over")
	})
}

// begin starts a request in the background; order gets its name when it runs.
func begin(l *limit.Limiter, order chan<- string, name string, class call.Class, prompt int64, patience time.Duration) {
	r := &chain.Request{Workspace: "w", Class: class, PromptTokens: prompt, MaxTokens: 1, Start: time.Now(), MaxWait: patience}
	go func() {
		err := l.Do(context.Background(), r, func(context.Context, *chain.Request) error {
			order <- name
			return nil
		})
		if err != nil {
			order <- name + " refused"
		}
	}()
	time.Sleep(10 * time.Millisecond)
}

func TestWaitersAreServedByDeadline(t *testing.T) {
	var open atomic.Bool
	grant := func(ask *plane.GrantRequest) (*plane.GrantReply, error) {
		if !open.Load() {
			return granted(0, 0, time.Millisecond), nil
		}
		return granted(ask.TokenRequests[0].MinTokens, time.Second, 0), nil
	}
	inLimit(t, grant, func(l *limit.Limiter, _ *owner) {
		order := make(chan string, 3)
		begin(l, order, "long", call.ClassLong, 40, 40*time.Second)
		begin(l, order, "person", call.ClassInteractive, 40, 10*time.Second)
		time.Sleep(35 * time.Second)
		begin(l, order, "late person", call.ClassInteractive, 40, 10*time.Second)
		time.Sleep(time.Second)
		open.Store(true)
		require.Equal(t, "person refused", <-order)
		require.Equal(t, "long", <-order)
		require.Equal(t, "late person", <-order)
	})
}

// bucketAt returns a grant function of an empty bucket that fills at the rate.
func bucketAt(rate float64) func(*plane.GrantRequest) (*plane.GrantReply, error) {
	var last time.Time
	level := 0.0
	return func(ask *plane.GrantRequest) (*plane.GrantReply, error) {
		if last.IsZero() {
			last = time.Now()
		}
		level += rate * time.Since(last).Seconds()
		last = time.Now()
		reply := &plane.GrantReply{}
		for _, a := range ask.TokenRequests {
			if a.WantedTokens == 0 {
				continue
			}
			if lack := float64(a.MinTokens) - level; lack > 0 {
				reply.Grants = append(reply.Grants, granted(0, 0, time.Duration(lack/rate*float64(time.Second))).Grants...)
				continue
			}
			level -= float64(a.MinTokens)
			reply.Grants = append(reply.Grants, granted(a.MinTokens, time.Second, 0).Grants...)
		}
		return reply, nil
	}
}

func TestUrgentRequestIsNotDelayedByLongOnes(t *testing.T) {
	inLimit(t, bucketAt(100), func(l *limit.Limiter, _ *owner) {
		order := make(chan string, 30)
		for range 20 {
			begin(l, order, "long", call.ClassLong, 400, 5*time.Minute)
		}
		time.Sleep(350 * time.Millisecond)
		start := time.Now()
		begin(l, order, "person", call.ClassInteractive, 50, 3*time.Second)
		require.Equal(t, "person", <-order)
		require.Less(t, time.Since(start), 50*time.Millisecond, "asked for at once, though long ones were told to wait")
		require.Equal(t, "long", <-order)
		start = time.Now()
		begin(l, order, "lookup", call.ClassInteractive, 5, 5*time.Second)
		require.Equal(t, "lookup", <-order)
		require.Less(t, time.Since(start), 20*time.Millisecond, "long ones leave a little")
	})
}

// While control does not answer, an entry of four goes on at its part of the
// rate, for a second at the whole and then at a third of it; control is told
// what that came to.
func TestOverdraftWithoutControl(t *testing.T) {
	var silent atomic.Bool
	answer := func(ask *plane.GrantRequest) (*plane.GrantReply, error) {
		if silent.Load() {
			return nil, context.DeadlineExceeded
		}
		return &plane.GrantReply{Grants: make([]plane.Grant, len(ask.TokenRequests))}, nil
	}
	inLimit(t, answer, func(l *limit.Limiter, o *owner) {
		o.entries.Store(4)
		time.Sleep(10 * time.Second)
		silent.Store(true)
		payFor := func(length time.Duration) (paid int) {
			for start := time.Now(); time.Since(start) < length; time.Sleep(2 * time.Millisecond) {
				if pay(l, 1, 0, 10*time.Millisecond) == nil {
					paid++
				}
			}
			return paid
		}
		paid := payFor(950 * time.Millisecond)
		require.InDelta(t, 19, paid, 2, "three quarters of a second of its part")
		later := payFor(10 * time.Second)
		require.InDelta(t, 15, later, 3, "six in a hundred of it")
		silent.Store(false)
		time.Sleep(3 * time.Second)
		owed := int64(0)
		o.mutex.Lock()
		defer o.mutex.Unlock()
		for _, ask := range o.asks {
			for _, one := range ask.TokenRequests {
				owed += one.OverdraftTokens
			}
		}
		require.InDelta(t, paid+later, owed, 6)
	})
}

// Tokens leased before the VM was suspended are not spent after it.
func TestSuspensionEndsLeases(t *testing.T) {
	inLimit(t, func(ask *plane.GrantRequest) (*plane.GrantReply, error) {
		return granted(500, time.Minute, 0), nil
	}, func(l *limit.Limiter, o *owner) {
		slept := time.Duration(0)
		l.Boot = func() time.Time { return time.Now().Add(slept) }
		require.NoError(t, pay(l, 100, 1, time.Second))
		asks := len(o.asks)
		require.NoError(t, pay(l, 100, 1, time.Second))
		require.Equal(t, asks, len(o.asks), "paid from the lease")
		slept = 5 * time.Second
		require.NoError(t, pay(l, 100, 1, time.Second))
		require.Greater(t, len(o.asks), asks, "the lease is void")
	})
}

// The size of an opaque request is its caller's bound; one over the burst is
// told when to come back, not that it is wrong.
func TestOpaqueRequestOverTheBurst(t *testing.T) {
	inLimit(t, func(ask *plane.GrantRequest) (*plane.GrantReply, error) {
		return &plane.GrantReply{Grants: []plane.Grant{{Workspace: "w", ExceedsBurst: true}}}, nil
	}, func(l *limit.Limiter, _ *owner) {
		r := &chain.Request{
			Workspace: "w", QuotaTokens: 5000, Start: time.Now(), MaxWait: time.Second, Route: conf.Route{Kind: conf.RouteOpaque},
			Write: func(*call.Frame) error { return nil },
		}
		err := l.Do(context.Background(), r, func(context.Context, *chain.Request) error { return nil })
		require.Equal(t, 429, chain.RefusalOf(err).Status)
		require.Positive(t, chain.RefusalOf(err).RetryAfter)
	})
}

// Repeats are leased one at a time, and there are none while control does not
// answer, whatever other entries there are.
func TestRetriesAreLeased(t *testing.T) {
	left := int64(2)
	silent := false
	grant := func(ask *plane.GrantRequest) (*plane.GrantReply, error) {
		if silent {
			return nil, context.DeadlineExceeded
		}
		reply := &plane.GrantReply{}
		for _, wish := range ask.TokenRequests {
			given := plane.Grant{Workspace: wish.Workspace, LeaseID: 1, Lifetime: span.Duration(300 * time.Millisecond)}
			switch {
			case wish.WantedTokens == 0:
			case left > 0:
				given.Tokens = budget.TokensPerRetry
				left--
			default:
				given.Wait = span.Duration(time.Second)
			}
			reply.Grants = append(reply.Grants, given)
		}
		return reply, nil
	}
	inLimit(t, grant, func(l *limit.Limiter, o *owner) {
		l.RetryBound = budget.Limit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		o.entries.Store(1)
		require.True(t, l.AcquireRetry(context.Background(), "desk"))
		require.True(t, l.AcquireRetry(context.Background(), "desk"))
		began := time.Now()
		require.False(t, l.AcquireRetry(context.Background(), "desk"))
		require.LessOrEqual(t, time.Since(began), 50*time.Millisecond)
		o.mutex.Lock()
		for _, ask := range o.asks {
			for _, wish := range ask.TokenRequests {
				require.Equal(t, budget.Account("desk"), wish.Workspace)
			}
		}
		o.mutex.Unlock()
		silent = true
		for range 20 {
			require.False(t, l.AcquireRetry(context.Background(), "desk"))
		}
		time.Sleep(10 * time.Second)
		require.False(t, l.AcquireRetry(context.Background(), "desk"), "no overdraft")
	})
}
