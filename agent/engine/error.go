package engine

import "github.com/tanagerspindle/tanagerspindle/pkg/fault"

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindLost says that the connection broke: the engine may be dead, and
	// what was sent may have run.
	KindLost Kind = "engine not reached"
	// KindRefused says that the engine answered with a refusal.
	KindRefused Kind = "engine refused"
	// KindFenced says that the engine has seen a newer fencing number.
	KindFenced Kind = "fencing number too old"
	// KindMalformedAnswer says that the engine's answer is malformed.
	KindMalformedAnswer Kind = "malformed answer"
	// KindMalformedRequest says that the request cannot be put to an engine.
	KindMalformedRequest Kind = "malformed request"
)

// Error is this package's error type.
type Error = fault.Error[Kind]
