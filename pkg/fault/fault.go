// Package fault defines the error type of all packages. Each package instantiates it
// with its own kinds: type Error = fault.Error[Kind].
package fault

import "fmt"

// Error describes a failed operation. errors.Is matches it with an Error of the same
// type and Kind whose Op and Err are empty.
type Error[K ~string] struct {
	// Op is the failed operation, in a few words.
	Op string
	// Kind classifies the failure, so that callers can distinguish failures.
	Kind K
	// Err is the cause; it may be nil.
	Err error
}

// Error returns the operation, the kind and the cause, separated by colons.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// Is reports whether target is an Error of the same type and Kind with neither an
// operation nor a cause.
func (e *Error[K]) Is(target error) bool {
	other, ok := target.(*Error[K])
	if !ok {
		return false
	}
	return other.Kind == e.Kind && other.Op == "" && other.Err == nil
}
