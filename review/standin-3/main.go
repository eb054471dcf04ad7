// Command review-3 plays the scripted cases of the third review: it starts the project's
// processes on loopback addresses, with stand-ins for clients, servers and the platform.
//
//	review-3 CASE FOLDER PROGRAM
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// limit is the longest time of a case.
const limit = 115 * time.Second

// play is one case. It reports whether the rule was broken.
type play func(c *cluster, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER PROGRAM")
		return 2
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c, err := newCluster(r, os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.write("case %s, trouble %v", os.Args[1], trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := plays[os.Args[1]](c, trouble)
		done <- result{broken, err}
	}()
	var got result
	select {
	case got = <-done:
	case <-time.After(limit):
		got.err = fmt.Errorf("the case took too long")
	}
	c.close()
	switch {
	case got.err != nil:
		r.write("could not run: %v", got.err)
		fmt.Println("could not run:", got.err)
		return 2
	case got.broken:
		r.write("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	r.write("the rule held")
	fmt.Println("the rule held")
	return 0
}
