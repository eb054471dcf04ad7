package daemon

import (
	"encoding/hex"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// reportCrash reports the crash of an endpoint to control.
func (e *entry) reportCrash(crash plane.Crash) {
	e.daemon.Host.Log.Write("crash-reported", "endpoint", crash.Endpoint, "incarnation", crash.Incarnation, "report", crash.Count,
		"requests", len(crash.Digests), "parts", len(crash.Parts))
	e.feed.ReportCrash(crash)
}

// isSuspected reports whether control lists a request or a part of a prompt.
func (e *entry) isSuspected(digest []byte) bool {
	remaining, suspect := e.feed.Quarantined(digest)
	return suspect || remaining > 0
}

// clearPart reports a suspected part of a prompt as sound to control.
func (e *entry) clearPart(digest []byte) {
	e.daemon.Host.Log.Write("part-cleared", "part", hex.EncodeToString(digest))
	e.feed.ClearSuspect(digest)
}

// quarantinedFor returns how much longer a request or a part of a prompt is quarantined.
func (e *entry) quarantinedFor(digest []byte) time.Duration {
	remaining, _ := e.feed.Quarantined(digest)
	return remaining
}
