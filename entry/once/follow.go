package once

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// followLimit bounds how long a resend waits for the running request.
	followLimit = 30 * time.Second
	// followDelay is the pause between two looks at it.
	followDelay = 200 * time.Millisecond
)

// follow looks once at the claim of another attempt and returns it as it
// stands then. An attempt that does not end soon may have lost its entry, so
// its agent is asked.
func (c *claim) follow(ctx context.Context, limit time.Time) (*plane.ClaimReply, error) {
	if !time.Now().Before(limit) {
		return nil, pending()
	}
	time.Sleep(followDelay)
	reply, err := c.ask(ctx, &plane.ClaimRequest{Verb: plane.VerbRead}, claimLimit)
	if err != nil {
		return nil, pending()
	}
	if reply.State != plane.ClaimTaken && reply.State != plane.ClaimOwned {
		return reply, nil
	}
	c.help(ctx, reply)
	reply, err = c.ask(ctx, &plane.ClaimRequest{Verb: plane.VerbRead}, claimLimit)
	if err != nil {
		return nil, pending()
	}
	return reply, nil
}

// help asks the agent what became of the attempt and records what is proved.
func (c *claim) help(ctx context.Context, taken *plane.ClaimReply) {
	ask := &plane.ClaimRequest{Attempt: taken.Attempt, Agent: taken.Agent, Incarnation: taken.Incarnation}
	incarnation, address := c.once.FindAgent(taken.Agent)
	if incarnation == 0 {
		return
	}
	if incarnation != taken.Incarnation {
		ask.Verb = plane.VerbUnknown
		_, _ = c.ask(ctx, ask, claimLimit)
		return
	}
	found, err := c.once.ProbeAttempt(ctx, address, taken.Attempt, taken.Incarnation)
	if err != nil || found.State == call.StateRunning {
		return
	}
	switch {
	case found.State == call.StateNotRun:
		ask.Verb = plane.VerbVoid
	case found.State == call.StateDone && found.Outcome != nil:
		ask.Verb = plane.VerbDone
		ask.Outcome = found.Outcome
	default:
		ask.Verb = plane.VerbUnknown
	}
	_, _ = c.ask(ctx, ask, claimLimit)
}

// replay answers with a recorded outcome.
func (c *claim) replay(outcome *call.Outcome) error {
	if outcome == nil || outcome.Truncated {
		refusal := chain.Refuse(409, "answer_not_kept", "the request ran; its answer was too large to be kept")
		return refusal.WithRanUnknown()
	}
	header := append([]call.Field{{Name: headerReplayed, Value: "true"}}, outcome.Header...)
	id := make([]byte, call.IDSize)
	c.held = []*call.Frame{
		{ID: id, Type: call.FrameHead, Status: outcome.Status, Header: header},
		{ID: id, Type: call.FramePart, Data: outcome.Body},
		{ID: id, Type: call.FrameEnd, FinishReason: "stop"},
	}
	return nil
}
