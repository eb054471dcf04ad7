package limit_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/limit"
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
	asks  []*plane.GrantAsk
	grant func(ask *plane.GrantAsk) (*plane.GrantReply, error)
}

func (o *owner) exchange(ctx context.Context, ask *plane.GrantAsk, reply *plane.GrantReply) error {
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
func inLimit(t *testing.T, grant func(ask *plane.GrantAsk) (*plane.GrantReply, error), test func(l *limit.Limit, o *owner)) {
	synctest.Test(t, func(t *testing.T) {
		o := &owner{grant: grant}
		config := &conf.Config{Number: 1, Workspaces: map[string]conf.Workspace{"w": {Rate: 100, Burst: 1000}}}
		l := &limit.Limit{
			Host:        host.Host{VM: "entry", Meter: meter.New()},
			Incarnation: 1,
			Config:      func() *conf.Config { return config },
			Grant:       o.exchange,
		}
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		synctest.Wait()
		test(l, o)
		cancel()
		time.Sleep(time.Minute)
	})
}

// pay runs a request through the filter and returns how it ended.
func pay(l *limit.Limit, prompt, tokens int64, patience time.Duration) error {
	r := &chain.Request{
		Workspace:    "w",
		PromptTokens: prompt,
		MaxTokens:    tokens,
		Start:        time.Now(),
		Patience:     patience,
		Write:        func(*call.Frame) error { return nil },
	}
	return l.Do(context.Background(), r, func(context.Context, *chain.Request) error {
		return r.Write(&call.Frame{Step: call.StepPart, Tokens: tokens})
	})
}

func granted(tokens int64, life, wait time.Duration) *plane.GrantReply {
	return &plane.GrantReply{Grants: []plane.Grant{{Workspace: "w", Tokens: tokens, Lease: 9, Life: span.Duration(life), Wait: span.Duration(wait)}}}
}

func TestTokensOfAnEndedLeaseAreNotSpent(t *testing.T) {
	answers := 0
	grant := func(*plane.GrantAsk) (*plane.GrantReply, error) {
		answers++
		if answers == 1 {
			return granted(500, 2*time.Second, 0), nil
		}
		return nil, context.DeadlineExceeded
	}
	inLimit(t, grant, func(l *limit.Limit, _ *owner) {
		require.NoError(t, pay(l, 10, 10, time.Second))
		require.Error(t, pay(l, 900, 10, 3*time.Second))
		require.Error(t, pay(l, 10, 10, time.Second))
	})
}

func TestWaiterIsServedWhenTokensComeBack(t *testing.T) {
	var start time.Time
	grant := func(ask *plane.GrantAsk) (*plane.GrantReply, error) {
		if start.IsZero() {
			start = time.Now()
		}
		if left := 3*time.Second - time.Since(start); left > 0 {
			return granted(0, 0, left), nil
		}
		return granted(ask.Asks[0].Want, time.Second, 0), nil
	}
	inLimit(t, grant, func(l *limit.Limit, _ *owner) {
		require.NoError(t, pay(l, 10, 10, 5*time.Second))
		require.InDelta(t, 3, time.Since(start).Seconds(), 0.6)
	})
}

func TestResentAskKeepsItsNumber(t *testing.T) {
	answers := 0
	grant := func(*plane.GrantAsk) (*plane.GrantReply, error) {
		answers++
		if answers < 3 {
			return nil, context.DeadlineExceeded
		}
		return granted(500, 2*time.Second, 0), nil
	}
	inLimit(t, grant, func(l *limit.Limit, o *owner) {
		require.NoError(t, pay(l, 10, 10, 5*time.Second))
		o.mutex.Lock()
		defer o.mutex.Unlock()
		require.GreaterOrEqual(t, len(o.asks), 4)
		require.Equal(t, o.asks[0].Seq, o.asks[1].Seq)
		require.Equal(t, o.asks[0].Seq, o.asks[2].Seq)
		require.NotEqual(t, o.asks[0].Seq, o.asks[3].Seq, "the first grant, counted from its first sending, is over")
	})
}

func TestUrgentRequestOvertakesButNotForEver(t *testing.T) {
	open := false
	grant := func(ask *plane.GrantAsk) (*plane.GrantReply, error) {
		if !open {
			return granted(0, 0, time.Millisecond), nil
		}
		return granted(ask.Asks[0].Least, time.Second, 0), nil
	}
	inLimit(t, grant, func(l *limit.Limit, _ *owner) {
		order := make(chan call.Class, 3)
		for _, at := range []struct {
			wait  time.Duration
			class call.Class
		}{{0, call.ClassLong}, {50 * time.Second, call.ClassPerson}, {15 * time.Second, call.ClassPerson}} {
			time.Sleep(at.wait)
			go func() {
				r := &chain.Request{Workspace: "w", Class: at.class, PromptTokens: 10, MaxTokens: 1, Start: time.Now(), Patience: 5 * time.Minute}
				_ = l.Do(context.Background(), r, func(context.Context, *chain.Request) error {
					order <- at.class
					return nil
				})
			}()
		}
		time.Sleep(time.Second)
		open = true
		require.Equal(t, call.ClassPerson, <-order)
		require.Equal(t, call.ClassLong, <-order)
		require.Equal(t, call.ClassPerson, <-order)
	})
}
