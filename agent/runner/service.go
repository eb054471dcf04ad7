package runner

import (
	"context"
	"crypto/sha256"
	"errors"

	"github.com/tanagerspindle/tanagerspindle/agent/proxy"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// maxOutcome is the largest answer that is kept for a resend, in bytes.
const maxOutcome = 1 << 20

// runService puts the attempt to the plain service and passes its answer on.
func (t *task) runService(ctx context.Context, ep *endpoint) {
	var status int32
	var header []call.Field
	sum := sha256.New()
	size := 0
	head := func(code int32, fields []call.Field) error {
		status, header = code, fields
		t.head(code, fields, 0)
		return nil
	}
	part := func(data []byte) error {
		sum.Write(data)
		size += len(data)
		if !t.attempt.Idempotent && size <= maxOutcome {
			t.text = append(t.text, data...)
		}
		t.part(data, 0)
		return ctx.Err()
	}
	if err := ep.service.Run(ctx, t.attempt, head, part); err != nil {
		t.failService(ctx, ep, err)
		return
	}
	outcome := outcomeOf(status, header, t.text)
	if size > maxOutcome {
		outcome.Body, outcome.Truncated, outcome.BodyDigest = nil, true, sum.Sum(nil)
	}
	t.finish(&call.Frame{Type: call.FrameEnd}, outcome)
}

func outcomeOf(status int32, header []call.Field, body []byte) *call.Outcome {
	return &call.Outcome{Status: status, Header: header, Body: body}
}

// failService ends a call that gave no whole answer. It has not run only when
// no byte of it left.
func (t *task) failService(ctx context.Context, ep *endpoint, err error) {
	t.runner.Host.Log.Write("call-failed", "attempt", t.attempt.IDString(), "err", err)
	why := cutOff(ctx)
	reason, ran := call.ReasonEngineLost, !proxy.NotSent(err)
	switch {
	case why == causeCancel:
		reason = call.ReasonCancelled
	case errors.Is(err, &proxy.Error{Kind: proxy.KindMalformedRequest}):
		reason, ran = call.ReasonInvalid, false
	case why == "" && !t.runner.verify(ep):
		ep.noteBroken(t.attempt.Digest)
	}
	t.finish(refusal(reason, ran), nil)
}
