package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/notice"
	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// An interrupted run may end between the moment at which the runner sees no free slot
// and the choice of the run to interrupt. The waiting item gets that slot; no second
// run is interrupted for it.
func TestNoRunIsPreemptedWhenASlotBecameFree(t *testing.T) {
	for _, slots := range []int{1, 2} {
		long := &call.Attempt{Class: call.ClassLong, Idempotent: true}
		started := time.Now().Add(-2 * minRun)
		run := &task{attempt: long, item: &queue.Item{Attempt: long, Arrived: started}, started: started}
		r := &Runner{running: map[*task]struct{}{run: {}}}
		r.endpoint = &endpoint{Endpoint: notice.Endpoint{RequestSlots: slots}}
		r.preemptFor(&queue.Item{Attempt: &call.Attempt{Class: call.ClassInteractive}, Arrived: time.Now()})
		require.Equal(t, slots == 1, run.preempting)
	}
}
