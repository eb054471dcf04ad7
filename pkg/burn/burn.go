// Package burn computes how fast objectives use up their error budgets, and which
// windows page an operator.
//
// The rules are the multiwindow, multi-burn-rate alerts of "Alerting on SLOs",
// chapter 5 of The Site Reliability Workbook (Beyer and others, O'Reilly 2018): a
// burn rate of 14.4 over 1 h uses 2% of a 30-day budget, and one of 6 over 6 h uses
// 5%. The long window shows that the loss is significant, and the short window that
// it still goes on, so that the page ends soon after the cause. The workbook's
// short window is a twelfth of the long one. Here both rules share the 5 min
// window, which only makes the page of the slow rule end sooner.
package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Window lengths.
const (
	ShortWindow  = 5 * time.Minute
	MediumWindow = time.Hour
	LongWindow   = 6 * time.Hour
)

const (
	// budgetPeriod is the period that an error budget covers.
	budgetPeriod = 30 * 24 * time.Hour
	// minRequests is the smallest number of requests in a rule's long window for
	// which the rule can page: one bad request among few is no trend.
	minRequests = 10
)

// WindowLengths returns the lengths of the windows in which requests are counted,
// shortest first.
func WindowLengths() []time.Duration { return []time.Duration{ShortWindow, MediumWindow, LongWindow} }

// pageRule pages an operator while the burn rate is at least rate in both windows.
type pageRule struct {
	long, short time.Duration
	rate        float64
}

// pageRules holds the most urgent rule first.
var pageRules = []pageRule{
	{long: MediumWindow, short: ShortWindow, rate: 14.4},
	{long: LongWindow, short: ShortWindow, rate: 6},
}

// Report is the burn of all objectives: first those that page an operator, then by
// workspace and route.
type Report struct {
	Objectives []Objective `json:"goals"`
}

// Objective is the burn of one route's objective for one workspace.
type Objective struct {
	Workspace string `json:"workspace"`
	Route     string `json:"route"`
	// TargetShare is the share of requests that must be good.
	TargetShare float64 `json:"share"`
	// ErrorBudget is the share of requests that may be bad.
	ErrorBudget float64 `json:"budget"`
	// Windows holds one entry per window length, shortest first.
	Windows []Window `json:"windows"`
	// Pages lists the lengths of the long windows whose rules page an operator.
	Pages []span.Duration `json:"pages"`
}

// Window is the burn in one window.
type Window struct {
	Length span.Duration `json:"length"`
	Good   int64         `json:"good"`
	Bad    int64         `json:"bad"`
	// GoodShare is the share of good requests; 1 if there were none at all.
	GoodShare float64 `json:"within"`
	// Rate is the burn rate. At 1, the budget lasts exactly for its period of 30 days.
	Rate float64 `json:"rate"`
	// BudgetSpent is the share of a 30-day budget that this window used, assuming
	// the same traffic for the rest of the 30 days.
	BudgetSpent float64 `json:"spent"`
}

// New computes the report from request counts. Counts of the same objective and
// window length are added up.
func New(counts []plane.BurnWindow) *Report {
	type key struct{ workspace, route string }
	objectives := map[key]*Objective{}
	for _, count := range counts {
		k := key{count.Workspace, count.Route}
		if objectives[k] == nil {
			objectives[k] = &Objective{Workspace: count.Workspace, Route: count.Route, TargetShare: count.Share, ErrorBudget: 1 - count.Share}
		}
		objectives[k].add(count)
	}
	report := &Report{Objectives: make([]Objective, 0, len(objectives))}
	for _, objective := range objectives {
		objective.computeWindows()
		report.Objectives = append(report.Objectives, *objective)
	}
	slices.SortFunc(report.Objectives, func(a, b Objective) int {
		return cmp.Or(pageOrder(a)-pageOrder(b), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Route, b.Route))
	})
	return report
}

// pageOrder sorts objectives that page an operator before the others.
func pageOrder(o Objective) int {
	if len(o.Pages) > 0 {
		return 0
	}
	return 1
}

// add adds a count to the window of its length.
func (o *Objective) add(count plane.BurnWindow) {
	for i := range o.Windows {
		if o.Windows[i].Length == count.Length {
			o.Windows[i].Good += count.Good
			o.Windows[i].Bad += count.Bad
			return
		}
	}
	o.Windows = append(o.Windows, Window{Length: count.Length, Good: count.Good, Bad: count.Bad})
}

// computeWindows computes the rates of all windows and the pages that they cause.
func (o *Objective) computeWindows() {
	slices.SortFunc(o.Windows, func(a, b Window) int { return cmp.Compare(a.Length, b.Length) })
	for i := range o.Windows {
		o.Windows[i].computeRates(o.ErrorBudget)
	}
	o.Pages = []span.Duration{}
	for _, r := range pageRules {
		if o.pages(r) {
			o.Pages = append(o.Pages, span.Duration(r.long))
		}
	}
}

// computeRates computes the figures that derive from the window's counts.
func (w *Window) computeRates(budget float64) {
	w.GoodShare = 1
	total := w.Good + w.Bad
	if total == 0 {
		return
	}
	w.GoodShare = float64(w.Good) / float64(total)
	w.Rate = Rate(w.Good, w.Bad, 1-budget)
	w.BudgetSpent = w.Rate * float64(w.Length.Std()) / float64(budgetPeriod)
}

// Rate returns the burn rate: the share of bad requests divided by the share that
// may be bad. It is 0 without requests and for an objective that allows no bad
// requests.
func Rate(good, bad int64, share float64) float64 {
	if good+bad == 0 || share >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - share)
}

// pages reports whether a rule pages an operator.
func (o *Objective) pages(r pageRule) bool {
	long, short := o.window(r.long), o.window(r.short)
	if long == nil || short == nil || long.Good+long.Bad < minRequests {
		return false
	}
	// Rounding of float sums may leave a rate slightly below the threshold.
	const tolerance = 1e-9
	return long.Rate >= r.rate-tolerance && short.Rate >= r.rate-tolerance
}

// window returns the window of the given length, or nil if there are no counts for it.
func (o *Objective) window(length time.Duration) *Window {
	for i := range o.Windows {
		if o.Windows[i].Length.Std() == length {
			return &o.Windows[i]
		}
	}
	return nil
}
