package proxy

import "github.com/tanagerspindle/tanagerspindle/pkg/fault"

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindNotSent says that no byte of the request left.
	KindNotSent Kind = "service not reached"
	// KindLost says that the connection broke after the request may have
	// arrived.
	KindLost Kind = "service lost"
	// KindMalformedRequest says that the request cannot be put to a service.
	KindMalformedRequest Kind = "malformed request"
)

// Error is this package's error type.
type Error = fault.Error[Kind]
