// Package trace gives each request an ID, measures it and logs its end.
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

// Tracer is the first filter.
type Tracer struct {
	// Host is the daemon's.
	Host host.Host
	// CountObjective adds the request to the burn counts of its goal.
	CountObjective func(workspace, route string, good bool)
}

// Do runs the request and records how it went.
func (t *Tracer) Do(ctx context.Context, r *chain.Request, next chain.Next) error {
	if r.ID == "" {
		id := make([]byte, idSize)
		_, _ = rand.Read(id)
		r.ID = hex.EncodeToString(id)
	}
	write := r.Write
	r.Write = func(frame *call.Frame) error {
		note(r, frame)
		return write(frame)
	}
	err := next(ctx, r)
	t.end(r, err)
	return err
}

func note(r *chain.Request, frame *call.Frame) {
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

func (t *Tracer) end(r *chain.Request, err error) {
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
	t.count(r, status)
	first := time.Duration(0)
	if !r.FirstTokenAt.IsZero() {
		first = r.FirstTokenAt.Sub(r.Start)
	}
	t.Host.Log.Write(
		"request", "id", r.ID, "workspace", r.Workspace, "route", r.RouteName, "adapter", r.Adapter, "version", r.Version,
		"class", r.Class, "status", status, "code", code, "retry", retry, "tokens", r.SentTokens, "cost", r.QuotaTokens, "endpoint", r.Endpoint, "tries", r.FailedAttempts,
		"waited", r.AdmissionWait, "first", first, "pause", r.MaxGap, "time", time.Since(r.Start),
	)
}

// count leaves out requests that failed by their caller's doing.
func (t *Tracer) count(r *chain.Request, status int) {
	if t.CountObjective == nil || r.Workspace == "" || (r.Objective.FirstToken == 0 && r.Objective.TokenGap == 0) {
		return
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return
	}
	t.CountObjective(r.Workspace, r.RouteName, status < http.StatusBadRequest && met(r))
}

// met reports whether an answer came within the goal.
func met(r *chain.Request) bool {
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
