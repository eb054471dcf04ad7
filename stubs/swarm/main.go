// Command swarm runs many real entries and agents in one process against
// control replicas that run as processes of their own, and prints what each
// side uses. stubs/swarm/measure starts the replicas.
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
	s := &swarm{}
	control := flag.String("control", "", "addresses of the replicas, divided by commas")
	pids := flag.String("pids", "", "process IDs of the replicas, divided by commas")
	flag.IntVar(&s.entries, "entries", 10, "number of entries")
	flag.IntVar(&s.agents, "agents", 10, "number of agents with an engine each")
	flag.IntVar(&s.adapters, "adapters", 100, "number of adapters")
	flag.IntVar(&s.workspaces, "workspaces", 5, "number of workspaces")
	flag.Float64Var(&s.rate, "rate", 0, "requests per second in all")
	flag.IntVar(&s.tokens, "tokens", 50, "answer tokens of each request")
	flag.DurationVar(&s.window, "window", 10*time.Second, "time over which usage is measured")
	flag.Parse()
	s.control = strings.Split(*control, ",")
	for _, text := range strings.Split(*pids, ",") {
		pid, err := strconv.Atoi(text)
		if err == nil {
			s.pids = append(s.pids, pid)
		}
	}
	report, err := s.run(context.Background())
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "swarm:", err)
		os.Exit(1)
	}
	_ = json.NewEncoder(os.Stdout).Encode(report)
}
