package bench

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/stubs/score"
)

// Outcome is the result of one run as stored in a JSON file.
type Outcome struct {
	Deployment, Variant string
	Seed                uint64
	Score               score.Score
	Urgent              Urgency
	Broken              []string
}

// Table summarizes the outcomes of many runs.
type Table struct {
	Outcomes []Outcome
}

// variantMeans holds the mean measurements of a variant's runs; violations are
// summed.
type variantMeans struct {
	variant                                     string
	runs, broken                                int
	stalls, stallSeconds, batch, worst, refused float64
	p50, p99, precision, recall, earlyRecall    float64
	requests, batchP99, earlyPrecision          float64
}

// Write prints the means of each variant and the ratios of the product's means
// to those of each baseline.
func (t *Table) Write(w io.Writer) {
	for _, deployment := range t.deployments() {
		rows := t.rows(deployment)
		_, _ = fmt.Fprintf(w, "\n%s\n%-18s %4s %8s %9s %7s %7s %9s %8s %8s %9s %6s\n", deployment,
			"variant", "runs", "stalls/k", "stall s/k", "batch", "worst", "refused/k", "p50 s", "p99 s", "requests", "broken")
		for _, r := range rows {
			_, _ = fmt.Fprintf(w, "%-18s %4d %8.1f %9.1f %7.3f %7.3f %9.2f %8.2f %8.2f %9.0f %6d\n",
				r.variant, r.runs, r.stalls, r.stallSeconds, r.batch, r.worst, r.refused, r.p50, r.p99, r.requests, r.broken)
		}
		writeRatios(w, rows)
	}
}

func writeRatios(w io.Writer, rows []variantMeans) {
	if len(rows) < 2 || rows[0].variant != Product {
		return
	}
	product := rows[0]
	_, _ = fmt.Fprintf(w, "product / baseline:\n")
	for _, r := range rows[1:] {
		_, _ = fmt.Fprintf(w, "%-18s      %8s %9s %7s %7s %9s\n", r.variant,
			ratio(product.stalls, r.stalls), ratio(product.stallSeconds, r.stallSeconds), ratio(product.batch, r.batch),
			ratio(product.worst, r.worst), ratio(product.refused, r.refused))
	}
	_, _ = fmt.Fprintf(w, "urgency inference: precision %.2f recall %.2f after a minute; precision %.2f recall %.2f in the first 10 s\n",
		product.precision, product.recall, product.earlyPrecision, product.earlyRecall)
}

// ratio formats the ratio of two values; a division by zero is "x/0" or "0/0".
func ratio(product, baseline float64) string {
	if baseline == 0 {
		if product == 0 {
			return "0/0"
		}
		return "x/0"
	}
	return fmt.Sprintf("%.2f", product/baseline)
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

func (t *Table) rows(deployment string) []variantMeans {
	var rows []variantMeans
	for _, variant := range t.variants(deployment) {
		sum := variantMeans{variant: variant}
		for index := range t.Outcomes {
			if o := &t.Outcomes[index]; o.Deployment == deployment && o.Variant == variant {
				sum.add(o)
			}
		}
		sum.average()
		rows = append(rows, sum)
	}
	return rows
}

// variants returns the variants of a deployment: the product first, then the
// others by name.
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

// add adds the measurements of one run to the sums.
func (m *variantMeans) add(o *Outcome) {
	m.runs++
	m.broken += len(o.Broken)
	m.stalls += o.Score.Stalls
	m.stallSeconds += o.Score.StallTime
	m.batch += o.Score.Batch
	m.worst += o.Score.Worst
	m.refused += o.Score.Refused
	m.p50 += o.Score.PersonHalf.Seconds()
	m.p99 += o.Score.PersonTail.Seconds()
	m.batchP99 += o.Score.BatchTail.Seconds()
	m.requests += float64(o.Score.Requests)
	m.precision += o.Urgent.Late.Precision()
	m.recall += o.Urgent.Late.Recall()
	m.earlyRecall += o.Urgent.Early.Recall()
	m.earlyPrecision += o.Urgent.Early.Precision()
}

// average divides the sums by the number of runs.
func (m *variantMeans) average() {
	for _, value := range []*float64{
		&m.stalls, &m.stallSeconds, &m.batch, &m.worst, &m.refused, &m.p50, &m.p99, &m.batchP99,
		&m.requests, &m.precision, &m.recall, &m.earlyRecall, &m.earlyPrecision,
	} {
		*value /= float64(m.runs)
	}
}
