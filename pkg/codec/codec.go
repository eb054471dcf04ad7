// Package codec turns the domain types into protobuf and back. Decoding calls
// the type's own Check, so no undefined message enters a process.
package codec

import (
	"reflect"

	"github.com/segmentio/encoding/proto"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindEncode Kind = "cannot encode"
	KindDecode Kind = "malformed bytes"
	KindCheck  Kind = "invalid message"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

type checker interface{ Check() error }

// Encode returns the protobuf form of a struct with protobuf tags.
func Encode(message any) ([]byte, error) {
	if err := verify(reflect.TypeOf(message)); err != nil {
		return nil, err
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindEncode, Err: err}
	}
	return data, nil
}

// Decode fills message, a pointer to a struct, from its protobuf form and
// then calls its Check method where it has one.
func Decode(data []byte, message any) error {
	if err := unmarshal(data, message); err != nil {
		return &Error{Op: "decode", Kind: KindDecode, Err: err}
	}
	return Check(message)
}

// Check calls the message's own Check method where it has one.
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
