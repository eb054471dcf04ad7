// Command standin2 plays the platform, its operator, its workers and its clients for the cases
// of the second review. It starts the project's programs as processes on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// cases are the scripts by name. Each returns whether the rule held, or an error if the case
// could not run.
var cases = map[string]func(r *rig, trouble bool) (held bool, err error){
	"wipe":      wipeCase,
	"birth":     birthCase,
	"replaced":  replacedCase,
	"bystander": bystanderCase,
	"gone":      goneCase,
}

// timeLimit is how long a case may run.
const timeLimit = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// closeEarly ends the case when it is interrupted or takes too long.
func (r *rig) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	r.note("the case is ended early")
	r.close()
	os.Exit(2)
}

func run(name, record string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	r, err := newRig(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	go r.closeEarly()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, trouble %v, at %s", name, trouble, time.Now().UTC().Format(time.RFC3339))
	held, err := play(r, trouble)
	switch {
	case err != nil:
		r.note("the case could not run: %s", strings.TrimSpace(err.Error()))
		return 2
	case !held:
		r.note("result: the rule was broken")
		return 1
	}
	r.note("result: the rule held")
	return 0
}
