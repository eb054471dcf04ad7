package bench_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/stubs/bench"
)

var (
	seedsFlag  = flag.Int("seeds", 0, "number of development seeds; 0 is the short run of CI")
	finalFlag  = flag.Bool("final", false, "use the seeds kept for final figures")
	lengthFlag = flag.Duration("length", 120*time.Second, "virtual time in which callers send")
	onlyFlag   = flag.String("only", "", "run this variant only")
)

// run makes one run in a bubble of its own.
func run(t *testing.T, b *bench.Bench) (result *bench.Result) {
	t.Helper()
	b.Folder = t.TempDir()
	bubble.Test(t, func(t *testing.T) {
		var err error
		result, err = b.Run(t.Context())
		require.NoError(t, err)
	})
	return result
}

func TestDeployments(t *testing.T) {
	for _, deployment := range []bench.Deployment{bench.Association(), bench.Atlas()} {
		t.Run(deployment.Name, func(t *testing.T) {
			start := time.Now()
			result := run(t, &bench.Bench{Deployment: deployment, Seed: 1, Length: *lengthFlag})
			t.Logf("real time %v", time.Since(start))
			fmt.Printf("%s %+v\n%+v\n", deployment.Name, result.Score, result.Urgent)
			for i, b := range result.Broken {
				if i < 20 {
					fmt.Println("BROKEN", b)
				}
			}
		})
	}
}
