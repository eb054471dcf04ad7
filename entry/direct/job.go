package direct

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/retry"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/stream"
)

const (
	// mostTries bounds the attempts of one request, those that were turned
	// away included.
	mostTries = 5
	// noneLater is when a caller may come back when no endpoint is known: the
	// time in which one that starts is heard of.
	noneLater = time.Second
	// failedLater is when a caller may come back after attempts that were
	// turned away without a time.
	failedLater = 250 * time.Millisecond
)

// job is one request with what its attempts have brought so far.
type job struct {
	direct  *Filter
	request *chain.Request
	service string
	// engine is nil for a plain service.
	engine *conf.Engine
	// excluded are the endpoints that the request no longer goes to.
	excluded map[string]bool
	tries    int
	// arrived counts the attempts that may have reached an endpoint, runs
	// those that may have run.
	arrived, runs int
	ran           chain.Ran
	// begun says that the caller has the answer's head.
	begun  bool
	cutter stream.Splitter
	// heard is when the last event came.
	heard time.Time
	// failure is an endpoint's own failed answer, kept until it is known that
	// no other comes.
	failure *held
	// wait is when asking again helps, if an agent said so.
	wait time.Duration
}

// verdict is what follows from an attempt.
type verdict int

const (
	// verdictWhole says that the caller has its whole answer.
	verdictWhole verdict = iota
	// verdictNotRun says that the attempt is proved not to have run.
	verdictNotRun
	// verdictBroken says that no whole answer came and the request may have
	// run.
	verdictBroken
	// verdictFailed says that the endpoint answered with a failure.
	verdictFailed
	// verdictGone says that the caller has left.
	verdictGone
)

func (j *job) run(ctx context.Context) error {
	for {
		if err := j.stop(ctx); err != nil {
			return err
		}
		place, refusal := j.place(ctx)
		if place == nil {
			return j.end(ctx, refusal)
		}
		if j.arrived > 0 && !j.repeat(ctx) {
			place.release()
			return j.end(ctx, j.refuse("retry_budget", "too many requests are being repeated", failedLater))
		}
		verdict, err := j.attempt(ctx, place)
		place.release()
		switch verdict {
		case verdictWhole:
			return nil
		case verdictGone:
			return chain.Canceled(ctx, j.ran)
		}
		j.note(place.endpoint, verdict, err)
		if !j.again(verdict) {
			return j.end(ctx, j.refuse("endpoint_failed", "the request failed at its endpoint", failedLater))
		}
	}
}

// repeat takes one repeat out of the fleet's budget and reports whether there
// was one.
func (j *job) repeat(ctx context.Context) bool {
	asked := time.Now()
	source := j.direct.Budget.Spend(ctx, j.service)
	j.direct.Host.Meter.Add("repeats_"+string(source)+"_"+j.service, 1)
	j.direct.Host.Log.Write("repeat", "request", j.request.ID, "service", j.service, "source", source,
		"arrived", j.arrived, "waited", time.Since(asked))
	return source != retry.SourceNone
}

// stop returns why no further attempt may be made.
func (j *job) stop(ctx context.Context) error {
	if ctx.Err() != nil {
		return j.end(ctx, nil)
	}
	if j.request.Check == nil {
		return nil
	}
	if err := j.request.Check(); err != nil {
		return j.end(ctx, chain.RefusalOf(err))
	}
	return nil
}

// note takes the outcome of an attempt into account.
func (j *job) note(endpoint advert.Record, verdict verdict, err error) {
	j.tries++
	j.excluded[endpoint.Name] = true
	if verdict != verdictNotRun {
		j.runs++
		j.ran = chain.RanUnknown
	}
	j.direct.Host.Meter.Add("attempts_failed", 1)
	j.direct.Host.Log.Write("attempt-failed", "request", j.request.ID, "route", j.request.RouteName, "endpoint", endpoint.Name,
		"address", endpoint.Address, "verdict", verdict.String(), "tries", j.tries, "events", j.cutter.EventCount, "err", err)
}

// again reports whether another attempt may follow.
func (j *job) again(verdict verdict) bool {
	if j.tries >= mostTries {
		return false
	}
	if verdict == verdictNotRun {
		return true
	}
	if j.runs >= int(j.request.Route.Attempts) {
		return false
	}
	route := &j.request.Route
	return route.Resume || route.Idempotent && !j.begun
}

// end returns the request's end without a whole answer of an endpoint, or
// gives the caller the failure that an endpoint answered with.
func (j *job) end(ctx context.Context, refusal *chain.Refusal) error {
	if j.failure != nil && !j.begun {
		return j.failure.pass(j)
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
	// The request may have run: a status that says that it has not is not true.
	maybe := refusal.WithRanUnknown()
	maybe.RetryAfter = 0
	if maybe.Status != http.StatusGatewayTimeout {
		maybe.Status = http.StatusBadGateway
	}
	return maybe
}

// refuse returns a refusal of a request that could not be placed.
func (j *job) refuse(code, message string, wait time.Duration) *chain.Refusal {
	if j.wait > 0 {
		wait = j.wait
	}
	return chain.Refuse(http.StatusServiceUnavailable, code, message).WithRetryAfter(wait)
}

// String names the verdict in logs.
func (v verdict) String() string {
	return [...]string{"whole", "not-run", "broken", "failed", "gone"}[v]
}

// held is an answer that is kept until it may be passed on.
type held struct {
	status int
	header []call.Field
	body   []byte
}

// pass gives the answer to the caller.
func (h *held) pass(j *job) error {
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
