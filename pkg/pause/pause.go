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
