// Package once makes requests that must not repeat run at most once: a claim
// is committed before the attempt is sent, and the outcome before the answer.
package once

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindTaken   Kind = "another attempt has the claim"
	KindControl Kind = "control cannot be reached"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// claimLimit bounds the time in which a claim is committed.
	claimLimit = 3 * time.Second
	// doneLimit bounds the time in which an outcome is committed.
	doneLimit = 15 * time.Second
	// askTimeout bounds one exchange with control, askDelay is the pause
	// after a failed one.
	askTimeout = time.Second
	askDelay   = 50 * time.Millisecond
	// mostRecorded is the largest answer recorded whole, in bytes.
	mostRecorded = 256 << 10
	// retryLater is when callers may ask again after control was not reached.
	retryLater = 2 * time.Second

	headerKey      = "Idempotency-Key"
	headerReplayed = "Idempotent-Replayed"
)

// Filter is the filter for requests that must not repeat.
type Filter struct {
	// Host is the daemon's.
	Host host.Host
	// ExchangeClaim exchanges one ClaimAsk with the control leader.
	ExchangeClaim func(ctx context.Context, ask *plane.ClaimRequest, reply *plane.ClaimReply) error
	// ProbeAttempt asks an agent what became of an attempt; Find returns an agent's
	// present incarnation and address, or 0.
	ProbeAttempt func(ctx context.Context, address string, id []byte, incarnation uint64) (*call.ProbeReply, error)
	FindAgent    func(agent string) (incarnation uint64, address string)
}

// claim is one request's way through the ledger.
type claim struct {
	// caller ends when the caller goes away or its key is withdrawn.
	caller  context.Context
	once    *Filter
	request *chain.Request
	key     []byte
	sum     []byte
	window  time.Duration
	write   func(*call.Frame) error
	// attempt is the one that has the claim.
	attempt *plane.ClaimRequest
	// held is the answer until its outcome is committed.
	held []*call.Frame
	// taken is the claim of another attempt that stands in the way.
	taken *plane.ClaimReply

	mutex sync.Mutex
	// sent says that an attempt is at an agent or may be.
	sent bool
}

// Do passes requests on that may repeat. Others, once they are sent, run to
// their end even if the caller goes away or the key is withdrawn.
func (o *Filter) Do(ctx context.Context, r *chain.Request, next chain.Next) error {
	if !r.AtMostOnce {
		return next(ctx, r)
	}
	c := o.newClaim(ctx, r)
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { c.abandon(cancel) })
	ended := make(chan error, 1)
	go func() {
		defer cancel(nil)
		defer stop()
		ended <- c.run(detached, next)
	}()
	select {
	case err := <-ended:
		return c.answer(err)
	case <-ctx.Done():
	}
	if !c.isSent() {
		return c.answer(<-ended)
	}
	return chain.Canceled(ctx, chain.RanUnknown)
}

// abandon ends the request unless it is sent.
func (c *claim) abandon(cancel context.CancelCauseFunc) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.sent {
		cancel(context.Cause(c.caller))
	}
}

func (c *claim) isSent() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sent
}

// setSent notes that an attempt is about to be sent, or is proved not to have
// run. It fails when the caller may no longer have the request run.
func (c *claim) setSent(sent bool) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if sent && c.caller.Err() != nil {
		return chain.Canceled(c.caller, chain.RanNo)
	}
	c.sent = sent
	return nil
}

func (o *Filter) newClaim(ctx context.Context, r *chain.Request) *claim {
	window := r.Route.ReplayWindow.Std()
	if window == 0 {
		window = conf.DefaultReplayWindow
	}
	sum := digest.Of([]byte(r.Method), []byte(r.Path), []byte(r.Query), r.Body)
	key := digest.Of([]byte("content"), []byte(r.Workspace), []byte(r.RouteName), sum)
	if stated := r.Header.Get(headerKey); stated != "" {
		key = digest.Of([]byte("stated"), []byte(r.Workspace), []byte(r.RouteName), []byte(stated))
	}
	return &claim{caller: ctx, once: o, request: r, key: key, sum: sum, window: window, write: r.Write}
}

// run finds the recorded answer, or gets one.
func (c *claim) run(ctx context.Context, next chain.Next) error {
	reply, err := c.ask(ctx, &plane.ClaimRequest{Verb: plane.VerbRead}, claimLimit)
	if err != nil {
		return unreachable()
	}
	limit := time.Now().Add(followLimit)
	for {
		switch reply.State {
		case plane.ClaimDone:
			return c.replay(reply.Outcome)
		case plane.ClaimUnknown:
			return unknown()
		case plane.ClaimConflict:
			return mixed()
		case plane.ClaimTaken, plane.ClaimOwned:
			if reply, err = c.follow(ctx, limit); err != nil {
				return err
			}
			continue
		}
		err := c.perform(ctx, next)
		var failed *Error
		if !errors.As(err, &failed) || failed.Kind != KindTaken {
			return err
		}
		reply = c.taken
	}
}

// perform runs the request on a copy, so that a caller who has gone away does
// not share it, and commits the outcome.
func (c *claim) perform(ctx context.Context, next chain.Next) error {
	r := *c.request
	c.held = nil
	r.Write = func(frame *call.Frame) error {
		c.held = append(c.held, frame)
		return nil
	}
	r.Claim = c.claim
	r.Void = c.void
	if err := next(ctx, &r); err != nil {
		c.fail(ctx, err)
		return err
	}
	return c.record(ctx)
}

func (c *claim) claim(ctx context.Context, attempt *call.Attempt, agent string) error {
	if err := c.setSent(true); err != nil {
		return err
	}
	ask := &plane.ClaimRequest{
		Verb:        plane.VerbClaim,
		Attempt:     attempt.ID,
		Agent:       agent,
		Incarnation: attempt.AgentIncarnation,
	}
	reply, err := c.ask(ctx, ask, claimLimit)
	if err != nil {
		c.release(ctx, ask)
		return unreachable()
	}
	if reply.State != plane.ClaimOwned {
		_ = c.setSent(false)
	}
	if reply.State == plane.ClaimOwned {
		c.attempt = ask
		return nil
	}
	if reply.State == plane.ClaimConflict {
		return mixed()
	}
	c.taken = reply
	return &Error{Op: "claim", Kind: KindTaken, Err: unreachable()}
}

// release gives up a claim that may have been committed although its answer
// was lost; the attempt has not been sent.
func (c *claim) release(ctx context.Context, ask *plane.ClaimRequest) {
	go func() {
		_, _ = c.ask(ctx, &plane.ClaimRequest{Verb: plane.VerbVoid, Attempt: ask.Attempt, Agent: ask.Agent, Incarnation: ask.Incarnation}, doneLimit)
	}()
}

func (c *claim) void(ctx context.Context, attempt *call.Attempt) error {
	ask := &plane.ClaimRequest{Verb: plane.VerbVoid, Attempt: attempt.ID, Agent: c.attempt.Agent, Incarnation: attempt.AgentIncarnation}
	c.attempt = nil
	_, err := c.ask(ctx, ask, doneLimit)
	_ = c.setSent(false)
	return err
}

// fail records that the outcome will never be known.
func (c *claim) fail(ctx context.Context, err error) {
	if c.attempt == nil || chain.RefusalOf(err).Code != chain.CodeOutcomeUnknown {
		return
	}
	ask := *c.attempt
	ask.Verb = plane.VerbUnknown
	_, _ = c.ask(ctx, &ask, doneLimit)
}

// record commits the outcome; only then may the caller have the answer.
func (c *claim) record(ctx context.Context) error {
	ask := *c.attempt
	ask.Verb = plane.VerbDone
	ask.Outcome = outcomeOf(c.held)
	reply, err := c.ask(ctx, &ask, doneLimit)
	if err != nil {
		return pending()
	}
	if reply.State == plane.ClaimUnknown {
		return unknown()
	}
	return nil
}

// answer gives the caller what is held.
func (c *claim) answer(err error) error {
	if err != nil {
		return err
	}
	for _, frame := range c.held {
		if err := c.write(frame); err != nil {
			return &chain.Refusal{Status: chain.StatusClientClosed, Code: "caller_gone", Message: "the caller went away", Ran: chain.RanUnknown}
		}
	}
	return nil
}

// ask repeats one step until it is committed or limit has passed.
func (c *claim) ask(ctx context.Context, ask *plane.ClaimRequest, limit time.Duration) (*plane.ClaimReply, error) {
	c.complete(ask)
	end := time.Now().Add(limit)
	for {
		reply, err := c.exchange(ctx, ask)
		if err == nil && reply.Refused == plane.KindNone {
			return reply, nil
		}
		if err == nil && final(reply.Refused) {
			return nil, &Error{Op: string(ask.Verb), Kind: KindControl, Err: &plane.Error{Op: "claim", Kind: reply.Refused}}
		}
		if !time.Now().Add(askDelay).Before(end) {
			return nil, &Error{Op: string(ask.Verb), Kind: KindControl, Err: err}
		}
		time.Sleep(askDelay)
	}
}

func (c *claim) complete(ask *plane.ClaimRequest) {
	ask.Key = c.key
	ask.ContentDigest = c.sum
	ask.Entry = c.once.Host.VM
	ask.Window = span.Duration(c.window)
	ask.Workspace = c.request.Workspace
	ask.Route = c.request.RouteName
}

func (c *claim) exchange(ctx context.Context, ask *plane.ClaimRequest) (*plane.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply plane.ClaimReply
	err := c.once.ExchangeClaim(ctx, ask, &reply)
	return &reply, err
}

// final reports whether asking again brings no other reply.
func final(kind plane.Kind) bool {
	return kind == plane.KindInvalid || kind == plane.KindFull || kind == plane.KindUnproven
}

func outcomeOf(held []*call.Frame) *call.Outcome {
	outcome := &call.Outcome{}
	sum := sha256.New()
	for _, frame := range held {
		switch frame.Type {
		case call.FrameHead:
			outcome.Status = frame.Status
			outcome.Header = frame.Header
		case call.FramePart:
			outcome.Body = append(outcome.Body, frame.Data...)
			_, _ = sum.Write(frame.Data)
		}
	}
	outcome.BodyDigest = sum.Sum(nil)
	if len(outcome.Body) > mostRecorded {
		outcome.Body = nil
		outcome.Truncated = true
	}
	return outcome
}

// unreachable refuses a request that could not be claimed. This sending has
// not run, but an earlier one under the same key may have, and without control
// nobody here can tell.
func unreachable() *chain.Refusal {
	refusal := chain.Refuse(http.StatusServiceUnavailable, "no_control", "control could not be asked about the request; send it again")
	return refusal.WithRanUnknown().WithRetryAfter(retryLater)
}

func unknown() *chain.Refusal {
	return chain.Refuse(http.StatusConflict, chain.CodeOutcomeUnknown, "the request may have run; its outcome is not known").WithRanUnknown()
}

func pending() *chain.Refusal {
	return chain.Refuse(http.StatusConflict, chain.CodeOutcomePending, "the request may have run or be running; ask again").WithRanUnknown().WithRetryAfter(retryLater)
}

func mixed() *chain.Refusal {
	return chain.Refuse(http.StatusUnprocessableEntity, "idempotency_key_reused", "the idempotency key was used for another request")
}
