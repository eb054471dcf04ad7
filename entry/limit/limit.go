// Package limit keeps each workspace within its rate and burst, with tokens
// leased from control. Repeats of requests are leased in the same way.
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

// KindCanceled says that the request ended before its tokens were there.
const KindCanceled Kind = "request ended"

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// firstPiece and longestPiece are the smallest and the largest number of
	// answer tokens paid for at once.
	firstPiece   = 64
	longestPiece = 1024
	// pieceTime bounds a piece by what the workspace's rate gives in it.
	pieceTime = 500 * time.Millisecond
	// spareTokens are left by less urgent requests for urgent ones.
	spareTokens = 16
	// mostWaiters bounds the requests of one workspace and class that wait
	// for tokens.
	mostWaiters = 512
	// extendLead is how much earlier than a new request of its class a stream
	// that needs more tokens counts as having come.
	extendLead = 2 * time.Second
	// soonest is the least time to come back.
	soonest = 100 * time.Millisecond
)

// Limiter is the filter that pays for requests. Its exported fields are set
// before Run.
type Limiter struct {
	// Host is the daemon's; Incarnation is new at each start of the process.
	Host        host.Host
	Incarnation uint64
	// Config returns the configuration in force.
	Config func() *conf.Config
	// Grant exchanges one GrantAsk with the control leader.
	Grant func(ctx context.Context, ask *plane.GrantRequest, reply *plane.GrantReply) error
	// EntryCount returns among how many entries the rates are divided while
	// control does not answer, 0 while that is not known; nil lets requests
	// wait for control.
	EntryCount func() int
	// Boot is that of clock.Watch: leases end while the VM is suspended.
	Boot func() time.Time
	// RetryBound bounds the repeats that Limit.Repeat leases.
	RetryBound budget.Limit

	mutex  sync.Mutex
	watch  clock.SuspendDetector
	shares map[string]*share
	wake   notify.Signal
	seq    uint64
	// began is when Run did.
	began time.Time
	// asked is since when an ask is unanswered; zero when none is.
	asked time.Time
}

// reservation is what one request has paid for.
type reservation struct {
	share *share
	parts []part
	// total is the sum of parts, spent how many of them are used up, answer
	// how many are for the answer and base how many for the prompt.
	total  int64
	spent  int64
	answer int64
	base   int64
}

// part is tokens taken from one lease.
type part struct {
	lease  *held
	tokens int64
	spent  int64
}

// Do pays for the request, runs it, and gives back what it did not use.
func (l *Limiter) Do(ctx context.Context, r *chain.Request, next chain.Next) error {
	need, answer := cost(r)
	if need == 0 || l.unlimited(r) {
		return next(ctx, r)
	}
	paid, err := l.reserve(ctx, r, need)
	if err != nil {
		return err
	}
	paid.answer = answer
	paid.base = need - answer
	var sent atomic.Int64
	write := r.Write
	r.Write = func(frame *call.Frame) error {
		if frame.Type == call.FramePart {
			sent.Add(frame.Tokens)
		}
		if frame.Type == call.FrameHead && r.Route.Kind == conf.RouteOpaque {
			// It runs now, and all of it is paid for.
			l.spendAll(paid)
		}
		return write(frame)
	}
	r.ReservedTokens = answer
	r.Extend = func(ctx context.Context) (int64, error) { return l.extend(ctx, r, paid, sent.Load()) }
	err = next(ctx, r)
	r.Write = write
	l.settle(paid, unused(paid, sent.Load(), err))
	return err
}

// spendAll notes that all tokens of a reservation are used up.
func (l *Limiter) spendAll(paid *reservation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	paid.spend(time.Now(), paid.total)
}

// cost returns the tokens needed to start, and how many of them are for the
// answer.
func cost(r *chain.Request) (need, answer int64) {
	if r.Route.Kind == conf.RouteOpaque {
		return r.QuotaTokens, 0
	}
	if r.Service != "" {
		return r.Route.Cost, 0
	}
	answer = min(firstPiece, r.MaxTokens)
	return r.PromptTokens + answer, answer
}

// unlimited reports whether the request's workspace has no bound, or there is
// no workspace to pay.
func (l *Limiter) unlimited(r *chain.Request) bool {
	if r.Route.Kind != conf.RouteOpaque {
		return false
	}
	config := l.Config()
	return r.Workspace == "" || config == nil || config.Workspaces[r.Workspace].Rate >= conf.Unlimited
}

// until is the latest time at which a request may be paid for. One of an opaque
// route must leave half of its goal for the answer.
func until(r *chain.Request) time.Time {
	if r.Route.Kind == conf.RouteOpaque && r.Objective.FirstToken > 0 {
		return r.Start.Add(min(r.MaxWait, r.Objective.FirstToken.Std()/2))
	}
	return r.Deadline()
}

// unused returns how many paid tokens were not needed.
func unused(paid *reservation, sent int64, err error) int64 {
	if err != nil && chain.RefusalOf(err).Ran == chain.RanNo {
		return paid.total
	}
	return max(paid.total-paid.base-sent, 0)
}

// reserve takes tokens, or waits for them while the caller probably does.
func (l *Limiter) reserve(ctx context.Context, r *chain.Request, need int64) (*reservation, error) {
	w := &waiter{
		need: need, spare: l.spare(r, need), class: r.Class,
		due: until(r), until: until(r), done: make(chan error, 1), opaque: r.Route.Kind == conf.RouteOpaque,
	}
	return l.wait(ctx, r.Workspace, w)
}

// wait gets a waiter paid, or refused when its time is over or too short.
func (l *Limiter) wait(ctx context.Context, account string, w *waiter) (*reservation, error) {
	l.mutex.Lock()
	s := l.share(account)
	w.paid = &reservation{share: s}
	if err := l.join(s, w); err != nil {
		l.mutex.Unlock()
		return nil, err
	}
	l.mutex.Unlock()
	timer := time.NewTimer(time.Until(w.until))
	defer timer.Stop()
	select {
	case err := <-w.done:
		return w.paid, err
	case <-ctx.Done():
		l.leave(w)
		return nil, chain.Canceled(ctx, chain.RanNo)
	case <-timer.C:
		return nil, late(l.leave(w))
	}
}

// spare returns what a request that is less urgent leaves for small urgent
// ones, which then need not wait for control.
func (l *Limiter) spare(r *chain.Request, need int64) int64 {
	config := l.Config()
	if r.Class == call.ClassInteractive || config == nil {
		return 0
	}
	if need+spareTokens > config.Workspaces[r.Workspace].Burst/2 {
		return 0
	}
	return spareTokens
}

// wakeUp ends all leases if the VM was suspended. The caller holds the mutex.
func (l *Limiter) wakeUp(now time.Time) {
	l.watch.BootTime = l.Boot
	slept := l.watch.Suspended(now)
	if slept == 0 {
		return
	}
	l.Host.Log.Write("suspended", "time", slept)
	for _, s := range l.shares {
		s.leases, s.over = nil, nil
	}
	l.wake.Set()
}

// join pays at once, puts the waiter in the queue, or refuses. The caller
// holds the mutex.
func (l *Limiter) join(s *share, w *waiter) error {
	now := time.Now()
	l.wakeUp(now)
	if s.isFirst(w) && s.take(now, w) {
		w.done <- nil
		return nil
	}
	if s.count(w.class) >= mostWaiters {
		return late(s.estimate(now, w, l.rate(s.workspace)))
	}
	if s.short(now) {
		if wait := s.estimate(now, w, l.rate(s.workspace)); now.Add(wait).After(w.until) {
			return late(wait)
		}
	}
	s.enqueue(now, w)
	l.wake.Set()
	return nil
}

// leave takes a waiter out and returns the time until tokens are expected;
// those that came in the same moment go back.
func (l *Limiter) leave(w *waiter) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := w.paid.share
	s.remove(w)
	s.giveBack(time.Now(), w.paid, w.paid.total)
	return s.wait(time.Now())
}

func late(wait time.Duration) *chain.Refusal {
	refusal := chain.Refuse(http.StatusTooManyRequests, "rate_limited", "the workspace's tokens will not be there in time")
	return refusal.WithRetryAfter(max(wait, soonest))
}

// extend pays for a further piece of the answer and waits as long as it takes.
func (l *Limiter) extend(ctx context.Context, r *chain.Request, paid *reservation, sent int64) (int64, error) {
	piece := min(l.piece(r, paid), r.MaxTokens-paid.answer)
	if piece <= 0 {
		return paid.answer, nil
	}
	w := &waiter{
		need: piece, spare: l.spare(r, piece), class: r.Class, extends: true,
		due: time.Now().Add(r.MaxWait - extendLead), paid: paid, done: make(chan error, 1),
	}
	l.mutex.Lock()
	paid.spend(time.Now(), paid.base+sent)
	if paid.share.isFirst(w) && paid.share.take(time.Now(), w) {
		w.done <- nil
	} else {
		paid.share.enqueue(time.Now(), w)
		l.wake.Set()
	}
	l.mutex.Unlock()
	select {
	case err := <-w.done:
		if err != nil {
			return paid.answer, err
		}
	case <-ctx.Done():
		if !l.withdraw(w) {
			return paid.answer, &Error{Op: "extend", Kind: KindCanceled, Err: ctx.Err()}
		}
	}
	paid.answer += piece
	return paid.answer, nil
}

// piece returns how many answer tokens to pay for next: as many as were paid
// for before, but little enough that others of the workspace are not held up.
func (l *Limiter) piece(r *chain.Request, paid *reservation) int64 {
	most := min(int64(l.rate(r.Workspace)*pieceTime.Seconds()), longestPiece)
	return max(min(paid.answer, most), firstPiece)
}

// withdraw takes a waiter out and reports whether it had been paid for.
func (l *Limiter) withdraw(w *waiter) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if w.paid.share.remove(w) {
		return false
	}
	return <-w.done == nil
}

func (l *Limiter) settle(paid *reservation, tokens int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	paid.share.giveBack(time.Now(), paid, tokens)
	paid.spend(time.Now(), paid.total)
	l.serve(paid.share, time.Now())
}

func (l *Limiter) share(workspace string) *share {
	if l.shares == nil {
		l.shares = map[string]*share{}
	}
	s, ok := l.shares[workspace]
	if !ok {
		s = &share{workspace: workspace}
		l.shares[workspace] = s
	}
	return s
}

// allowance returns rate and burst of an account: a workspace's or those of a
// service's repeats.
func (l *Limiter) allowance(account string) conf.Workspace {
	if _, ok := budget.Service(account); ok {
		return l.RetryBound.Pool()
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
