// Package relay runs attempts at agents and gives callers their answers.
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

// KindDial says that an agent could not be reached.
const KindDial Kind = "cannot connect"

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// mostTries bounds the attempts of one request.
	mostTries = 8
	// mostDeaths is how many endpoints may be lost under one request before
	// it is given up.
	mostDeaths = 2
	// fullDelay is the pause after every endpoint was found full.
	fullDelay = 200 * time.Millisecond
	// retryLater is when callers refused for want of an endpoint may ask
	// again.
	retryLater = 2 * time.Second
	// mostBlocks bounds the hashed blocks of a prompt.
	mostBlocks = 16
)

// Relay is the last filter. It gets each request a whole answer of its own,
// over as many attempts as that may take.
type Relay struct {
	// Host is the daemon's.
	Host host.Host
	// Picker chooses endpoints.
	Picker *picker.Picker
	// Budget bounds the repeats.
	Budget *retry.Budget

	pool pool.Pool
}

// Start prepares the relay; it is called once before the first request.
func (r *Relay) Start() {
	r.pool.Dial = r.Host.Dial
}

// Close ends all sessions to agents.
func (r *Relay) Close() { r.pool.Close() }

// Do runs the request; it ignores next.
func (r *Relay) Do(ctx context.Context, q *chain.Request, _ chain.Next) error {
	r.Budget.RecordRequest(budget.AllAgents)
	j := &job{relay: r, request: q, ran: chain.RanNo}
	j.prefix = digest.PrefixHashes(q.Prompt, mostBlocks)
	return j.run(ctx)
}

// job is one request with what its attempts have brought so far.
type job struct {
	relay   *Relay
	request *chain.Request
	prefix  []uint64
	// tried names the agents that this request no longer goes to.
	tried []string
	// tries counts attempts; deaths those that lost their endpoint.
	tries  int
	deaths int
	// ran says whether any attempt may have reached an endpoint.
	ran chain.Ran
	// head says that the caller has the answer's head, text and tokens what
	// it has of the answer.
	head   bool
	text   []byte
	tokens int64
	// last is why the last attempt was refused.
	last call.Reason
}

// verdict is what follows from an attempt.
type verdict int

const (
	// verdictWhole says that the caller has its whole answer.
	verdictWhole verdict = iota
	// verdictElsewhere says that the attempt is proved not to have run.
	verdictElsewhere
	// verdictBroken says that the answer broke off and the request may have
	// run.
	verdictBroken
	// verdictFinal says that the attempt's error is the request's end.
	verdictFinal
)

func (j *job) run(ctx context.Context) error {
	for {
		if err := j.allowed(ctx); err != nil {
			return err
		}
		if j.complete() {
			return j.finish()
		}
		if err := j.pay(ctx); err != nil {
			return err
		}
		choice, err := j.pick(ctx)
		if err != nil {
			return err
		}
		verdict, err := j.attempt(ctx, choice)
		j.relay.Picker.Release(choice)
		switch verdict {
		case verdictWhole:
			return nil
		case verdictFinal:
			return err
		}
		if err := j.next(ctx, choice, verdict, err); err != nil {
			return err
		}
	}
}

// allowed reports why the request may not be tried, or tried again.
func (j *job) allowed(ctx context.Context) error {
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

// complete reports whether the caller has all tokens that it asked for and
// only the end mark was lost.
func (j *job) complete() bool {
	return j.request.Adapter != "" && !j.request.AtMostOnce && j.tokens > 0 && j.tokens >= j.request.MaxTokens
}

func (j *job) finish() error {
	return j.request.Write(&call.Frame{Type: call.FrameEnd, Tokens: j.tokens, Version: j.request.Version, FinishReason: "length"})
}

// pay makes sure that a resumed answer has tokens to go on with; an agent takes
// a reservation of none for no limit.
func (j *job) pay(ctx context.Context) error {
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

// refusal says truthfully whether the request may have run.
func (j *job) refusal(refusal *chain.Refusal) error {
	if j.ran == chain.RanUnknown {
		return refusal.WithRanUnknown()
	}
	return refusal
}

// pick waits for an endpoint while the caller probably does.
func (j *job) pick(ctx context.Context) (*picker.Choice, error) {
	q := j.request
	want := picker.Requirements{
		Model:   q.Model,
		Adapter: q.Adapter,
		Version: q.Version,
		Service: q.Service,
		Class:   q.Class,
		Prefix:  j.prefix,
		Suspect: q.Suspect || j.deaths > 0,
	}
	timer := time.NewTimer(max(time.Until(q.Deadline()), 0))
	defer timer.Stop()
	for {
		changed := j.relay.Picker.Changed()
		want.Excluded = j.tried
		choice, err := j.relay.Picker.Pick(&want)
		if err == nil {
			return choice, nil
		}
		again := time.NewTimer(fullDelay)
		select {
		case <-changed:
		case <-again.C:
			j.tried = nil
		case <-timer.C:
			again.Stop()
			return nil, j.none()
		case <-ctx.Done():
			again.Stop()
			return nil, chain.Canceled(ctx, j.ran)
		}
		again.Stop()
	}
}

func (j *job) none() error {
	refusal := chain.Refuse(http.StatusServiceUnavailable, "no_endpoint", "no endpoint could take the request in time")
	return j.refusal(refusal.WithRetryAfter(retryLater))
}

// next decides whether another attempt follows a failed one.
func (j *job) next(ctx context.Context, choice *picker.Choice, verdict verdict, cause error) error {
	q := j.request
	j.tried = append(j.tried, choice.Agent)
	j.tries++
	if verdict == verdictBroken {
		j.ran = chain.RanUnknown
	}
	j.relay.Host.Meter.Add("attempts_failed", 1)
	j.relay.Host.Log.Write("attempt-failed", "request", q.ID, "agent", choice.Agent, "reason", j.last, "err", cause)
	if refusal := j.final(verdict); refusal != nil {
		return j.refusal(refusal)
	}
	if handedBack(j.last) && verdict == verdictElsewhere && j.tries < mostTries {
		return nil
	}
	source := j.relay.Budget.Spend(ctx, budget.AllAgents)
	j.relay.Host.Log.Write("repeat", "request", q.ID, "source", source, "tries", j.tries)
	if source == retry.SourceNone {
		return j.refusal(chain.Refuse(http.StatusServiceUnavailable, "retry_budget", "too many requests are being retried").WithRetryAfter(retryLater))
	}
	return nil
}

// final returns the refusal after which no attempt follows, if any.
func (j *job) final(verdict verdict) *chain.Refusal {
	if j.deaths >= mostDeaths {
		return chain.Refuse(http.StatusBadGateway, "endpoint_lost", "endpoints were lost while they ran the request")
	}
	if j.request.Service != "" && j.head {
		return chain.Refuse(http.StatusBadGateway, "answer_broken", "the answer broke off").WithRanUnknown()
	}
	if verdict == verdictElsewhere && j.last == call.ReasonInvalid {
		return chain.Refuse(http.StatusBadRequest, "invalid_request", "the endpoint does not accept the request")
	}
	if verdict == verdictElsewhere && j.last == call.ReasonDeadline {
		return chain.Refuse(http.StatusServiceUnavailable, "overloaded", "the request could not be started in time").WithRetryAfter(retryLater)
	}
	if j.tries >= mostTries {
		return chain.Refuse(http.StatusServiceUnavailable, "attempts_failed", "the request failed at several endpoints").WithRetryAfter(retryLater)
	}
	return nil
}

// handedBack says that an agent passed the request on without a failure, which
// costs no retry budget.
func handedBack(reason call.Reason) bool {
	switch reason {
	case call.ReasonDraining, call.ReasonOtherIncarnation, call.ReasonLeaseExpired, call.ReasonFull, call.ReasonSuspect:
		return true
	}
	return false
}

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
		Remaining:        max(time.Until(q.Deadline()), leastLeft),
		PrefixHashes:     j.prefix,
		Body:             q.Body,
		Suspect:          q.Suspect || j.deaths > 0,
	}
	if q.Service != "" {
		a.Method = q.Method
		a.Path = target(q)
		a.Header = fields(q.Header)
	}
	return a
}

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
