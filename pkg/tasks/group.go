// Package tasks runs the long-lived goroutines of a process.
package tasks

import (
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// KindPanic means that a task panicked.
const KindPanic Kind = "task panicked"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Group runs tasks, each in a goroutine, that end only when the process stops. A
// conc.WaitGroup would keep a task's panic until Wait, which is called only at that
// time, and the process would continue without the task. The zero value is ready to
// use.
type Group struct {
	// OnPanic is called immediately when a task panics. With nil, the process
	// crashes with the task's stack, so that its supervisor restarts it.
	OnPanic func(err error)

	group conc.WaitGroup
}

// Go starts a task.
func (g *Group) Go(task func()) {
	g.group.Go(func() {
		recovered := panics.Try(task)
		if recovered == nil {
			return
		}
		err := &Error{Op: "run", Kind: KindPanic, Err: recovered.AsError()}
		if g.OnPanic != nil {
			g.OnPanic(err)
			return
		}
		// Panic in a new goroutine, since the group would recover the panic here.
		go panic(err)
	})
}

// Wait waits until all tasks have ended.
func (g *Group) Wait() { g.group.Wait() }
