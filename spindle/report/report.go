// Package report shows how fast service level objectives use up their error
// budgets: as text, as JSON and as a picture.
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

// Report holds the burn rates of all objectives and the metrics of the daemons
// that the operator named.
type Report struct {
	*burn.Report
	// Daemons are the daemons whose metrics were fetched, in the order given.
	Daemons []Daemon `json:"daemons,omitempty"`
}

// Daemon holds the metrics of one daemon.
type Daemon struct {
	Address string `json:"address"`
	// Error is the reason why there are no values.
	Error string `json:"fault,omitempty"`
	// Values are the metrics by name, as expvar publishes them.
	Values map[string]float64 `json:"values,omitempty"`
}

// New computes a report from the request counts that control returns.
func New(counts []plane.BurnWindow) *Report {
	return &Report{Report: burn.New(counts)}
}

// PagingCount returns the number of objectives that page an operator.
func (r *Report) PagingCount() int {
	count := 0
	for _, objective := range r.Objectives {
		if len(objective.Pages) > 0 {
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

// WriteText writes the report as text tables.
func (r *Report) WriteText(w io.Writer) error {
	var text strings.Builder
	r.writeObjectives(&text)
	for _, daemon := range r.Daemons {
		daemon.write(&text)
	}
	if _, err := io.WriteString(w, text.String()); err != nil {
		return &Error{Op: "write text", Kind: KindWrite, Err: err}
	}
	return nil
}

func (r *Report) writeObjectives(w io.Writer) {
	if len(r.Objectives) == 0 {
		_, _ = fmt.Fprintln(w, "no requests counted yet")
		return
	}
	_, _ = fmt.Fprintf(w, "%d goals, %d paging\n\n", len(r.Objectives), r.PagingCount())
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "WORKSPACE\tROUTE\tGOAL\tBUDGET\tWINDOW\tGOOD\tBAD\tWITHIN\tBURN\tSPENT\tPAGE")
	for _, objective := range r.Objectives {
		for i, window := range objective.Windows {
			_, _ = fmt.Fprintln(table, strings.Join(objectiveRow(objective, window, i == 0), "\t"))
		}
	}
	_ = table.Flush()
}

// objectiveRow returns one row of the table; the first row of an objective also
// has its name.
func objectiveRow(objective burn.Objective, window burn.Window, first bool) []string {
	cells := []string{"", "", "", ""}
	if first {
		cells = []string{objective.Workspace, routeName(objective), percent(objective.TargetShare), percent(objective.ErrorBudget)}
	}
	page := "-"
	for _, length := range objective.Pages {
		if length == window.Length {
			page = "PAGE"
		}
	}
	return append(cells,
		shortDuration(window.Length), fmt.Sprint(window.Good), fmt.Sprint(window.Bad),
		percent(window.GoodShare), fmt.Sprintf("%.1f", window.Rate), percent(window.BudgetSpent), page)
}

// routeName returns the name of the route; requests that name an adapter have no
// route.
func routeName(objective burn.Objective) string {
	if objective.Route == "" {
		return "(adapters)"
	}
	return objective.Route
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

// shortDuration formats a duration without zero units, such as "5m" for 5m0s.
func shortDuration(length span.Duration) string {
	text := length.String()
	if length.Std() >= time.Minute {
		text = strings.TrimSuffix(text, "0s")
	}
	if length.Std() >= time.Hour {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
