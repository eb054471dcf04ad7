package proxy

import "github.com/tanagerspindle/tanagerspindle/pkg/fault"

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindNotSent means that no byte of the request was sent.
	KindNotSent Kind = "request to the service not sent"
	// KindLost means that the connection broke after the request may have been sent.
	KindLost Kind = "connection to the service lost"
	// KindMalformedAnswer means that the service's answer is malformed; it may have run the
	// request.
	KindMalformedAnswer Kind = "malformed answer"
	// KindMalformedRequest means that no valid HTTP request can be built from the
	// attempt.
	KindMalformedRequest Kind = "malformed request"
)

// Error is this package's error type.
type Error = fault.Error[Kind]
