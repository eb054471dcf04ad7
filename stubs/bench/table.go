package bench

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/stubs/score"
)

// Outcome is the result of one run as it is kept in a file.
type Outcome struct {
	Deployment, Variant string
	Seed                uint64
	Score               score.Score
	Urgent              Urgency
	Broken              []string
}

// Table sums up the outcomes of many runs.
type Table struct {
	Outcomes []Outcome
}

// row is the mean of one variant's runs.
type row struct {
	variant                                string
	runs, broken                           int
	stalls, seconds, batch, worst, refused float64
	half, tail, precision, recall, early   float64
	requests, batchTail, earlyPrecise      float64
}

// Write prints the means of each variant, with the ratio of the product's to
// each baseline's.
func (t *Table) Write(w io.Writer) {
	for _, deployment := range t.deployments() {
		rows := t.rows(deployment)
		_, _ = fmt.Fprintf(w, "\n%s\n%-18s %4s %8s %9s %7s %7s %9s %8s %8s %9s %6s\n", deployment,
			"variant", "runs", "stalls/k", "stall s/k", "batch", "worst", "refused/k", "p50 s", "p99 s", "requests", "broken")
		for _, r := range rows {
			_, _ = fmt.Fprintf(w, "%-18s %4d %8.1f %9.1f %7.3f %7.3f %9.2f %8.2f %8.2f %9.0f %6d\n",
				r.variant, r.runs, r.stalls, r.seconds, r.batch, r.worst, r.refused, r.half, r.tail, r.requests, r.broken)
		}
		writeRatios(w, rows)
	}
}

func writeRatios(w io.Writer, rows []row) {
	if len(rows) < 2 || rows[0].variant != Product {
		return
	}
	own := rows[0]
	_, _ = fmt.Fprintf(w, "product / baseline:\n")
	for _, r := range rows[1:] {
		_, _ = fmt.Fprintf(w, "%-18s      %8s %9s %7s %7s %9s\n", r.variant,
			ratio(own.stalls, r.stalls), ratio(own.seconds, r.seconds), ratio(own.batch, r.batch),
			ratio(own.worst, r.worst), ratio(own.refused, r.refused))
	}
	_, _ = fmt.Fprintf(w, "urgency: precision %.2f recall %.2f after a minute; precision %.2f recall %.2f in the first 10 s\n",
		own.precision, own.recall, own.earlyPrecise, own.early)
}

func ratio(own, other float64) string {
	if other == 0 {
		if own == 0 {
			return "0/0"
		}
		return "x/0"
	}
	return fmt.Sprintf("%.2f", own/other)
}

func (t *Table) deployments() []string {
	var names []string
	for _, o := range t.Outcomes {
		if !strings.Contains(strings.Join(names, " "), o.Deployment) {
			names = append(names, o.Deployment)
		}
	}
	sort.Strings(names)
	return names
}

func (t *Table) rows(deployment string) []row {
	var rows []row
	for _, variant := range t.variants(deployment) {
		sum := row{variant: variant}
		for index := range t.Outcomes {
			if o := &t.Outcomes[index]; o.Deployment == deployment && o.Variant == variant {
				sum.add(o)
			}
		}
		sum.finish()
		rows = append(rows, sum)
	}
	return rows
}

// variants lists the product first, the others by name.
func (t *Table) variants(deployment string) []string {
	seen := map[string]bool{}
	var names []string
	for _, o := range t.Outcomes {
		if o.Deployment == deployment && !seen[o.Variant] {
			seen[o.Variant] = true
			names = append(names, o.Variant)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		if (names[i] == Product) != (names[j] == Product) {
			return names[i] == Product
		}
		return names[i] < names[j]
	})
	return names
}

func (r *row) add(o *Outcome) {
	r.runs++
	r.broken += len(o.Broken)
	r.stalls += o.Score.Stalls
	r.seconds += o.Score.StallTime
	r.batch += o.Score.Batch
	r.worst += o.Score.Worst
	r.refused += o.Score.Refused
	r.half += o.Score.PersonHalf.Seconds()
	r.tail += o.Score.PersonTail.Seconds()
	r.batchTail += o.Score.BatchTail.Seconds()
	r.requests += float64(o.Score.Requests)
	r.precision += o.Urgent.Late.Precision()
	r.recall += o.Urgent.Late.Recall()
	r.early += o.Urgent.Early.Recall()
	r.earlyPrecise += o.Urgent.Early.Precision()
}

func (r *row) finish() {
	for _, value := range []*float64{
		&r.stalls, &r.seconds, &r.batch, &r.worst, &r.refused, &r.half, &r.tail, &r.batchTail,
		&r.requests, &r.precision, &r.recall, &r.early, &r.earlyPrecise,
	} {
		*value /= float64(r.runs)
	}
}
