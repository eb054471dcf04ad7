package bench_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/stubs/bench"
)

// Flags set by the script stubs/bench/measure, which starts one process per run.
var (
	resultsFlag    = flag.String("results", "", "directory of the result files")
	deploymentFlag = flag.String("deployment", "", "name of the deployment to measure")
	variantFlag    = flag.Int("variant", 0, "index of the variant to measure")
	seedFlag       = flag.Uint64("seed", 1, "seed of the run")
	lengthFlag     = flag.Duration("length", 120*time.Second, "virtual time during which callers send requests")
	faultsFlag     = flag.Bool("faults", false, "inject failures during the traffic")
)

func deployments() []bench.Deployment {
	return []bench.Deployment{bench.Association(), bench.Atlas()}
}

// run executes one scenario in its own synctest bubble.
func run(t *testing.T, scenario *bench.Scenario) (result *bench.Result) {
	t.Helper()
	scenario.DataDir = t.TempDir()
	bubble.Test(t, func(t *testing.T) {
		var err error
		result, err = scenario.Run(t.Context())
		require.NoError(t, err)
	})
	return result
}

func TestDeploymentsBreakNoPromise(t *testing.T) {
	for _, deployment := range deployments() {
		t.Run(deployment.Name, func(t *testing.T) {
			result := run(t, &bench.Scenario{Deployment: deployment, Seed: 1, TrafficDuration: shortLength})
			require.Empty(t, result.Violations)
			require.Empty(t, result.Score.Faults)
			require.NotZero(t, result.Score.Models)
		})
	}
}

// TestMeasure executes one run and writes its outcome to a file in -results. It
// is skipped unless the flags -results and -deployment are set.
func TestMeasure(t *testing.T) {
	if *resultsFlag == "" || *deploymentFlag == "" {
		t.Skip("needs the flags -results and -deployment")
	}
	for _, deployment := range deployments() {
		if deployment.Name != *deploymentFlag {
			continue
		}
		variant := bench.Variants(&deployment, *seedFlag)[*variantFlag]
		start := time.Now()
		scenario := &bench.Scenario{Deployment: deployment, Variant: variant, Seed: *seedFlag, TrafficDuration: *lengthFlag}
		if *faultsFlag {
			scenario.InjectFaults = bench.InjectFailures
		}
		result := run(t, scenario)
		t.Logf("%s, %s, seed %d: %v\n%+v\n%+v\n%q", deployment.Name, variant.Name, *seedFlag, time.Since(start), result.Score, result.Urgent, result.Violations)
		outcome := bench.Outcome{
			Deployment: deployment.Name, Variant: variant.Name, Seed: *seedFlag,
			Score: result.Score, Urgent: result.Urgent, Broken: result.Violations,
		}
		data, err := json.Marshal(outcome)
		require.NoError(t, err)
		name := fmt.Sprintf("%s-%d-%d.json", deployment.Name, *variantFlag, *seedFlag)
		require.NoError(t, os.WriteFile(filepath.Join(*resultsFlag, name), data, 0o644))
	}
}

// TestSummary prints a table of the outcomes in -results.
func TestSummary(t *testing.T) {
	if *resultsFlag == "" {
		t.Skip("needs the flag -results")
	}
	files, err := filepath.Glob(filepath.Join(*resultsFlag, "*.json"))
	require.NoError(t, err)
	table := &bench.Table{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		var outcome bench.Outcome
		require.NoError(t, json.Unmarshal(data, &outcome))
		table.Outcomes = append(table.Outcomes, outcome)
	}
	table.Write(os.Stdout)
}
