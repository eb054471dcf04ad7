// Package bubble runs tests in virtual time, in bubbles of testing/synctest.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// DropTimers empties the stream multiplexer's timer pool. The multiplexer keeps timers
// in a global sync.Pool, and a timer of one bubble must not be used in another, nor
// outside of bubbles: a test in real time that uses the multiplexer calls DropTimers
// first. Two garbage collections remove everything from a sync.Pool.
func DropTimers() {
	runtime.GC()
	runtime.GC()
}

// Test runs f in a synctest bubble, after DropTimers. Bubbles of one process must not
// run at the same time.
//
// Under the race detector, the bubble runs on one processor. The runtime runs the
// timers of a bubble in one race context, but on several processors at once
// (runtime/time.go, unlockAndRun); the detector then fails internal checks or crashes
// with a segmentation fault. One processor suffices to find races, because the
// detector compares the order of synchronisation, not the times of accesses.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceEnabled {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	DropTimers()
	synctest.Test(t, f)
}
