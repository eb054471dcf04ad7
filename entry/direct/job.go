package direct

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/retry"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/stream"
)

const (
	// maxTries bounds the attempts of one request, including rejected ones.
	maxTries = 5
	// noEndpointRetryAfter is the retry delay of callers while no endpoint is
	// known: the time in which the entry learns of a starting one.
	noEndpointRetryAfter = time.Second
	// failedRetryAfter is the retry delay of callers after rejected attempts
	// when no agent reported a delay.
	failedRetryAfter = 250 * time.Millisecond
	// resumedSpread is the part of a retry delay by which those of resumed streams differ at
	// most. Delays are only lengthened, so that none ends before an engine can begin.
	resumedSpread = 0.5
)

// job is one request with the state of its attempts.
type job struct {
	filter  *Filter
	request *chain.Request
	service string
	// parts are the digests of the prompt's shared parts, in order.
	parts [][]byte
	// engine is the engine configuration of the service; nil for a plain
	// service.
	engine *conf.Engine
	// excluded are the endpoints that the request is no longer sent to.
	excluded map[string]bool
	tries    int
	// delivered counts the attempts that may have reached an endpoint,
	// possibleRuns those that may have run there. ran states whether any did.
	delivered, possibleRuns int
	// retryPaid reports that a retry was taken from the fleet's retry budget that has not
	// reached an endpoint.
	retryPaid bool
	ran       chain.Ran
	// headSent reports whether the caller has received the head of the answer,
	// streaming whether it was that of a stream.
	headSent, streaming bool
	cutter              stream.Splitter
	// watchdog is that of the current attempt; secured is the endpoint that it secured before
	// it cancelled the attempt, nil if it did not.
	watchdog *watchdog
	secured  *takeover
	// resumeEnd is until when a stream whose attempt has broken waits to be continued.
	resumeEnd time.Time
	// lastReceived is when complete events of a stream last arrived.
	lastReceived time.Time
	// failure is an endpoint's error answer, forwarded if no further attempt
	// succeeds.
	failure *bufferedAnswer
	// silent are the endpoints that are excluded only because a connection was not made in
	// time, and silentEnd is until when they are tried again if no other is left.
	silent    []string
	silentEnd time.Time
	// origin is the endpoint that wrote the first event of the stream; nil before it is
	// known. It lacks what is not known of it if another attempt of the caller brought that
	// event. originSource tells how it is known; it is empty for a new stream.
	origin       *advert.Record
	originSource string
	// hedged reports that a hedge of the request was considered.
	hedged bool
	// waited is how long the request has waited until an endpoint may get requests again.
	waited time.Duration
	// retryAfter is the shortest retry delay that an agent reported, 0 if none
	// did.
	retryAfter time.Duration
	// admissionLost is closed when the agent that gave the last admission is lost, and the
	// admission with it; nil without an admission.
	admissionLost <-chan struct{}
	// unreached are the engines whose agents did not reply when they were last queried, and
	// awaitsAgents reports whether the request waits for them.
	unreached    []string
	awaitsAgents bool
	// lacksRoom reports that a preferred engine was busy when they were last queried.
	lacksRoom bool
}

// verdict classifies the result of an attempt.
type verdict int

const (
	// verdictComplete means that the caller has received the complete answer.
	verdictComplete verdict = iota
	// verdictNotRun means that the request provably has not run.
	verdictNotRun
	// verdictBroken means that no complete answer arrived and the request may
	// have run.
	verdictBroken
	// verdictFailed means that the endpoint answered with an error.
	verdictFailed
	// verdictCallerGone means that the caller has disconnected.
	verdictCallerGone
)

// run makes attempts until one completes, or none may follow.
func (j *job) run(ctx context.Context) error {
	if refusal := j.findOrigin(ctx); refusal != nil {
		return j.fail(ctx, refusal)
	}
	j.parts = partDigests(j.service, j.request.PromptParts)
	if configured, ok := j.filter.Config().Services[j.service]; ok {
		j.engine = configured.Engine
	}
	for {
		if next := j.takeSecured(); next != nil {
			if done, err := j.attemptSecured(ctx, next); done {
				return err
			}
			continue
		}
		if allowed, err := j.checkAllowed(ctx); !allowed {
			return err
		}
		if refusal := j.keepSoftware(); refusal != nil {
			if j.readmitSilent(refusal) {
				continue
			}
			return j.fail(ctx, refusal)
		}
		target, giveBack, refusal, again := j.selectWithTokens(ctx)
		if again || j.readmitSilent(refusal) || j.awaitContinuation(ctx, refusal) {
			continue
		}
		if target == nil && refusal == nil {
			if allowed, err := j.checkAllowed(ctx); !allowed {
				return err
			}
		}
		if target == nil {
			return j.fail(ctx, refusal)
		}
		if j.delivered > 0 && !j.retryPaid && !j.spendRetry(ctx) {
			giveBack()
			target.release()
			refusal := j.refuse("retry_budget", "too many requests are being repeated", failedRetryAfter)
			if j.awaitContinuation(ctx, refusal) {
				continue
			}
			return j.fail(ctx, refusal)
		}
		// The wait for the admission, the retry or the tokens may have been long.
		if allowed, err := j.checkAllowed(ctx); !allowed {
			giveBack()
			target.release()
			return err
		}
		if !j.filter.Endpoints.Claim(&target.endpoint, target.admitted, time.Now()) {
			giveBack()
			target.release()
			continue
		}
		if done, err := j.attemptTarget(ctx, target, giveBack); done {
			return err
		}
	}
}

// attemptTarget makes an attempt and reports whether the request has ended with it, and how.
func (j *job) attemptTarget(ctx context.Context, target *target, giveBack func()) (done bool, result error) {
	delivered := j.delivered
	last, verdict, err := j.attemptOnce(ctx, target, giveBack)
	j.retryPaid = j.retryPaid && j.delivered == delivered
	switch verdict {
	case verdictComplete:
		j.takeSecured().drop()
		return true, nil
	case verdictCallerGone:
		j.takeSecured().drop()
		return true, chain.Canceled(ctx, j.ran)
	}
	j.recordFailure(last, verdict, err)
	if !j.mayRetry(verdict) {
		j.takeSecured().drop()
		return true, j.fail(ctx, j.refuse("endpoint_failed", "the request failed at its endpoint", failedRetryAfter))
	}
	return false, nil
}

// attemptSecured is attemptTarget for an endpoint that was secured while the attempt before was
// in progress.
func (j *job) attemptSecured(ctx context.Context, next *takeover) (done bool, result error) {
	if allowed, err := j.checkAllowed(ctx); !allowed {
		next.drop()
		return true, err
	}
	if j.origin != nil && j.origin.SoftwareVersion != next.target.endpoint.SoftwareVersion {
		// The first event arrived as the attempt before was cancelled.
		next.drop()
		return false, nil
	}
	giveBack := func() {}
	if j.request.TakeTokens != nil {
		// An attempt that provably did not run has returned them.
		if giveBack = j.retakeTokens(ctx); giveBack == nil {
			next.drop()
			return false, nil
		}
	}
	j.retryPaid = true
	return j.attemptTarget(ctx, next.use(), giveBack)
}

// takeSecured returns the endpoint that was secured for the request, nil if there is none.
func (j *job) takeSecured() *takeover {
	next := j.secured
	j.secured = nil
	return next
}

// attemptOnce makes one attempt, beside which there may be a hedge, and ends its admission. It
// returns the endpoint of the attempt that ended last. giveBack returns the request's tokens if
// no attempt may have run.
func (j *job) attemptOnce(ctx context.Context, target *target, giveBack func()) (last advert.Record, result verdict, err error) {
	delivered, possibleRuns := j.delivered, j.possibleRuns
	if j.hedgeShares().Enabled() {
		last, result, err = j.race(ctx, target)
	} else {
		last = target.endpoint
		result, err = j.attempt(ctx, target)
	}
	target.release()
	if (result == verdictNotRun || j.delivered == delivered) && j.possibleRuns == possibleRuns {
		giveBack()
	}
	return last, result, err
}

// spendRetry takes one retry from the fleet's retry budget and reports whether
// one was available.
func (j *job) spendRetry(ctx context.Context) bool {
	started := time.Now()
	source := j.filter.Budget.Spend(ctx, j.service)
	j.filter.Host.Meter.Add("repeats_"+string(source)+"_"+j.service, 1)
	j.filter.Host.Log.Write("repeat", "request", j.request.ID, "service", j.service, "source", source,
		"arrived", j.delivered, "waited", time.Since(started))
	j.retryPaid = source != retry.SourceNone
	return j.retryPaid
}

// checkAllowed reports whether a further attempt may be made. If not, it ends the request and
// returns the result, which is nil if the caller has got the error answer of an endpoint.
func (j *job) checkAllowed(ctx context.Context) (allowed bool, result error) {
	if ctx.Err() != nil {
		return false, j.fail(ctx, nil)
	}
	if refusal := j.refusePrompt(); refusal != nil {
		return false, j.fail(ctx, refusal)
	}
	if j.request.Check == nil {
		return true, nil
	}
	if err := j.request.Check(); err != nil {
		return false, j.fail(ctx, chain.RefusalOf(err))
	}
	return true, nil
}

// recordFailure records and logs a failed attempt.
func (j *job) recordFailure(endpoint advert.Record, verdict verdict, err error) {
	j.tries++
	j.excluded[endpoint.Name] = true
	if verdict == verdictNotRun && connectTimedOut(err) {
		j.recordSilent(endpoint.Name)
	}
	if verdict != verdictNotRun {
		j.possibleRuns++
		j.ran = chain.RanUnknown
	}
	j.filter.Host.Meter.Add("attempts_failed", 1)
	j.filter.Host.Log.Write("attempt-failed", "request", j.request.ID, "route", j.request.RouteName, "endpoint", endpoint.Name,
		"address", endpoint.Address, "software", endpoint.SoftwareVersion, "verdict", verdict.String(), "tries", j.tries, "events", j.cutter.EventCount,
		"parts", strings.Join(j.request.PromptParts, ","), "err", err)
}

// mayRetry reports whether another attempt may follow.
func (j *job) mayRetry(verdict verdict) bool {
	if j.tries >= maxTries {
		return false
	}
	if verdict == verdictNotRun {
		return true
	}
	if j.possibleRuns >= int(j.request.Route.Attempts) {
		return false
	}
	route := &j.request.Route
	if j.headSent {
		return j.mayContinue()
	}
	return route.Resume || route.Idempotent
}

// mayContinue reports whether a stream of which the caller has a part may go on at another
// endpoint.
func (j *job) mayContinue() bool {
	return j.streaming && j.request.Route.Resume && j.cutter.Resumable()
}

// fail ends a request without a complete answer: it forwards the error answer
// of an endpoint if there is one, and otherwise returns the refusal.
func (j *job) fail(ctx context.Context, refusal *chain.Refusal) error {
	if j.failure != nil && !j.headSent {
		return j.failure.send(j)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return chain.Canceled(ctx, j.ran)
	}
	if refusal == nil || ctx.Err() != nil {
		refusal = chain.Refuse(http.StatusGatewayTimeout, "timeout", "no answer came in time")
		if j.ran == chain.RanNo {
			refusal.Status = http.StatusServiceUnavailable
		}
	}
	if j.ran == chain.RanNo {
		return refusal
	}
	return refusal.MayHaveRun()
}

// refuse returns the refusal of a request that no endpoint accepted.
func (j *job) refuse(code, message string, wait time.Duration) *chain.Refusal {
	if j.retryAfter > 0 {
		wait = j.retryAfter
	}
	if resumed, _ := j.resumes(); resumed {
		// The streams of a lost entry come back together; they must not do so again.
		wait += time.Duration(float64(wait) * resumedSpread * j.filter.random())
	}
	return chain.Refuse(http.StatusServiceUnavailable, code, message).WithRetryAfter(wait)
}

// String returns the name of the verdict in logs.
func (v verdict) String() string {
	return [...]string{"whole", "not-run", "broken", "failed", "gone"}[v]
}

// bufferedAnswer is an answer that is buffered until it may be forwarded.
type bufferedAnswer struct {
	status int
	header []call.Field
	body   []byte
}

// send writes the answer to the caller.
func (h *bufferedAnswer) send(j *job) error {
	frames := []*call.Frame{
		{Type: call.FrameHead, Status: int32(h.status), Header: h.header},
		{Type: call.FramePart, Data: h.body},
		{Type: call.FrameEnd},
	}
	for _, frame := range frames {
		if err := j.request.Write(frame); err != nil {
			return &chain.Refusal{Status: chain.StatusClientClosed, Type: "caller_error", Code: "caller_gone", Message: err.Error(), Ran: chain.RanUnknown}
		}
	}
	return nil
}
