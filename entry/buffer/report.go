package buffer

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

// reportInterval is the time between two reports of a pool's usage.
const reportInterval = time.Second

// Report publishes the pool's usage as metrics until ctx ends, and logs each interval in
// which the pool refused or aborted something.
func (p *Pool) Report(ctx context.Context, h host.Host) {
	former := Counts{}
	h.Meter.Set("memory_bound_bytes", p.Bound)
	pause.Every(ctx, reportInterval, func() {
		usage := p.Usage()
		h.Meter.Set("memory_held_bytes", usage.Held)
		h.Meter.Set("memory_held_peak_bytes", usage.Peak)
		h.Meter.Set("memory_unread_bytes", usage.Unread)
		h.Meter.Set("streams_buffered", int64(usage.Buffered))
		refused, withheld := usage.BodiesRefused-former.BodiesRefused, usage.BodiesWithheld-former.BodiesWithheld
		yielded, aborted := usage.BodiesYielded-former.BodiesYielded, usage.StreamsAborted-former.StreamsAborted
		former = usage.Counts
		if refused+yielded+withheld+aborted == 0 {
			return
		}
		h.Meter.Add("bodies_refused", refused)
		h.Meter.Add("bodies_yielded", yielded)
		h.Meter.Add("bodies_withheld", withheld)
		h.Meter.Add("streams_aborted_slow", aborted)
		h.Log.Write("memory-short", "held", usage.Held, "peak", usage.Peak, "bound", p.Bound, "buffered", usage.Buffered, "unread", usage.Unread,
			"refused", refused, "yielded", yielded, "withheld", withheld, "aborted", aborted)
	})
}
