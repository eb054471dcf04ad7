package plain

import "github.com/tanagerspindle/tanagerspindle/pkg/fault"

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindUnsent says that no byte of the request left.
	KindUnsent Kind = "service not reached"
	// KindLost says that the connection broke after the request may have
	// arrived.
	KindLost Kind = "service lost"
	// KindRequest says that the request cannot be put to a service.
	KindRequest Kind = "malformed request"
)

// Error is this package's error type.
type Error = fault.Error[Kind]
