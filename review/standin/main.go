// Standin plays the cases of the review: it starts the project's programs as processes on
// loopback addresses, with stand-ins for clients, workers and the operator.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// record is the file that says what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

var cases = map[string]func(r *record, trouble bool) int{
	"spoiled-event":    spoiledEvent,
	"other-writer":     otherWriter,
	"returning-tenant": returningTenant,
	"growing-memory":   growingMemory,
	"crashing-stream":  crashingStream,
}

func main() {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(cannot)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(cannot)
	}
	r := &record{file: file, started: time.Now()}
	code := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	r.line("result: %d", code)
	fmt.Println("result:", map[int]string{held: "the rule held", broken: "the rule was broken", cannot: "the case could not run"}[code])
	_ = file.Close()
	os.Exit(code)
}
