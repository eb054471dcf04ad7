//go:build race

package bench_test

import "time"

// shortLength is the virtual time during which callers send requests in CI. It
// is short because the race detector's runtime aborts a process that does much
// more work.
const shortLength = 2 * time.Second
