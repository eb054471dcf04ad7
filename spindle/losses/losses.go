// Package losses counts, from the logs of entries and agents, the outcomes of
// requests in consecutive windows of time, to show when and why requests were lost.
package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/spindle/story"
)

// Kind classifies the failures of this package.
type Kind string

// KindEmpty means that the logs contain no request and no refusal.
const KindEmpty Kind = "the logs contain no request"

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// eventRequest is the event that ends a request at its entry, eventRefused the
	// refusal of an admission by an agent.
	eventRequest = "request"
	eventRefused = "admission-refused"
	// answered is the column of requests with an answer of status 2xx.
	answered = "answered"
	// columnGap is the number of spaces between two columns.
	columnGap = 2
)

// Table counts the outcomes of requests. Width is set before Read.
type Table struct {
	// Width is the length of one window.
	Width time.Duration

	// windows are the periods by their start.
	windows map[time.Time]*window
	// entryColumns and agentColumns are the outcomes that occur, with their totals.
	entryColumns, agentColumns map[string]int
}

// window holds the counts of one period.
type window struct {
	requests int
	entry    map[string]int
	agent    map[string]int
	// firsts are the times to the first byte of the answered requests, waits the
	// times to come back that agents sent with refusals.
	firsts, waits []time.Duration
}

// Read adds the log of one or several processes.
func (t *Table) Read(log io.Reader) error {
	if t.windows == nil {
		t.windows, t.entryColumns, t.agentColumns = map[time.Time]*window{}, map[string]int{}, map[string]int{}
	}
	return story.ReadLines(log, t.add)
}

func (t *Table) add(line story.Line) {
	switch line.Event {
	case eventRequest:
		w := t.windowOf(line.Time)
		w.requests++
		outcome := outcomeOf(&line)
		w.entry[outcome]++
		t.entryColumns[outcome]++
		if first, err := time.ParseDuration(line.Get("first")); err == nil && outcome == answered {
			w.firsts = append(w.firsts, first)
		}
	case eventRefused:
		w := t.windowOf(line.Time)
		reason := line.Get("reason")
		w.agent[reason]++
		t.agentColumns[reason]++
		if wait, err := time.ParseDuration(line.Get("wait")); err == nil {
			w.waits = append(w.waits, wait)
		}
	}
}

func (t *Table) windowOf(at time.Time) *window {
	start := at.UTC().Truncate(t.Width)
	w := t.windows[start]
	if w == nil {
		w = &window{entry: map[string]int{}, agent: map[string]int{}}
		t.windows[start] = w
	}
	return w
}

// outcomeOf returns answered, or the code of the refusal or failure, marked if the answer
// had begun, or the status of an endpoint's own error answer.
func outcomeOf(line *story.Line) string {
	status, code := line.Get("status"), line.Get("code")
	switch {
	case code != "" && line.Get("aborted") == "true":
		return "aborted " + code
	case code != "":
		return code
	case strings.HasPrefix(status, "2"):
		return answered
	}
	return "status " + status
}

// Write prints one row for each window with requests or refusals, in the order of
// time.
func (t *Table) Write(out io.Writer) error {
	if len(t.windows) == 0 {
		return &Error{Op: "write table", Kind: KindEmpty}
	}
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	entry, agent := byTotal(t.entryColumns), byTotal(t.agentColumns)
	header := append([]string{"time", "requests"}, entry...)
	header = append(header, "first p50", "first p99")
	for _, reason := range agent {
		header = append(header, "agents: "+reason)
	}
	writeRow(table, append(header, "wait p50"))
	for _, start := range slices.SortedFunc(maps.Keys(t.windows), time.Time.Compare) {
		w := t.windows[start]
		row := []string{start.Format("15:04:05.0"), fmt.Sprint(w.requests)}
		for _, outcome := range entry {
			row = append(row, fmt.Sprint(w.entry[outcome]))
		}
		row = append(row, quantile(w.firsts, 0.5), quantile(w.firsts, 0.99))
		for _, reason := range agent {
			row = append(row, fmt.Sprint(w.agent[reason]))
		}
		writeRow(table, append(row, quantile(w.waits, 0.5)))
	}
	return table.Flush()
}

func writeRow(table *tabwriter.Writer, cells []string) {
	// The writer keeps the text until Flush, which returns the error.
	_, _ = fmt.Fprintln(table, strings.Join(cells, "\t")+"\t")
}

// byTotal returns the names with the highest totals first.
func byTotal(totals map[string]int) []string {
	return slices.SortedFunc(maps.Keys(totals), func(a, b string) int {
		return cmp.Or(cmp.Compare(totals[b], totals[a]), cmp.Compare(a, b))
	})
}

// quantile returns the value below which a share of the values lies, in whole
// milliseconds, or "-" without values.
func quantile(values []time.Duration, share float64) string {
	if len(values) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(values))
	at := min(int(share*float64(len(sorted))), len(sorted)-1)
	return sorted[at].Round(time.Millisecond).String()
}
