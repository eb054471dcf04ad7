package speed_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/stubs/speed"
)

var measureFlag = flag.Bool("measure", false, "measure on a quiet machine")

// TestAddedLatency prints what entry and agent add to an engine that answers
// at once. It uses real time and sockets, so CI leaves it out.
func TestAddedLatency(t *testing.T) {
	if !*measureFlag {
		t.Skip("no -measure")
	}
	for _, lanes := range []int{1, 16} {
		for _, stream := range []bool{false, true} {
			s := &speed.Speed{Folder: t.TempDir(), Requests: 4000, Lanes: lanes, Tokens: 8, Stream: stream}
			direct, through, err := s.Run(t.Context())
			require.NoError(t, err)
			require.Zero(t, direct.Failed+through.Failed)
			t.Logf("lanes %d, stream %t: direct p50 %v p99 %v %.0f/s; through p50 %v p99 %v %.0f/s; added p50 %v p99 %v, ratio of rates %.2f",
				lanes, stream, direct.Half, direct.Tail, direct.PerSecond, through.Half, through.Tail, through.PerSecond,
				through.Half-direct.Half, through.Tail-direct.Tail, through.PerSecond/direct.PerSecond)
		}
	}
}
