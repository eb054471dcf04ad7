package keeper_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// send requests admission for a workspace, and ends the request half a second after it was
// admitted. The fixture's engine has 8 slots.
func (f *fixture) send(workspace string, change func(*admit.Request)) *admit.Reply {
	reply, stream := f.requestAdmission("", func(a *admit.Request) {
		a.Workspace, a.LastCandidate, a.Remaining = workspace, true, span.Duration(4*time.Second)
		a.MaxAnswerTokens = 50
		if change != nil {
			change(a)
		}
	})
	if reply.Reason == admit.ReasonNone {
		time.Sleep(500 * time.Millisecond)
	}
	require.NoError(f.t, stream.Close())
	return reply
}

// One workspace sends five times of what its engine serves, another one little. The little one
// was refused, or waited as long as the other one's requests.
func TestWorkspaceOverItsShareIsRefusedFirst(t *testing.T) {
	var log bytes.Buffer
	runWith(t, func(e *engine) { e.log = event.New(&log, "agent") }, func(f *fixture) {
		var group sync.WaitGroup
		var mutex sync.Mutex
		var refusals []time.Duration
		for range 800 {
			group.Go(func() {
				if reply := f.send("heavy", nil); reply.Reason == admit.ReasonBusy {
					mutex.Lock()
					defer mutex.Unlock()
					refusals = append(refusals, reply.Wait.Std())
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		require.Greater(t, f.keeper.Host.Meter.Value("refused_busy"), int64(100))
		for range 20 {
			for range 10 {
				group.Go(func() { f.send("heavy", nil) })
				time.Sleep(10 * time.Millisecond)
			}
			group.Go(func() {
				reply := f.send("light", nil)
				require.Equal(t, admit.ReasonNone, reply.Reason)
				require.Less(t, reply.Wait.Std(), time.Second, "on time")
			})
		}
		group.Wait()
		require.NotEmpty(t, refusals)
		for _, counter := range []string{"admission_contended", "refused_over_share"} {
			require.Positive(t, f.keeper.Host.Meter.Value(counter), counter)
		}
	})
	require.Contains(t, log.String(), "event=admission-contended workspaces=2")
	require.Contains(t, log.String(), "heaviest=heavy")
}

// Streams that came back were not told apart from new requests in the metrics.
func TestResumedStreamsAreCounted(t *testing.T) {
	run(t, func(f *fixture) {
		for _, known := range []bool{true, false} {
			reply := f.send("w", func(a *admit.Request) { a.Resumed, a.OriginKnown = true, known })
			require.Equal(t, admit.ReasonNone, reply.Reason)
		}
		require.EqualValues(t, 2, f.keeper.Host.Meter.Value("admitted_resumed"))
		require.EqualValues(t, 1, f.keeper.Host.Meter.Value("admitted_claimed"))
		f.keeper.RecordNotice(advert.Notice{Leaving: true}, time.Now())
		reply := f.send("w", func(a *admit.Request) { a.Resumed = true })
		require.Equal(t, admit.ReasonDraining, reply.Reason)
		require.EqualValues(t, 1, f.keeper.Host.Meter.Value("refused_resumed"))
	})
}
