// Package class infers how urgent a request is from what its caller does.
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
	// How long a caller of each class probably waits for the first token.
	patiencePerson = 10 * time.Second
	patienceSoon   = 30 * time.Second
	patienceLong   = 5 * time.Minute
	// nearTime is the time between two requests of one run of a program, as
	// one of several entries sees it.
	nearTime = 5 * time.Second
)

// Classifier is the filter that sets a request's class and patience.
type Classifier struct {
	// Infer turns features into a class; nil means the package's own rules.
	Infer func(Features) call.Class

	mutex   sync.Mutex
	callers callers
	// runs notes when each key last asked each adapter.
	runs callers
}

// Do classes the request and learns from its end. Opaque routes state the
// urgency of their requests.
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

// name tells callers apart by their key, and the uses of one key: people and
// programs often share it.
func name(r *chain.Request) string {
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

// MaxWait returns how long a caller of the class probably waits.
func MaxWait(class call.Class) time.Duration {
	switch class {
	case call.ClassInteractive:
		return patiencePerson
	case call.ClassSoon:
		return patienceSoon
	}
	return patienceLong
}

func (c *Classifier) begin(r *chain.Request, now time.Time) (*caller, Features) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	caller := c.callers.get(name(r))
	caller.begin(now)
	features := caller.features(r, now)
	if r.Adapter != "" {
		features.SameAdapter = c.near(r, now)
		features.SameAdapterShare, features.AdapterRequests = caller.habit()
		caller.noteRun(features.SameAdapter)
	}
	return caller, features
}

// near reports whether the key has asked the same adapter shortly before.
func (c *Classifier) near(r *chain.Request, now time.Time) bool {
	run := c.runs.get(r.Key + "\x00" + r.Workspace + "\x00" + r.Adapter)
	last := run.seen
	run.seen = now
	return !last.IsZero() && now.Sub(last) < nearTime
}

func (c *Classifier) end(caller *caller, r *chain.Request, err error, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	caller.end(r, err, now)
}
