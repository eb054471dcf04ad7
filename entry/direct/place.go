package direct

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// promptLimit is how long an agent may take until it says anything; a
	// healthy one answers within a few milliseconds.
	promptLimit = 250 * time.Millisecond
	// mostBusy is how many engines that are too busy are asked, and mostAsked
	// how many in all: some may have just failed.
	mostBusy  = 3
	mostAsked = 5
	// rankStep is how many routes' ranks one rank of a workspace counts.
	rankStep = 10
)

// place is an endpoint that may be sent a request.
type place struct {
	endpoint advert.Record
	// version is the adapter's there; 0 when it is not known.
	version int64
	// waited is how long the request waited there to be admitted.
	waited  time.Duration
	release func()
}

// place chooses an endpoint, and gets the request admitted at an engine. It
// returns neither a place nor a refusal when ctx has ended.
func (j *job) place(ctx context.Context) (*place, *chain.Refusal) {
	if j.engine != nil {
		return j.placeEngine(ctx)
	}
	d := j.direct
	endpoint, ok := d.Endpoints.ChoosePlain(j.service, j.excluded, d.random(), time.Now())
	if !ok {
		return nil, j.refuse("no_endpoint", "no endpoint takes the request", noneLater)
	}
	return &place{endpoint: endpoint, release: d.Endpoints.BeginRequest(endpoint.Name)}, nil
}

// key names the adapter for the choice of engines.
func (j *job) key() string {
	if j.request.Adapter == "" {
		return ""
	}
	return j.request.Model + "/" + j.request.Adapter
}

// placeEngine asks engines for admission in the order of the request's homes.
// Other engines are asked only in place of homes that cannot be reached: they
// would have to fetch the adapter, which costs the store more than the wait at
// a busy home costs the caller.
func (j *job) placeEngine(ctx context.Context) (*place, *chain.Refusal) {
	d, now := j.direct, time.Now()
	key, share := j.key(), 1.0
	if key != "" {
		share = d.fame.Record(key, now)
	}
	engines, homes := d.Endpoints.RankEngines(j.service, key, share, d.random(), j.excluded, now)
	if len(engines) == 0 {
		return nil, j.refuse("no_endpoint", "no engine takes the request", noneLater)
	}
	engines = engines[:min(len(engines), mostAsked)]
	busy := min(homes, mostBusy)
	for at, engine := range engines {
		found, reply := j.ask(ctx, engine, busy == 1 || at == len(engines)-1)
		if found != nil {
			return found, nil
		}
		if ctx.Err() != nil {
			return nil, nil
		}
		if reply != nil && (reply.Reason == admit.ReasonBusy || reply.Reason == admit.ReasonModelMissing) {
			j.wait = shorter(j.wait, reply.Wait.Std())
		}
		if reply != nil && reply.Reason == admit.ReasonBusy {
			busy--
		}
		if busy == 0 {
			break
		}
	}
	return nil, j.refuse("engines_busy", "no engine could begin the request in time", failedLater)
}

func shorter(known, other time.Duration) time.Duration {
	if known == 0 {
		return other
	}
	return min(known, other)
}

// ask gets a request admitted to an engine. Without an agent to ask it is sent
// there all the same if the adapter is probably there.
func (j *job) ask(ctx context.Context, engine advert.Record, last bool) (*place, *admit.Reply) {
	d := j.direct
	reply, end, err := j.askAgent(ctx, engine, last)
	if err != nil {
		d.Host.Meter.Add("agents_unreachable", 1)
		d.Host.Log.Write("agent-unreachable", "request", j.request.ID, "endpoint", engine.Name, "agent", engine.Agent, "err", err)
		if ctx.Err() != nil || j.key() != "" && !d.Endpoints.LikelyResident(engine.Name, j.key(), time.Now()) {
			return nil, nil
		}
		return &place{endpoint: engine, release: d.Endpoints.BeginRequest(engine.Name)}, nil
	}
	d.Endpoints.SetLoad(engine.Name, reply.LoadPermille, time.Now())
	if reply.Reason != admit.ReasonNone {
		if reply.Reason == admit.ReasonEngineDown || reply.Reason == admit.ReasonDraining {
			d.Endpoints.MarkUnreachable(engine.Name, time.Now())
		}
		return nil, reply
	}
	if !d.Endpoints.Known(engine.Name) {
		// It has said that it leaves while the request waited there.
		end()
		return nil, &admit.Reply{Reason: admit.ReasonDraining}
	}
	done := d.Endpoints.BeginRequest(engine.Name)
	release := func() {
		done()
		end()
	}
	return &place{endpoint: engine, version: reply.Version, waited: reply.Wait.Std(), release: release}, reply
}

// askAgent asks an engine's agent unless it did not answer lately.
func (j *job) askAgent(ctx context.Context, engine advert.Record, last bool) (*admit.Reply, func(), error) {
	v := j.direct.Endpoints
	if !v.AllowAgentQuery(engine.Name, promptLimit, time.Now()) {
		return nil, nil, &Error{Op: "ask agent", Kind: KindUnreachable}
	}
	reply, end, err := j.exchange(ctx, engine, last)
	if ctx.Err() == nil {
		v.RecordAgentQuery(engine.Name, err == nil, time.Now())
	}
	return reply, end, err
}

// exchange sends an Ask and waits for the Reply. When it admits the request,
// end tells the agent that the request has ended.
func (j *job) exchange(ctx context.Context, engine advert.Record, last bool) (reply *admit.Reply, end func(), err error) {
	prompt, cancel := context.WithTimeout(ctx, promptLimit)
	defer cancel()
	agents := j.direct.Agents
	session, err := agents.Get(prompt, engine.Agent)
	if err != nil {
		return nil, nil, err
	}
	stream, err := session.Open(admit.Method)
	if err != nil {
		agents.Retire(session)
		agents.Put(session)
		return nil, nil, err
	}
	end = func() {
		_ = stream.Close()
		agents.Put(session)
	}
	if err = stream.Send(j.newAsk(engine, last)); err == nil {
		reply, err = receive(ctx, prompt, stream)
	}
	if err != nil {
		if ctx.Err() == nil {
			agents.Retire(session)
		}
		end()
		return nil, nil, err
	}
	agents.MarkAlive(session)
	if reply.Reason != admit.ReasonNone {
		end()
	}
	return reply, end, nil
}

// receive waits for the final reply; the first word must come promptly.
func receive(ctx, prompt context.Context, stream *wire.Stream) (*admit.Reply, error) {
	reply := &admit.Reply{}
	release := context.AfterFunc(prompt, stream.AbortReceive)
	err := stream.Receive(reply)
	release()
	if err != nil || reply.Reason != admit.ReasonQueued {
		return reply, err
	}
	defer context.AfterFunc(ctx, stream.AbortReceive)()
	reply = &admit.Reply{}
	return reply, stream.Receive(reply)
}

func (j *job) newAsk(engine advert.Record, last bool) *admit.Request {
	r := j.request
	now := time.Now()
	return &admit.Request{
		ID: r.ID, Endpoint: engine.Name, Model: r.Model, Adapter: r.Adapter,
		MinVersion: j.direct.version(r.Model, r.Adapter),
		Workspace:  r.Workspace, Priority: j.rank(),
		PromptTokens: r.PromptTokens, MaxAnswerTokens: j.left(r.MaxTokens), ExpectedAnswerTokens: j.left(r.ExpectedTokens),
		FirstTokenRemaining: span.Duration(r.Start.Add(r.Objective.FirstToken.Std()).Sub(now)),
		Remaining:           span.Duration(j.leaves().Sub(now)),
		Resumed:             j.cutter.EventCount > 0, LastCandidate: last,
	}
}

// leaves is when the caller leaves if nothing more comes.
func (j *job) leaves() time.Time {
	r := j.request
	deadline, silence := r.Deadline(), r.Route.EventTimeout.Std()
	if !r.Route.Stream || silence <= 0 {
		return deadline
	}
	heard := r.Start
	if j.heard.After(heard) {
		heard = j.heard
	}
	if quiet := heard.Add(silence); quiet.Before(deadline) {
		return quiet
	}
	return deadline
}

// left returns how many of an answer's tokens are still to come.
func (j *job) left(tokens int64) int64 {
	return max(tokens-int64(j.cutter.EventCount)*int64(max(j.engine.TokensPerEvent, 1)), 0)
}

// rank is the request's priority: the workspace's goes before the route's.
func (j *job) rank() int32 {
	workspace := j.direct.Config().Workspaces[j.request.Workspace]
	return workspace.Priority*rankStep + j.request.Route.Priority
}
