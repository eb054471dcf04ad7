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
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}
