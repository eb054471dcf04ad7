package tasks_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
)

// A part that panics is known at once, while the others go on; with a plain
// wait group it was missing until the process stopped.
func TestPanicIsKnownAtOnce(t *testing.T) {
	crashed, end := make(chan error, 1), make(chan struct{})
	group := &tasks.Group{OnPanic: func(err error) { crashed <- err }}
	group.Go(func() { <-end })
	group.Go(func() { panic("division by zero") })
	require.ErrorContains(t, <-crashed, "division by zero")
	close(end)
	group.Wait()
}
