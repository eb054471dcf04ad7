package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

func item(workspace string, class call.Class, tokens int64) *queue.Item {
	a := &call.Attempt{Workspace: workspace, Class: class, MaxTokens: tokens}
	return &queue.Item{Attempt: a, Arrived: time.Now()}
}

func always(*queue.Item) bool { return true }

func TestTokensAreSharedFairlyUnderAFlood(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		q := &queue.Queue{}
		for range 400 {
			q.Push(item("flood", call.ClassInteractive, 800))
		}
		for range 40 {
			q.Push(item("small", call.ClassInteractive, 200))
			q.Push(item("other", call.ClassInteractive, 400))
		}
		tokens := map[string]int64{}
		for range 70 {
			taken := q.Take(always)
			tokens[taken.Attempt.Workspace] += taken.Cost()
		}
		for workspace, served := range tokens {
			require.InDelta(t, 8000, served, 2000, workspace)
		}
	})
}

func TestEveryLongRunIsServedUnderUrgentLoad(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		q := &queue.Queue{}
		small := item("a", call.ClassLong, 100)
		large := item("b", call.ClassLong, 16_000)
		q.Push(small)
		q.Push(large)
		waits := map[*queue.Item]time.Duration{}
		for len(waits) < 2 {
			q.Push(item("c", call.ClassInteractive, 100))
			taken := q.Take(always)
			if taken == small || taken == large {
				waits[taken] = taken.WaitTime(time.Now())
			}
			time.Sleep(100 * time.Millisecond)
			require.Less(t, time.Since(small.Arrived), 15*time.Minute, "starved")
		}
		require.Less(t, waits[large], waits[small], "the larger counts more")
	})
}

func TestOverloadShedsTheLeastUrgentNewest(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		q := &queue.Queue{MaxItems: 3}
		first := item("a", call.ClassLong, 100)
		second := item("a", call.ClassLong, 100)
		require.Empty(t, q.Push(first))
		time.Sleep(time.Millisecond)
		require.Empty(t, q.Push(second))
		require.Empty(t, q.Push(item("a", call.ClassInteractive, 100)))
		require.Equal(t, []*queue.Item{second}, q.Push(item("b", call.ClassInteractive, 100)))
		require.Equal(t, []*queue.Item{first}, q.Push(item("b", call.ClassInteractive, 100)))
		late := item("b", call.ClassInteractive, 100)
		require.Equal(t, []*queue.Item{late}, q.Push(late))
	})
}

func TestOverloadShedsTheFloodingWorkspace(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		q := &queue.Queue{MaxItems: 10}
		for range 10 {
			q.Push(item("flood", call.ClassInteractive, 100))
		}
		small := item("small", call.ClassInteractive, 100)
		shed := q.Push(small)
		require.Len(t, shed, 1)
		require.Equal(t, "flood", shed[0].Attempt.Workspace)
	})
}

func TestBytesAreBounded(t *testing.T) {
	q := &queue.Queue{MaxBytes: 100}
	big := item("a", call.ClassInteractive, 1)
	big.Attempt.Body = make([]byte, 101)
	require.Equal(t, []*queue.Item{big}, q.Push(big))
}

func TestOnlyReadyItemsAreTaken(t *testing.T) {
	q := &queue.Queue{}
	for n := range 3 {
		i := item("a", call.ClassInteractive, 1)
		i.Attempt.Adapter = fmt.Sprint(n)
		q.Push(i)
	}
	resident := func(i *queue.Item) bool { return i.Attempt.Adapter == "1" }
	require.Equal(t, "1", q.Take(resident).Attempt.Adapter)
	require.Nil(t, q.Take(resident))
	require.Equal(t, []int32{2, 0, 0}, q.LengthsByClass())
}
