//go:build !race

package bench_test

import "time"

// shortLength is the virtual time during which callers send requests in CI.
const shortLength = 10 * time.Second
