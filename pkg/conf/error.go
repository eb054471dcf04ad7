package conf

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindRead says that the folder or a file in it cannot be read.
	KindRead Kind = "cannot read"
	// KindEmpty says that the folder has no file to read. A folder that was
	// moved away or not mounted must not pass for an empty configuration.
	KindEmpty Kind = "no .json, .jsonc or .hujson file"
	// KindInvalid says that the configuration has the faults that are the
	// cause, a strict.Faults.
	KindInvalid Kind = "faults in the configuration"
	// KindDelta says that a delta does not fit the configuration it is
	// applied to.
	KindDelta Kind = "delta does not fit"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

func invalidError(op string, faults strict.Diagnostics) error {
	if len(faults) == 0 {
		return nil
	}
	return &Error{Op: op, Kind: KindInvalid, Err: redactSecrets(faults.Sorted())}
}
