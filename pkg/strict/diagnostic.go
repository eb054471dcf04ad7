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
	// KindInvalid says that the cause is Faults.
	KindInvalid Kind = "faults"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Diagnostic is one thing wrong in a file. Text never repeats a value, since a
// value may be a secret.
type Diagnostic struct {
	// File, Line and Column say where; Line is 0 when only the field is known
	// and Column counts bytes from 1.
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Field is the path of names to the field, joined by dots.
	Field string `json:"field"`
	// Message says what is wrong.
	Message string `json:"text"`
	// Path is the same as Field, unjoined; it may hold a name that must not
	// be shown.
	Path []string `json:"-"`
}

// String formats the fault as compilers do: file:line:column: field: text.
func (f Diagnostic) String() string {
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
	out.WriteString(f.Message)
	return out.String()
}

// Diagnostics are all the faults that were found, in the order of the search.
type Diagnostics []Diagnostic

// Error formats one fault a line.
func (f Diagnostics) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// Add notes a fault at the field that the path leads to.
func (f *Diagnostics) Add(path []string, format string, values ...any) {
	*f = append(*f, Diagnostic{
		Field:   strings.Join(path, "."),
		Message: fmt.Sprintf(format, values...),
		Path:    append([]string(nil), path...),
	})
}

// Sorted returns the faults by file, line and column.
func (f Diagnostics) Sorted() Diagnostics {
	sorted := slices.Clone(f)
	slices.SortStableFunc(sorted, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return sorted
}
