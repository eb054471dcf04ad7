package tasks_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
)

// A panic of one task is reported immediately, while the other tasks continue. A plain
// conc.WaitGroup reports it only when all tasks have ended.
func TestPanicIsReportedImmediately(t *testing.T) {
	crashed, end := make(chan error, 1), make(chan struct{})
	group := &tasks.Group{OnPanic: func(err error) { crashed <- err }}
	group.Go(func() { <-end })
	group.Go(func() { panic("division by zero") })
	require.ErrorContains(t, <-crashed, "division by zero")
	close(end)
	group.Wait()
}
