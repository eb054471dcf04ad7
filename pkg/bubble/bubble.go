// Package bubble runs tests in virtual time.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a synctest bubble. The multiplexer keeps timers in a global
// sync.Pool, and a timer of one bubble must not be used in another, so the
// pool is emptied first: two collections drop everything that a sync.Pool
// holds. Bubbles of one process must not run at the same time.
//
// Under the race detector a bubble runs on one processor: the runtime runs the
// timers of a bubble in one race context, on several processors at once
// (runtime/time.go, unlockAndRun), and the detector then fails its own checks or
// ends with a segmentation fault. It finds races by the order of events, which
// one processor shows as well.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceEnabled {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}
