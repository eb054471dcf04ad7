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

// fakeControl answers grant requests with a function of the test.
type fakeControl struct {
	mutex    sync.Mutex
	requests []*plane.GrantRequest
	grant    func(request *plane.GrantRequest) (*plane.GrantReply, error)
	// entries is the number of entries that the rate is divided among without control;
	// 0 lets requests wait.
	entries atomic.Int64
}

func (c *fakeControl) exchange(ctx context.Context, request *plane.GrantRequest, reply *plane.GrantReply) error {
	c.mutex.Lock()
	c.requests = append(c.requests, request)
	c.mutex.Unlock()
	got, err := c.grant(request)
	if err != nil {
		<-ctx.Done()
		return err
	}
	*reply = *got
	return nil
}

// withLimiter runs a test with a Limiter at 100 tokens per second.
func withLimiter(t *testing.T, grant func(request *plane.GrantRequest) (*plane.GrantReply, error), test func(l *limit.Limiter, c *fakeControl)) {
	bubble.Test(t, func(t *testing.T) {
		c := &fakeControl{grant: grant}
		config := &conf.Config{Number: 1, Workspaces: map[string]conf.Workspace{"w": {Rate: 100, Burst: 1000}}}
		l := &limit.Limiter{
			Host:        host.Host{VM: "entry", Meter: meter.New()},
			Incarnation: 1,
			Config:      func() *conf.Config { return config },
			Grant:       c.exchange,
			EntryCount:  func() int { return int(c.entries.Load()) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		synctest.Wait()
		test(l, c)
		cancel()
		time.Sleep(10 * time.Minute)
	})
}

// runRequest passes a request through the filter and returns its error.
func runRequest(l *limit.Limiter, prompt, tokens int64, maxWait time.Duration) error {
	r := &chain.Request{
		Workspace:    "w",
		PromptTokens: prompt,
		MaxTokens:    tokens,
		Start:        time.Now(),
		MaxWait:      maxWait,
		Write:        func(*call.Frame) error { return nil },
	}
	return l.Do(context.Background(), r, func(context.Context, *chain.Request) error {
		return r.Write(&call.Frame{Type: call.FramePart, Tokens: tokens})
	})
}

func grantReply(tokens int64, life, wait time.Duration) *plane.GrantReply {
	return &plane.GrantReply{Grants: []plane.Grant{{Workspace: "w", Tokens: tokens, LeaseID: 9, Lifetime: span.Duration(life), Wait: span.Duration(wait)}}}
}

func TestExpiredLeaseIsNotUsed(t *testing.T) {
	answers := 0
	grant := func(*plane.GrantRequest) (*plane.GrantReply, error) {
		answers++
		if answers == 1 {
			return grantReply(500, 2*time.Second, 0), nil
		}
		return nil, context.DeadlineExceeded
	}
	withLimiter(t, grant, func(l *limit.Limiter, _ *fakeControl) {
		require.NoError(t, runRequest(l, 10, 10, time.Second))
		require.Error(t, runRequest(l, 900, 10, 3*time.Second))
		require.Error(t, runRequest(l, 10, 10, time.Second))
	})
}

func TestWaiterIsServedAfterRefill(t *testing.T) {
	var start time.Time
	grant := func(request *plane.GrantRequest) (*plane.GrantReply, error) {
		if start.IsZero() {
			start = time.Now()
		}
		if wait := 3*time.Second - time.Since(start); wait > 0 {
			return grantReply(0, 0, wait), nil
		}
		return grantReply(request.TokenRequests[0].WantedTokens, time.Second, 0), nil
	}
	withLimiter(t, grant, func(l *limit.Limiter, _ *fakeControl) {
		require.NoError(t, runRequest(l, 10, 10, 5*time.Second))
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
		return grantReply(500, 2*time.Second, 0), nil
	}
	withLimiter(t, grant, func(l *limit.Limiter, c *fakeControl) {
		require.NoError(t, runRequest(l, 10, 10, 5*time.Second))
		c.mutex.Lock()
		defer c.mutex.Unlock()
		require.GreaterOrEqual(t, len(c.requests), 4)
		require.Equal(t, c.requests[0].Seq, c.requests[1].Seq)
		require.Equal(t, c.requests[0].Seq, c.requests[2].Seq)
		require.NotEqual(t, c.requests[0].Seq, c.requests[3].Seq, "the first grant, counted from its first sending, has expired")
	})
}

// startRequest starts a request in the background. Its name is sent to order when it
// runs.
func startRequest(l *limit.Limiter, order chan<- string, name string, class call.Class, prompt int64, maxWait time.Duration) {
	r := &chain.Request{Workspace: "w", Class: class, PromptTokens: prompt, MaxTokens: 1, Start: time.Now(), MaxWait: maxWait}
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
	grant := func(request *plane.GrantRequest) (*plane.GrantReply, error) {
		if !open.Load() {
			return grantReply(0, 0, time.Millisecond), nil
		}
		return grantReply(request.TokenRequests[0].MinTokens, time.Second, 0), nil
	}
	withLimiter(t, grant, func(l *limit.Limiter, _ *fakeControl) {
		order := make(chan string, 3)
		startRequest(l, order, "long", call.ClassLong, 40, 40*time.Second)
		startRequest(l, order, "person", call.ClassInteractive, 40, 10*time.Second)
		time.Sleep(35 * time.Second)
		startRequest(l, order, "late person", call.ClassInteractive, 40, 10*time.Second)
		time.Sleep(time.Second)
		open.Store(true)
		require.Equal(t, "person refused", <-order)
		require.Equal(t, "long", <-order)
		require.Equal(t, "late person", <-order)
	})
}

// emptyBucket returns a grant function of an empty bucket that fills at rate.
func emptyBucket(rate float64) func(*plane.GrantRequest) (*plane.GrantReply, error) {
	var last time.Time
	level := 0.0
	return func(request *plane.GrantRequest) (*plane.GrantReply, error) {
		if last.IsZero() {
			last = time.Now()
		}
		level += rate * time.Since(last).Seconds()
		last = time.Now()
		reply := &plane.GrantReply{}
		for _, a := range request.TokenRequests {
			if a.WantedTokens == 0 {
				continue
			}
			if lack := float64(a.MinTokens) - level; lack > 0 {
				reply.Grants = append(reply.Grants, grantReply(0, 0, time.Duration(lack/rate*float64(time.Second))).Grants...)
				continue
			}
			level -= float64(a.MinTokens)
			reply.Grants = append(reply.Grants, grantReply(a.MinTokens, time.Second, 0).Grants...)
		}
		return reply, nil
	}
}

func TestUrgentRequestIsNotDelayedByLongOnes(t *testing.T) {
	withLimiter(t, emptyBucket(100), func(l *limit.Limiter, _ *fakeControl) {
		order := make(chan string, 30)
		for range 20 {
			startRequest(l, order, "long", call.ClassLong, 400, 5*time.Minute)
		}
		time.Sleep(350 * time.Millisecond)
		start := time.Now()
		startRequest(l, order, "person", call.ClassInteractive, 50, 3*time.Second)
		require.Equal(t, "person", <-order)
		require.Less(t, time.Since(start), 50*time.Millisecond, "tokens are requested at once, although long requests wait")
		require.Equal(t, "long", <-order)
		start = time.Now()
		startRequest(l, order, "lookup", call.ClassInteractive, 5, 5*time.Second)
		require.Equal(t, "lookup", <-order)
		require.Less(t, time.Since(start), 20*time.Millisecond, "long requests leave some tokens available")
	})
}

// While control does not answer, one of four entries serves requests at its part of the
// rate, for 0.75 s in full and then at 6% of it. The tokens used are reported to
// control afterwards.
func TestOverdraftWithoutControl(t *testing.T) {
	var unresponsive atomic.Bool
	answer := func(request *plane.GrantRequest) (*plane.GrantReply, error) {
		if unresponsive.Load() {
			return nil, context.DeadlineExceeded
		}
		return &plane.GrantReply{Grants: make([]plane.Grant, len(request.TokenRequests))}, nil
	}
	withLimiter(t, answer, func(l *limit.Limiter, c *fakeControl) {
		c.entries.Store(4)
		time.Sleep(10 * time.Second)
		unresponsive.Store(true)
		serveFor := func(length time.Duration) (served int) {
			for start := time.Now(); time.Since(start) < length; time.Sleep(2 * time.Millisecond) {
				if runRequest(l, 1, 0, 10*time.Millisecond) == nil {
					served++
				}
			}
			return served
		}
		first := serveFor(950 * time.Millisecond)
		require.InDelta(t, 19, first, 2, "0.75 s at the full part of the rate")
		later := serveFor(10 * time.Second)
		require.InDelta(t, 15, later, 3, "6% of the part")
		unresponsive.Store(false)
		time.Sleep(3 * time.Second)
		reported := int64(0)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		for _, request := range c.requests {
			for _, one := range request.TokenRequests {
				reported += one.OverdraftTokens
			}
		}
		require.InDelta(t, first+later, reported, 6)
	})
}

// Tokens leased before a suspension of the VM are not used after it.
func TestSuspensionEndsLeases(t *testing.T) {
	withLimiter(t, func(request *plane.GrantRequest) (*plane.GrantReply, error) {
		return grantReply(500, time.Minute, 0), nil
	}, func(l *limit.Limiter, c *fakeControl) {
		slept := time.Duration(0)
		l.BootTime = func() time.Time { return time.Now().Add(slept) }
		require.NoError(t, runRequest(l, 100, 1, time.Second))
		sent := len(c.requests)
		require.NoError(t, runRequest(l, 100, 1, time.Second))
		require.Equal(t, sent, len(c.requests), "tokens come from the lease")
		slept = 5 * time.Second
		require.NoError(t, runRequest(l, 100, 1, time.Second))
		require.Greater(t, len(c.requests), sent, "the lease has ended")
	})
}

// The size of an opaque request is an upper bound set by its caller. If it is larger
// than the burst, the refusal is a 429 with a time to retry rather than a 413.
func TestOpaqueRequestOverTheBurst(t *testing.T) {
	withLimiter(t, func(request *plane.GrantRequest) (*plane.GrantReply, error) {
		return &plane.GrantReply{Grants: []plane.Grant{{Workspace: "w", ExceedsBurst: true}}}, nil
	}, func(l *limit.Limiter, _ *fakeControl) {
		r := &chain.Request{
			Workspace: "w", QuotaTokens: 5000, Start: time.Now(), MaxWait: time.Second, Route: conf.Route{Kind: conf.RouteOpaque},
			Write: func(*call.Frame) error { return nil },
		}
		err := l.Do(context.Background(), r, func(context.Context, *chain.Request) error { return nil })
		require.Equal(t, 429, chain.RefusalOf(err).Status)
		require.Positive(t, chain.RefusalOf(err).RetryAfter)
	})
}

// Retries are leased one at a time. There are none while control does not answer, even
// if other entries are known.
func TestRetriesAreLeased(t *testing.T) {
	remaining := int64(2)
	unresponsive := false
	grant := func(request *plane.GrantRequest) (*plane.GrantReply, error) {
		if unresponsive {
			return nil, context.DeadlineExceeded
		}
		reply := &plane.GrantReply{}
		for _, item := range request.TokenRequests {
			given := plane.Grant{Workspace: item.Workspace, LeaseID: 1, Lifetime: span.Duration(300 * time.Millisecond)}
			switch {
			case item.WantedTokens == 0:
			case remaining > 0:
				given.Tokens = budget.TokensPerRetry
				remaining--
			default:
				given.Wait = span.Duration(time.Second)
			}
			reply.Grants = append(reply.Grants, given)
		}
		return reply, nil
	}
	withLimiter(t, grant, func(l *limit.Limiter, c *fakeControl) {
		l.RetryLimit = budget.Limit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		c.entries.Store(1)
		require.True(t, acquireRetry(l))
		require.True(t, acquireRetry(l))
		started := time.Now()
		require.False(t, acquireRetry(l))
		require.LessOrEqual(t, time.Since(started), 50*time.Millisecond)
		c.mutex.Lock()
		for _, request := range c.requests {
			for _, item := range request.TokenRequests {
				require.Equal(t, budget.Account("desk"), item.Workspace)
			}
		}
		c.mutex.Unlock()
		unresponsive = true
		for range 20 {
			require.False(t, acquireRetry(l))
		}
		time.Sleep(10 * time.Second)
		require.False(t, acquireRetry(l), "no overdraft")
	})
}

// poolGrant is a fake control with a pool of retries that states how much of it is free.
type poolGrant struct {
	mutex        sync.Mutex
	free, burst  int64
	unresponsive bool
	// stateless leaves the free share out, as an earlier version of control does.
	stateless bool
}

func (p *poolGrant) set(free int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.free = free
}

func (p *poolGrant) grant(request *plane.GrantRequest) (*plane.GrantReply, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.unresponsive {
		return nil, context.DeadlineExceeded
	}
	reply := &plane.GrantReply{}
	for _, item := range request.TokenRequests {
		p.free += item.UnusedTokens
		given := plane.Grant{Workspace: item.Workspace, LeaseID: 1, Lifetime: span.Duration(300 * time.Millisecond)}
		switch {
		case item.WantedTokens == 0:
		case p.free >= item.MinTokens:
			given.Tokens = min(item.WantedTokens, p.free)
			p.free -= given.Tokens
		default:
			given.Wait = span.Duration(time.Second)
		}
		if !p.stateless {
			given.FreeShare = float64(p.free) / float64(p.burst)
		}
		reply.Grants = append(reply.Grants, given)
	}
	return reply, nil
}

// acquireRetry takes a retry that is sent, and reports whether one was available.
func acquireRetry(l *limit.Limiter) bool {
	settle := l.AcquireRetry(context.Background(), "desk")
	if settle != nil {
		settle(true)
	}
	return settle != nil
}

// A retry for a request that continued where it was is there for another one.
func TestUnsentRetryIsAvailableAgain(t *testing.T) {
	pool := &poolGrant{free: budget.TokensPerRetry, burst: budget.TokensPerRetry}
	withLimiter(t, pool.grant, func(l *limit.Limiter, _ *fakeControl) {
		l.RetryLimit = budget.Limit{Ratio: 0.2, Slack: 86, Window: 10 * time.Second}
		settle := l.AcquireRetry(context.Background(), "desk")
		require.NotNil(t, settle)
		require.Nil(t, l.AcquireRetry(context.Background(), "desk"))
		settle(false)
		settle = l.AcquireRetry(context.Background(), "desk")
		require.NotNil(t, settle)
		settle(true)
		require.False(t, acquireRetry(l))
	})
}

// A hedge gets a retry only while half of the pool stays free after it. Without that, late
// answers would take the retries that a failure of endpoints needs a moment later. While
// too little is free, an entry asks at most twice a second.
func TestHedgesAreLeasedOnlyFromAWellFilledPool(t *testing.T) {
	pool := &poolGrant{free: 20 * budget.TokensPerRetry, burst: 20 * budget.TokensPerRetry}
	withLimiter(t, pool.grant, func(l *limit.Limiter, c *fakeControl) {
		l.RetryLimit = budget.Limit{Ratio: 0.2, Slack: 86, Window: 10 * time.Second}
		acquired := 0
		for range 100 {
			settle, reached := l.AcquireHedge(context.Background(), "desk")
			require.True(t, reached)
			if settle != nil {
				settle(true)
				acquired++
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.InDelta(t, 10, acquired, 1, "half of the pool")
		for range 9 {
			require.True(t, acquireRetry(l), "the rest is for retries")
		}
		pool.set(0)
		time.Sleep(time.Second)
		c.mutex.Lock()
		before := len(c.requests)
		c.mutex.Unlock()
		for range 200 {
			settle, reached := l.AcquireHedge(context.Background(), "desk")
			require.Nil(t, settle)
			require.True(t, reached)
			time.Sleep(10 * time.Millisecond)
		}
		c.mutex.Lock()
		asked := len(c.requests) - before
		c.mutex.Unlock()
		require.LessOrEqual(t, asked, 10, "two a second, and what returns and reports tokens")
		pool.set(20 * budget.TokensPerRetry)
		time.Sleep(600 * time.Millisecond)
		settle, _ := l.AcquireHedge(context.Background(), "desk")
		require.NotNil(t, settle, "the pool has filled")
	})
}

// The retry of a hedge that is not sent, because the first answer came meanwhile, is
// returned. Most late answers come soon after the threshold, and each would cost a retry.
func TestRetryOfAnUnsentHedgeIsReturned(t *testing.T) {
	pool := &poolGrant{free: 20 * budget.TokensPerRetry, burst: 20 * budget.TokensPerRetry}
	withLimiter(t, pool.grant, func(l *limit.Limiter, _ *fakeControl) {
		l.RetryLimit = budget.Limit{Ratio: 0.2, Slack: 86, Window: 10 * time.Second}
		for range 100 {
			settle, _ := l.AcquireHedge(context.Background(), "desk")
			require.NotNil(t, settle)
			settle(false)
			time.Sleep(50 * time.Millisecond)
		}
		// What was leased in advance returns within two seconds.
		time.Sleep(2 * time.Second)
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		require.EqualValues(t, 20*budget.TokensPerRetry, pool.free)
	})
}

// A retry that an entry holds stays for a failure while too little of the pool is free.
func TestHedgeIsNotTakenFromAHeldRetry(t *testing.T) {
	grant := func(request *plane.GrantRequest) (*plane.GrantReply, error) {
		reply := &plane.GrantReply{}
		for _, item := range request.TokenRequests {
			given := plane.Grant{Workspace: item.Workspace, LeaseID: 1, Lifetime: span.Duration(300 * time.Millisecond), FreeShare: 0.4}
			if item.WantedTokens > 0 {
				given.Tokens = 2 * budget.TokensPerRetry
			}
			reply.Grants = append(reply.Grants, given)
		}
		return reply, nil
	}
	withLimiter(t, grant, func(l *limit.Limiter, _ *fakeControl) {
		l.RetryLimit = budget.Limit{Ratio: 0.2, Slack: 86, Window: 10 * time.Second}
		require.True(t, acquireRetry(l))
		settle, reached := l.AcquireHedge(context.Background(), "desk")
		require.Nil(t, settle)
		require.True(t, reached)
	})
}

// A retry goes before a hedge that waits for control already, and a hedge does not join a
// retry that waits. Otherwise late answers would take the only retry of a failed request.
func TestRetryGoesBeforeHedge(t *testing.T) {
	remaining := int64(1)
	grant := func(request *plane.GrantRequest) (*plane.GrantReply, error) {
		time.Sleep(20 * time.Millisecond)
		reply := &plane.GrantReply{}
		for _, item := range request.TokenRequests {
			given := plane.Grant{Workspace: item.Workspace, LeaseID: 1, Lifetime: span.Duration(300 * time.Millisecond), FreeShare: 0.9}
			switch {
			case item.WantedTokens == 0:
			case remaining > 0:
				given.Tokens = budget.TokensPerRetry
				remaining--
			default:
				given.Wait = span.Duration(10 * time.Millisecond)
			}
			reply.Grants = append(reply.Grants, given)
		}
		return reply, nil
	}
	withLimiter(t, grant, func(l *limit.Limiter, _ *fakeControl) {
		l.RetryLimit = budget.Limit{Ratio: 0.2, Slack: 86, Window: 10 * time.Second}
		var both sync.WaitGroup
		both.Go(func() {
			settle, _ := l.AcquireHedge(context.Background(), "desk")
			require.Nil(t, settle)
		})
		time.Sleep(5 * time.Millisecond)
		both.Go(func() { require.True(t, acquireRetry(l)) })
		both.Wait()
		time.Sleep(time.Second)
		both.Go(func() { require.False(t, acquireRetry(l)) })
		time.Sleep(time.Millisecond)
		started := time.Now()
		settle, reached := l.AcquireHedge(context.Background(), "desk")
		require.Nil(t, settle)
		require.True(t, reached)
		require.Zero(t, time.Since(started))
		both.Wait()
	})
}

// Without control there is no hedge, and none with a control that does not state how much
// is free; retries are leased from that as before.
func TestNoHedgesWithoutControl(t *testing.T) {
	pool := &poolGrant{free: 20 * budget.TokensPerRetry, burst: 20 * budget.TokensPerRetry, stateless: true}
	withLimiter(t, pool.grant, func(l *limit.Limiter, c *fakeControl) {
		l.RetryLimit = budget.Limit{Ratio: 0.2, Slack: 86, Window: 10 * time.Second}
		settle, reached := l.AcquireHedge(context.Background(), "desk")
		require.Nil(t, settle)
		require.True(t, reached)
		require.True(t, acquireRetry(l))
		pool.mutex.Lock()
		pool.unresponsive = true
		pool.mutex.Unlock()
		c.entries.Store(1)
		time.Sleep(2 * time.Second)
		for range 20 {
			started := time.Now()
			settle, _ := l.AcquireHedge(context.Background(), "desk")
			require.Nil(t, settle)
			require.LessOrEqual(t, time.Since(started), 50*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		}
		started := time.Now()
		settle, reached = l.AcquireHedge(context.Background(), "desk")
		require.Nil(t, settle)
		require.False(t, reached)
		require.Zero(t, time.Since(started), "known to be away, so nothing is waited for")
	})
}
