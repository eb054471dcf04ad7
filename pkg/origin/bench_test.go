package origin_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
)

// BenchmarkStore measures the memory of a record and the size of its message.
func BenchmarkStore(b *testing.B) {
	now := time.Now()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := &origin.Store{}
	var record origin.Record
	for i := range b.N {
		record = origin.Record{
			Attempt: fmt.Sprintf("%016x", i), Service: "recon-models", SoftwareVersion: "v1.1", Known: true, Endpoint: "i-fac6dab7dc", StartedMillis: 1_790_000_000_000,
		}
		s.Put(record, now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	message, _ := codec.Encode(&record)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(s.Len()), "heap-B/record")
	b.ReportMetric(float64(len(message)), "B/message")
}
