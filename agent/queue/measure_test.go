package queue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// serve runs items with the given queue for ten minutes: one workspace floods
// with long runs, another sends short requests that people wait for. It
// returns the waits of the latter and the number of long runs served.
func serve(q *queue.Queue) (waits []time.Duration, long int) {
	random := rand.New(rand.NewPCG(5, 6))
	places := make(chan struct{}, 8)
	wake := make(chan struct{}, 1)
	signal := func() {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	done := time.Now().Add(10 * time.Minute)
	go func() {
		for time.Now().Before(done) {
			q.Push(item("night", call.ClassLong, 500+random.Int64N(1500)))
			signal()
			time.Sleep(time.Duration(random.Int64N(int64(2500 * time.Millisecond))))
		}
	}()
	people := rand.New(rand.NewPCG(7, 8))
	go func() {
		for time.Now().Before(done) {
			q.Push(item("office", call.ClassInteractive, 20+people.Int64N(100)))
			signal()
			time.Sleep(time.Duration(people.Int64N(int64(2 * time.Second))))
		}
	}()
	for time.Now().Before(done) {
		places <- struct{}{}
		next := q.Take(always)
		if next == nil {
			<-places
			<-wake
			continue
		}
		if next.Attempt.Class == call.ClassInteractive {
			waits = append(waits, next.WaitTime(time.Now()))
		} else {
			long++
		}
		go func() {
			time.Sleep(time.Duration(next.Cost()) * 10 * time.Millisecond)
			<-places
			signal()
		}()
	}
	time.Sleep(time.Minute)
	return waits, long
}

func p99(waits []time.Duration) time.Duration {
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

func TestMeasureClassesAgainstOneQueue(t *testing.T) {
	measure := func(q *queue.Queue) (wait time.Duration, long int) {
		bubble.Test(t, func(*testing.T) {
			waits, served := serve(q)
			wait, long = p99(waits), served
		})
		return wait, long
	}
	classes, served := measure(&queue.Queue{})
	one, servedOne := measure(&queue.Queue{
		Urgency: func(*queue.Item, time.Time) call.Class { return call.ClassInteractive },
		Flow:    func(*queue.Item) string { return "" },
	})
	t.Logf("person p99 wait: classes %v (%d long runs), one queue %v (%d long runs)", classes, served, one, servedOne)
	require.Less(t, classes, one/5)
}
