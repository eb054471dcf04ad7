// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits and reports whether the whole time has passed; it is false once
// ctx has ended. It makes no timer for no time: timers of no length inside
// synctest bubbles have crashed the runtime.
func For(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls a function once in an interval, the first time after one, until
// ctx ends. Calls that are due while another one runs are joined into one.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
