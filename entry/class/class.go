// Package class infers how urgent a request is from the recent behaviour of its caller.
package class

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// How long a caller of each class is expected to wait for the first token.
	maxWaitInteractive = 10 * time.Second
	maxWaitSoon        = 30 * time.Second
	maxWaitLong        = 5 * time.Minute
	// sameAdapterWithin is the longest time between two requests to the same adapter
	// that belong to one run of a program, as seen by one of several entries.
	sameAdapterWithin = 5 * time.Second
)

// Classifier is the filter that sets a request's class and maximum wait.
type Classifier struct {
	// Infer maps features to a class; nil means the package's function Infer.
	Infer func(Features) call.Class

	mutex   sync.Mutex
	callers callers
	// adapterCalls holds, in updatedAt, when each key last called each adapter.
	adapterCalls callers
}

// Do classifies the request and updates its caller's statistics when it ends. Requests
// of opaque routes have the class of their route.
func (c *Classifier) Do(ctx context.Context, r *chain.Request, next chain.Next) error {
	if r.Route.Kind == conf.RouteOpaque {
		r.Class = min(call.Class(max(r.Route.Priority, 0)), call.ClassLong)
		return next(ctx, r)
	}
	caller, features := c.begin(r, time.Now())
	r.Class = c.infer(features)
	r.MaxWait = MaxWait(r.Class)
	err := next(ctx, r)
	c.end(caller, r, err, time.Now())
	return err
}

// callerName identifies a caller by its key and by the kind of use, since people and
// programs often share a key.
func callerName(r *chain.Request) string {
	use := "whole"
	switch {
	case r.Service != "":
		use = r.RouteName
	case r.Stream:
		use = "stream"
	}
	return r.Key + "\x00" + r.Workspace + "\x00" + use
}

func (c *Classifier) infer(f Features) call.Class {
	if c.Infer != nil {
		return c.Infer(f)
	}
	return Infer(f)
}

// MaxWait returns how long a caller of the class is expected to wait for the first
// token.
func MaxWait(class call.Class) time.Duration {
	switch class {
	case call.ClassInteractive:
		return maxWaitInteractive
	case call.ClassSoon:
		return maxWaitSoon
	}
	return maxWaitLong
}

func (c *Classifier) begin(r *chain.Request, now time.Time) (*caller, Features) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	caller := c.callers.get(callerName(r))
	caller.begin(now)
	features := caller.features(r, now)
	if r.Adapter != "" {
		features.SameAdapter = c.calledRecently(r, now)
		features.SameAdapterShare, features.AdapterRequests = caller.sameAdapterShare()
		caller.recordAdapterRequest(features.SameAdapter)
	}
	return caller, features
}

// calledRecently reports whether the key called the same adapter shortly before.
func (c *Classifier) calledRecently(r *chain.Request, now time.Time) bool {
	calls := c.adapterCalls.get(r.Key + "\x00" + r.Workspace + "\x00" + r.Adapter)
	last := calls.updatedAt
	calls.updatedAt = now
	return !last.IsZero() && now.Sub(last) < sameAdapterWithin
}

func (c *Classifier) end(caller *caller, r *chain.Request, err error, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	caller.end(r, err, now)
}
