package span

import "github.com/tanagerspindle/tanagerspindle/pkg/fault"

// Kind classifies the failures of this package.
type Kind string

// KindText means that a duration is no text such as "250ms".
const KindText Kind = "expected text such as \"250ms\""

// Error is this package's error type.
type Error = fault.Error[Kind]
