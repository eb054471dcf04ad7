package speed_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/stubs/speed"
)

var measureFlag = flag.Bool("measure", false, "run the measurement; needs an otherwise idle machine")

// TestAddedLatency prints the latency that entry and agent add to an engine that
// answers at once. It uses real time and sockets, so it is skipped in CI.
func TestAddedLatency(t *testing.T) {
	if !*measureFlag {
		t.Skip("needs the flag -measure")
	}
	for _, concurrency := range []int{1, 16} {
		for _, stream := range []bool{false, true} {
			c := &speed.Comparison{DataDir: t.TempDir(), Requests: 4000, Concurrency: concurrency, Tokens: 8, Stream: stream}
			direct, through, err := c.Run(t.Context())
			require.NoError(t, err)
			require.Zero(t, direct.Failed+through.Failed)
			t.Logf("concurrency %d, stream %t: direct p50 %v p99 %v %.0f/s; through p50 %v p99 %v %.0f/s; added p50 %v p99 %v; ratio of request rates %.2f",
				concurrency, stream, direct.P50, direct.P99, direct.PerSecond, through.P50, through.P99, through.PerSecond,
				through.P50-direct.P50, through.P99-direct.P99, through.PerSecond/direct.PerSecond)
		}
	}
}
