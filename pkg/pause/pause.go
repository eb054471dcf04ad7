// Package pause provides delays and periodic calls that end with a context.
package pause

import (
	"context"
	"time"
)

// For waits for the given time, or until ctx ends. It reports whether ctx had not ended
// before. If length is not positive, it returns without a timer, because timers with
// a duration of zero can crash the runtime in synctest bubbles.
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

// Until waits for the given time, or until ctx ends or wake receives a value or is closed. A nil
// wake never does. Like For, it returns without a timer if length is not positive.
func Until(ctx context.Context, length time.Duration, wake <-chan struct{}) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}

// Every calls do once per interval until ctx ends; the first call is after one
// interval. If several calls become due while another one runs, do is called once.
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
