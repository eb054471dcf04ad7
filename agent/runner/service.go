package runner

import (
	"context"
	"crypto/sha256"
	"errors"

	"github.com/tanagerspindle/tanagerspindle/agent/proxy"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// maxOutcomeBytes is the size of the largest answer kept for replay, in bytes.
const maxOutcomeBytes = 1 << 20

// runService sends the attempt to the plain service and forwards its answer to the
// entry.
func (t *task) runService(ctx context.Context, ep *endpoint) {
	var status int32
	var header []call.Field
	sum := sha256.New()
	size := 0
	head := func(code int32, fields []call.Field) error {
		status, header = code, fields
		t.sendHead(code, fields, 0)
		return nil
	}
	part := func(data []byte) error {
		sum.Write(data)
		size += len(data)
		if !t.attempt.Idempotent && size <= maxOutcomeBytes {
			t.answer = append(t.answer, data...)
		}
		t.sendData(data, 0)
		return ctx.Err()
	}
	if err := ep.service.Run(ctx, t.attempt, head, part); err != nil {
		t.handleServiceError(ctx, ep, err)
		return
	}
	outcome := newOutcome(status, header, t.answer)
	if size > maxOutcomeBytes {
		outcome.Body, outcome.Truncated, outcome.BodyDigest = nil, true, sum.Sum(nil)
	}
	t.finish(&call.Frame{Type: call.FrameEnd}, outcome)
}

func newOutcome(status int32, header []call.Field, body []byte) *call.Outcome {
	return &call.Outcome{Status: status, Header: header, Body: body}
}

// handleServiceError ends a call that gave no complete answer. The attempt counts as
// not run only when no byte of it was sent.
func (t *task) handleServiceError(ctx context.Context, ep *endpoint, err error) {
	t.runner.Host.Log.Write("call-failed", "attempt", t.attempt.IDString(), "err", err)
	cause := causeOf(ctx)
	reason, ran := call.ReasonEngineLost, !proxy.NotSent(err)
	switch {
	case cause == reasonWithdrawn:
		reason = call.ReasonCancelled
	case errors.Is(err, &proxy.Error{Kind: proxy.KindMalformedRequest}):
		reason, ran = call.ReasonInvalid, false
	case errors.Is(err, &proxy.Error{Kind: proxy.KindMalformedAnswer}):
		// The endpoint has answered, so that it has not crashed.
	case cause == "" && !t.runner.verifyDead(ep) && ran:
		ep.recordBroken(t.attempt.Digest)
	}
	t.finish(refusalFrame(reason, ran), nil)
}
