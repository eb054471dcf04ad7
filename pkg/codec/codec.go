// Package codec converts structs to and from protobuf according to their struct
// tags, such as `protobuf:"varint,1,opt"`. Decode calls the message's Check
// method, so that a process never handles an invalid message.
package codec

import (
	"fmt"
	"reflect"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindType   Kind = "type cannot be encoded as a message"
	KindDecode Kind = "malformed protobuf"
	KindCheck  Kind = "invalid message"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// checker is implemented by messages that validate themselves.
type checker interface{ Check() error }

// Encode returns the protobuf encoding of a struct, or of a pointer to one. The
// encoding is deterministic: fields are in the order of their declaration and map
// entries in the order of their keys.
func Encode(message any) ([]byte, error) {
	value := reflect.ValueOf(message)
	if value.Kind() == reflect.Pointer {
		value = value.Elem()
	}
	if value.Kind() != reflect.Struct {
		return nil, &Error{Op: "encode", Kind: KindType, Err: fmt.Errorf("expected a struct, got %T", message)}
	}
	plan, err := planOf(value.Type())
	if err != nil {
		return nil, err
	}
	return plan.append(nil, value), nil
}

// Decode fills message, a pointer to a struct, from its protobuf encoding and then
// calls its Check method if it has one. Unknown fields are skipped. A panic in either
// is an error of KindDecode: an invalid message must not end the process, and
// decoding holds no locks.
func Decode(data []byte, message any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &Error{Op: "decode", Kind: KindDecode, Err: fmt.Errorf("panic: %v", cause)}
		}
	}()
	value := reflect.ValueOf(message)
	if value.Kind() != reflect.Pointer || value.Elem().Kind() != reflect.Struct {
		return &Error{Op: "decode", Kind: KindType, Err: fmt.Errorf("expected a pointer to a struct, got %T", message)}
	}
	plan, err := planOf(value.Elem().Type())
	if err != nil {
		return err
	}
	if err := plan.decode(data, value.Elem()); err != nil {
		return &Error{Op: "decode", Kind: KindDecode, Err: err}
	}
	return Check(message)
}

// Check calls the message's Check method if it has one.
func Check(message any) error {
	checked, ok := message.(checker)
	if !ok {
		return nil
	}
	if err := checked.Check(); err != nil {
		return &Error{Op: "decode", Kind: KindCheck, Err: err}
	}
	return nil
}
