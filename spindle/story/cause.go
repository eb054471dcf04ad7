package story

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"time"
)

// eventRequest is the event that the entry logs at the end of each request.
const eventRequest = "request"

// endpointEvents are the events about an endpoint, entryEvents those about the
// entry itself.
var (
	endpointEvents = map[string]bool{"endpoint-announced": true, "endpoint-departed": true}
	entryEvents    = map[string]bool{
		"control-lost": true, "control-reached": true, "control-unreachable": true, "feed-lost": true, "grant-failed": true,
		"overdraft-ended": true, "suspended": true, "entries-known": true, "configuration": true, "entry-draining": true, "stopped": true, "started": true,
	}
)

// causes holds the meaning of each refusal code. docs/OPERATIONS.md has the same
// table.
var causes = map[string]string{
	"rate_limited":     "its workspace's tokens would not have been there in time; grant-failed and overdraft-ended lines tell that control did not answer",
	"engines_busy":     "the engines that keep its adapter could not have begun it in time; admission-refused lines tell their wait and load",
	"endpoints_paused": "all endpoints of its service that were not leaving had asked for a pause; `endpoint-notice` lines tell since when and how long",
	"no_endpoint":      "no endpoint of its service was known, or all had been tried",
	"endpoint_failed":  "its endpoint failed it and it could not, or might not, run elsewhere; attempt-failed lines tell how",
	"retry_budget":     "it failed at an endpoint, and the fleet's share of repeats was used up; repeat lines tell the counts that decided it",
	"timeout":          "its caller's time, or its route's, was over",
	"caller_gone":      "its caller left before the answer was whole",
	"caller_slow":      "its caller read the answer too slowly; `answer-aborted` and `memory-short` lines tell when",
	"stopping":         "its entry was stopping and might not have finished it",
	"starting":         "its entry had no configuration yet",
	"no_authority":     "its entry had no configuration yet",
	"invalid_key":      "its key was missing, unknown or withdrawn in the configuration in force",
	"unknown_path":     "no route of the configuration in force leads to its host and path",
	"quarantined":      "endpoints had failed while they ran it, or on a part of its prompt: `prompt-refused` names the part and the digest for `spindle ban lift`; `crash-reported` lines of the entries tell the crashes, `part-cleared` the parts found sound",
	"internal":         "the entry failed; see the lines before",
}

// Causes returns the meaning of each refusal code.
func Causes() map[string]string { return maps.Clone(causes) }

// lateFirstEvent and lateGap are the objectives for the time to the first event
// and for the pause between two events; an answered request that exceeds one of
// them is described as late.
const (
	lateFirstEvent = time.Second
	lateGap        = 250 * time.Millisecond
)

// causeOf derives the cause from the entry's line at the end of a request.
func causeOf(line *Line) string {
	status, err := strconv.Atoi(line.Get("status"))
	if err != nil {
		return "the request's last line has no status"
	}
	if code := line.Get("code"); code != "" {
		meaning, known := causes[code]
		if !known {
			meaning = "see the code in the operators' pages"
		}
		if line.Get("aborted") == "true" {
			return fmt.Sprintf("%d %s, after the answer had begun, so that its connection was aborted: %s", status, code, meaning)
		}
		return fmt.Sprintf("%d %s: %s", status, code, meaning)
	}
	if status >= http.StatusBadRequest {
		return fmt.Sprintf("%d from endpoint %s itself", status, line.Get("endpoint"))
	}
	return latencyCause(line)
}

// latencyCause describes where an answered request spent its time.
func latencyCause(line *Line) string {
	waited, first, pause := durationOf(line, "waited"), durationOf(line, "first"), durationOf(line, "pause")
	switch {
	case first > lateFirstEvent && waited > first/2:
		return fmt.Sprintf("answered late: it waited %s of %s for admission at %s", waited, first, line.Get("endpoint"))
	case first > lateFirstEvent && line.Get("tries") != "0":
		return fmt.Sprintf("answered late, after %s failed attempts", line.Get("tries"))
	case first > lateFirstEvent:
		return fmt.Sprintf("answered late: %s took %s to its first event", line.Get("endpoint"), first-waited)
	case pause > lateGap:
		return fmt.Sprintf("answered with a pause of %s at %s", pause, line.Get("endpoint"))
	}
	return "answered in time"
}

// durationOf returns the duration under a key of a line, or 0 if it is missing
// or invalid.
func durationOf(line *Line, key string) time.Duration {
	length, err := time.ParseDuration(line.Get(key))
	if err != nil {
		return 0
	}
	return length
}
