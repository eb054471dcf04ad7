// Package trace gives each request an ID, records its timing and logs its end.
package trace

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

// idSize is the length of a request ID in bytes.
const idSize = 12

// maxContinued bounds the callers' text in the log, in bytes; attempts are named by shorter IDs.
const maxContinued = 64

// Tracer is the first filter of the chain.
type Tracer struct {
	// Host is the daemon's host.
	Host host.Host
	// CountObjective counts the request for the service-level objective of its route;
	// good means that the objective was met.
	CountObjective func(workspace, route string, good bool)
}

// Do runs the request, then logs and counts its end.
func (t *Tracer) Do(ctx context.Context, r *chain.Request, next chain.Next) error {
	if r.ID == "" {
		id := make([]byte, idSize)
		_, _ = rand.Read(id)
		r.ID = hex.EncodeToString(id)
	}
	write := r.Write
	r.Write = func(frame *call.Frame) error {
		recordFrame(r, frame)
		return write(frame)
	}
	err := next(ctx, r)
	t.logEnd(r, err)
	return err
}

func recordFrame(r *chain.Request, frame *call.Frame) {
	r.AnswerBegun = r.AnswerBegun || frame.Type == call.FrameHead
	if frame.Type != call.FramePart {
		return
	}
	now := time.Now()
	if r.FirstTokenAt.IsZero() {
		r.FirstTokenAt = now
	} else {
		r.MaxGap = max(r.MaxGap, now.Sub(r.LastTokenAt))
	}
	r.LastTokenAt = now
	r.SentTokens += frame.Tokens
}

func (t *Tracer) logEnd(r *chain.Request, err error) {
	t.Host.Meter.Add("requests", 1)
	t.Host.Meter.Observe("request", time.Since(r.Start))
	if !r.FirstTokenAt.IsZero() {
		t.Host.Meter.Observe("first_"+r.Class.String(), r.FirstTokenAt.Sub(r.Start))
	}
	status, code, retry := http.StatusOK, "", time.Duration(0)
	if err != nil {
		refusal := chain.RefusalOf(err)
		status, code, retry = refusal.Status, refusal.Code, refusal.RetryAfter
		t.Host.Meter.Add("refused_"+code, 1)
	}
	aborted := err != nil && r.AnswerBegun && status != chain.StatusClientClosed
	if aborted {
		t.Host.Meter.Add("answers_aborted_"+code, 1)
	}
	t.countObjective(r, status)
	first := time.Duration(0)
	if !r.FirstTokenAt.IsZero() {
		first = r.FirstTokenAt.Sub(r.Start)
	}
	t.Host.Log.Write(
		"request", "id", r.ID, "workspace", r.Workspace, "route", r.RouteName, "adapter", r.Adapter, "version", r.Version,
		"class", r.Class, "status", status, "code", code, "retry", retry, "tokens", r.SentTokens, "cost", r.QuotaTokens, "endpoint", r.Endpoint, "tries", r.FailedAttempts,
		"waited", r.AdmissionWait, "first", first, "pause", r.MaxGap, "time", time.Since(r.Start),
		"continued", continued(r), "aborted", aborted,
	)
}

// continued returns the attempt that began the stream which the request continues, "unnamed"
// if its caller names none, and nothing for a request that continues no stream.
func continued(r *chain.Request) string {
	if r.FirstAttempt == "" && r.LastEventID != "" {
		return "unnamed"
	}
	return r.FirstAttempt[:min(len(r.FirstAttempt), maxContinued)]
}

// countObjective counts the request for its objective, unless it failed because of its caller.
func (t *Tracer) countObjective(r *chain.Request, status int) {
	if t.CountObjective == nil || r.Workspace == "" || (r.Objective.FirstToken == 0 && r.Objective.TokenGap == 0) {
		return
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return
	}
	t.CountObjective(r.Workspace, r.RouteName, status < http.StatusBadRequest && metObjective(r))
}

// metObjective reports whether the answer met the objective, both for the time to the
// first token and for the mean time between tokens.
func metObjective(r *chain.Request) bool {
	first := r.FirstTokenAt
	if first.IsZero() {
		first = time.Now()
	}
	if r.Objective.FirstToken > 0 && first.Sub(r.Start) > r.Objective.FirstToken.Std() {
		return false
	}
	if r.Objective.TokenGap == 0 || r.SentTokens < 2 {
		return true
	}
	return r.LastTokenAt.Sub(r.FirstTokenAt)/time.Duration(r.SentTokens-1) <= r.Objective.TokenGap.Std()
}
