// Package once runs at-most-once requests. It commits a claim at control before an
// attempt is sent, and the outcome before the caller gets the answer.
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
	KindControl Kind = "control rejected the claim or did not answer"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// claimTimeout limits the time for committing a claim.
	claimTimeout = 3 * time.Second
	// outcomeTimeout limits the time for committing an outcome.
	outcomeTimeout = 15 * time.Second
	// exchangeTimeout limits one exchange with control; exchangeRetryDelay is the pause
	// after a failed one.
	exchangeTimeout    = time.Second
	exchangeRetryDelay = 50 * time.Millisecond
	// maxRecordedBytes is the size of the largest answer body that is recorded.
	maxRecordedBytes = 256 << 10
	// controlRetryAfter is the Retry-After when control could not be reached or the
	// outcome is pending.
	controlRetryAfter = 2 * time.Second

	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotent-Replayed"
)

// Filter is the filter for at-most-once requests. It passes other requests on
// unchanged.
type Filter struct {
	// Host is the daemon's host.
	Host host.Host
	// ExchangeClaim sends one ClaimRequest to the control leader and reads its reply.
	ExchangeClaim func(ctx context.Context, request *plane.ClaimRequest, reply *plane.ClaimReply) error
	// ProbeAttempt queries an agent for the state of an attempt. FindAgent returns an
	// agent's current incarnation and address, or incarnation 0 if the agent is
	// unknown.
	ProbeAttempt func(ctx context.Context, address string, id []byte, incarnation uint64) (*call.ProbeReply, error)
	FindAgent    func(agent string) (incarnation uint64, address string)
}

// claim is the state of one request's claim in control's ledger.
type claim struct {
	// callerContext ends when the caller disconnects or its key is withdrawn.
	callerContext context.Context
	filter        *Filter
	request       *chain.Request
	// key identifies the request at control: the digest of its idempotency key or,
	// without one, of its content.
	key           []byte
	requestDigest []byte
	window        time.Duration
	write         func(*call.Frame) error
	// owned is the committed claim of this entry's current attempt, nil if there is
	// none.
	owned *plane.ClaimRequest
	// frames holds the answer back until its outcome is committed.
	frames []*call.Frame
	// otherClaim is the claim of another attempt, which prevents this one.
	otherClaim *plane.ClaimReply

	mutex sync.Mutex
	// attemptSent is set from the start of a claim until its attempt provably has not
	// run.
	attemptSent bool
}

// Do handles at-most-once requests. Once an attempt is sent, it runs to its end even if
// the caller disconnects or the key is withdrawn.
func (f *Filter) Do(ctx context.Context, r *chain.Request, next chain.Next) error {
	if !r.AtMostOnce {
		return next(ctx, r)
	}
	c := f.newClaim(ctx, r)
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { c.cancelUnlessSent(cancel) })
	ended := make(chan error, 1)
	go func() {
		defer cancel(nil)
		defer stop()
		ended <- c.run(detached, next)
	}()
	select {
	case err := <-ended:
		return c.writeAnswer(err)
	case <-ctx.Done():
	}
	if !c.isSent() {
		return c.writeAnswer(<-ended)
	}
	return chain.Canceled(ctx, chain.RanUnknown)
}

// cancelUnlessSent cancels the request unless an attempt has been sent.
func (c *claim) cancelUnlessSent(cancel context.CancelCauseFunc) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.attemptSent {
		cancel(context.Cause(c.callerContext))
	}
}

func (c *claim) isSent() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.attemptSent
}

// setSent records that an attempt is about to be sent, or that it provably has not run.
// It fails if the caller has disconnected or its key is withdrawn.
func (c *claim) setSent(sent bool) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if sent && c.callerContext.Err() != nil {
		return chain.Canceled(c.callerContext, chain.RanNo)
	}
	c.attemptSent = sent
	return nil
}

func (f *Filter) newClaim(ctx context.Context, r *chain.Request) *claim {
	window := r.Route.ReplayWindow.Std()
	if window == 0 {
		window = conf.DefaultReplayWindow
	}
	sum := digest.Of([]byte(r.Method), []byte(r.Path), []byte(r.Query), r.Body)
	key := digest.Of([]byte("content"), []byte(r.Workspace), []byte(r.RouteName), sum)
	if stated := r.Header.Get(headerIdempotencyKey); stated != "" {
		key = digest.Of([]byte("stated"), []byte(r.Workspace), []byte(r.RouteName), []byte(stated))
	}
	return &claim{callerContext: ctx, filter: f, request: r, key: key, requestDigest: sum, window: window, write: r.Write}
}

// run replays the recorded answer, or runs the request if there is none.
func (c *claim) run(ctx context.Context, next chain.Next) error {
	reply, err := c.submit(ctx, &plane.ClaimRequest{Verb: plane.VerbRead}, claimTimeout)
	if err != nil {
		return refuseNoControl()
	}
	deadline := time.Now().Add(followTimeout)
	for {
		switch reply.State {
		case plane.ClaimDone:
			return c.replay(reply.Outcome)
		case plane.ClaimUnknown:
			return refuseOutcomeUnknown()
		case plane.ClaimConflict:
			return refuseKeyReused()
		case plane.ClaimTaken, plane.ClaimOwned:
			if reply, err = c.follow(ctx, deadline); err != nil {
				return err
			}
			continue
		}
		err := c.perform(ctx, next)
		var failed *Error
		if !errors.As(err, &failed) || failed.Kind != KindTaken {
			return err
		}
		reply = c.otherClaim
	}
}

// perform runs the request and commits the outcome. It works on a copy of the request,
// since Do may return earlier, when the caller disconnects.
func (c *claim) perform(ctx context.Context, next chain.Next) error {
	r := *c.request
	c.frames = nil
	r.Write = func(frame *call.Frame) error {
		c.frames = append(c.frames, frame)
		return nil
	}
	r.Claim = c.acquire
	r.Void = c.voidAttempt
	if err := next(ctx, &r); err != nil {
		c.recordUnknown(ctx, err)
		return err
	}
	return c.recordOutcome(ctx)
}

// acquire commits a claim for an attempt. It fails with KindTaken if another attempt
// has the claim.
func (c *claim) acquire(ctx context.Context, attempt *call.Attempt, agent string) error {
	if err := c.setSent(true); err != nil {
		return err
	}
	step := &plane.ClaimRequest{
		Verb:        plane.VerbClaim,
		Attempt:     attempt.ID,
		Agent:       agent,
		Incarnation: attempt.AgentIncarnation,
	}
	reply, err := c.submit(ctx, step, claimTimeout)
	if err != nil {
		c.voidInBackground(ctx, step)
		return refuseNoControl()
	}
	if reply.State != plane.ClaimOwned {
		_ = c.setSent(false)
	}
	if reply.State == plane.ClaimOwned {
		c.owned = step
		return nil
	}
	if reply.State == plane.ClaimConflict {
		return refuseKeyReused()
	}
	c.otherClaim = reply
	return &Error{Op: "claim", Kind: KindTaken, Err: refuseNoControl()}
}

// voidInBackground gives up a claim that may have been committed although control's
// reply was lost. Its attempt has not been sent.
func (c *claim) voidInBackground(ctx context.Context, step *plane.ClaimRequest) {
	go func() {
		_, _ = c.submit(ctx, &plane.ClaimRequest{Verb: plane.VerbVoid, Attempt: step.Attempt, Agent: step.Agent, Incarnation: step.Incarnation}, outcomeTimeout)
	}()
}

func (c *claim) voidAttempt(ctx context.Context, attempt *call.Attempt) error {
	step := &plane.ClaimRequest{Verb: plane.VerbVoid, Attempt: attempt.ID, Agent: c.owned.Agent, Incarnation: attempt.AgentIncarnation}
	c.owned = nil
	_, err := c.submit(ctx, step, outcomeTimeout)
	_ = c.setSent(false)
	return err
}

// recordUnknown commits that the outcome will never be known.
func (c *claim) recordUnknown(ctx context.Context, err error) {
	if c.owned == nil || chain.RefusalOf(err).Code != chain.CodeOutcomeUnknown {
		return
	}
	step := *c.owned
	step.Verb = plane.VerbUnknown
	_, _ = c.submit(ctx, &step, outcomeTimeout)
}

// recordOutcome commits the outcome. The caller must not get the answer before the
// outcome is committed.
func (c *claim) recordOutcome(ctx context.Context) error {
	step := *c.owned
	step.Verb = plane.VerbDone
	step.Outcome = outcomeOf(c.frames)
	reply, err := c.submit(ctx, &step, outcomeTimeout)
	if err != nil {
		return refuseOutcomePending()
	}
	if reply.State == plane.ClaimUnknown {
		return refuseOutcomeUnknown()
	}
	return nil
}

// writeAnswer writes the frames of the answer to the caller.
func (c *claim) writeAnswer(err error) error {
	if err != nil {
		return err
	}
	for _, frame := range c.frames {
		if err := c.write(frame); err != nil {
			return &chain.Refusal{Status: chain.StatusClientClosed, Code: "caller_gone", Message: "the caller went away", Ran: chain.RanUnknown}
		}
	}
	return nil
}

// submit sends one claim step to control until control has committed or rejected it, or
// timeout has passed.
func (c *claim) submit(ctx context.Context, step *plane.ClaimRequest, timeout time.Duration) (*plane.ClaimReply, error) {
	c.fillIn(step)
	end := time.Now().Add(timeout)
	for {
		reply, err := c.exchange(ctx, step)
		if err == nil && reply.Refused == plane.KindNone {
			return reply, nil
		}
		if err == nil && isFinal(reply.Refused) {
			return nil, &Error{Op: string(step.Verb), Kind: KindControl, Err: &plane.Error{Op: "claim", Kind: reply.Refused}}
		}
		if !time.Now().Add(exchangeRetryDelay).Before(end) {
			return nil, &Error{Op: string(step.Verb), Kind: KindControl, Err: err}
		}
		time.Sleep(exchangeRetryDelay)
	}
}

func (c *claim) fillIn(step *plane.ClaimRequest) {
	step.Key = c.key
	step.ContentDigest = c.requestDigest
	step.Entry = c.filter.Host.VM
	step.Window = span.Duration(c.window)
	step.Workspace = c.request.Workspace
	step.Route = c.request.RouteName
}

func (c *claim) exchange(ctx context.Context, step *plane.ClaimRequest) (*plane.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply plane.ClaimReply
	err := c.filter.ExchangeClaim(ctx, step, &reply)
	return &reply, err
}

// isFinal reports whether a retry would be rejected in the same way.
func isFinal(kind plane.Kind) bool {
	return kind == plane.KindInvalid || kind == plane.KindFull || kind == plane.KindUnproven
}

func outcomeOf(frames []*call.Frame) *call.Outcome {
	outcome := &call.Outcome{}
	sum := sha256.New()
	for _, frame := range frames {
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
	if len(outcome.Body) > maxRecordedBytes {
		outcome.Body = nil
		outcome.Truncated = true
	}
	return outcome
}

// refuseNoControl refuses a request that could not be claimed. This request has not
// run, but an earlier one with the same key may have, which cannot be known without
// control.
func refuseNoControl() *chain.Refusal {
	refusal := chain.Refuse(http.StatusServiceUnavailable, "no_control", "control could not be asked about the request; send it again")
	return refusal.WithRanUnknown().WithRetryAfter(controlRetryAfter)
}

func refuseOutcomeUnknown() *chain.Refusal {
	return chain.Refuse(http.StatusConflict, chain.CodeOutcomeUnknown, "the request may have run; its outcome is not known").WithRanUnknown()
}

func refuseOutcomePending() *chain.Refusal {
	return chain.Refuse(http.StatusConflict, chain.CodeOutcomePending, "the request may have run or be running; ask again").WithRanUnknown().WithRetryAfter(controlRetryAfter)
}

func refuseKeyReused() *chain.Refusal {
	return chain.Refuse(http.StatusUnprocessableEntity, "idempotency_key_reused", "the idempotency key was used for another request")
}
