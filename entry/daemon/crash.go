package daemon

import (
	"context"
	"encoding/hex"
	"errors"
	"syscall"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// reportCrash reports the crash of an endpoint to control.
func (e *entry) reportCrash(crash plane.Crash) {
	e.daemon.Host.Log.Write("crash-reported", "endpoint", crash.Endpoint, "incarnation", crash.Incarnation, "report", crash.Count,
		"requests", len(crash.Digests), "parts", len(crash.Parts))
	e.feed.ReportCrash(crash)
}

// clearSuspect reports a suspected request or part of a prompt as sound to control.
func (e *entry) clearSuspect(digest []byte) {
	e.daemon.Host.Log.Write("part-cleared", "part", hex.EncodeToString(digest))
	e.feed.ClearSuspect(digest)
}

// quarantinedFor returns how much longer a request or a part of a prompt is quarantined.
func (e *entry) quarantinedFor(digest []byte) time.Duration {
	remaining, _ := e.feed.Quarantined(digest)
	return remaining
}

// refusesConnections reports whether no process listens at an address.
func (e *entry) refusesConnections(ctx context.Context, address string) bool {
	conn, err := e.daemon.Host.Dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if err := conn.Close(); err != nil {
		e.daemon.Host.Log.Write("crash-check-failed", "address", address, "err", err)
	}
	return false
}
