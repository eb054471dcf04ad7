// Package limit keeps each workspace within its configured token rate and burst. It
// spends tokens leased from control. Retries to services are limited the same way, by
// tokens leased from the fleet's retry budget.
package limit

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/clock"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/notify"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// Kind classifies the failures of this package.
type Kind string

// KindCanceled means that the request was canceled before its tokens were granted.
const KindCanceled Kind = "request canceled"

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// minChunkTokens and maxChunkTokens bound the number of answer tokens reserved at a
	// time.
	minChunkTokens = 64
	maxChunkTokens = 1024
	// maxChunkTime limits a chunk to the tokens that the workspace's rate yields in
	// this time.
	maxChunkTime = 500 * time.Millisecond
	// urgentReserve is the number of tokens that less urgent requests leave available
	// for urgent ones.
	urgentReserve = 16
	// maxWaiters limits the requests of one workspace and class that wait for tokens.
	maxWaiters = 512
	// extendPrecedence is how much earlier a started stream that needs more tokens is
	// queued than a new request of its class.
	extendPrecedence = 2 * time.Second
	// minRetryAfter is the shortest Retry-After returned to a caller.
	minRetryAfter = 100 * time.Millisecond
)

// Limiter is the filter that reserves tokens for each request. Its exported fields are
// set before Run.
type Limiter struct {
	// Host is the daemon's host; Incarnation is a new number at each start of the
	// process.
	Host        host.Host
	Incarnation uint64
	// Config returns the current configuration.
	Config func() *conf.Config
	// Grant sends one GrantRequest to the control leader and reads its reply.
	Grant func(ctx context.Context, request *plane.GrantRequest, reply *plane.GrantReply) error
	// EntryCount returns the number of entries that the rates are divided among while
	// control does not answer, 0 while that number is not known. If nil, requests wait
	// for control.
	EntryCount func() int
	// BootTime is the boot clock for clock.SuspendDetector, which detects a suspension of
	// the VM. A suspension ends all leases.
	BootTime func() time.Time
	// RetryLimit is the fleet's retry budget per service, which AcquireRetry draws on.
	RetryLimit budget.Limit
	// QuotaWindow is the window in which a workspace may use its rate and its burst, as at
	// control. If it is set, requests of opaque routes take their tokens when an attempt is
	// about to be sent; with zero, on arrival.
	QuotaWindow time.Duration

	mutex      sync.Mutex
	clockWatch clock.SuspendDetector
	shares     map[string]*share
	wake       notify.Signal
	seq        uint64
	// startedAt is when Run started.
	startedAt time.Time
	// unansweredSince is when the pending GrantRequest was first sent; zero if none is
	// pending.
	unansweredSince time.Time
	// recoveredAt is when control last answered after it had not for too long, or when Run
	// started: callers of lost entries come back together.
	recoveredAt time.Time
}

// reservation is the tokens reserved for one request.
type reservation struct {
	share *share
	parts []part
	// total is the sum of parts, and used the number of those tokens already consumed.
	// total is made of answerTokens for the answer and baseTokens for everything else.
	total        int64
	used         int64
	answerTokens int64
	baseTokens   int64
}

// part is the tokens of a reservation that come from one lease.
type part struct {
	lease  *tokenLease
	tokens int64
	used   int64
}

// Do reserves tokens for the request, runs it, and returns the unused tokens.
func (l *Limiter) Do(ctx context.Context, r *chain.Request, next chain.Next) error {
	need, answer := cost(r)
	if need == 0 || l.unlimited(r) {
		return next(ctx, r)
	}
	if l.takesWhenSending(r) {
		return l.doWhenSending(ctx, r, need, next)
	}
	reserved, err := l.reserve(ctx, r, need)
	if err != nil {
		l.countRefused(r.Workspace, err)
		return err
	}
	reserved.answerTokens = answer
	reserved.baseTokens = need - answer
	var sent atomic.Int64
	write := r.Write
	r.Write = func(frame *call.Frame) error {
		if frame.Type == call.FramePart {
			sent.Add(frame.Tokens)
		}
		if frame.Type == call.FrameHead && r.Route.Kind == conf.RouteOpaque {
			// The request has started to run, so all of its tokens count as used.
			l.useAll(reserved)
		}
		return write(frame)
	}
	r.ReservedTokens = answer
	r.Extend = func(ctx context.Context) (int64, error) { return l.extend(ctx, r, reserved, sent.Load()) }
	err = next(ctx, r)
	r.Write = write
	l.settle(reserved, unusedTokens(reserved, sent.Load(), err))
	return err
}

// useAll records that all tokens of a reservation are used.
func (l *Limiter) useAll(reserved *reservation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reserved.use(time.Now(), reserved.total)
}

// cost returns the tokens needed to start the request, and how many of them are for the
// answer.
func cost(r *chain.Request) (need, answer int64) {
	if r.Route.Kind == conf.RouteOpaque {
		return r.QuotaTokens, 0
	}
	if r.Service != "" {
		return r.Route.Cost, 0
	}
	answer = min(minChunkTokens, r.MaxTokens)
	return r.PromptTokens + answer, answer
}

// unlimited reports whether the request's workspace has no limit, or the request has no
// workspace.
func (l *Limiter) unlimited(r *chain.Request) bool {
	if r.Route.Kind != conf.RouteOpaque {
		return false
	}
	config := l.Config()
	return r.Workspace == "" || config == nil || config.Workspaces[r.Workspace].Rate >= conf.Unlimited
}

// admissionDeadline returns the latest time at which the request may get its tokens. On
// an opaque route, half of the time-to-first-token objective is left for the answer.
func admissionDeadline(r *chain.Request) time.Time {
	if r.Route.Kind == conf.RouteOpaque && r.Objective.FirstToken > 0 {
		return r.Start.Add(min(r.MaxWait, r.Objective.FirstToken.Std()/2))
	}
	return r.Deadline()
}

// unusedTokens returns how many reserved tokens the request did not need.
func unusedTokens(reserved *reservation, sent int64, err error) int64 {
	if err != nil && chain.RefusalOf(err).Ran == chain.RanNo {
		return reserved.total
	}
	return max(reserved.total-reserved.baseTokens-sent, 0)
}

// reserve takes tokens, or waits for them until the admission deadline.
func (l *Limiter) reserve(ctx context.Context, r *chain.Request, need int64) (*reservation, error) {
	w := &waiter{
		tokens: need, keepFree: l.keepFree(r, need), class: r.Class,
		queueTime: admissionDeadline(r), deadline: admissionDeadline(r), done: make(chan error, 1), opaque: r.Route.Kind == conf.RouteOpaque,
	}
	return l.wait(ctx, r.Workspace, w)
}

// wait queues a waiter until its tokens are reserved. It returns a refusal if the
// tokens cannot come before the waiter's deadline.
func (l *Limiter) wait(ctx context.Context, account string, w *waiter) (*reservation, error) {
	l.mutex.Lock()
	s := l.share(account)
	w.reservation = &reservation{share: s}
	if err := l.admit(s, w); err != nil {
		l.mutex.Unlock()
		return nil, err
	}
	l.mutex.Unlock()
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	select {
	case err := <-w.done:
		return w.reservation, err
	case <-ctx.Done():
		l.abandon(w)
		return nil, chain.Canceled(ctx, chain.RanNo)
	case <-timer.C:
		return nil, refuseLate(l.abandon(w))
	}
}

// keepFree returns the number of tokens that a less urgent request must leave
// available, so that small urgent requests need not wait for control.
func (l *Limiter) keepFree(r *chain.Request, need int64) int64 {
	config := l.Config()
	if r.Class == call.ClassInteractive || config == nil {
		return 0
	}
	if need+urgentReserve > config.Workspaces[r.Workspace].Burst/2 {
		return 0
	}
	return urgentReserve
}

// dropLeasesAfterSuspend ends all leases if the VM was suspended. The caller holds the
// mutex.
func (l *Limiter) dropLeasesAfterSuspend(now time.Time) {
	l.clockWatch.BootTime = l.BootTime
	slept := l.clockWatch.Suspended(now)
	if slept == 0 {
		return
	}
	l.Host.Log.Write("suspended", "time", slept)
	for _, s := range l.shares {
		s.counts.lost += s.leased()
		s.leases, s.overdraft = nil, nil
	}
	l.wake.Set()
}

// admit reserves the waiter's tokens at once, queues the waiter, or refuses it. The
// caller holds the mutex.
func (l *Limiter) admit(s *share, w *waiter) error {
	now := time.Now()
	l.dropLeasesAfterSuspend(now)
	if s.wouldBeFirst(w) && s.reserve(now, w) || s.passFirst(now, w) {
		w.done <- nil
		return nil
	}
	if s.count(w.class) >= maxWaiters && !s.refuseLessUrgent(w) {
		return refuseLate(s.estimate(now, w, 0, l.accrual(s.account)))
	}
	if s.isShort(now) {
		if wait := s.estimate(now, w, 0, l.accrual(s.account)); now.Add(wait).After(w.latest()) {
			return refuseLate(wait)
		}
	}
	s.enqueue(now, w)
	l.wake.Set()
	return nil
}

// abandon removes a waiter and returns the expected time until tokens are available.
// Tokens reserved at the same moment are returned to their leases.
func (l *Limiter) abandon(w *waiter) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := w.reservation.share
	s.remove(w)
	s.giveBack(time.Now(), w.reservation, w.reservation.total)
	return s.untilRefill(time.Now())
}

func refuseLate(wait time.Duration) *chain.Refusal {
	refusal := chain.Refuse(http.StatusTooManyRequests, codeRateLimited, "the workspace's tokens will not be there in time")
	return refusal.WithRetryAfter(max(wait, minRetryAfter))
}

// extend reserves the next chunk of the answer and waits until its tokens are
// available.
func (l *Limiter) extend(ctx context.Context, r *chain.Request, reserved *reservation, sent int64) (int64, error) {
	chunk := min(l.nextChunk(r, reserved), r.MaxTokens-reserved.answerTokens)
	if chunk <= 0 {
		return reserved.answerTokens, nil
	}
	w := &waiter{
		tokens: chunk, keepFree: l.keepFree(r, chunk), class: r.Class, isExtension: true,
		queueTime: time.Now().Add(r.MaxWait - extendPrecedence), reservation: reserved, done: make(chan error, 1),
	}
	l.mutex.Lock()
	reserved.use(time.Now(), reserved.baseTokens+sent)
	if reserved.share.wouldBeFirst(w) && reserved.share.reserve(time.Now(), w) {
		w.done <- nil
	} else {
		reserved.share.enqueue(time.Now(), w)
		l.wake.Set()
	}
	l.mutex.Unlock()
	select {
	case err := <-w.done:
		if err != nil {
			return reserved.answerTokens, err
		}
	case <-ctx.Done():
		if !l.withdraw(w) {
			return reserved.answerTokens, &Error{Op: "extend", Kind: KindCanceled, Err: ctx.Err()}
		}
	}
	reserved.answerTokens += chunk
	return reserved.answerTokens, nil
}

// nextChunk returns how many answer tokens to reserve next: as many as were reserved
// before, limited so that other requests of the workspace are not delayed for long.
func (l *Limiter) nextChunk(r *chain.Request, reserved *reservation) int64 {
	chunkLimit := min(int64(l.rate(r.Workspace)*maxChunkTime.Seconds()), maxChunkTokens)
	return max(min(reserved.answerTokens, chunkLimit), minChunkTokens)
}

// withdraw removes a waiter and reports whether its tokens were already reserved.
func (l *Limiter) withdraw(w *waiter) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if w.reservation.share.remove(w) {
		return false
	}
	return <-w.done == nil
}

func (l *Limiter) settle(reserved *reservation, tokens int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reserved.share.giveBack(time.Now(), reserved, tokens)
	reserved.use(time.Now(), reserved.total)
	l.serveWaiters(reserved.share, time.Now())
}

func (l *Limiter) share(workspace string) *share {
	if l.shares == nil {
		l.shares = map[string]*share{}
	}
	s, ok := l.shares[workspace]
	if !ok {
		s = &share{account: workspace}
		l.shares[workspace] = s
	}
	return s
}

// allowance returns rate and burst of an account, which is a workspace or a service's
// retry budget.
func (l *Limiter) allowance(account string) conf.Workspace {
	if _, ok := budget.Service(account); ok {
		return l.RetryLimit.Pool()
	}
	config := l.Config()
	if config == nil {
		return conf.Workspace{}
	}
	return config.Workspaces[account]
}

func (l *Limiter) burst(account string) int64 { return max(l.allowance(account).Burst, 1) }

// rate returns the account's tokens per second.
func (l *Limiter) rate(account string) float64 {
	return math.Max(float64(l.allowance(account).Rate), 1)
}
