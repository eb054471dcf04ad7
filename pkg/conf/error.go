package conf

import "github.com/tanagerspindle/tanagerspindle/pkg/fault"

// Kind classifies the failures of this package.
type Kind string

// KindDelta says that a delta does not fit the configuration it is applied to.
const KindDelta Kind = "delta does not fit"

// Error is this package's error type.
type Error = fault.Error[Kind]
