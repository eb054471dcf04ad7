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
	// minAttemptTime is the minimum time given to an agent to start an attempt.
	minAttemptTime = 50 * time.Millisecond
	// probeInterval is the pause between two probes of one attempt.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 2 * time.Second
	// outcomeTimeout bounds the search for the outcome of an attempt that must
	// not run twice. Afterwards the caller receives a refusal with an unknown
	// outcome.
	outcomeTimeout = 30 * time.Second
)

// attempt makes one attempt at the chosen endpoint and forwards the answer.
func (j *job) attempt(ctx context.Context, choice *picker.Choice) (verdict, error) {
	j.lastRefusal = call.ReasonNone
	if t := j.takeover; t != nil {
		j.takeover = nil
		defer j.relay.pool.Put(t.session)
		return j.resume(ctx, t)
	}
	s, err := j.connect(ctx, choice)
	if err != nil {
		return verdictNotSent, err
	}
	defer j.relay.pool.Put(s)
	a := j.newAttempt(choice)
	if !j.request.AtMostOnce {
		return j.exchange(ctx, s, a, choice)
	}
	return j.runOnce(ctx, s, a, choice)
}

// connect returns a session to the agent. For a request that must not run twice
// the agent has just replied to a ping on that session.
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

// runOnce makes an attempt that must not run twice. It is claimed before it is
// sent, and tracked until its outcome is known or it provably has not run.
func (j *job) runOnce(ctx context.Context, s *pool.Session, a *call.Attempt, choice *picker.Choice) (verdict, error) {
	if err := j.request.Claim(ctx, a, choice.Agent); err != nil {
		return verdictFinal, err
	}
	verdict, err := j.exchange(ctx, s, a, choice)
	if verdict == verdictBroken {
		verdict, err = j.resolveOutcome(ctx, a, choice)
	}
	if verdict != verdictNotRun {
		return verdict, err
	}
	if voidErr := j.request.Void(ctx, a); voidErr != nil {
		refusal := chain.Refuse(http.StatusServiceUnavailable, "claim_open", "the request did not run; its claim could not be given back yet")
		return verdictFinal, j.refusal(refusal.WithRetryAfter(refusedRetryAfter))
	}
	return verdict, err
}

// resolveOutcome determines, by probes of the agent, the outcome of an attempt
// whose answer was interrupted.
func (j *job) resolveOutcome(ctx context.Context, a *call.Attempt, choice *picker.Choice) (verdict, error) {
	deadline := time.Now().Add(outcomeTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		found, err := j.relay.Probe(ctx, choice.Address, a.ID, choice.Incarnation)
		if err != nil && j.replaced(choice) {
			return verdictFinal, unknownOutcome(chain.CodeOutcomeUnknown)
		}
		if err == nil && found.State != call.StateRunning {
			return j.deliverOutcome(a, found)
		}
		pause.For(ctx, probeInterval)
	}
	return verdictFinal, unknownOutcome(chain.CodeOutcomePending)
}

// replaced reports whether another agent process has replaced the chosen one.
func (j *job) replaced(choice *picker.Choice) bool {
	incarnation, _ := j.relay.Picker.Lookup(choice.Agent)
	return incarnation != 0 && incarnation != choice.Incarnation
}

// deliverOutcome forwards the recorded answer of an attempt if the attempt is
// done and its answer was recorded completely. An attempt that the agent never
// received provably has not run.
func (j *job) deliverOutcome(a *call.Attempt, found *call.ProbeReply) (verdict, error) {
	if found.State == call.StateNotRun {
		return verdictNotRun, nil
	}
	if found.State != call.StateDone || found.Outcome == nil || found.Outcome.Truncated {
		return verdictFinal, unknownOutcome(chain.CodeOutcomeUnknown)
	}
	if err := found.Outcome.CheckHead(); err != nil {
		j.relay.Host.Log.Write("outcome-malformed", "attempt", a.IDString(), "err", err)
		return verdictFinal, unknownOutcome(chain.CodeOutcomeUnknown)
	}
	for _, frame := range OutcomeFrames(a.ID, found.Outcome) {
		if err := j.request.Write(frame); err != nil {
			return verdictFinal, err
		}
	}
	return verdictComplete, nil
}

// OutcomeFrames returns the frames of a recorded answer.
func OutcomeFrames(id []byte, outcome *call.Outcome) []*call.Frame {
	return []*call.Frame{
		{ID: id, Type: call.FrameHead, Status: outcome.Status, Header: outcome.Header},
		{ID: id, Type: call.FramePart, Data: outcome.Body},
		{ID: id, Type: call.FrameEnd, FinishReason: "stop"},
	}
}

// unknownOutcome returns the refusal of a request that may have run.
func unknownOutcome(code string) error {
	refusal := chain.Refuse(http.StatusBadGateway, code, "the request may have run; its outcome is not known")
	return refusal.WithRanUnknown()
}

// Probe requests the state of an attempt from its agent over a new connection.
// If the agent has not received the attempt, it refuses the attempt from then
// on.
func (r *Relay) Probe(ctx context.Context, address string, id []byte, incarnation uint64) (*call.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
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
