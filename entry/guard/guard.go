// Package guard refuses quarantined requests and marks requests suspected of crashing
// endpoints.
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

// Guard is the filter that keeps requests which crash endpoints from running again.
type Guard struct {
	// Banned returns the remaining quarantine of the request with this digest, 0 if
	// none, and whether the request is suspected.
	Banned func(digest []byte) (remaining time.Duration, suspect bool)
}

// Do checks the request now and before each further attempt.
func (g *Guard) Do(ctx context.Context, r *chain.Request, next chain.Next) error {
	if refusal := g.refusalFor(r); refusal != nil {
		return refusal
	}
	previous := r.Check
	r.Check = func() error {
		if refusal := g.refusalFor(r); refusal != nil {
			return refusal
		}
		if previous == nil {
			return nil
		}
		return previous()
	}
	return next(ctx, r)
}

func (g *Guard) refusalFor(r *chain.Request) *chain.Refusal {
	remaining, suspect := g.Banned(r.Digest)
	if suspect {
		r.Suspect = true
	}
	if remaining <= 0 {
		return nil
	}
	status := http.StatusUnprocessableEntity
	if r.Route.Kind == conf.RouteOpaque {
		// The quarantine may come from another request with the same content. This one
		// has not run, so the caller may retry it.
		status = http.StatusServiceUnavailable
	}
	refusal := chain.Refuse(status, "quarantined", "endpoints failed while they ran this request")
	return refusal.WithRetryAfter(remaining)
}
