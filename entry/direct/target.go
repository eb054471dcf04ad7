package direct

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// agentTimeout is how long an agent may take until its first reply; a
	// healthy agent replies within a few milliseconds.
	agentTimeout = 250 * time.Millisecond
	// minAgentWait is the least time until a request queries agents again.
	minAgentWait = 100 * time.Millisecond
	// maxBusyEngines is how many engines may reject a request as busy before it
	// is refused, and maxEngines how many are tried in all, since some may have
	// just failed.
	maxBusyEngines = 3
	maxEngines     = 5
	// maxLimitedEngines is how many engines may refuse a request by their limits before
	// it waits at one of them, and how many of those are tried.
	maxLimitedEngines = 3
	// workspacePriorityStep is how many steps of a route's priority one step of
	// a workspace's priority counts.
	workspacePriorityStep = 10
)

// target is an endpoint that may be sent the request.
type target struct {
	endpoint advert.Record
	// version is the adapter version at the endpoint; 0 when it is unknown.
	version int64
	// waited is how long the request waited for admission, and admitted reports whether an
	// agent has admitted it.
	waited   time.Duration
	admitted bool
	// release ends the endpoint's count of the request and the agent's
	// admission.
	release func()
	// mayHaveRun is set while the request may have run at the endpoint.
	mayHaveRun atomic.Bool
}

// send sends a call to the target and records whether the request may have run there.
func (t *target) send(ctx context.Context, send func(context.Context, *Call) (*Answer, error), c *Call) (*Answer, error) {
	t.mayHaveRun.Store(true)
	answer, err := send(ctx, c)
	notSent := errors.Is(err, &httpc.Error{Kind: httpc.KindDial})
	if notSent || err == nil && answer.NotExecuted {
		t.mayHaveRun.Store(false)
	}
	return answer, err
}

// selectTarget chooses an endpoint and, for an engine, obtains the request's
// admission. It returns neither a target nor a refusal when ctx has ended.
func (j *job) selectTarget(ctx context.Context) (*target, *chain.Refusal) {
	if j.engine != nil {
		return j.selectEngine(ctx)
	}
	f := j.filter
	endpoint, ok := f.Endpoints.ChoosePlain(j.service, j.excluded, f.random(), time.Now())
	if !ok {
		if opening, known := f.Endpoints.FirstOpening(j.service, j.priority(), j.excluded, time.Now()); known && opening.Wait > 0 {
			return nil, j.refuseUntil(opening)
		}
		return nil, j.refuse("no_endpoint", "no endpoint takes the request", noEndpointRetryAfter)
	}
	return &target{endpoint: endpoint, release: f.Endpoints.BeginRequest(endpoint.Name)}, nil
}

// adapterKey identifies the adapter for the choice of engines; empty for the
// base model.
func (j *job) adapterKey() string {
	if j.request.Adapter == "" {
		return ""
	}
	return j.request.Model + "/" + j.request.Adapter
}

// selectEngine requests admission from engines. An agent that does not reply may be silent for
// a moment only: if no other engine admits the request, it waits for that agent.
func (j *job) selectEngine(ctx context.Context) (*target, *chain.Refusal) {
	share := 1.0
	if key := j.adapterKey(); key != "" {
		share = j.filter.popularity.Record(key, time.Now())
	}
	var waitEnd time.Time
	for {
		j.unreached = j.unreached[:0]
		selected, refusal := j.queryEngines(ctx, share)
		// If preferred engines lack room, the other agents are likely to refuse, too.
		if refusal == nil || j.lacksRoom || !j.awaitsAgents {
			return selected, refusal
		}
		if now := time.Now(); waitEnd.IsZero() {
			// The rest is left for the engine.
			waitEnd = now.Add(j.callerDeadline().Sub(now) / 2)
		}
		if !j.awaitAgent(ctx, waitEnd) {
			return nil, refusal
		}
		if ctx.Err() != nil {
			return nil, nil
		}
	}
}

// awaitAgent waits until an agent that did not reply may be queried again. It returns false at
// once if none may be until the given time, or none is expected to reply.
func (j *job) awaitAgent(ctx context.Context, end time.Time) bool {
	now := time.Now()
	wait, returned, ok := j.filter.Endpoints.AwaitAgent(j.unreached, now)
	wait = max(wait, minAgentWait)
	if !ok || now.Add(wait).After(end) {
		return false
	}
	j.filter.Host.Meter.Add("agents_awaited", 1)
	timer := time.NewTimer(min(wait, maxSearchInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-returned:
	case <-timer.C:
	}
	return true
}

// queryEngines requests admission from engines, the adapter's preferred engines
// first. Other engines are tried only in place of unreachable preferred ones:
// they would have to fetch the adapter, which costs the adapter store more than
// the wait at a busy preferred engine costs the caller.
func (j *job) queryEngines(ctx context.Context, share float64) (*target, *chain.Refusal) {
	f, now, key := j.filter, time.Now(), j.adapterKey()
	engines, preferred := f.Endpoints.RankEngines(j.service, key, share, f.random(), j.excluded, now)
	if len(engines) == 0 && len(f.Endpoints.LimitedEngines(j.service, j.excluded, now)) == 0 {
		return nil, j.refuse("no_endpoint", "no engine takes the request", noEndpointRetryAfter)
	}
	asked, busy := 0, min(preferred, maxBusyEngines)
	j.lacksRoom = false
	for i, engine := range engines[:min(len(engines), maxEngines+maxLimitedEngines)] {
		admitted, reply := j.requestAdmission(ctx, engine, busy == 1 || i == len(engines)-1 || asked == maxEngines-1, 0)
		if admitted != nil {
			return admitted, nil
		}
		if ctx.Err() != nil {
			return nil, nil
		}
		if reply != nil && reply.Reason == admit.ReasonLimited {
			continue
		}
		asked++
		if reply != nil && reply.Reason == admit.ReasonBusy {
			busy--
			j.lacksRoom = j.lacksRoom || i < preferred
		}
		if busy == 0 || asked == maxEngines {
			break
		}
	}
	return j.selectLimitedEngine(ctx, busy == 0)
}

// selectLimitedEngine requests admission from engines whose limits do not allow a request
// at once. They are the last resort; their agents let the most urgent requests go first.
// If the preferred engines are busy, only engines that hold the adapter are asked.
func (j *job) selectLimitedEngine(ctx context.Context, preferredBusy bool) (*target, *chain.Refusal) {
	v, key := j.filter.Endpoints, j.adapterKey()
	engines := v.LimitedEngines(j.service, j.excluded, time.Now())
	engines = engines[:min(len(engines), maxLimitedEngines)]
	for i, engine := range engines {
		if preferredBusy && key != "" && !v.LikelyResident(engine.Name, key, time.Now()) {
			continue
		}
		started := time.Now()
		admitted, _ := j.requestAdmission(ctx, engine, i == len(engines)-1, max(maxPauseWait-j.waited, 0))
		if admitted != nil {
			return admitted, nil
		}
		j.waited += time.Since(started)
		if ctx.Err() != nil {
			return nil, nil
		}
	}
	return nil, j.refuse("engines_busy", "no engine could begin the request in time", failedRetryAfter)
}

// shorterWait returns the shorter of two retry delays, where a known delay of 0
// means none.
func shorterWait(known, other time.Duration) time.Duration {
	if known == 0 {
		return other
	}
	return min(known, other)
}

// requestAdmission requests admission to an engine from its agent. When the
// agent is unreachable, the engine is used without admission if the adapter is
// probably resident there.
//
// last reports that no further engine is tried. limitWait is how long the request may wait
// until the engine's limit allows it.
func (j *job) requestAdmission(ctx context.Context, engine advert.Record, last bool, limitWait time.Duration) (*target, *admit.Reply) {
	f := j.filter
	spec := j.newAdmissionRequest(engine)
	spec.LastCandidate, spec.MaxLimitWait = last, span.Duration(limitWait)
	reply, end, err := j.queryAgent(ctx, engine, spec)
	if err != nil {
		f.Host.Meter.Add("agents_unreachable", 1)
		f.Host.Log.Write("agent-unreachable", "request", j.request.ID, "endpoint", engine.Name, "agent", engine.Agent, "err", err)
		if ctx.Err() != nil || j.adapterKey() != "" && !f.Endpoints.LikelyResident(engine.Name, j.adapterKey(), time.Now()) || !f.Endpoints.AllowsUnadmitted(engine.Name, time.Now()) {
			j.unreached = append(j.unreached, engine.Name)
			return nil, nil
		}
		return &target{endpoint: engine, release: f.Endpoints.BeginRequest(engine.Name)}, nil
	}
	f.Endpoints.SetLoad(engine.Name, reply.LoadPermille, time.Now())
	if reply.Reason != admit.ReasonNone {
		switch reply.Reason {
		case admit.ReasonEngineDown, admit.ReasonDraining:
			f.Endpoints.MarkUnreachable(engine.Name, time.Now())
		case admit.ReasonLimited:
			f.Endpoints.MarkLimited(engine.Name, reply.Wait.Std(), time.Now())
			// Spread, so that the refused callers do not come back together.
			j.retryAfter = shorterWait(j.retryAfter, time.Duration(float64(reply.Wait)*(1+f.random())))
		case admit.ReasonBusy, admit.ReasonModelMissing:
			j.retryAfter = shorterWait(j.retryAfter, reply.Wait.Std())
		}
		return nil, reply
	}
	if !f.Endpoints.Known(engine.Name) {
		// The engine announced its departure while the request waited there.
		end(false)
		return nil, &admit.Reply{Reason: admit.ReasonDraining}
	}
	done := f.Endpoints.BeginRequest(engine.Name)
	t := &target{endpoint: engine, version: reply.Version, waited: reply.Wait.Std(), admitted: true}
	t.release = func() {
		done()
		end(t.mayHaveRun.Load())
	}
	return t, reply
}

// queryAgent sends the admission request to an engine's agent, unless the agent
// recently failed to reply.
func (j *job) queryAgent(ctx context.Context, engine advert.Record, spec *admit.Request) (*admit.Reply, func(mayHaveRun bool), error) {
	j.admissionLost = nil
	v := j.filter.Endpoints
	sent := time.Now()
	if !v.AllowAgentQuery(engine.Name, agentTimeout, sent) {
		return nil, nil, &Error{Op: "query agent", Kind: KindUnreachable}
	}
	reply, end, err := j.exchange(ctx, engine, spec)
	if ctx.Err() == nil {
		v.RecordAgentQuery(engine.Name, err == nil, sent, time.Now())
	}
	return reply, end, err
}

// exchange sends an admission request and waits for the final reply. If the
// request is admitted, the returned end function reports the end of the request
// to the agent, and whether it may have run.
func (j *job) exchange(ctx context.Context, engine advert.Record, spec *admit.Request) (reply *admit.Reply, end func(mayHaveRun bool), err error) {
	firstReplyCtx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	agents := j.filter.Agents
	session, err := agents.Get(firstReplyCtx, engine.Agent)
	if err != nil {
		return nil, nil, err
	}
	stream, err := session.Open(admit.Method)
	if err != nil {
		agents.Retire(session)
		agents.Put(session)
		return nil, nil, err
	}
	end = func(mayHaveRun bool) {
		if mayHaveRun {
			_ = stream.Send(&admit.End{MayHaveRun: true})
		}
		_ = stream.Close()
		agents.Put(session)
	}
	if err = stream.Send(spec); err == nil {
		reply, err = receive(ctx, firstReplyCtx, stream)
	}
	if err != nil {
		if ctx.Err() == nil {
			agents.Retire(session)
		}
		end(false)
		return nil, nil, err
	}
	agents.MarkAlive(session)
	if reply.Reason != admit.ReasonNone {
		end(false)
		return reply, end, nil
	}
	j.admissionLost = session.Done()
	return reply, end, nil
}

// receive waits for the final reply; the first reply must arrive before
// firstReplyCtx ends. An agent that queues the request replies a second time.
func receive(ctx, firstReplyCtx context.Context, stream *wire.Stream) (*admit.Reply, error) {
	reply := &admit.Reply{}
	release := context.AfterFunc(firstReplyCtx, stream.AbortReceive)
	err := stream.Receive(reply)
	release()
	if err != nil || reply.Reason != admit.ReasonQueued {
		return reply, err
	}
	defer context.AfterFunc(ctx, stream.AbortReceive)()
	reply = &admit.Reply{}
	return reply, stream.Receive(reply)
}

// newAdmissionRequest describes the request to an engine's agent, with what the engine said
// of its limit to this entry.
func (j *job) newAdmissionRequest(engine advert.Record) *admit.Request {
	r := j.request
	now := time.Now()
	spec := &admit.Request{
		ID: r.ID, Endpoint: engine.Name, Model: r.Model, Adapter: r.Adapter,
		MinVersion: j.filter.minVersion(r.Model, r.Adapter),
		Workspace:  r.Workspace, Priority: j.priority(),
		PromptTokens: r.PromptTokens, MaxAnswerTokens: j.remainingTokens(r.MaxTokens), ExpectedAnswerTokens: j.remainingTokens(r.ExpectedTokens),
		FirstTokenRemaining: span.Duration(r.Start.Add(r.Objective.FirstToken.Std()).Sub(now)),
		Remaining:           span.Duration(j.callerDeadline().Sub(now)),
		MaxTokenGap:         r.Objective.TokenGap,
	}
	spec.Resumed, spec.OriginKnown = j.resumes()
	if limit, ok := j.filter.Endpoints.Limit(engine.Name); ok {
		report := advert.NewLimitReport(engine.Name, engine.StartedMillis, &limit, now)
		spec.Limit = &report
	}
	return spec
}

// callerDeadline returns when the caller disconnects if it receives nothing
// more.
func (j *job) callerDeadline() time.Time {
	deadline := j.request.Deadline()
	if end := j.patienceEnd(); !end.IsZero() && end.Before(deadline) {
		return end
	}
	return deadline
}

// patienceEnd returns when the caller of a stream disconnects for want of data; zero if its
// route does not state that.
func (j *job) patienceEnd() time.Time {
	r := j.request
	if !r.Route.Stream || r.Route.EventTimeout <= 0 {
		return time.Time{}
	}
	last := r.Start
	if j.lastReceived.After(last) {
		last = j.lastReceived
	}
	return last.Add(r.Route.EventTimeout.Std())
}

// remainingTokens returns how many of an answer's tokens the caller has not
// received.
func (j *job) remainingTokens(tokens int64) int64 {
	return max(tokens-int64(j.cutter.EventCount)*int64(max(j.engine.TokensPerEvent, 1)), 0)
}

// priority returns the request's priority. The workspace's priority takes
// precedence over the route's.
func (j *job) priority() int32 {
	workspace := j.filter.Config().Workspaces[j.request.Workspace]
	return workspace.Priority*workspacePriorityStep + j.request.Route.Priority
}
