package conf

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindRead means that the folder or a file in it cannot be read.
	KindRead Kind = "cannot read"
	// KindEmpty means that the folder has no file to read. It is an error because a
	// folder that was moved or is not mounted must not be taken for an empty
	// configuration.
	KindEmpty Kind = "no .json, .jsonc or .hujson file"
	// KindInvalid means that the configuration has errors; the cause is a
	// strict.Diagnostics.
	KindInvalid Kind = "invalid configuration"
	// KindDelta means that a delta does not apply to the given configuration.
	KindDelta Kind = "delta does not apply"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// invalidError returns an Error with the diagnostics as its cause, or nil if there
// are none.
func invalidError(op string, diagnostics strict.Diagnostics) error {
	if len(diagnostics) == 0 {
		return nil
	}
	return &Error{Op: op, Kind: KindInvalid, Err: redactSecrets(diagnostics.Sorted())}
}
