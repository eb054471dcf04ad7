package crash_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/crash"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

func process(name, address string, started int64) advert.Record {
	return advert.Record{Name: name, Service: "s", Address: address, DataCentre: "d", StartedMillis: started}
}

func TestReplacedProcessIsReported(t *testing.T) {
	first := process("e1", "a:1", 100)
	for name, test := range map[string]struct {
		// usable are the endpoints announced after wait.
		usable []advert.Record
		wait   time.Duration
		want   []plane.Crash
	}{
		"process keeps running":             {[]advert.Record{first}, time.Second, nil},
		"restarted under its name":          {[]advert.Record{process("e1", "a:1", 200)}, time.Second, []plane.Crash{{Source: "entry/e1", Incarnation: 100, Count: 1, Digests: [][]byte{{1}, {2}}, Endpoint: "e1"}}},
		"restarted under another name":      {[]advert.Record{process("e9", "a:1", 200)}, time.Second, []plane.Crash{{Source: "entry/e1", Incarnation: 100, Count: 1, Digests: [][]byte{{1}, {2}}, Endpoint: "e1"}}},
		"another endpoint starts":           {[]advert.Record{first, process("e2", "b:1", 300)}, time.Second, nil},
		"late announcement of a former one": {[]advert.Record{process("e0", "a:1", 50)}, time.Second, nil},
		"replaced long after":               {[]advert.Record{process("e1", "a:1", 200)}, time.Minute, nil},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var got []plane.Crash
				tracker := &crash.Tracker{Entry: "entry", Report: func(crash plane.Crash) { got = append(got, crash) }}
				tracker.RecordLostRequest(first, crash.Request{Digest: []byte{1}}, time.Now())
				tracker.RecordLostRequest(first, crash.Request{Digest: []byte{2}}, time.Now())
				time.Sleep(test.wait)
				for range 2 {
					tracker.Update(map[string][]advert.Record{"s": test.usable})
				}
				require.Equal(t, test.want, got)
			})
		})
	}
}

// A part on which an endpoint answered shortly before the crash, or after it, is not
// among the candidates; a suspected part is reported as sound once it is answered.
func TestOnlyPartsWithoutAnswerAreReported(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var got []plane.Crash
		var cleared []string
		tracker := &crash.Tracker{
			Entry: "entry", Report: func(crash plane.Crash) { got = append(got, crash) },
			Suspected: func(digest []byte) (suspected, begun bool) { return string(digest) != "never suspected", false },
			Clear:     func(digest []byte) { cleared = append(cleared, string(digest)) },
		}
		first := process("e1", "a:1", 100)
		answered := func(parts ...string) {
			for _, part := range parts {
				tracker.RecordAnswered([][]byte{[]byte(part)}, time.Now())
			}
		}
		answered("long before", "never suspected")
		time.Sleep(2 * time.Second)
		answered("just before")
		time.Sleep(500 * time.Millisecond)
		for _, parts := range [][]string{{"just before", "long before"}, {"long before", "after", "without"}} {
			request := crash.Request{Digest: []byte(parts[1])}
			for _, part := range parts {
				request.Parts = append(request.Parts, []byte(part))
			}
			tracker.RecordLostRequest(first, request, time.Now())
		}
		time.Sleep(time.Second)
		answered("after", "after")
		time.Sleep(time.Second)
		answered("after")
		tracker.Update(map[string][]advert.Record{"s": {process("e2", "a:1", 200)}})
		require.Len(t, got, 1)
		require.Equal(t, []plane.CrashPart{{Digest: []byte("long before"), Position: 1}, {Digest: []byte("without"), Position: 2}}, got[0].Parts)
		require.Equal(t, []string{"long before", "just before", "after", "after"}, cleared, "at most one report a part in 0.3 s")
	})
}

// A request that crashed endpoints after its first event was never reported, and its first
// event cleared the parts of its prompt. Only complete answers clear a request that has begun.
func TestRequestsThatHaveBegunAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		// completed is answered completely, and answered begins to be answered, a moment
		// after the crash.
		completed, answered string
		unanswered          bool
		want                []plane.CrashPart
	}{
		"no other answer": {want: []plane.CrashPart{
			{Digest: []byte("shared"), Begun: true},
			{Digest: []byte("own"), Position: 1, Begun: true},
			{Digest: []byte("content"), Position: plane.ContentPosition, Begun: true},
		}},
		"another answer begins": {answered: "shared", want: []plane.CrashPart{
			{Digest: []byte("shared"), Begun: true},
			{Digest: []byte("own"), Position: 1, Begun: true},
			{Digest: []byte("content"), Position: plane.ContentPosition, Begun: true},
		}},
		"another answer is complete": {completed: "shared", want: []plane.CrashPart{
			{Digest: []byte("own"), Position: 1, Begun: true},
			{Digest: []byte("content"), Position: plane.ContentPosition, Begun: true},
		}},
		"beside a request without an answer": {completed: "shared", unanswered: true, want: []plane.CrashPart{
			{Digest: []byte("own"), Position: 1, Begun: true},
			{Digest: []byte("content"), Position: plane.ContentPosition, Begun: true},
			{Digest: []byte("waiting"), Position: 0},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var got []plane.Crash
				tracker := &crash.Tracker{
					Entry: "entry", Report: func(crash plane.Crash) { got = append(got, crash) },
					Suspected: func([]byte) (suspected, begun bool) { return false, false },
				}
				first := process("e1", "a:1", 100)
				tracker.RecordLostRequest(first, crash.Request{Digest: []byte("content"), Parts: [][]byte{[]byte("shared"), []byte("own")}, Begun: true}, time.Now())
				if test.unanswered {
					tracker.RecordLostRequest(first, crash.Request{Digest: []byte("x"), Parts: [][]byte{[]byte("waiting")}}, time.Now())
				}
				time.Sleep(100 * time.Millisecond)
				if test.answered != "" {
					tracker.RecordAnswered([][]byte{[]byte(test.answered)}, time.Now())
				}
				if test.completed != "" {
					tracker.RecordCompleted(crash.Request{Digest: []byte("y"), Parts: [][]byte{[]byte(test.completed)}}, time.Now())
				}
				tracker.Update(map[string][]advert.Record{"s": {process("e2", "a:1", 200)}})
				require.Len(t, got, 1)
				require.Equal(t, test.want, got[0].Parts)
				if test.unanswered {
					require.Equal(t, [][]byte{[]byte("x")}, got[0].Digests)
				} else {
					require.Empty(t, got[0].Digests)
				}
			})
		})
	}
}

func TestOnlyCompleteAnswersClearRequestsThatHaveBegun(t *testing.T) {
	for name, test := range map[string]struct {
		begun           bool
		answer, whole   []string
		suspectsNothing bool
	}{
		"suspected before an answer":   {false, []string{"part"}, nil, false},
		"suspected after its start":    {true, nil, []string{"part", "content"}, false},
		"neither suspected nor listed": {false, nil, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			var cleared []string
			tracker := &crash.Tracker{
				Suspected: func([]byte) (suspected, begun bool) { return !test.suspectsNothing, test.begun },
				Clear:     func(digest []byte) { cleared = append(cleared, string(digest)) },
			}
			tracker.RecordAnswered([][]byte{[]byte("part")}, time.Now())
			require.Equal(t, test.answer, cleared)
			cleared = nil
			tracker.RecordCompleted(crash.Request{Digest: []byte("content"), Parts: [][]byte{[]byte("part")}}, time.Now())
			require.Equal(t, test.whole, cleared)
		})
	}
}

// A crash is reported as soon as the endpoint's address refuses connections, which its
// replacement confirms seconds later. Broken connections alone are no crash.
func TestRefusedConnectionsConfirmCrash(t *testing.T) {
	first := process("e1", "a:1", 100)
	request := func(digest byte) crash.Request { return crash.Request{Digest: []byte{digest}} }
	for name, test := range map[string]struct {
		accepting []advert.Record
		refuses   bool
		// want are the numbers of requests in the reports before the replacement,
		// replaced those at it.
		want, replaced []int
	}{
		"crashed":           {[]advert.Record{first}, true, []int{2, 1}, nil},
		"reset connections": {[]advert.Record{first}, false, nil, []int{3}},
		"has left":          {nil, true, nil, []int{3}},
		"replaced already":  {[]advert.Record{process("e2", "a:1", 200)}, true, nil, []int{3}},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var mutex sync.Mutex
				var got []int
				checks := 0
				// reported returns the reports since the last call.
				reported := func() []int {
					mutex.Lock()
					defer mutex.Unlock()
					reports := got
					got = nil
					return reports
				}
				tracker := &crash.Tracker{
					Entry: "entry",
					Report: func(crash plane.Crash) {
						mutex.Lock()
						defer mutex.Unlock()
						require.EqualValues(t, len(got)+1, crash.Count)
						got = append(got, len(crash.Digests))
					},
					Refuses: func(_ context.Context, address string) bool {
						require.Equal(t, "a:1", address)
						mutex.Lock()
						defer mutex.Unlock()
						checks++
						return test.refuses
					},
				}
				tracker.Update(map[string][]advert.Record{"s": test.accepting})
				tracker.RecordLostRequest(first, request(1), time.Now())
				tracker.RecordLostRequest(first, request(2), time.Now())
				time.Sleep(100 * time.Millisecond)
				tracker.RecordLostRequest(first, request(3), time.Now())
				time.Sleep(time.Second)
				require.Equal(t, test.want, reported())
				tracker.Update(map[string][]advert.Record{"s": {process("e2", "a:1", 200)}})
				require.Equal(t, test.replaced, reported())
				mutex.Lock()
				defer mutex.Unlock()
				require.Equal(t, 2, checks, "one check for connections that break together")
			})
		})
	}
}
