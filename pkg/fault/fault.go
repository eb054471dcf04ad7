// Package fault holds the one shape of error that each package instantiates
// with its own kinds: type Error = fault.Error[Kind].
package fault

import "fmt"

// Error is a failed operation. It matches errors.Is against an Error of the
// same type whose Kind is equal and whose Op and Err are empty.
type Error[K ~string] struct {
	// Op names the operation that failed, one or two words.
	Op string
	// Kind classifies the failure so that callers can branch on it.
	Kind K
	// Err is the cause; it may be nil.
	Err error
}

// Error formats the operation, the kind and the cause.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// Is reports whether target is an Error of the same type and Kind that names
// no operation of its own.
func (e *Error[K]) Is(target error) bool {
	other, ok := target.(*Error[K])
	if !ok {
		return false
	}
	return other.Kind == e.Kind && other.Op == "" && other.Err == nil
}
