//go:build !race

package bench_test

import "time"

// shortLength is the virtual time in which CI sends.
const shortLength = 10 * time.Second
