package crash_test

import (
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
		"restarted under its name":          {[]advert.Record{process("e1", "a:1", 200)}, time.Second, []plane.Crash{{Source: "entry/e1", Incarnation: 100, Count: 1, Digests: [][]byte{{1}, {2}}}}},
		"restarted under another name":      {[]advert.Record{process("e9", "a:1", 200)}, time.Second, []plane.Crash{{Source: "entry/e1", Incarnation: 100, Count: 1, Digests: [][]byte{{1}, {2}}}}},
		"another endpoint starts":           {[]advert.Record{first, process("e2", "b:1", 300)}, time.Second, nil},
		"late announcement of a former one": {[]advert.Record{process("e0", "a:1", 50)}, time.Second, nil},
		"replaced long after":               {[]advert.Record{process("e1", "a:1", 200)}, time.Minute, nil},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var got []plane.Crash
				tracker := &crash.Tracker{Entry: "entry", Report: func(crash plane.Crash) { got = append(got, crash) }}
				tracker.RecordLostRequest(first, []byte{1}, time.Now())
				tracker.RecordLostRequest(first, []byte{2}, time.Now())
				time.Sleep(test.wait)
				for range 2 {
					tracker.Update(map[string][]advert.Record{"s": test.usable})
				}
				require.Equal(t, test.want, got)
			})
		})
	}
}
