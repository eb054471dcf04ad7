// Package tasks runs the long-lived parts of a process.
package tasks

import (
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// KindPanic says that a part panicked.
const KindPanic Kind = "part panicked"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Group runs parts that end only when they are told to. A conc.WaitGroup keeps
// a panic until Wait, which is not called before the process stops: it would go
// on without the part. The zero value is ready.
type Group struct {
	// OnPanic is called at once when a part panics; nil ends the process with the
	// part's stack, so that it is started anew.
	OnPanic func(err error)

	group conc.WaitGroup
}

// Go runs a part.
func (p *Group) Go(part func()) {
	p.group.Go(func() {
		recovered := panics.Try(part)
		if recovered == nil {
			return
		}
		err := &Error{Op: "run", Kind: KindPanic, Err: recovered.AsError()}
		if p.OnPanic != nil {
			p.OnPanic(err)
			return
		}
		// The group would keep a panic of its own goroutine.
		go panic(err)
	})
}

// Wait waits until all parts have ended.
func (p *Group) Wait() { p.group.Wait() }
