package engine

import "github.com/tanagerspindle/tanagerspindle/pkg/fault"

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindLost means that the connection broke: the engine may be dead, and the request
	// may have run.
	KindLost Kind = "connection to the engine lost"
	// KindNotSent means that no connection was made, so that the request has not run.
	KindNotSent Kind = "not sent to the engine"
	// KindRefused means that the engine answered with an error status.
	KindRefused Kind = "engine answered with an error status"
	// KindFenced means that the engine has seen a newer fencing number.
	KindFenced Kind = "fencing number is out of date"
	// KindMalformedAnswer means that the engine's answer is malformed.
	KindMalformedAnswer Kind = "malformed answer"
	// KindMalformedRequest means that no valid engine request can be built from the
	// attempt.
	KindMalformedRequest Kind = "malformed request"
)

// Error is this package's error type.
type Error = fault.Error[Kind]
