package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/picker"
	"github.com/tanagerspindle/tanagerspindle/entry/pool"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// leastLeft is the least time an agent is given to start an attempt.
	leastLeft = 50 * time.Millisecond
	// probeDelay is the pause between two probes of one attempt.
	probeDelay = 200 * time.Millisecond
	// probeLimit bounds one probe.
	probeLimit = 2 * time.Second
	// settleLimit bounds the time in which the end of an attempt that must
	// not repeat is looked for before the caller is told that it is unknown.
	settleLimit = 30 * time.Second
)

// attempt sends one attempt and passes its answer on.
func (j *job) attempt(ctx context.Context, choice *picker.Choice) (verdict, error) {
	j.last = call.ReasonNone
	s, err := j.connect(ctx, choice)
	if err != nil {
		return verdictElsewhere, err
	}
	defer j.relay.pool.Put(s)
	a := j.newAttempt(choice)
	if !j.request.AtMostOnce {
		return j.exchange(ctx, s, a, choice)
	}
	return j.once(ctx, s, a, choice)
}

// connect returns a session. One that a request which must not repeat would
// use has just answered a ping.
func (j *job) connect(ctx context.Context, choice *picker.Choice) (*pool.Session, error) {
	p := &j.relay.pool
	s, err := p.Get(ctx, choice.Address)
	if err != nil || !j.request.AtMostOnce || p.Verify(s) {
		return s, err
	}
	p.Put(s)
	s, err = p.Get(ctx, choice.Address)
	if err != nil || p.Verify(s) {
		return s, err
	}
	p.Put(s)
	return nil, &Error{Op: "ping " + choice.Agent, Kind: KindDial}
}

// once runs an attempt that must not repeat: claimed before it is sent, and
// followed to its end or to the proof that it did not run.
func (j *job) once(ctx context.Context, s *pool.Session, a *call.Attempt, choice *picker.Choice) (verdict, error) {
	if err := j.request.Claim(ctx, a, choice.Agent); err != nil {
		return verdictFinal, err
	}
	verdict, err := j.exchange(ctx, s, a, choice)
	if verdict == verdictBroken {
		verdict, err = j.settle(ctx, a, choice)
	}
	if verdict != verdictElsewhere {
		return verdict, err
	}
	if voidErr := j.request.Void(ctx, a); voidErr != nil {
		refusal := chain.Refuse(http.StatusServiceUnavailable, "claim_open", "the request did not run; its claim could not be given back yet")
		return verdictFinal, j.refusal(refusal.WithRetryAfter(retryLater))
	}
	return verdict, err
}

// settle asks the agent what became of an attempt whose answer broke off.
func (j *job) settle(ctx context.Context, a *call.Attempt, choice *picker.Choice) (verdict, error) {
	limit := time.Now().Add(settleLimit)
	for time.Now().Before(limit) && ctx.Err() == nil {
		found, err := j.relay.Probe(ctx, choice.Address, a.ID, choice.Incarnation)
		if err != nil && j.replaced(choice) {
			return verdictFinal, unknown(chain.CodeOutcomeUnknown)
		}
		if err == nil && found.State != call.StateRunning {
			return j.close(a, found)
		}
		pause.For(ctx, probeDelay)
	}
	return verdictFinal, unknown(chain.CodeOutcomePending)
}

func (j *job) replaced(choice *picker.Choice) bool {
	incarnation, _ := j.relay.Picker.Incarnation(choice.Agent)
	return incarnation != 0 && incarnation != choice.Incarnation
}

func (j *job) close(a *call.Attempt, found *call.ProbeReply) (verdict, error) {
	if found.State == call.StateNotRun {
		return verdictElsewhere, nil
	}
	if found.State != call.StateDone || found.Outcome == nil || found.Outcome.Truncated {
		return verdictFinal, unknown(chain.CodeOutcomeUnknown)
	}
	for _, frame := range OutcomeFrames(a.ID, found.Outcome) {
		if err := j.request.Write(frame); err != nil {
			return verdictFinal, err
		}
	}
	return verdictWhole, nil
}

// OutcomeFrames returns the frames of a recorded answer.
func OutcomeFrames(id []byte, outcome *call.Outcome) []*call.Frame {
	return []*call.Frame{
		{ID: id, Type: call.FrameHead, Status: outcome.Status, Header: outcome.Header},
		{ID: id, Type: call.FramePart, Data: outcome.Body},
		{ID: id, Type: call.FrameEnd, FinishReason: "stop"},
	}
}

func unknown(code string) error {
	refusal := chain.Refuse(http.StatusBadGateway, code, "the request may have run; its outcome is not known")
	return refusal.WithRanUnknown()
}

// Probe asks an agent over a new connection what became of an attempt. An
// attempt that the agent has not seen is refused by it from then on.
func (r *Relay) Probe(ctx context.Context, address string, id []byte, incarnation uint64) (*call.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	session, err := link.Dial(ctx, r.Host.Dial, address)
	if err != nil {
		return nil, &Error{Op: "probe", Kind: KindDial, Err: err}
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	var found call.ProbeReply
	if err := session.Call(ctx, plane.MethodProbe, &call.Probe{ID: id, AgentIncarnation: incarnation}, &found); err != nil {
		return nil, &Error{Op: "probe", Kind: KindDial, Err: err}
	}
	if found.Incarnation != incarnation {
		found.State = call.StateUnknown
	}
	if found.State < call.StateNotRun || found.State > call.StateUnknown {
		return nil, &Error{Op: "probe", Kind: KindDial, Err: fmt.Errorf("state %d", found.State)}
	}
	return &found, nil
}
