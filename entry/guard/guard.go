// Package guard refuses quarantined requests and marks suspected ones.
package guard

import (
	"context"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

// Guard is the filter that keeps requests which crash endpoints away.
type Guard struct {
	// Banned returns the time for which a request is quarantined, and whether
	// it is suspected.
	Banned func(digest []byte) (left time.Duration, suspect bool)
}

// Do checks the request now, and again before each further attempt.
func (g *Guard) Do(ctx context.Context, r *chain.Request, next chain.Next) error {
	if refusal := g.judge(r); refusal != nil {
		return refusal
	}
	former := r.Check
	r.Check = func() error {
		if refusal := g.judge(r); refusal != nil {
			return refusal
		}
		if former == nil {
			return nil
		}
		return former()
	}
	return next(ctx, r)
}

func (g *Guard) judge(r *chain.Request) *chain.Refusal {
	left, suspect := g.Banned(r.Digest)
	if suspect {
		r.Suspect = true
	}
	if left <= 0 {
		return nil
	}
	status := http.StatusUnprocessableEntity
	if r.Route.Kind == conf.RouteOpaque {
		// It may be another request of the same content; it has not run.
		status = http.StatusServiceUnavailable
	}
	refusal := chain.Refuse(status, "quarantined", "endpoints failed while they ran this request")
	return refusal.WithRetryAfter(left)
}
