package strict

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindRead says that a file cannot be read.
	KindRead Kind = "cannot read"
	// KindFaults says that the cause is Faults.
	KindFaults Kind = "faults"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Fault is one thing wrong in a file. Text never repeats a value, since a
// value may be a secret.
type Fault struct {
	// File, Line and Column say where; Line is 0 when only the field is known
	// and Column counts bytes from 1.
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Field is the path of names to the field, joined by dots.
	Field string `json:"field"`
	// Text says what is wrong.
	Text string `json:"text"`
	// Path is the same as Field, unjoined; it may hold a name that must not
	// be shown.
	Path []string `json:"-"`
}

// String formats the fault as compilers do: file:line:column: field: text.
func (f Fault) String() string {
	var out strings.Builder
	if f.File != "" {
		out.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&out, "%d:%d:", f.Line, f.Column)
	}
	if out.Len() > 0 {
		out.WriteString(" ")
	}
	if f.Field != "" {
		out.WriteString(f.Field + ": ")
	}
	out.WriteString(f.Text)
	return out.String()
}

// Faults are all the faults that were found, in the order of the search.
type Faults []Fault

// Error formats one fault a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// Add notes a fault at the field that the path leads to.
func (f *Faults) Add(path []string, format string, values ...any) {
	*f = append(*f, Fault{
		Field: strings.Join(path, "."),
		Text:  fmt.Sprintf(format, values...),
		Path:  append([]string(nil), path...),
	})
}

// Sorted returns the faults by file, line and column.
func (f Faults) Sorted() Faults {
	sorted := slices.Clone(f)
	slices.SortStableFunc(sorted, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return sorted
}
