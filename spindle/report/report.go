// Package report shows how goals burn their error budgets: as text, as JSON
// and as a picture.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/burn"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindFetch   Kind = "cannot fetch metrics"
	KindWrite   Kind = "cannot write report"
	KindPicture Kind = "cannot draw picture"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Report is what one report shows.
type Report struct {
	*burn.Report
	// Daemons are those whose metrics were asked for, in the order given.
	Daemons []Daemon `json:"daemons,omitempty"`
}

// Daemon is the metrics of one daemon.
type Daemon struct {
	Address string `json:"address"`
	// Error says why there are no values.
	Error string `json:"fault,omitempty"`
	// Values by name, as expvar shows them.
	Values map[string]float64 `json:"values,omitempty"`
}

// New computes the report of control's counts.
func New(counts []plane.BurnWindow) *Report {
	return &Report{Report: burn.New(counts)}
}

// PagingCount returns how many goals call an operator.
func (r *Report) PagingCount() int {
	count := 0
	for _, goal := range r.Objectives {
		if len(goal.Pages) > 0 {
			count++
		}
	}
	return count
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return &Error{Op: "write json", Kind: KindWrite, Err: err}
	}
	return nil
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	var text strings.Builder
	r.writeGoals(&text)
	for _, daemon := range r.Daemons {
		daemon.write(&text)
	}
	if _, err := io.WriteString(w, text.String()); err != nil {
		return &Error{Op: "write text", Kind: KindWrite, Err: err}
	}
	return nil
}

func (r *Report) writeGoals(w io.Writer) {
	if len(r.Objectives) == 0 {
		_, _ = fmt.Fprintln(w, "no requests counted yet")
		return
	}
	_, _ = fmt.Fprintf(w, "%d goals, %d paging\n\n", len(r.Objectives), r.PagingCount())
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "WORKSPACE\tROUTE\tGOAL\tBUDGET\tWINDOW\tGOOD\tBAD\tWITHIN\tBURN\tSPENT\tPAGE")
	for _, goal := range r.Objectives {
		for i, window := range goal.Windows {
			_, _ = fmt.Fprintln(table, strings.Join(goalCells(goal, window, i == 0), "\t"))
		}
	}
	_ = table.Flush()
}

// goalCells returns one line of the table; a goal's first line names it.
func goalCells(goal burn.Objective, window burn.Window, first bool) []string {
	cells := []string{"", "", "", ""}
	if first {
		cells = []string{goal.Workspace, routeOf(goal), percent(goal.TargetShare), percent(goal.ErrorBudget)}
	}
	page := "-"
	for _, length := range goal.Pages {
		if length == window.Length {
			page = "PAGE"
		}
	}
	return append(cells,
		short(window.Length), fmt.Sprint(window.Good), fmt.Sprint(window.Bad),
		percent(window.GoodShare), fmt.Sprintf("%.1f", window.Rate), percent(window.BudgetSpent), page)
}

// routeOf names the route; requests that name an adapter have none.
func routeOf(goal burn.Objective) string {
	if goal.Route == "" {
		return "(adapters)"
	}
	return goal.Route
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

// short writes "5m" for 5m0s.
func short(length span.Duration) string {
	text := length.String()
	if length.Std() >= time.Minute {
		text = strings.TrimSuffix(text, "0s")
	}
	if length.Std() >= time.Hour {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
