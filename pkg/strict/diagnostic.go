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
	// KindRead means that a file cannot be read.
	KindRead Kind = "cannot read"
	// KindInvalid means that the error wraps Diagnostics.
	KindInvalid Kind = "faults"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Diagnostic is one problem in a file. Its Message never contains a value of the file,
// since a value may be a secret.
type Diagnostic struct {
	// File, Line and Column are the position. Line is 0 if only the field is known;
	// Column counts bytes from 1.
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Field is the path to the field: names and indexes, joined by dots.
	Field string `json:"field"`
	// Message describes the problem.
	Message string `json:"text"`
	// Path is the path to the field as separate names. Unlike Field, it may contain a
	// name that must not be shown.
	Path []string `json:"-"`
}

// String formats the diagnostic as compilers do: file:line:column: field: message.
func (d Diagnostic) String() string {
	var out strings.Builder
	if d.File != "" {
		out.WriteString(d.File + ":")
	}
	if d.Line > 0 {
		fmt.Fprintf(&out, "%d:%d:", d.Line, d.Column)
	}
	if out.Len() > 0 {
		out.WriteString(" ")
	}
	if d.Field != "" {
		out.WriteString(d.Field + ": ")
	}
	out.WriteString(d.Message)
	return out.String()
}

// Diagnostics are the problems found in one or more files, in the order of detection.
type Diagnostics []Diagnostic

// Error returns the diagnostics, one per line.
func (d Diagnostics) Error() string {
	lines := make([]string, 0, len(d))
	for _, one := range d {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// Add appends a diagnostic for the field at path.
func (d *Diagnostics) Add(path []string, format string, values ...any) {
	*d = append(*d, Diagnostic{
		Field:   strings.Join(path, "."),
		Message: fmt.Sprintf(format, values...),
		Path:    append([]string(nil), path...),
	})
}

// Sorted returns the diagnostics sorted by file, line and column.
func (d Diagnostics) Sorted() Diagnostics {
	sorted := slices.Clone(d)
	slices.SortStableFunc(sorted, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return sorted
}
