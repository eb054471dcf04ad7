// Package relay implements the last filter of an entry's chain: it sends
// requests as attempts to agents and forwards the answers to callers.
package relay

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/picker"
	"github.com/tanagerspindle/tanagerspindle/entry/pool"
	"github.com/tanagerspindle/tanagerspindle/entry/retry"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindDial reports an agent that cannot be reached.
	KindDial Kind = "cannot connect"
	// KindSilent reports an agent that does not answer, in whose place another has begun
	// the request.
	KindSilent Kind = "agent is silent"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// maxTries bounds the attempts of one request that were sent, and the connections that it
	// attempts without a pause.
	maxTries = 8
	// maxCrashes is the number of endpoints that may crash while they run one
	// request before the request is refused.
	maxCrashes = 2
	// fullRetryInterval is the pause after which endpoints are tried again when
	// none had capacity.
	fullRetryInterval = 200 * time.Millisecond
	// refusedRetryAfter is the retry delay of callers whose request is refused
	// for want of an endpoint.
	refusedRetryAfter = 2 * time.Second
	// maxPrefixBlocks bounds the hashed blocks of a prompt.
	maxPrefixBlocks = 16
)

// Relay is the last filter. It produces one complete answer for each request,
// over as many attempts as necessary.
type Relay struct {
	// Host provides the daemon's network, log and metrics.
	Host host.Host
	// Picker chooses endpoints.
	Picker *picker.Picker
	// Budget limits retries.
	Budget *retry.Budget

	pool pool.Pool
}

// Start prepares the relay. It is called once before the first request.
func (r *Relay) Start() {
	r.pool.Dial = r.Host.Dial
}

// Close closes all sessions to agents.
func (r *Relay) Close() { r.pool.Close() }

// Do runs the request. It does not call the next filter.
func (r *Relay) Do(ctx context.Context, q *chain.Request, _ chain.Next) error {
	r.Budget.RecordRequest(budget.AllAgents)
	j := &job{relay: r, request: q, ran: chain.RanNo}
	j.prefix = digest.PrefixHashes(q.Prompt, maxPrefixBlocks)
	return j.run(ctx)
}

// job is one request with the state of its attempts.
type job struct {
	relay   *Relay
	request *chain.Request
	prefix  []uint64
	// triedAgents names the agents that this request is not sent to again. It
	// is cleared when no other agent accepts the request.
	triedAgents []string
	// tries counts attempts that were sent, crashes those whose endpoint crashed.
	tries   int
	crashes int
	// unsent counts the failed connections since an attempt was last sent, and unsentSince is
	// the time of the first.
	unsent      int
	unsentSince time.Time
	// ran reports whether an attempt may have reached an endpoint.
	ran chain.Ran
	// headSent reports whether the caller has received the head of the answer;
	// text and tokens are what the caller has received of the answer.
	headSent bool
	text     []byte
	tokens   int64
	// lastRefusal is the reason for which the last attempt was refused.
	lastRefusal call.Reason
	// takeover is the next attempt if it has begun already; see exchange.watch.
	takeover *takeover
}

// verdict classifies the result of an attempt.
type verdict int

const (
	// verdictComplete means that the caller has received the complete answer.
	verdictComplete verdict = iota
	// verdictNotRun means that the attempt provably has not run.
	verdictNotRun
	// verdictNotSent means that nothing of the attempt was sent.
	verdictNotSent
	// verdictBroken means that the answer was interrupted and the request may
	// have run.
	verdictBroken
	// verdictFinal means that no further attempt may follow: the request ends
	// with the attempt's error.
	verdictFinal
)

// run makes attempts until one completes, or none may follow.
func (j *job) run(ctx context.Context) error {
	defer func() { j.takeover.drop(j.relay) }()
	for {
		if err := j.checkAllowed(ctx); err != nil {
			return err
		}
		if j.complete() {
			return j.finish()
		}
		if err := j.reserveTokens(ctx); err != nil {
			return err
		}
		choice, err := j.choose(ctx)
		if err != nil {
			return err
		}
		verdict, err := j.attempt(ctx, choice)
		j.relay.Picker.Release(choice)
		switch verdict {
		case verdictComplete:
			return nil
		case verdictFinal:
			return err
		}
		if err := j.afterFailure(ctx, choice, verdict, err); err != nil {
			return err
		}
	}
}

// checkAllowed returns an error if no further attempt may be made.
func (j *job) checkAllowed(ctx context.Context) error {
	if ctx.Err() != nil {
		return chain.Canceled(ctx, j.ran)
	}
	if j.request.Check == nil {
		return nil
	}
	if err := j.request.Check(); err != nil {
		return j.refusal(chain.RefusalOf(err))
	}
	return nil
}

// complete reports whether the caller has received all requested tokens and
// only the end of the answer was lost.
func (j *job) complete() bool {
	return j.request.Adapter != "" && !j.request.AtMostOnce && j.tokens > 0 && j.tokens >= j.request.MaxTokens
}

// finish ends an answer of which only the end was lost.
func (j *job) finish() error {
	return j.request.Write(&call.Frame{Type: call.FrameEnd, Tokens: j.tokens, Version: j.request.Version, FinishReason: "length"})
}

// reserveTokens ensures that a resumed answer has reserved tokens left, since
// an agent interprets a reservation of 0 as no limit.
func (j *job) reserveTokens(ctx context.Context) error {
	q := j.request
	if q.Adapter == "" || q.Extend == nil || q.ReservedTokens > j.tokens {
		return nil
	}
	total, err := q.Extend(ctx)
	if err != nil {
		return chain.Canceled(ctx, j.ran)
	}
	q.ReservedTokens = total
	return nil
}

// refusal returns the refusal, marked if the request may have run.
func (j *job) refusal(refusal *chain.Refusal) error {
	if j.ran == chain.RanUnknown {
		return refusal.WithRanUnknown()
	}
	return refusal
}

// choose returns the endpoint of the next attempt.
func (j *job) choose(ctx context.Context) (*picker.Choice, error) {
	if j.takeover != nil {
		return j.takeover.choice, nil
	}
	return j.pick(ctx)
}

// requirements describes the request for the choice of an endpoint.
func (j *job) requirements(excluded []string) *picker.Requirements {
	q := j.request
	return &picker.Requirements{
		Model:    q.Model,
		Adapter:  q.Adapter,
		Version:  q.Version,
		Service:  q.Service,
		Class:    q.Class,
		Prefix:   j.prefix,
		Suspect:  q.Suspect || j.crashes > 0,
		Excluded: excluded,
	}
}

// pick waits for an endpoint until the caller's deadline.
func (j *job) pick(ctx context.Context) (*picker.Choice, error) {
	timer := time.NewTimer(max(time.Until(j.request.Deadline()), 0))
	defer timer.Stop()
	for {
		changed := j.relay.Picker.Changed()
		choice, err := j.relay.Picker.Pick(j.requirements(j.triedAgents))
		if err == nil {
			return choice, nil
		}
		recheck := time.NewTimer(fullRetryInterval)
		select {
		case <-changed:
		case <-recheck.C:
			j.triedAgents = nil
		case <-timer.C:
			recheck.Stop()
			return nil, j.noEndpoint()
		case <-ctx.Done():
			recheck.Stop()
			return nil, chain.Canceled(ctx, j.ran)
		}
		recheck.Stop()
	}
}

// noEndpoint returns the refusal of a request that no endpoint accepted in
// time.
func (j *job) noEndpoint() error {
	refusal := chain.Refuse(http.StatusServiceUnavailable, "no_endpoint", "no endpoint could take the request in time")
	return j.refusal(refusal.WithRetryAfter(refusedRetryAfter))
}

// afterFailure records a failed attempt and returns an error unless another
// attempt follows.
func (j *job) afterFailure(ctx context.Context, choice *picker.Choice, verdict verdict, cause error) error {
	q := j.request
	j.triedAgents = append(j.triedAgents, choice.Agent)
	if verdict != verdictNotSent {
		j.tries++
		j.unsent = 0
	}
	if verdict == verdictBroken {
		j.ran = chain.RanUnknown
	}
	j.relay.Host.Meter.Add("attempts_failed", 1)
	j.relay.Host.Log.Write("attempt-failed", "request", q.ID, "agent", choice.Agent, "reason", j.lastRefusal, "err", cause)
	if refusal := j.finalRefusal(verdict); refusal != nil {
		return j.refusal(refusal)
	}
	if verdict == verdictNotSent {
		return j.afterUnsent(ctx)
	}
	if j.takeover != nil || refusedWithoutFailure(j.lastRefusal) && verdict == verdictNotRun {
		return nil
	}
	if !j.spendRetry(ctx, j.tries) {
		return j.refusal(chain.Refuse(http.StatusServiceUnavailable, "retry_budget", "too many requests are being retried").WithRetryAfter(refusedRetryAfter))
	}
	return nil
}

// attemptsFailed returns the refusal of a request whose attempts have failed.
func attemptsFailed() *chain.Refusal {
	return chain.Refuse(http.StatusServiceUnavailable, "attempts_failed", "the request failed at several endpoints").WithRetryAfter(refusedRetryAfter)
}

// spendRetry takes a retry from the budget and reports whether one was available. tries
// is the number of attempts made.
func (j *job) spendRetry(ctx context.Context, tries int) bool {
	source := j.relay.Budget.Spend(ctx, budget.AllAgents)
	j.relay.Host.Log.Write("repeat", "request", j.request.ID, "source", source, "tries", tries)
	return source != retry.SourceNone
}

// finalRefusal returns the refusal that ends the request, or nil if another
// attempt may follow.
func (j *job) finalRefusal(verdict verdict) *chain.Refusal {
	if j.crashes >= maxCrashes {
		return chain.Refuse(http.StatusBadGateway, "endpoint_lost", "endpoints were lost while they ran the request")
	}
	if j.request.Service != "" && j.headSent {
		return chain.Refuse(http.StatusBadGateway, "answer_broken", "the answer broke off").WithRanUnknown()
	}
	if verdict == verdictNotRun && j.lastRefusal == call.ReasonInvalid {
		return chain.Refuse(http.StatusBadRequest, "invalid_request", "the endpoint does not accept the request")
	}
	if verdict == verdictNotRun && j.lastRefusal == call.ReasonDeadline {
		return chain.Refuse(http.StatusServiceUnavailable, "overloaded", "the request could not be started in time").WithRetryAfter(refusedRetryAfter)
	}
	if j.tries >= maxTries {
		return attemptsFailed()
	}
	return nil
}

// refusedWithoutFailure reports whether an agent refused an attempt without a
// failure, which costs no retry budget.
func refusedWithoutFailure(reason call.Reason) bool {
	switch reason {
	case call.ReasonDraining, call.ReasonOtherIncarnation, call.ReasonLeaseExpired, call.ReasonFull, call.ReasonSuspect:
		return true
	}
	return false
}

// newAttempt describes an attempt at the chosen endpoint.
func (j *job) newAttempt(choice *picker.Choice) *call.Attempt {
	q := j.request
	id := make([]byte, call.IDSize)
	_, _ = rand.Read(id)
	a := &call.Attempt{
		ID:               id,
		Index:            int32(j.tries),
		Workspace:        q.Workspace,
		Route:            q.RouteName,
		Model:            q.Model,
		Adapter:          q.Adapter,
		Version:          q.Version,
		Service:          q.Service,
		Class:            q.Class,
		ReservedTokens:   max(q.ReservedTokens-j.tokens, 0),
		MaxTokens:        q.MaxTokens,
		PromptTokens:     q.PromptTokens,
		DeliveredTokens:  j.tokens,
		DeliveredText:    string(j.text),
		Idempotent:       !q.AtMostOnce,
		AgentIncarnation: choice.Incarnation,
		Digest:           q.Digest,
		Remaining:        max(time.Until(q.Deadline()), minAttemptTime),
		PrefixHashes:     j.prefix,
		Body:             q.Body,
		Suspect:          q.Suspect || j.crashes > 0,
	}
	if q.Service != "" {
		a.Method = q.Method
		a.Path = target(q)
		a.Header = fields(q.Header)
	}
	return a
}

// target returns the request's path with its query.
func target(q *chain.Request) string {
	if q.Query == "" {
		return q.Path
	}
	return q.Path + "?" + q.Query
}

func fields(header http.Header) []call.Field {
	var list []call.Field
	for name, values := range header {
		for _, value := range values {
			list = append(list, call.Field{Name: name, Value: value})
		}
	}
	return list
}
