package once

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// followTimeout limits how long a resent request waits for the running one.
	followTimeout = 30 * time.Second
	// followInterval is the pause between two queries for the running request's claim.
	followInterval = 200 * time.Millisecond
)

// follow queries the claim of another attempt after a pause and returns its state. If
// the attempt is still running, its entry may have failed, so its agent is probed.
func (c *claim) follow(ctx context.Context, deadline time.Time) (*plane.ClaimReply, error) {
	if !time.Now().Before(deadline) {
		return nil, refuseOutcomePending()
	}
	time.Sleep(followInterval)
	reply, err := c.submit(ctx, &plane.ClaimRequest{Verb: plane.VerbRead}, claimTimeout)
	if err != nil {
		return nil, refuseOutcomePending()
	}
	if reply.State != plane.ClaimTaken && reply.State != plane.ClaimOwned {
		return reply, nil
	}
	c.resolve(ctx, reply)
	reply, err = c.submit(ctx, &plane.ClaimRequest{Verb: plane.VerbRead}, claimTimeout)
	if err != nil {
		return nil, refuseOutcomePending()
	}
	return reply, nil
}

// resolve probes the agent of an attempt and records the attempt's outcome, if it is
// certain.
func (c *claim) resolve(ctx context.Context, other *plane.ClaimReply) {
	step := &plane.ClaimRequest{Attempt: other.Attempt, Agent: other.Agent, Incarnation: other.Incarnation}
	incarnation, address := c.filter.FindAgent(other.Agent)
	if incarnation == 0 {
		return
	}
	if incarnation != other.Incarnation {
		step.Verb = plane.VerbUnknown
		_, _ = c.submit(ctx, step, claimTimeout)
		return
	}
	found, err := c.filter.ProbeAttempt(ctx, address, other.Attempt, other.Incarnation)
	if err != nil || found.State == call.StateRunning {
		return
	}
	switch {
	case found.State == call.StateNotRun:
		step.Verb = plane.VerbVoid
	case found.State == call.StateDone && found.Outcome != nil && (found.Outcome.Truncated || found.Outcome.CheckHead() == nil):
		step.Verb = plane.VerbDone
		step.Outcome = found.Outcome
	default:
		step.Verb = plane.VerbUnknown
	}
	_, _ = c.submit(ctx, step, claimTimeout)
}

// replay answers the request with a recorded outcome.
func (c *claim) replay(outcome *call.Outcome) error {
	if outcome == nil || outcome.Truncated {
		refusal := chain.Refuse(409, "answer_not_kept", "the request ran; its answer was too large to be kept")
		return refusal.WithRanUnknown()
	}
	if err := outcome.CheckHead(); err != nil {
		c.filter.Host.Log.Write("outcome-malformed", "request", c.request.ID, "err", err)
		return refuseOutcomeUnknown()
	}
	header := append([]call.Field{{Name: headerReplayed, Value: "true"}}, outcome.Header...)
	id := make([]byte, call.IDSize)
	c.frames = []*call.Frame{
		{ID: id, Type: call.FrameHead, Status: outcome.Status, Header: header},
		{ID: id, Type: call.FramePart, Data: outcome.Body},
		{ID: id, Type: call.FrameEnd, FinishReason: "stop"},
	}
	return nil
}
