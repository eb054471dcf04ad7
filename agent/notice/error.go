package notice

import "github.com/tanagerspindle/tanagerspindle/pkg/fault"

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindListen Kind = "cannot listen"
	KindField  Kind = "invalid field"
)

// Error is this package's error type.
type Error = fault.Error[Kind]
