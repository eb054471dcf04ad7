// Command scale is a load test of control. It runs many entries and agents with
// their production code in one process, against control replicas that run as
// separate processes, and prints the resource usage of both sides as JSON. The
// script stubs/scale/measure starts the replicas and this command.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

func main() {
	t := &loadTest{}
	control := flag.String("control", "", "addresses of the control replicas, separated by commas")
	pids := flag.String("pids", "", "process IDs of the control replicas, separated by commas")
	flag.IntVar(&t.entryCount, "entries", 10, "number of entries")
	flag.IntVar(&t.agentCount, "agents", 10, "number of agents, each with one engine")
	flag.IntVar(&t.adapterCount, "adapters", 100, "number of adapters")
	flag.IntVar(&t.workspaceCount, "workspaces", 5, "number of workspaces")
	flag.Float64Var(&t.rate, "rate", 0, "total requests per second; 0 sends none")
	flag.IntVar(&t.answerTokens, "tokens", 50, "answer tokens per request")
	flag.DurationVar(&t.window, "window", 10*time.Second, "duration of the measurement")
	flag.Parse()
	t.controlAddresses = strings.Split(*control, ",")
	for _, text := range strings.Split(*pids, ",") {
		pid, err := strconv.Atoi(text)
		if err == nil {
			t.pids = append(t.pids, pid)
		}
	}
	report, err := t.run(context.Background())
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "swarm:", err)
		os.Exit(1)
	}
	_ = json.NewEncoder(os.Stdout).Encode(report)
}
