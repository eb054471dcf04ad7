// Package burn computes how fast goals use up their error budgets, and which
// windows call an operator.
//
// The rules are the multiwindow, multi-burn-rate alerts of "Alerting on SLOs",
// chapter 5 of The Site Reliability Workbook (Beyer and others, O'Reilly
// 2018): a burn rate of 14.4 over 1 h uses 2% of a 30-day budget, and one of 6
// over 6 h uses 5%. A long window says that the loss matters and a short one
// that it still goes on, so that the call ends soon after the cause. The
// workbook's short window is a twelfth of the long one; here both rules share
// the 5 min one, which only ends the call of the slow rule sooner.
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
	// budgetPeriod is the time that an error budget is for.
	budgetPeriod = 30 * 24 * time.Hour
	// minRequests is the number of requests in the long window of a rule below
	// which it calls nobody: one bad request among few is no trend.
	minRequests = 10
)

// WindowLengths returns the windows that goals are counted over, shortest first.
func WindowLengths() []time.Duration { return []time.Duration{ShortWindow, MediumWindow, LongWindow} }

// pageRule calls an operator when both windows burn at rate or faster.
type pageRule struct {
	long, short time.Duration
	rate        float64
}

// pageRules are sorted with the most urgent first.
var pageRules = []pageRule{
	{long: MediumWindow, short: ShortWindow, rate: 14.4},
	{long: LongWindow, short: ShortWindow, rate: 6},
}

// Report is the burn of all goals, those that call an operator first, then by
// workspace and route.
type Report struct {
	Objectives []Objective `json:"goals"`
}

// Objective is the burn of one route for one workspace.
type Objective struct {
	Workspace string `json:"workspace"`
	Route     string `json:"route"`
	// TargetShare of the requests must be good.
	TargetShare float64 `json:"share"`
	// ErrorBudget is the share that may be bad.
	ErrorBudget float64 `json:"budget"`
	// Windows, shortest first.
	Windows []Window `json:"windows"`
	// Pages lists the long windows whose rule calls an operator.
	Pages []span.Duration `json:"pages"`
}

// Window is the burn over one length of time.
type Window struct {
	Length span.Duration `json:"length"`
	Good   int64         `json:"good"`
	Bad    int64         `json:"bad"`
	// GoodShare is the share of good requests; 1 when there were none.
	GoodShare float64 `json:"within"`
	// Rate is how many times faster than allowed the budget is used: at 1 it
	// lasts just as long as the period it is for.
	Rate float64 `json:"rate"`
	// BudgetSpent is the share of a 30-day budget used in this window, if the rest
	// of the 30 days has the traffic of this window.
	BudgetSpent float64 `json:"spent"`
}

// New computes the report of counts. Counts of the same goal and length are
// added up.
func New(counts []plane.BurnWindow) *Report {
	type key struct{ workspace, route string }
	goals := map[key]*Objective{}
	for _, count := range counts {
		k := key{count.Workspace, count.Route}
		if goals[k] == nil {
			goals[k] = &Objective{Workspace: count.Workspace, Route: count.Route, TargetShare: count.Share, ErrorBudget: 1 - count.Share}
		}
		goals[k].add(count)
	}
	report := &Report{Objectives: make([]Objective, 0, len(goals))}
	for _, goal := range goals {
		goal.computeWindows()
		report.Objectives = append(report.Objectives, *goal)
	}
	slices.SortFunc(report.Objectives, func(a, b Objective) int {
		return cmp.Or(pageOrder(a)-pageOrder(b), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Route, b.Route))
	})
	return report
}

// pageOrder is smaller for goals that call an operator.
func pageOrder(g Objective) int {
	if len(g.Pages) > 0 {
		return 0
	}
	return 1
}

func (g *Objective) add(count plane.BurnWindow) {
	for i := range g.Windows {
		if g.Windows[i].Length == count.Length {
			g.Windows[i].Good += count.Good
			g.Windows[i].Bad += count.Bad
			return
		}
	}
	g.Windows = append(g.Windows, Window{Length: count.Length, Good: count.Good, Bad: count.Bad})
}

func (g *Objective) computeWindows() {
	slices.SortFunc(g.Windows, func(a, b Window) int { return cmp.Compare(a.Length, b.Length) })
	for i := range g.Windows {
		g.Windows[i].computeRates(g.ErrorBudget)
	}
	g.Pages = []span.Duration{}
	for _, r := range pageRules {
		if g.pages(r) {
			g.Pages = append(g.Pages, span.Duration(r.long))
		}
	}
}

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

// Rate returns how many times faster than a goal allows its budget is used:
// the share of bad requests divided by the share that may be bad. It is 0
// without requests and when the goal allows no bad request at all.
func Rate(good, bad int64, share float64) float64 {
	if good+bad == 0 || share >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - share)
}

func (g *Objective) pages(r pageRule) bool {
	long, short := g.window(r.long), g.window(r.short)
	if long == nil || short == nil || long.Good+long.Bad < minRequests {
		return false
	}
	// Sums of floats may fall short of the rate by their last digit.
	const tolerance = 1e-9
	return long.Rate >= r.rate-tolerance && short.Rate >= r.rate-tolerance
}

func (g *Objective) window(length time.Duration) *Window {
	for i := range g.Windows {
		if g.Windows[i].Length.Std() == length {
			return &g.Windows[i]
		}
	}
	return nil
}
